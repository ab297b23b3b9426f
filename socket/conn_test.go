package socket_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/socket"
	"github.com/kumquathoist/kumquathoist/standin"
)

// startMute starts a server that never answers.
func startMute(t *testing.T) *standin.Mute {
	t.Helper()
	m, err := standin.NewMute()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	return m
}

// connect connects to an address.
func connect(t *testing.T, address string) *socket.Conn {
	t.Helper()
	c, err := socket.NewDialer(time.Second, time.Minute).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*socket.Conn)
}

// TestClose guards against calls that arrive after they were given up: a connection is
// closed in order only if nothing that was written on it can still be on its way.
func TestClose(t *testing.T) {
	call := []byte("call")
	for _, tt := range []struct {
		name  string
		use   func(is *is.I, c *socket.Conn, other net.Conn)
		reset bool
	}{
		{"unused", func(*is.I, *socket.Conn, net.Conn) {}, false},
		{"a call without an answer", func(is *is.I, c *socket.Conn, _ net.Conn) {
			_, err := c.Write(call)
			is.NoErr(err)
		}, true},
		{"a call that is copied, without an answer", func(is *is.I, c *socket.Conn, _ net.Conn) {
			_, err := io.Copy(c, struct{ io.Reader }{bytes.NewReader(call)})
			is.NoErr(err)
		}, true},
		{"a call with an answer", func(is *is.I, c *socket.Conn, other net.Conn) {
			exchange(is, c, other)
		}, false},
		{"a second call without an answer", func(is *is.I, c *socket.Conn, other net.Conn) {
			exchange(is, c, other)
			_, err := c.Write(call)
			is.NoErr(err)
		}, true},
		{"an answer while the rest of the call is on its way", func(is *is.I, c *socket.Conn, other net.Conn) {
			fillBuffers(is, c)
			_, err := other.Write([]byte("answer"))
			is.NoErr(err)
			_, err = c.Read(make([]byte, 6))
			is.NoErr(err)
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			c := connect(t, listener.Addr().String())
			other, err := listener.Accept()
			is.NoErr(err)
			t.Cleanup(func() { _ = other.Close() })
			tt.use(is, c, other)
			is.NoErr(c.Close())
			var readErr error
			for buffer := make([]byte, 1<<20); readErr == nil; {
				_, readErr = other.Read(buffer)
			}
			is.Equal(errors.Is(readErr, syscall.ECONNRESET), tt.reset)
			is.Equal(errors.Is(readErr, io.EOF), !tt.reset)
		})
	}
}

// fillBuffers writes until the buffers of both sides take no more.
func fillBuffers(is *is.I, c *socket.Conn) {
	block := make([]byte, 1<<20)
	for written := 1; written > 0 || !socket.HasUnacknowledged(c); {
		is.NoErr(c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)))
		written, _ = c.Write(block)
	}
}

// exchange sends a call and its answer.
func exchange(is *is.I, c *socket.Conn, other net.Conn) {
	buffer := make([]byte, 16)
	_, err := c.Write([]byte("call"))
	is.NoErr(err)
	_, err = other.Read(buffer)
	is.NoErr(err)
	_, err = other.Write([]byte("answer"))
	is.NoErr(err)
	_, err = c.Read(buffer)
	is.NoErr(err)
}

// TestKilledProcessResetsItsConnections checks the option by which the kernel resets the
// open connections of a process that ends, so that its calls don't arrive later.
func TestKilledProcessResetsItsConnections(t *testing.T) {
	is := is.New(t)
	raw, err := connect(t, startMute(t).Address()).SyscallConn()
	is.NoErr(err)
	var linger *unix.Linger
	is.NoErr(raw.Control(func(fd uintptr) { linger, err = unix.GetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER) }))
	is.NoErr(err)
	is.Equal(*linger, unix.Linger{Onoff: 1, Linger: 0})
}

// TestReset checks that a connection whose call was answered can be reset as well.
func TestReset(t *testing.T) {
	is := is.New(t)
	m := startMute(t)
	c := connect(t, m.Address())
	socket.Reset(c)
	is.Equal(m.NextEnd(), standin.ConnectionEnd{Reset: true})
	_, err := c.Write([]byte("late"))
	is.True(err != nil)
}

// TestDialContextNetwork checks that other networks than TCP are an error.
func TestDialContextNetwork(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := socket.NewDialer(time.Second, time.Second).DialContext(ctx, "udp4", "127.0.0.1:9")
	is.True(err != nil)
	is.True(!errors.Is(err, syscall.ECONNREFUSED))
}
