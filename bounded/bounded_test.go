package bounded_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/bounded"
)

func TestReadAll(t *testing.T) {
	is := is.New(t)
	raw, err := bounded.ReadAll(strings.NewReader("four"), 4)
	is.NoErr(err)
	is.Equal(string(raw), "four")
	raw, err = bounded.ReadAll(strings.NewReader("fiver"), 4)
	is.True(trace.IsLimitExceeded(err))
	is.Equal(raw, nil)
	readErr := errors.New("connection closed")
	_, err = bounded.ReadAll(iotest.ErrReader(readErr), 4)
	is.True(errors.Is(err, readErr))
}

// zeros is a reader without end.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// paused is a reader that tells that it is read and then waits until it is released.
type paused struct {
	reached  *sync.WaitGroup
	released chan struct{}
}

// Read implements io.Reader.
func (p paused) Read([]byte) (int, error) {
	p.reached.Done()
	<-p.released
	return 0, io.EOF
}

// TestBudget guards against many answers, each within its limit, that take all of the
// memory together.
func TestBudget(t *testing.T) {
	is := is.New(t)
	const limit, total = 1 << 20, 2 << 20
	b := bounded.NewBudget(total)
	raw, err := b.ReadAll(strings.NewReader("four"), 4)
	is.NoErr(err)
	is.Equal(string(raw), "four")
	_, err = b.ReadAll(zeros{}, limit)
	is.True(trace.IsLimitExceeded(err))

	var reached sync.WaitGroup
	var readers conc.WaitGroup
	released := make(chan struct{})
	for range 4 { // they hold the whole budget
		reached.Add(1)
		readers.Go(func() {
			raw, err := b.ReadAll(io.MultiReader(io.LimitReader(zeros{}, total/4), paused{&reached, released}), limit)
			is.NoErr(err)
			is.Equal(len(raw), total/4)
		})
	}
	reached.Wait()
	_, err = b.ReadAll(strings.NewReader("four"), 4)
	is.True(trace.IsLimitExceeded(err))
	close(released)
	readers.Wait()
	_, err = b.ReadAll(strings.NewReader("four"), 4)
	is.NoErr(err)

	readErr := errors.New("connection closed")
	_, err = b.ReadAll(iotest.ErrReader(readErr), 4)
	is.True(errors.Is(err, readErr))
}
