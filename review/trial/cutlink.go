package main

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// cutTime is how long the link is cut; srv_cut lasts 5 s by default.
	cutTime = 4 * time.Second
	// retransmissionTime is the least retransmission timeout of TCP on Linux; each
	// further one is twice as long.
	retransmissionTime = 200 * time.Millisecond
)

// link is the path between the hosts and an engine. It is cut once when the first
// order is on its way. As with TCP, what a sender has written and not reset is sent
// again at its retransmission timeouts, and connections that are opened during the cut
// reach nobody.
type link struct {
	*trial

	listener net.Listener
	target   string
	// mu guards the fields below.
	mu    sync.Mutex
	cutAt time.Time
}

// newLink starts a link to an address.
func newLink(t *trial, target string) (*link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{trial: t, listener: listener, target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// healedAt returns when the link works again; the zero time if it was never cut.
func (l *link) healedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutAt.IsZero() {
		return time.Time{}
	}
	return l.cutAt.Add(cutTime)
}

// isCut reports whether the link is cut now.
func (l *link) isCut() bool { return time.Now().Before(l.healedAt()) }

// cutOnOrder cuts the link if bytes hold the first order.
func (l *link) cutOnOrder(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.disrupted || !l.cutAt.IsZero() || !bytes.HasPrefix(b, []byte("POST /order ")) {
		return
	}
	l.cutAt = time.Now()
	l.logf("the link to the engine is cut for %s while an order is on its way", cutTime)
}

// serve passes one connection on.
func (l *link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if l.isCut() {
		_, _ = io.Copy(io.Discard, c) // its first packet reaches nobody
		return
	}
	s, err := net.Dial("tcp4", l.target)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() {
		defer func() { _ = c.Close() }()
		l.pass(c, s)
	}()
	l.pass(s, c)
}

// pass copies bytes in one direction, and holds them back while the link is cut.
func (l *link) pass(to io.Writer, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.cutOnOrder(buffer[:n])
			if l.isCut() && !l.awaitRetransmission(from) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitRetransmission waits until the sender's first retransmission after the cut. It
// returns false if the sender has reset the connection by then: nothing is sent again.
func (l *link) awaitRetransmission(from net.Conn) bool {
	wait, timeout := retransmissionTime, retransmissionTime
	written := time.Now()
	for written.Add(wait).Before(l.healedAt()) {
		timeout *= 2
		wait += timeout
	}
	_ = from.SetReadDeadline(written.Add(wait))
	var next [1]byte
	n, err := from.Read(next[:])
	_ = from.SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, io.EOF) && !isTimeout(err) {
		l.logf("the sender has reset a connection: its bytes are lost")
		return false
	}
	if n > 0 {
		return false // more bytes behind the held ones; not used here
	}
	time.Sleep(time.Until(written.Add(wait)))
	l.logf("bytes that were held back arrive, %.1f s after they were written; closed by their sender: %v", time.Since(written).Seconds(), errors.Is(err, io.EOF))
	return true
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
