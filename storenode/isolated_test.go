package storenode_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestHostThatReachesNoUpstreamRefusesAtOnce ends all upstreams without removing their
// entries, then starts them at their addresses again.
func TestHostThatReachesNoUpstreamRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 4, 0)
	sent := 0
	send := func(h *testHost) answer {
		sent++
		return d.do(h, http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", sent, time.Now().UnixNano()), prompt, "body")
	}
	is.Equal(send(d.hosts[0]).status, http.StatusOK)
	for _, e := range d.engines {
		e.Close()
	}
	for _, h := range d.hosts {
		d.await("the host refuses requests", func() bool { return strings.Contains(send(h).body, "Isolated") })
	}
	refusal := send(d.hosts[0])
	is.Equal(refusal.status, http.StatusServiceUnavailable)
	is.Equal(refusal.header.Get("Retry-After"), "0.300")
	d.await("hosts that are all cut off are in the answers", func() bool { return len(d.addresses(d.hosts[0])) == 2 })
	for _, e := range d.engines {
		again, err := standin.NewPlatformEngineAt(e.Address(), e.ID, e.Service, e.Zone, e.Model)
		is.NoErr(err)
		t.Cleanup(again.Close)
	}
	for _, h := range d.hosts {
		d.await("the host serves again", func() bool { return send(h).status == http.StatusOK })
	}
}
