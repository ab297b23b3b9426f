// Package socket has TCP dialers whose connections end when the other side has
// fallen silent, and take what they have written with them when a call is given up.
package socket

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// probeInterval is how long a connection is idle before its first keep-alive
// probe, and the time between two probes. The kernel takes whole seconds.
const probeInterval = time.Second

// Dialer opens connections of type *Conn.
type Dialer struct {
	net.Dialer
}

// NewDialer returns a dialer whose connections end with ETIMEDOUT once the other side
// has acknowledged nothing for longer than maxSilence: neither bytes nor keep-alive
// probes. Probes go out each second, so a silence of up to a second more than
// maxSilence may pass.
func NewDialer(timeout, maxSilence time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: int(maxSilence/probeInterval) + 1,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			// TCP_USER_TIMEOUT bounds unacknowledged bytes, and also decides when
			// unanswered probes end the connection.
			return control(raw, func(fd int) error {
				return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxSilence.Milliseconds()))
			})
		},
	}}
}

// WithReceiveBytes returns a dialer whose connections have a receive buffer of a number of
// bytes, of which the kernel holds up to twice as many.
func (d *Dialer) WithReceiveBytes(bytes int) *Dialer {
	limited, before := *d, d.Control
	limited.Control = func(network, address string, raw syscall.RawConn) error {
		if err := before(network, address, raw); err != nil {
			return err
		}
		return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
	}
	return &limited
}

// DialContext connects to an address. The network must be one of TCP.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		_ = raw.Close()
		return nil, trace.BadParameter("%s is no network of TCP", network)
	}
	// The kernel also resets the connections of a process that is killed.
	if err := tcp.SetLinger(0); err != nil {
		_ = raw.Close()
		return nil, trace.Wrap(err, "setting the linger time of a connection")
	}
	return &Conn{TCPConn: tcp}, nil
}

// States of a connection.
const (
	answered int32 = iota
	awaitsAnswer
	closed
)

// Conn is the caller's side of a connection that carries one call at a time. Closing
// it resets it, unless all that was written was acknowledged and something was received
// since. After an ordinary close the kernel goes on sending, and a call that was given
// up would arrive whenever the path to the other side works again.
type Conn struct {
	*net.TCPConn

	state atomic.Int32
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.state.CompareAndSwap(awaitsAnswer, answered)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.state.CompareAndSwap(answered, awaitsAnswer); c.state.Load() == closed {
		return 0, net.ErrClosed
	}
	return c.TCPConn.Write(b)
}

// ReadFrom implements io.ReaderFrom by Write: that of the embedded connection would write
// without its knowledge.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.state.Swap(closed) == answered && !HasUnacknowledged(c) {
		_ = c.SetLinger(-1) // fails only on a closed connection
	}
	return c.TCPConn.Close()
}

// Reset closes a connection and drops what the other side has not acknowledged.
func Reset(c net.Conn) {
	if own, ok := c.(*Conn); ok {
		own.state.Store(closed)
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// HasUnacknowledged reports whether the other side of a TCP connection has yet to
// acknowledge some bytes.
func HasUnacknowledged(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	unacknowledged := 0
	err = raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && unacknowledged > 0
}
