package storenode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRelayedStreamsOutliveStops stops the host that passes a stream on, those that may
// serve it, or all of them: the stream is whole.
func TestRelayedStreamsOutliveStops(t *testing.T) {
	for name, stopped := range map[string][]int{"the first": {0}, "the others": {1, 2}, "all": {0, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, dialer := newCutDeployment(t)
			dialer.set(resetCut)
			d.await("the host passes requests on", func() bool {
				return d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", fmt.Sprint("early", time.Now().UnixNano()), prompt, "body").status == http.StatusOK
			})
			for _, e := range d.engines {
				e.Pace(600 * time.Millisecond)
			}
			stream := d.client(d.hosts[0])
			stream.writeInChunks(modelHost, "/full/a", "s", "4900", "one", "two")
			d.await("the stream runs", func() bool { return d.executions("s") == 1 })
			for _, i := range stopped {
				d.hosts[i].Stop()
			}
			a := stream.read()
			is.Equal(a.body, completeStream())
			is.True(!a.truncated)
			is.Equal(d.executions("s"), 1)
			for _, i := range stopped {
				d.hosts[i].Wait()
			}
		})
	}
}
