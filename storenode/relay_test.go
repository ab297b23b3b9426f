package storenode_test

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRefusalOfRelayedRequestThatMayHaveRunPromisesNothing passes requests on to a host
// that has to refuse them with 503 because it doesn't know whether their route exists:
// the status promises that the request has not run, wherever.
func TestRefusalOfRelayedRequestThatMayHaveRunPromisesNothing(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 1)
	conn, err := net.Dial("tcp4", d.hosts[0].settings.Listen.Relays)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{conn, bufio.NewReader(conn)}
	send := func(id, secret, attempts string) int {
		c.write(http.MethodGet, serviceHost, "/unknown/a", id, map[string]string{"Relay-Secret": secret, "Relay-Attempts": attempts}, "")
		return c.read().status
	}
	is.Equal(send("known", "secret", "0"), http.StatusNotFound)
	unmute := d.store.Mute()
	t.Cleanup(unmute)
	d.await("the host no longer knows", func() bool { return send("stale", "secret", "0") == http.StatusServiceUnavailable })
	is.Equal(send("ran", "secret", "1"), http.StatusBadGateway)
	is.Equal(send("forged", "wrong", "0"), http.StatusForbidden)
}

// TestRelayedStreamThatMayHaveRunIsNotRefused passes on streams that resume one of which
// the host doesn't know what began it.
func TestRelayedStreamThatMayHaveRunIsNotRefused(t *testing.T) {
	is := is.New(t)
	d := newMixedDeployment(t, 1, 1) // with one version, that one began all streams
	conn, err := net.Dial("tcp4", d.hosts[0].settings.Listen.Relays)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &client{conn, bufio.NewReader(conn)}
	send := func(id, attempts string) int {
		headers := map[string]string{"Relay-Secret": "secret", "Relay-Attempts": attempts, "Last-Event-Id": "1", "Resumes": "unknown"}
		maps.Copy(headers, prompt)
		c.write(http.MethodPost, modelHost, "/full/a", id, headers, "body")
		return c.read().status
	}
	is.Equal(send("fresh", "0"), http.StatusServiceUnavailable)
	is.Equal(send("ran", "1"), http.StatusBadGateway)
	is.Equal(d.executions("fresh")+d.executions("ran"), 0)
}

// TestCallerOfRelayedRequestLeaves closes a caller's connection while an engine that only
// another host reaches is silent: its work ends.
func TestCallerOfRelayedRequestLeaves(t *testing.T) {
	d, dialer := newCutDeployment(t)
	dialer.set(resetCut)
	d.await("the host passes requests on", func() bool {
		return d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", fmt.Sprint("early", time.Now().UnixNano()), prompt, "body").status == http.StatusOK
	})
	for _, e := range d.engines {
		e.Fail(standin.SilentFault, 1)
	}
	c := d.client(d.hosts[0])
	c.write(http.MethodPost, modelHost, "/flag/a", "left", prompt, "body")
	d.await("an engine executes it", func() bool { return d.executions("left") == 1 })
	d.is.NoErr(c.conn.Close())
	d.await("the engine's connection is closed", func() bool {
		abandoned := 0
		for _, e := range d.engines {
			abandoned += e.AbandonedRequests()
		}
		return abandoned == 1
	})
	d.is.Equal(d.executions("left"), 1)
}
