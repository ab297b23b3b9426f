// Package http1 sends requests to upstreams over a pool of HTTP/1.1
// connections.
//
// It never retries; the callers decide what a failed exchange means. A connection
// carries one request at a time, and is reused only if the answer ended where
// its framing said and nothing follows it. A request that a connection has answered
// without serving it, such as a refused one, is never sent on that connection again, nor is
// one that it served lately: an upstream may send its answers more than once, and a copy has
// the id of the request, too.
package http1

import (
	"bufio"
	"context"
	"errors"
	"hash/maphash"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/socket"
)

const (
	// dialTimeout bounds dialing within a region.
	dialTimeout = 400 * time.Millisecond
	// maxSilence is how long the other side may acknowledge neither bytes nor
	// keep-alive probes before the connection is closed. A sound upstream may fall
	// silent for a second or so.
	maxSilence = 3 * time.Second
	// receiveBytes is the size of the kernel's buffer for what a connection receives: it fills
	// when an upstream sends more than callers take.
	receiveBytes = 16 << 10
	// defaultKeepAlive is the idle time limit of a connection if the upstream
	// sends none.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is how long before the upstream's limit a connection is no
	// longer used, since a request must not cross the upstream's close. It is longer
	// than a sound upstream falls silent: one that wakes may first close what was idle
	// for too long.
	keepAliveMargin = 1500 * time.Millisecond
	// undeliveredTime is how long the other side must not have acknowledged a request for
	// it to count as not delivered. Lost packets are sent again sooner.
	undeliveredTime = 500 * time.Millisecond
	// breakMemory is how long the break of a connection to an address is remembered. Requests
	// that were sent before it have ended by then.
	breakMemory = time.Hour
	// acceptTime is how long a new connection that may replace a kept one has to stay open.
	acceptTime = 5 * time.Millisecond
	// sweepInterval is the time between two checks for expired connections.
	sweepInterval = time.Second
	// maxUnserved bounds the requests that a connection remembers to have answered without
	// serving them.
	maxUnserved = 64
	// maxServed is the number of requests that a connection remembers to have served lately.
	// Few are sent again: streams whose end was lost between two hosts.
	maxServed = 8
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4096
)

// decoder decodes the head of an upstream's answer.
type decoder interface {
	DecodeHead(*fasthttp.ResponseHeader) call.Head
}

// dialer opens connections.
type dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Pool keeps idle connections to upstreams.
type Pool struct {
	decoder decoder
	dialer  dialer
	// seed hashes the ids of requests.
	seed maphash.Seed
	// mu guards the fields below.
	mu      sync.Mutex
	idle    map[string][]*conn
	dialled int64
	// unanswered holds the connections whose request has no answer yet.
	unanswered map[*conn]struct{}
	// breaks holds when the other side of an address last ended a connection.
	breaks map[string]clock.Instant
}

// NewDialer returns the dialer of connections to upstreams and other hosts.
func NewDialer() *socket.Dialer {
	return socket.NewDialer(dialTimeout, maxSilence).WithReceiveBytes(receiveBytes)
}

// NewPool returns a pool of connections that a dialer opens; Sweep closes them when
// they expire.
func NewPool(decode decoder, dial dialer) *Pool {
	return &Pool{decoder: decode, dialer: dial, seed: maphash.MakeSeed(), idle: map[string][]*conn{}, unanswered: map[*conn]struct{}{}, breaks: map[string]clock.Instant{}}
}

// Dialled returns the number of connections dialed so far.
func (p *Pool) Dialled() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialled
}

// HasIdle reports whether there is an idle connection to an address.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	return len(list) > 0 && !list[len(list)-1].expired(clock.Now())
}

// Sweep closes expired idle connections until the context ends, then all.
func (p *Pool) Sweep(ctx context.Context) {
	clock.Every(ctx, sweepInterval, func(context.Context) {
		p.closeIdle(func(c *conn) bool { return c.expired(clock.Now()) })
		p.forgetBreaks(clock.Now())
	})
	p.closeIdle(func(*conn) bool { return true })
}

