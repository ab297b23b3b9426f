// Package disconnect detects that a caller closes its connection while its
// request is handled.
package disconnect

import (
	"net"
	"syscall"
	"time"
)

// wrapper is a connection that wraps another one.
type wrapper interface{ NetConn() net.Conn }

// Notify calls onClose when the caller closes the connection while its request
// is handled. The returned function stops the notification; it must be called
// before the connection is read again.
func Notify(conn net.Conn, onClose func()) (stop func()) {
	if w, ok := conn.(wrapper); ok {
		conn = w.NetConn()
	}
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	// Clears the HTTP library's deadline for reading the request.
	_ = conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if closedByPeer(raw) {
			onClose()
		}
	}()
	return func() {
		// A deadline in the past makes the pending read return.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// closedByPeer waits until a connection is readable and reports whether the
// peer has closed it. It only peeks, so that the data of a pipelined request
// stays in the socket.
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
