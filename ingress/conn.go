package ingress

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/disconnect"
)

// lingerTime is how long a client may take to read the end of an answer.
const lingerTime = time.Second

// lateTime is how long bytes are awaited once more whose time has passed: the process may
// have stood still while they arrived.
const lateTime = 200 * time.Millisecond

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// Conn is a client's connection. The operators' limit may extend its wait for the
// next request; the library sets one limit for all connections, before it waits.
type Conn struct {
	*net.TCPConn

	listener *Listener
	// caller is the address of the client.
	caller string
	// reading is the body that is being read, nil if there is none. Only the reader of the
	// connection uses it.
	reading *Body
	// window is the size of the kernel's buffer while it is wider than the listener's, else 0.
	// The body of the request in progress uses it.
	window int
	// mu guards the fields below.
	mu sync.Mutex
	// open is set from the first byte of a request to the last one of its answer.
	open bool
	// kept is set while the next request of several is awaited, since and until are when
	// that began and is to end.
	kept         bool
	since, until time.Time
	// readAt is when a part of a request was last read.
	readAt time.Time
	// whole is when a request has to have arrived; late is set once bytes were awaited after
	// that or after the operators' limit.
	whole time.Time
	late  bool
	// endsIdle is set once the connection ends unless a request arrives, overdue once a
	// request that is still arriving is refused, displaced if that makes room for others.
	endsIdle, overdue, displaced bool
	// request is the request while open is set.
	request OpenRequest
	// writing is when the write in progress began; zero if there is none. untaken is set once
	// the connection ends since its client doesn't take an answer.
	writing time.Time
	untaken bool
	// ending tells how the connection ends.
	ending ending
}

// Request returns the request of the connection, if there is one.
func (c *Conn) Request() (OpenRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request, c.open
}

// begin records that a part of a request has been read.
func (c *Conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAt = time.Now()
	if !c.open {
		c.open, c.kept, c.late, c.request, c.ending = true, false, false, OpenRequest{Began: clock.Now()}, ending{}
	}
}

// end records that the answer to a request has been written.
func (c *Conn) end() {
	c.releaseAnswer()
	c.recordEnding() // the client may have left before its answer
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.kept, c.overdue, c.since, c.request = false, true, false, time.Now(), OpenRequest{}
}

// releaseAnswer tells that the answer of the request has been taken, or won't be.
func (c *Conn) releaseAnswer() {
	var taken func()
	c.Update(func(r *OpenRequest) { taken, r.Taken = r.Taken, nil })
	if taken != nil {
		taken()
	}
}

// standingState tells what a connection waits for.
type standingState int

const (
	// standsNot means that a request is handled.
	standsNot standingState = iota
	// standsIdle means that nothing of the next request has arrived.
	standsIdle
	// standsArriving means that a part of a request has arrived.
	standsArriving
	// standsUnread means that the client does not read its answer.
	standsUnread
	// standsEnding means that the connection is ending.
	standsEnding
)

// standing returns what the connection waits for from its client, and since when.
func (c *Conn) standing() (time.Time, standingState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.endsIdle && !c.open, c.overdue, c.untaken:
		return time.Time{}, standsEnding
	case !c.writing.IsZero():
		return c.writing, standsUnread
	case c.request.Written:
		return c.readAt, standsEnding
	case c.request.Whole:
		return time.Time{}, standsNot
	case c.open:
		return c.readAt, standsArriving
	}
	return c.since, standsIdle
}

// awaitMore allows some time for the next bytes of a request.
func (c *Conn) awaitMore() {
	timeout := c.listener.HeaderTimeout()
	c.mu.Lock()
	defer c.mu.Unlock()
	if timeout > 0 && !c.overdue {
		_ = c.TCPConn.SetReadDeadline(earliest(c.whole, time.Now().Add(timeout))) // fails only on a closed connection
	}
}

// displace makes room for another client: it refuses the request, unless it has arrived, as
// soon as that is noticed.
func (c *Conn) displace() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.displaced = c.refuseArriving()
}

// refuseArriving refuses the request if it is still arriving. The caller holds the mutex.
func (c *Conn) refuseArriving() bool {
	if !c.open || c.request.Whole || c.request.ID != "" {
		return false
	}
	c.overdue = true
	_ = c.TCPConn.SetReadDeadline(longAgo) // fails only on a closed connection
	return true
}

// endAnswer ends the connection if its client still does not take an answer.
func (c *Conn) endAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writing.IsZero() {
		c.untaken = true
		_ = c.TCPConn.SetWriteDeadline(longAgo) // fails only on a closed connection
	}
}

