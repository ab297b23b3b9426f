package socket

import (
	"context"
	"net"
	"syscall"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// Listen listens on a TCP address. Each connection gets a receive buffer of a number of
// bytes, of which the kernel holds up to twice as many; also those that wait to be accepted,
// of which there are at most as many as the backlog. 0 leaves either to the kernel.
func Listen(address string, receiveBytes, backlog int) (*net.TCPListener, error) {
	// Connections receive before they are accepted, so that they need the listener's buffer.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		if receiveBytes == 0 {
			return nil
		}
		return control(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes) })
	}}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on %s", address)
	}
	tcp := l.(*net.TCPListener)
	if backlog == 0 {
		return tcp, nil
	}
	c, err := tcp.SyscallConn()
	if err == nil {
		err = control(c, func(fd int) error { return unix.Listen(fd, backlog) })
	}
	if err != nil {
		_ = tcp.Close()
		return nil, trace.Wrap(err, "setting the backlog of %s", address)
	}
	return tcp, nil
}

// control calls a function with the descriptor of a socket.
func control(c syscall.RawConn, change func(fd int) error) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) { err = change(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
