// Package disconnect detects that a caller closes its connection while its
// request is handled.
package disconnect

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// lingerInterval is the interval between checks whether the peer has acknowledged all bytes.
const lingerInterval = 2 * time.Millisecond

// Linger ends the sending side of a connection, and waits until the peer has acknowledged
// what was sent, or for a time. If the connection holds unread data, it waits until the peer
// has closed it: a close would reset it at once, and so do bytes that arrive after a close;
// the peer could lose the end of what was sent. It reads nothing.
func Linger(conn *net.TCPConn, atMost time.Duration) {
	deadline := time.Now().Add(atMost)
	if !hasUnread(conn) && !hasUnacknowledged(conn) || conn.CloseWrite() != nil || conn.SetReadDeadline(deadline) != nil {
		return
	}
	for !hasUnread(conn) {
		if !hasUnacknowledged(conn) || time.Now().After(deadline) {
			return
		}
		time.Sleep(lingerInterval)
	}
	closedByPeer(conn)
}

// hasUnread reports whether data lies in a socket.
func hasUnread(conn syscall.Conn) bool { return queued(conn, unix.TIOCINQ) > 0 }

// hasUnacknowledged reports whether the peer has yet to acknowledge data that was sent.
func hasUnacknowledged(conn syscall.Conn) bool { return queued(conn, unix.TIOCOUTQ) > 0 }

// queued returns the length of a queue of a socket, or 0 if it isn't known.
func queued(conn syscall.Conn, queue uint) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	length := 0
	if err := raw.Control(func(fd uintptr) { length, _ = unix.IoctlGetInt(int(fd), queue) }); err != nil {
		return 0
	}
	return length
}

// closedByPeer waits until the peer has closed a connection, or until its read deadline
// passes, and reports which. It reads nothing, so that the data of a pipelined request
// stays in the socket. A peer that has only closed its sending side counts as gone: the
// two can't be told apart until something is sent to it.
func closedByPeer(conn syscall.Conn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// The callback runs again whenever something arrives, data or an end.
	err = raw.Read(func(fd uintptr) bool {
		closed = hasEnded(fd)
		return closed
	})
	return err == nil && closed
}

// hasEnded reports whether the peer of a socket has closed or reset the connection,
// whatever data lies in the socket.
func hasEnded(fd uintptr) bool {
	ends := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(ends, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && ends[0].Revents != 0
		}
	}
}
