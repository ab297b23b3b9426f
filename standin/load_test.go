package standin_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestOrdersTreatRunningStreams orders an engine that takes no time to load, while a stream
// runs there.
func TestOrdersTreatRunningStreams(t *testing.T) {
	const pace = 100 * time.Millisecond
	for _, c := range []struct {
		mode string
		// waits is set if the engine loads after the stream's end, whole if that is not broken
		// off.
		waits, whole bool
	}{
		{`"wait"`, true, true},
		{`""`, true, true},
		{`"truncate"`, false, false},
		{`"retain"`, false, true},
	} {
		t.Run(c.mode, func(t *testing.T) {
			is := is.New(t)
			e, err := standin.NewPlatformEngine("models-1", "models", "a", "m")
			is.NoErr(err)
			defer e.Close()
			e.Pace(pace)
			resp, err := http.Post("http://"+e.Address()+"/full/a", "", strings.NewReader("body"))
			is.NoErr(err)
			defer func() { _ = resp.Body.Close() }()
			in := bufio.NewReader(resp.Body)
			_, err = in.ReadString('\n') // the stream runs
			is.NoErr(err)
			order, err := http.Post("http://"+e.Address()+"/order", "application/json", strings.NewReader(`{"op":"version","version":2,"switch_mode":`+c.mode+`,"holder":"host-0","fencing_token":1}`))
			is.NoErr(err)
			is.NoErr(order.Body.Close())
			is.Equal(order.StatusCode, http.StatusAccepted)
			awaitLoaded := func() {
				for deadline := time.Now().Add(20 * time.Second); e.Weights() != 2; time.Sleep(time.Millisecond) {
					is.True(time.Now().Before(deadline))
				}
			}
			switch {
			case c.waits:
				is.Equal(e.Weights(), int64(1))
				is.True(e.Loading())
			case c.whole:
				is.Equal(e.Weights(), int64(2))
			default:
				awaitLoaded()
			}
			_, err = io.ReadAll(in)
			is.Equal(err == nil, c.whole)
			awaitLoaded()
		})
	}
}
