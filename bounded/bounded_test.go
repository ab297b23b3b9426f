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
	broken := errors.New("cut")
	_, err = bounded.ReadAll(iotest.ErrReader(broken), 4)
	is.True(errors.Is(err, broken))
}
