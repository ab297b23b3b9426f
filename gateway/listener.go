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
	// turnAwayTimeout bounds telling a caller that too many connections are
	// open.
	turnAwayTimeout = 100 * time.Millisecond
	// maxTurnAways bounds the callers that are told at the same time; others
	// are just closed.
	maxTurnAways = 64
	// turnAwayRetry is when a caller that was turned away may come back.
	turnAwayRetry = time.Second
)

// limitedListener bounds the open connections.
type limitedListener struct {
	net.Listener

	wait      *conc.WaitGroup
	most      int64
	idle      time.Duration
	open      atomic.Int64
	turnAways atomic.Int64
}

// newLimitedListener returns a listener that accepts at most as many
// connections at a time. A write that makes no progress for the idle time
// ends its connection.
func newLimitedListener(l net.Listener, wait *conc.WaitGroup, most int, idle time.Duration) *limitedListener {
	return &limitedListener{Listener: l, wait: wait, most: int64(most), idle: idle}
}

// Accept returns the next connection within the bound.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &callerConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.turnAway(conn)
	}
}

// turnAway answers that too many connections are open. It reads what the
// caller sends for a short while, since closing a connection with unread data
// would destroy the answer.
func (l *limitedListener) turnAway(conn net.Conn) {
	if l.turnAways.Add(1) > maxTurnAways {
		l.turnAways.Add(-1)
		_ = conn.Close()
		return
	}
	l.wait.Go(func() {
		defer l.turnAways.Add(-1)
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(turnAwayTimeout))
		// The request was not read: it may be the repeat of one that ran.
		refusal := request.Refuse(request.TooManyOpen, "too many connections are open").WithOutcome(request.Unknown)
		body := encodeFailure(refusal.WithRetryAfter(turnAwayRetry))
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
			retrySeconds(turnAwayRetry), len(body), body)
		if half, ok := conn.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_, _ = io.Copy(io.Discard, conn)
	})
}

// callerConn is a counted connection of a caller.
type callerConn struct {
	net.Conn

	listener *limitedListener
	once     sync.Once
}

// Write writes with a deadline, so that a caller who stops reading can't
// hold a stream for ever.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.listener.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// NetConn returns the connection itself.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection and frees its place.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
