package storenode_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cut is how a host loses its upstreams.
type cut int

const (
	// noCut means that the host reaches them.
	noCut cut = iota
	// hangCut lets open connections fall silent and new ones hang.
	hangCut
	// resetCut resets open connections and refuses new ones.
	resetCut
	// refuseCut refuses new connections only.
	refuseCut
	// lateCut lets what arrives be read only when the host ends the connection.
	lateCut
)

// cutDialTimeout is how long a new connection hangs.
const cutDialTimeout = 400 * time.Millisecond

// cutDialer opens a host's connections to upstreams until they are cut.
type cutDialer struct {
	// relayPort is the port of other hosts, which are not cut.
	relayPort string
	// relaysTo, if set, is the address to which connections to other hosts go instead.
	relaysTo atomic.Value
	// mu guards the fields below.
	mu           sync.Mutex
	cut          cut
	conns        []*cutConn
	relays       []net.Conn
	relaysOpened int
}

// resetRelays resets the connections to other hosts and returns how many were opened
// until then.
func (d *cutDialer) resetRelays() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.relays {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	d.relays = nil
	return d.relaysOpened
}

// cutConn is one of these connections.
type cutConn struct {
	*net.TCPConn

	dialer *cutDialer
	// ending is closed when the host ends the connection.
	ending chan struct{}
	once   sync.Once
	// reading is held during a read.
	reading sync.Mutex
}

func (d *cutDialer) state() cut {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut
}

// set cuts the connections, or heals them. A connection that has fallen silent stays
// silent.
func (d *cutDialer) set(c cut) {
	for _, c := range d.setState(c) {
		_ = c.SetLinger(0)
		_ = c.Close() // asks for the state
	}
}

// setState sets the state and returns the connections to reset.
func (d *cutDialer) setState(c cut) []*cutConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = c
	if c != resetCut {
		return nil
	}
	conns := d.conns
	d.conns = nil
	return conns
}

func (d *cutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if _, port, _ := net.SplitHostPort(address); port == d.relayPort {
		if to, ok := d.relaysTo.Load().(string); ok {
			address = to
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		d.mu.Lock()
		defer d.mu.Unlock()
		if err == nil {
			d.relays = append(d.relays, c)
			d.relaysOpened++
		}
		return c, err
	}
	switch d.state() {
	case hangCut:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(cutDialTimeout):
			return nil, os.ErrDeadlineExceeded
		}
	case resetCut, refuseCut:
		return nil, syscall.ECONNREFUSED
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &cutConn{TCPConn: raw.(*net.TCPConn), dialer: d, ending: make(chan struct{})}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, c)
	return c, nil
}

func (c *cutConn) Read(b []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.dialer.state() == lateCut {
		<-c.ending
		_ = c.SetReadDeadline(time.Now().Add(pollInterval)) // Close waits for the read
	}
	for {
		n, err := c.TCPConn.Read(b)
		if err != nil || c.dialer.state() != hangCut {
			return n, err
		}
	}
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.ending) })
	if c.dialer.state() == lateCut {
		c.reading.Lock()
		defer c.reading.Unlock()
	}
	return c.TCPConn.Close()
}

func (c *cutConn) Write(b []byte) (int, error) {
	if c.dialer.state() == hangCut {
		return len(b), nil
	}
	return c.TCPConn.Write(b)
}

// newCutDeployment starts three hosts; the first opens its connections to upstreams
// with the returned dialer.
func newCutDeployment(t *testing.T) (*deployment, *cutDialer) {
	t.Helper()
	d := newDeployment(t, 0, 3, 2)
	dialer := &cutDialer{}
	d.dialers = map[int]*cutDialer{0: dialer}
	for i := range 3 {
		d.host(i)
	}
	dialer.relayPort = d.relayPort
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	d.await("the host knows that the others are ready", func() bool { return len(d.addresses(d.hosts[0])) == 3 })
	return d, dialer
}

// TestFailureDomainCutFromUpstreams cuts all hosts of a failure domain from all
// upstreams. Their callers must be served by way of the other failure domain, also
// with many requests at a time.
func TestFailureDomainCutFromUpstreams(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 3, 2)
	d.southFrom = 2
	d.dialers = map[int]*cutDialer{0: {}, 1: {}}
	for i := range 3 {
		d.host(i)
	}
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	send := func(h *testHost, id string) int {
		return d.do(h, http.MethodPost, serviceHost, "/post/a", id, nil, "body").status
	}
	for _, dialer := range d.dialers {
		dialer.relayPort = d.relayPort
		dialer.set(hangCut)
	}
	for i, h := range d.hosts {
		serial := 0
		d.await("the host serves its callers", func() bool {
			serial++
			return send(h, fmt.Sprint("early", i, serial)) == http.StatusOK
		})
	}
	var wait sync.WaitGroup
	for i, h := range d.hosts {
		for j := range 10 {
			wait.Go(func() {
				id := fmt.Sprint("cut", i, j)
				is.Equal(send(h, id), http.StatusOK)
				is.Equal(d.executions(id), 1)
			})
		}
	}
	wait.Wait()
}

