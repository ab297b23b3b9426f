// Package http1 carries requests to upstreams over HTTP/1.1 connections
// that it keeps between requests.
//
// It never sends anything twice: what a failed exchange means is decided by
// its callers. One connection carries one request at a time, and is kept only
// if the answer ended where its framing said and nothing follows it.
package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// dialTimeout bounds making a connection within a region.
	dialTimeout = 400 * time.Millisecond
	// silence ends a connection whose sent bytes get no acknowledgement.
	silence = 3 * time.Second
	// defaultIdle is how long a connection is kept whose upstream does not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the upstream's limit a connection is no
	// longer used, since a request must not cross its close.
	idleMargin = time.Second
	// sweepInterval is the time between two looks for old idle connections.
	sweepInterval = time.Second
	// readBytes is the size of a connection's read buffer.
	readBytes = 4096
)

// decoder reads the head of an upstream's answer.
type decoder interface {
	DecodeHead(*fasthttp.ResponseHeader) call.Head
}

// Pool keeps idle connections to upstreams.
type Pool struct {
	decoder decoder
	// mu guards idle and dialled.
	mu      sync.Mutex
	idle    map[string][]*conn
	dialled int64
}

// NewPool returns a pool; Sweep ends its connections when they get old.
func NewPool(d decoder) *Pool {
	return &Pool{decoder: d, idle: map[string][]*conn{}}
}

// Dialled returns how many connections were made.
func (p *Pool) Dialled() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// Idle tells whether a connection to an address waits for a request.
func (p *Pool) Idle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	return len(list) > 0 && !list[len(list)-1].old(clock.Now())
}

// Sweep closes old idle connections until the context ends, then all.
func (p *Pool) Sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(context.Context) {
		p.drop(func(c *conn) bool { return c.old(clock.Now()) })
	})
	p.drop(func(*conn) bool { return true })
}

// drop closes the idle connections that match.
func (p *Pool) drop(match func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if match(c) {
				_ = c.Close()
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn

	address string
	in      *bufio.Reader
	// arrived counts bytes that were read from the network.
	arrived int64
	// keep is how long the connection may be idle, since is when that began.
	keep  time.Duration
	since clock.Instant
}

func (c *conn) old(now clock.Instant) bool { return now.Sub(c.since) > c.keep }

// Read reads from the network.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.arrived += int64(n)
	return n, err
}

// position returns how many bytes were taken from the read buffer.
func (c *conn) position() int64 { return c.arrived - int64(c.in.Buffered()) }

// quiet tells whether an idle connection is open and nothing has arrived that
// belongs to no request.
func (c *conn) quiet() bool {
	if c.in.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// open returns a connection to an address: an idle one that is sound, else a
// new one.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	now := clock.Now()
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if !c.old(now) && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: limitSilence}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, errors.Join(ErrRefused, trace.ConnectionProblem(err, "connecting to %s", address))
	case err != nil:
		return nil, trace.ConnectionProblem(err, "connecting to %s", address)
	}
	p.mu.Lock()
	p.dialled++
	p.mu.Unlock()
	c := &conn{Conn: raw, address: address}
	c.in = bufio.NewReaderSize(c, readBytes)
	return c, nil
}

// limitSilence makes the kernel end connections to hosts that have vanished.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// take returns the idle connection that was used last, or nil.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// give keeps a connection for the next request.
func (p *Pool) give(c *conn, keepAlive time.Duration) {
	c.keep = defaultIdle
	if keepAlive > 0 {
		c.keep = keepAlive
	}
	c.keep -= idleMargin
	c.since = clock.Now()
	if c.keep <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}