// endUnread ends the connection unless a part of a request has been read. A read that is
// in progress either returns such a part or fails, so that nothing that was read is lost.
func (c *Conn) endUnread() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsIdle = true
	if !c.open {
		_ = c.TCPConn.SetReadDeadline(longAgo) // fails only on a closed connection
	}
}

// Refuse refuses the request: one that is still arriving as soon as that is noticed, one
// that is handled by the end of its context.
func (c *Conn) Refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.request.Cancel != nil {
		c.request.Cancel(call.ErrStopping)
		return
	}
	c.refuseArriving()
}

// Cut ends all work on the request.
func (c *Conn) Cut() {
	if r, _ := c.Request(); r.Abort != nil {
		r.Abort()
	}
}

// Update changes the request of the connection.
func (c *Conn) Update(change func(*OpenRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.request)
}

// RecordState is told the state of a connection by the library.
func RecordState(c net.Conn, s fasthttp.ConnState) {
	own, ok := c.(*Conn)
	switch {
	case !ok:
	case s == fasthttp.StateIdle:
		own.end()
	case s == fasthttp.StateActive:
		own.begin()
	}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.TCPConn }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	longest, timeout := c.listener.idleLimits.longest(), c.listener.HeaderTimeout()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.overdue || c.endsIdle && !c.open:
		t = longAgo
	case c.kept:
		c.since = time.Now()
		c.until = latest(t, c.since.Add(longest))
		t = c.until
	case c.open:
		c.whole = t
		if timeout > 0 {
			t = earliest(t, time.Now().Add(timeout))
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		if c.reading != nil {
			c.reading.beforeRead()
		}
		n, err := c.TCPConn.Read(b)
		if n > 0 {
			c.begin()
			if c.reading != nil {
				c.reading.afterRead()
			}
		}
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.recordRead(err)
			return n, err
		case c.endsUnread():
			return 0, net.ErrClosed // the library closes it without an answer
		case !c.extend() && !c.awaitLate():
			return n, err
		}
	}
}

// recordRead records how a read ended.
func (c *Conn) recordRead(err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending.noteRead(err)
}

// awaitLate awaits once more the bytes of a request whose time has passed.
func (c *Conn) awaitLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.late || c.overdue || !c.open || c.request.ID != "" {
		return false
	}
	c.late = true
	return c.TCPConn.SetReadDeadline(time.Now().Add(lateTime)) == nil
}

// endsUnread reports whether the connection ends before a request.
func (c *Conn) endsUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endsIdle && !c.open
}

// extend extends the wait for the next request if the limit has grown meanwhile.
func (c *Conn) extend() bool {
	longest := c.listener.idleLimits.longest()
	c.mu.Lock()
	defer c.mu.Unlock()
	until := c.since.Add(longest)
	if c.endsIdle || !c.kept || !until.After(c.until) {
		return false
	}
	c.until = until
	return c.TCPConn.SetReadDeadline(until) == nil
}

// maxWriteBytes bounds a write, so that a client that takes an answer slowly differs from
// one that doesn't take it.
const maxWriteBytes = 64 << 10

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		piece := b[written:min(len(b), written+maxWriteBytes)]
		if err := c.beginWrite(); err != nil {
			return written, err
		}
		n, err := c.TCPConn.Write(piece)
		c.endWrite(piece[:n], err)
		if written += n; err != nil || written == len(b) {
			return written, err
		}
	}
}

// beginWrite records that a write begins.
func (c *Conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Now()
	if timeout := c.listener.WriteTimeout; timeout > 0 && !c.untaken {
		return c.TCPConn.SetWriteDeadline(c.writing.Add(timeout))
	}
	return nil
}

// endWrite records that a write has ended.
func (c *Conn) endWrite(written []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Time{}
	c.ending.noteWrite(written, err)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.untaken {
		return nil
	}
	return c.TCPConn.SetWriteDeadline(t)
}

// lingerTime returns for how long the connection may outlast its answer.
func (c *Conn) lingerTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.request.Written || c.untaken:
		return 0
	case c.displaced:
		return refusalTimeout
	}
	return lingerTime
}

// Close implements net.Conn. A close resets a connection that holds unread bytes, and with
// it the part of an answer that is on its way; so the client gets some time to take that.
func (c *Conn) Close() error {
	c.releaseAnswer()
	linger := c.lingerTime()
	c.recordEnding()
	if linger > 0 {
		disconnect.Linger(c.TCPConn, linger)
	}
	defer c.listener.remove(c)
	return c.TCPConn.Close()
}
