package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// cutTime is how long the link is cut; srv_cut lasts 5 s by default.
	cutTime = 3500 * time.Millisecond
	// retransmissionTime is the least retransmission timeout of TCP on Linux; each
	// further one is twice as long.
	retransmissionTime = 200 * time.Millisecond
)

// link is the path between the hosts and an engine. It is cut once, when the first
// order is on its way, for the host that sent the order; the others still use it. As
// with TCP, what a sender has written and not reset is sent again at its retransmission
// timeouts, and connections that are opened during the cut reach nobody.
type link struct {
	*trial

	listener net.Listener
	target   string
	// mu guards the fields below.
	mu sync.Mutex
	// hosts are the hosts that may use the link.
	hosts []*host
	cutAt time.Time
	// cutOff is the host for which the link is cut.
	cutOff *host
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

// setHosts sets the hosts that may use the link.
func (l *link) setHosts(hosts []*host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts = hosts
}

// isCut reports whether the link is cut for a host now.
func (l *link) isCut(h *host) bool {
	healed := l.healedAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	return h != nil && h == l.cutOff && time.Now().Before(healed)
}

// cutOnOrder cuts the link for a host if bytes hold the first order.
func (l *link) cutOnOrder(h *host, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.disrupted || h == nil || !l.cutAt.IsZero() || !bytes.HasPrefix(b, []byte("POST /order ")) {
		return
	}
	l.cutAt, l.cutOff = time.Now(), h
	l.logf("the link between %s and the engine is cut for %s while an order is on its way", h.name, cutTime)
}

// owner returns the host whose process opened a connection, nil if it is unknown.
func (l *link) owner(c net.Conn) *host {
	l.mu.Lock()
	hosts := l.hosts
	l.mu.Unlock()
	socket := socketOf(c)
	for _, h := range hosts {
		folder := fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid)
		entries, err := os.ReadDir(folder)
		if err != nil {
			continue
		}
		for _, entry := range entries {
			if name, err := os.Readlink(filepath.Join(folder, entry.Name())); err == nil && socket != "" && name == socket {
				return h
			}
		}
	}
	return nil
}

// socketOf returns the name of the socket at the other end of a loopback connection, ""
// if it is gone.
func socketOf(c net.Conn) string {
	near, ok := c.LocalAddr().(*net.TCPAddr)
	far, okFar := c.RemoteAddr().(*net.TCPAddr)
	raw, err := os.ReadFile("/proc/self/net/tcp")
	if !ok || !okFar || err != nil {
		return ""
	}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) > 9 && strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", far.Port)) && strings.HasSuffix(fields[2], fmt.Sprintf(":%04X", near.Port)) {
			return "socket:[" + fields[9] + "]"
		}
	}
	return ""
}

// serve passes one connection on.
func (l *link) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if l.isCut(l.owner(c)) {
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
		l.pass(c, c, s)
	}()
	l.pass(c, s, c)
}

// pass copies bytes of a host's connection in one direction, and holds them back while
// the link is cut for the host.
func (l *link) pass(connection net.Conn, to io.Writer, from net.Conn) {
	buffer := make([]byte, 64<<10)
	var h *host
	for {
		n, err := from.Read(buffer)
		if h == nil {
			h = l.owner(connection) // the hosts are known once all have started
		}
		if n > 0 {
			l.cutOnOrder(h, buffer[:n])
			if l.isCut(h) && !l.awaitRetransmission(from) {
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
