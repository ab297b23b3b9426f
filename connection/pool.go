package connection

import (
	"context"
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
}

// idleConnection is a transport that may have a connection until some time.
type idleConnection struct {
	transport *http.Transport
	until     clock.Instant
}

// NewPool returns a pool of at most maxIdle idle connections to each server.
func NewPool(d Dial, maxIdle int, idleTimeout time.Duration) *Pool {
	return &Pool{dial: d, maxIdle: maxIdle, idleTimeout: idleTimeout, idle: map[server][]idleConnection{}}
}

// Take returns a transport with an idle connection to an address, if there is one, for one
// call. Unless it is put back, its connection must be closed with CloseIdleConnections.
func (p *Pool) Take(address string) *http.Transport { return p.take(server{address: address}) }

// Put makes the connection of a transport that was taken idle, in place of the oldest one if
// there are too many.
func (p *Pool) Put(address string, t *http.Transport) { p.put(server{address: address}, t) }

// newTransport returns a transport for one connection.
func (p *Pool) newTransport() *http.Transport {
	return &http.Transport{
		DialContext: p.dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: p.idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}

func (p *Pool) take(s server) *http.Transport {
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

func (p *Pool) put(s server, t *http.Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	if !now.Before(p.sweepAt) {
		p.sweepAt = now.Add(p.idleTimeout)
		for other, idle := range p.idle {
			p.setIdleLocked(other, closeExpired(idle, now))
		}
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
