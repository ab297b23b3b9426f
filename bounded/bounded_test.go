package bounded_test

import (
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

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