// closeIdle closes the idle connections that match.
func (p *Pool) closeIdle(match func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if match(c) {
				_ = c.Close()
			} else {
				remaining = append(remaining, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = remaining
		}
	}
}

// recordBreak records that an upstream has ended a connection: the others may be dead, too, and
// their ends yet to arrive.
func (p *Pool) recordBreak(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breaks[address] = clock.Now()
}

// clearBreak ends the doubt of the connections to an address.
func (p *Pool) clearBreak(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.breaks, address)
}

// forgetBreaks drops the breaks that matter to no open connection.
func (p *Pool) forgetBreaks(now clock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.breaks, func(_ string, at clock.Instant) bool { return now.Sub(at) > breakMemory })
}

// isDoubted reports whether another connection to the address has broken since the last
// request on this one was sent.
func (p *Pool) isDoubted(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	broke, ok := p.breaks[c.address]
	return ok && !broke.Before(c.sentAt)
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn

	address string
	buffer  *bufio.Reader
	// number identifies the connection within its pool.
	number int64
	// isNew is set until the connection has been idle.
	isNew bool
	// received counts the bytes read from the network, failed is the error that ended
	// the connection.
	received int64
	failed   error
	// maxIdle is how long the connection may be idle, idleSince when it became
	// idle.
	maxIdle   time.Duration
	idleSince clock.Instant
	// sentAt is when the last request was sent, withdrawn is set once it was taken back.
	sentAt    clock.Instant
	withdrawn atomic.Bool
	// unserved holds the requests that were answered here without being served, served the
	// hashes of the ids of those that were served last, of servedCount in all.
	unserved    []unserved
	served      [maxServed]uint64
	servedCount int
}

// unserved is a request that was answered without being served, as by a refusal. It may
// be sent again until its deadline.
type unserved struct {
	// id is the hash of the request's id.
	id       uint64
	deadline time.Time
}

// hasAnswered reports whether the connection carried an answer to a request that may be
// sent again.
func (c *conn) hasAnswered(id uint64) bool {
	return slices.Contains(c.served[:min(c.servedCount, maxServed)], id) || slices.ContainsFunc(c.unserved, func(u unserved) bool { return u.id == id })
}

// addServed records a request that was served, in place of the one that was served first.
func (c *conn) addServed(id uint64) {
	c.served[c.servedCount%maxServed] = id
	c.servedCount++
}

// addUnserved records a request that was answered without being served. It returns false
// if the connection can't remember any more of them.
func (c *conn) addUnserved(u unserved) bool {
	if len(c.unserved) == maxUnserved {
		now := time.Now()
		c.unserved = slices.DeleteFunc(c.unserved, func(u unserved) bool { return !u.deadline.IsZero() && u.deadline.Before(now) })
	}
	if len(c.unserved) == maxUnserved {
		return false
	}
	c.unserved = append(c.unserved, u)
	return true
}

func (c *conn) expired(now clock.Instant) bool { return now.Sub(c.idleSince) > c.maxIdle }

// Read reads from the network.
func (c *conn) Read(b []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(b)
	c.received += int64(n)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failed = err // the socket tells a reset only once
	}
	return n, err
}

// reset closes the connection and drops what the other side has not acknowledged.
func (c *conn) reset() { socket.Reset(c.Conn) }

// isReset reports whether the other side resets a new connection instead of accepting it.
func (c *conn) isReset() bool {
	_ = c.SetReadDeadline(time.Now().Add(acceptTime)) // fails only on a closed connection
	_, err := c.buffer.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	return ResetByUpstream(err)
}

// isUnaccepted reports whether an error means that the upstream has not accepted the connection,
// as one that resets new ones once it has all that it accepts.
func (c *conn) isUnaccepted(err error) bool {
	return c.isNew && c.received == 0 && (ResetByUpstream(err) || errors.Is(err, syscall.EPIPE))
}

// position returns the number of bytes consumed from the read buffer.
func (c *conn) position() int64 { return c.received - int64(c.buffer.Buffered()) }

