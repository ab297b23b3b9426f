package storenode_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
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
