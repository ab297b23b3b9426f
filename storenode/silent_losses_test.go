package storenode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// TestSilentEnginesThatEnd guards against requests that are refused since engines ended that
// had never read the requests before them, and has others that had.
func TestSilentEnginesThatEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		// prefill is that of the engines that end; they read the request if it is not 0.
		prefill time.Duration
		status  int
	}{
		{"before they read the request", 0, http.StatusOK},
		{"after they began it", 20 * time.Second, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			const silent, interval, losses = time.Second, 50 * time.Millisecond, 4
			var waiting conc.WaitGroup
			defer waiting.Wait()
			d := newSilentEngines(t, 1, 3, c.prefill, interval)
			for i := range losses {
				e, id := d.engines[i], fmt.Sprint("waits", i)
				if c.prefill == 0 {
					e.Pause()
				}
				caller, answered := d.client(d.hosts[0]), make(chan answer, 1)
				caller.write(http.MethodPost, modelHost, "/full/a", id, withPart("bb"), id)
				waiting.Go(func() { answered <- caller.read() })
				if c.prefill > 0 {
					d.await("the engine runs the request, or it is refused", func() bool { return len(e.Runs()) == 1 || len(answered) == 1 })
					e.Pause()
				}
				time.Sleep(silent)
				e.Kill()
				d.store.Put("keyed.servers", e.Options.ID, nil)
				next := c.prefill
				if i == losses-1 {
					next = 0
				}
				d.startEngine(i+1, 3, next, interval)
				d.await("the next engine is known", func() bool { return d.hosts[0].Knows(d.engines[i+1].Options.ID) && !d.hosts[0].Knows(e.Options.ID) })
			}
			send := func(part string) int {
				id := fmt.Sprint(time.Now().UnixNano())
				return d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", id, withPart(part), id).status
			}
			d.await("the last engine serves others", func() bool { return send("cc") == http.StatusOK })
			d.is.Equal(send("bb"), c.status)
		})
	}
}
