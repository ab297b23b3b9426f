// Package disconnect notices that a caller closes its connection while its request
// is being handled.
package disconnect

import (
	"net"
	"syscall"
	"time"
)

// wrapped is a connection around another one.
type wrapped interface{ NetConn() net.Conn }

// Caller calls left when the caller closes the connection while its request
// is handled. The returned function ends the watch; it must be called before
// the connection is read again.
func Caller(conn net.Conn, left func()) (stop func()) {
	if w, ok := conn.(wrapped); ok {
		conn = w.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	// The HTTP library left its deadline for reading the request.
	_ = conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if closedByPeer(raw) {
			left()
		}
	}()
	return func() {
		// A deadline in the past ends the wait for the peer.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// closedByPeer waits until a connection can be read and tells whether the
// peer has closed it. It peeks only: the data of a pipelined request stays.
func closedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK)
		if err == syscall.EAGAIN || err == syscall.EINTR {
			return false
		}
		closed = err != nil || n == 0
		return true
	})
	return err == nil && closed
}
