package socket_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/socket"
)

// TestProbesGiveUpWithTheUserTimeout checks that keep-alive probes go out before
// TCP_USER_TIMEOUT passes, which alone decides when they give up, and that their
// count doesn't give up earlier where it decides.
func TestProbesGiveUpWithTheUserTimeout(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	const maxSilence = 3 * time.Second
	conn, err := socket.NewDialer(time.Second, maxSilence).DialContext(t.Context(), "tcp", listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	raw, err := conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
		is.NoErr(err)
		return value
	}
	seconds := func(name int) time.Duration {
		return time.Duration(option(unix.IPPROTO_TCP, name)) * time.Second
	}
	is.Equal(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	is.Equal(time.Duration(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))*time.Millisecond, maxSilence)
	is.True(seconds(unix.TCP_KEEPIDLE) < maxSilence)
	is.True(seconds(unix.TCP_KEEPIDLE)+time.Duration(option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT))*seconds(unix.TCP_KEEPINTVL) > maxSilence)
}
