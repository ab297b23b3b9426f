package peer

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// TestConnectionsFindSilentPeers checks that the kernel ends connections to hosts
// that fall silent. Heartbeats go one way, so nothing else would tell.
func TestConnectionsFindSilentPeers(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := NewPool(Credentials{}).dial(context.Background(), listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	raw, err := conn.(countingConn).Conn.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
		is.NoErr(err)
		return value
	}
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(maxSilence.Milliseconds()))
	is.Equal(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), 1)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), 1)
}