// TestRelaysPassHostsOfEarlierPrograms cuts a host from all upstreams while only one of
// the others takes relayed requests.
func TestRelaysPassHostsOfEarlierPrograms(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 1, 2)
	dialer := &cutDialer{}
	d.dialers, d.withoutRelays = map[int]*cutDialer{0: dialer}, map[int]bool{1: true, 2: true, 3: true}
	for i := range 5 {
		d.host(i)
	}
	dialer.relayPort = d.relayPort
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	d.await("the host knows that the others are ready", func() bool { return len(d.addresses(d.hosts[0])) == 5 })
	serial := 0
	send := func() int {
		serial++
		return d.do(d.hosts[0], http.MethodPost, serviceHost, "/post/a", fmt.Sprint("r", serial), nil, "body").status
	}
	d.await("requests are served before the cut", func() bool { return send() == http.StatusOK })
	dialer.set(resetCut)
	d.await("the host has noticed", func() bool { return send() == http.StatusOK })
	for range 40 {
		is.Equal(send(), http.StatusOK)
		time.Sleep(100 * time.Millisecond) // refused hosts are asked again after a second
	}
}

// TestNewConnectionsFailWhileOldOnesLiveOn refuses the new connections of one host.
// More requests at a time than it has open connections must be served, by one run each.
func TestNewConnectionsFailWhileOldOnesLiveOn(t *testing.T) {
	is := is.New(t)
	d, dialer := newCutDeployment(t)
	is.Equal(d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", "first", prompt, "body").status, http.StatusOK)
	for _, e := range d.engines {
		e.Pace(100 * time.Millisecond)
	}
	dialer.set(refuseCut)
	var clients []*client
	for i := range 12 {
		c := d.client(d.hosts[0])
		c.write(http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", i), prompt, "body")
		clients = append(clients, c)
	}
	for i, c := range clients {
		a := c.read()
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, completeStream())
		is.Equal(d.executions(fmt.Sprint("s", i)), 1)
	}
}

// TestRelayedStreamsOutliveTheirConnections breaks the connections to the hosts that
// serve the callers of a host that is cut from all upstreams. Streams that may be
// resumed must end whole, others must not run again.
func TestRelayedStreamsOutliveTheirConnections(t *testing.T) {
	is := is.New(t)
	d, dialer := newCutDeployment(t)
	dialer.set(resetCut)
	d.await("the host passes requests on", func() bool {
		return d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", fmt.Sprint("early", time.Now().UnixNano()), prompt, "body").status == http.StatusOK
	})
	for _, e := range d.engines {
		e.Pace(200 * time.Millisecond)
	}
	var clients []*client
	ids := []string{"s0", "s1", "s2", "s3"}
	for _, id := range ids {
		for path, prefix := range map[string]string{"/full/a": "full", "/flag/a": "flag"} {
			c := d.client(d.hosts[0])
			c.write(http.MethodPost, modelHost, path, prefix+id, prompt, "body")
			if prefix == "full" {
				clients = append(clients, c)
			}
		}
	}
	for _, id := range ids {
		d.await("the streams run", func() bool { return d.executions("full"+id) == 1 && d.executions("flag"+id) == 1 })
	}
	opened := dialer.resetRelays()
	for _, c := range clients {
		a := c.read()
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, completeStream())
		is.True(!a.truncated)
	}
	is.True(dialer.resetRelays() > opened) // the streams went on over new connections
	for _, id := range ids {
		is.Equal(d.executions("flag"+id), 1)
	}
}

// TestHostCutFromUpstreamsServesItsCallers cuts one host from all upstreams. Once it
// has noticed, its callers' first tries must be served, each by one run.
func TestHostCutFromUpstreamsServesItsCallers(t *testing.T) {
	for name, c := range map[string]cut{"hung": hangCut, "reset": resetCut, "old connections live on": refuseCut} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, dialer := newCutDeployment(t)
			serial := 0
			sendAll := func(prefix string) (ids []string, statuses []int) {
				for _, r := range []struct {
					method, host, path string
					headers            map[string]string
				}{
					{http.MethodPost, modelHost, "/full/a", prompt},
					{http.MethodPost, modelHost, "/flag/a", prompt},
					{http.MethodPost, serviceHost, "/post/a", nil},
					{http.MethodGet, serviceHost, "/read/a", nil},
				} {
					serial++
					id := fmt.Sprint(prefix, serial)
					body := "body"
					if r.method == http.MethodGet {
						body = ""
					}
					ids, statuses = append(ids, id), append(statuses, d.do(d.hosts[0], r.method, r.host, r.path, id, r.headers, body).status)
				}
				return ids, statuses
			}
			served := []int{http.StatusOK, http.StatusOK, http.StatusOK, http.StatusOK}
			d.await("all kinds of requests are served before the cut", func() bool {
				_, statuses := sendAll("before")
				return fmt.Sprint(statuses) == fmt.Sprint(served)
			})
			dialer.set(c)
			d.await("the host has noticed", func() bool {
				_, statuses := sendAll("early")
				return fmt.Sprint(statuses) == fmt.Sprint(served)
			})
			for range 10 {
				ids, statuses := sendAll("cut")
				is.Equal(statuses, served) // at the first try
				for _, id := range ids {
					is.Equal(d.executions(id), 1)
				}
			}
			dialer.set(noCut)
			d.await("the host serves them itself again", func() bool {
				_, statuses := sendAll("after")
				return fmt.Sprint(statuses) == fmt.Sprint(served)
			})
		})
	}
}
