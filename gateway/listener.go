package gateway

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// rejectTimeout bounds the exchange with a rejected caller.
	rejectTimeout = 100 * time.Millisecond
	// maxRejections bounds the concurrent answers to rejected callers. Further
	// connections are closed without an answer.
	maxRejections = 64
	// rejectRetryAfter is the Retry-After time of a rejected caller.
	rejectRetryAfter = time.Second
)

// limitedListener limits the number of open connections.
type limitedListener struct {
	net.Listener

	wait       *conc.WaitGroup
	maxOpen    int64
	idle       time.Duration
	open       atomic.Int64
	rejections atomic.Int64
}

// newLimitedListener returns a listener with at most maxOpen connections open at
// a time. A write that makes no progress for the idle time closes its
// connection.
func newLimitedListener(l net.Listener, wait *conc.WaitGroup, maxOpen int, idle time.Duration) *limitedListener {
	return &limitedListener{Listener: l, wait: wait, maxOpen: int64(maxOpen), idle: idle}
}

// Accept returns the next connection and rejects those above the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.reject(conn)
	}
}

// reject answers that too many connections are open. It reads and discards the
// caller's data for a short time, since closing a connection with unread data
// resets it and the answer would be lost.
func (l *limitedListener) reject(conn net.Conn) {
	if l.rejections.Add(1) > maxRejections {
		l.rejections.Add(-1)
		_ = conn.Close()
		return
	}
	l.wait.Go(func() {
		defer l.rejections.Add(-1)
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(rejectTimeout))
		// The request was not read: it may be a retry of one that was executed.
		refusal := request.Refuse(request.TooManyOpen, "too many connections are open").WithOutcome(request.Unknown)
		body := encodeFailure(refusal.WithRetryAfter(rejectRetryAfter))
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			retrySeconds(rejectRetryAfter), len(body), body)
		if writeCloser, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = writeCloser.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}

// callerConn is a caller's connection that counts against the limit.
type callerConn struct {
	net.Conn

	listener *limitedListener
	once     sync.Once
}

// Write sets a write deadline, so that a caller that stops reading can't block a
// stream forever.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// NetConn returns the underlying connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and frees its slot.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