// isReusable reports whether an idle connection is open and has received no data
// that belongs to no request.
func (c *conn) isReusable() bool {
	if c.buffer.Buffered() > 0 {
		return false
	}
	_, err := c.peekReceived(make([]byte, 1))
	return errors.Is(err, unix.EAGAIN)
}

// peekReceived copies bytes that were received and not read yet, without waiting for any.
func (c *conn) peekReceived(b []byte) (int, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var receiveErr error
	err = raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return max(n, 0), errors.Join(err, receiveErr)
}

// pending returns up to a number of bytes that follow what was read.
func (c *conn) pending(limit int) []byte {
	buffered, _ := c.buffer.Peek(min(c.buffer.Buffered(), limit)) // no more than is buffered
	pending := append(make([]byte, 0, limit), buffered...)
	n, _ := c.peekReceived(pending[len(pending):limit]) // an error means that there are none
	return pending[:len(pending)+n]
}

// acquire returns a connection to an address for a request: an idle one that is reusable
// and has not answered it yet, or else a new one. An idle one in doubt is used only if the
// address neither accepts nor refuses a new one.
func (p *Pool) acquire(ctx context.Context, address string, id uint64) (*conn, error) {
	kept := p.takeReusable(address, id)
	if kept != nil && !p.isDoubted(kept) {
		return kept, nil
	}
	c, err := p.dial(ctx, address)
	if kept == nil {
		return c, err
	}
	switch {
	case err == nil && c.isReset():
		_ = c.Close()
		p.clearBreak(address) // the upstream lives, and has all the connections that it accepts
	case err == nil || errors.Is(err, ErrRefused) || ctx.Err() != nil:
		_ = kept.Close()
		return c, err
	}
	return kept, nil
}

// takeReusable removes and returns an idle connection that is reusable and has not answered a
// request yet, or nil.
func (p *Pool) takeReusable(address string, id uint64) *conn {
	now := clock.Now()
	for {
		c := p.takeIdle(address, id)
		if c == nil || !c.expired(now) && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, errors.Join(ErrRefused, trace.ConnectionProblem(err, "connecting to %s", address))
	case err != nil:
		return nil, trace.ConnectionProblem(err, "connecting to %s", address)
	}
	p.mu.Lock()
	p.dialled++
	c := &conn{Conn: raw, address: address, number: p.dialled, isNew: true}
	p.mu.Unlock()
	c.buffer = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Probe checks whether an address accepts connections.
func (p *Pool) Probe(ctx context.Context, address string) error {
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return trace.ConnectionProblem(err, "connecting to %s", address)
	}
	return raw.Close()
}

// takeIdle removes and returns the most recently used idle connection that has not
// answered a request, or nil.
func (p *Pool) takeIdle(address string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.hasAnswered(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Withdraw resets the connections to an address whose request has yet to arrive, so
// that it doesn't arrive later, and returns their number.
func (p *Pool) Withdraw(address string) int {
	now := clock.Now()
	count := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.unanswered {
		if c.address == address && now.Sub(c.sentAt) >= undeliveredTime && c.hasUnacknowledged() {
			c.withdrawn.Store(true)
			c.reset()
			count++
		}
	}
	return count
}

// awaitAnswer records whether the connection's request awaits its answer.
func (p *Pool) awaitAnswer(c *conn, awaits bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !awaits {
		delete(p.unanswered, c)
		return
	}
	c.sentAt = clock.Now()
	p.unanswered[c] = struct{}{}
}

// hasUnacknowledged reports whether the other side has yet to acknowledge some bytes.
func (c *conn) hasUnacknowledged() bool { return socket.HasUnacknowledged(c.Conn.(syscall.Conn)) }

// putIdle puts a connection into the pool, or closes it if it would expire
// immediately.
func (p *Pool) putIdle(c *conn, keepAlive time.Duration) {
	c.maxIdle = defaultKeepAlive
	if keepAlive > 0 {
		c.maxIdle = keepAlive
	}
	c.maxIdle -= keepAliveMargin
	c.idleSince, c.isNew = clock.Now(), false
	if c.maxIdle <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}
