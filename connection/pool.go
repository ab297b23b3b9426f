package connection

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/clock"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewOnce returns a transport that uses each connection for one call.
func NewOnce(d Dial) *http.Transport {
	return &http.Transport{
		DialContext: d, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}

// cutMemory is how long a pool remembers that a connection to a server was cut. Calls that
// began before it have ended by then.
const cutMemory = time.Hour

// Transport carries the calls of one connection at a time.
type Transport struct {
	*http.Transport

	// created is when it had no connection yet.
	created clock.Instant
}

// Pool holds idle connections to servers. A connection belongs to one call, which decides
// whether another may have it. A pool of net/http decides before its caller sees an answer
// without a body.
type Pool struct {
	dial Dial
	// maxIdle is the number of idle connections to a server, idleTimeout how long they stay open.
	maxIdle     int
	idleTimeout time.Duration
	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the connections that no call uses, the last one used last. sweepAt is when
	// those are dropped that the server or the transport has closed meanwhile.
	idle    map[server][]idleConnection
	sweepAt clock.Instant
	// cuts holds when a connection to a server was last cut. Those that were open then may
	// have been, too.
	cuts map[server]clock.Instant
}

// idleConnection is a transport that may have a connection until some time.
type idleConnection struct {
	transport *Transport
	until     clock.Instant
}

// NewPool returns a pool of at most maxIdle idle connections to each server.
func NewPool(d Dial, maxIdle int, idleTimeout time.Duration) *Pool {
	return &Pool{dial: d, maxIdle: maxIdle, idleTimeout: idleTimeout, idle: map[server][]idleConnection{}, cuts: map[server]clock.Instant{}}
}

// Take returns a transport with an idle connection to an address, if there is one, for one
// call. Unless it is put back, its connection must be closed with CloseIdleConnections.
func (p *Pool) Take(address string) *Transport { return p.take(server{address: address}) }

// Put makes the connection of a transport that was taken idle, in place of the oldest one if
// there are too many.
func (p *Pool) Put(address string, t *Transport) { p.put(server{address: address}, t) }

// DropAll closes the idle connections to an address, and those in use once they are put back,
// since one to it was cut: the others may be dead, too, without having shown it yet.
func (p *Pool) DropAll(address string) {
	s := server{address: address}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cuts[s] = clock.Now()
	for _, c := range p.idle[s] {
		c.transport.CloseIdleConnections()
	}
	delete(p.idle, s)
}

// newTransport returns a transport for one connection.
func (p *Pool) newTransport() *Transport {
	return &Transport{created: clock.Now(), Transport: &http.Transport{
		DialContext: p.dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: p.idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}}
}

func (p *Pool) take(s server) *Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[s]
	if len(idle) == 0 {
		return p.newTransport()
	}
	last := len(idle) - 1
	p.setIdleLocked(s, idle[:last])
	return idle[last].transport
}

func (p *Pool) put(s server, t *Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if !now.Before(p.sweepAt) {
		p.sweepAt = now.Add(p.idleTimeout)
		for other, idle := range p.idle {
			p.setIdleLocked(other, closeExpired(idle, now))
		}
		maps.DeleteFunc(p.cuts, func(_ server, cut clock.Instant) bool { return now.Sub(cut) > cutMemory })
	}
	if cut, ok := p.cuts[s]; ok && !cut.Before(t.created) {
		t.CloseIdleConnections()
		return
	}
	idle := append(p.idle[s], idleConnection{t, now.Add(p.idleTimeout)})
	if len(idle) > p.maxIdle {
		idle[0].transport.CloseIdleConnections()
		idle = idle[1:]
	}
	p.setIdleLocked(s, idle)
}

// setIdleLocked sets the idle connections to a server. The caller holds mu.
func (p *Pool) setIdleLocked(s server, idle []idleConnection) {
	if len(idle) == 0 {
		delete(p.idle, s)
		return
	}
	p.idle[s] = idle
}

// closeExpired closes the connections that are idle for too long and returns the others. The
// connections are in the order of their times.
func closeExpired(idle []idleConnection, now clock.Instant) []idleConnection {
	for len(idle) > 0 && !now.Before(idle[0].until) {
		idle[0].transport.CloseIdleConnections()
		idle = idle[1:]
	}
	return idle
}
