package disconnect_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/disconnect"
)

// noticeTimeout is the users' bound for the end of work after a caller has left.
const noticeTimeout = 500 * time.Millisecond

// connect returns both ends of a connection.
func connect(t *testing.T) (caller *net.TCPConn, conn net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	dialled, err := net.Dial("tcp4", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = dialled.Close() })
	conn, err = l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return dialled.(*net.TCPConn), conn
}

// TestNotify has callers leave in each way, after they have sent a part of their next
// request or not.
func TestNotify(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(caller *net.TCPConn)
	}{
		{"closed", func(caller *net.TCPConn) { _ = caller.Close() }},
		{"reset", func(caller *net.TCPConn) { _ = caller.SetLinger(0); _ = caller.Close() }},
		{"half-closed", func(caller *net.TCPConn) { _ = caller.CloseWrite() }},
	} {
		for _, sent := range []string{"", "before", "meanwhile"} {
			t.Run(c.name+" "+sent, func(t *testing.T) {
				is := is.New(t)
				caller, conn := connect(t)
				send := func(when string) {
					if sent == when {
						_, err := io.WriteString(caller, "POST")
						is.NoErr(err)
						time.Sleep(20 * time.Millisecond)
					}
				}
				send("before")
				left := make(chan struct{})
				stop := disconnect.Notify(conn, func() { close(left) })
				defer stop()
				send("meanwhile")
				select {
				case <-left:
					t.Fatal("the caller has not left yet")
				case <-time.After(20 * time.Millisecond):
				}
				c.leave(caller)
				select {
				case <-left:
				case <-time.After(noticeTimeout):
					t.Fatal("the caller left unnoticed")
				}
			})
		}
	}
}

// TestStop stops the notification while bytes of the next request arrive: all of them can
// be read, and nothing is notified.
func TestStop(t *testing.T) {
	is := is.New(t)
	caller, conn := connect(t)
	const rounds = 2000
	go func() {
		for range rounds {
			_, _ = io.WriteString(caller, "next")
		}
	}()
	read := 0
	for buffer := make([]byte, 4); read < rounds*4; {
		stop := disconnect.Notify(conn, func() { t.Error("the caller has not left") })
		stop()
		n, err := conn.Read(buffer)
		is.NoErr(err)
		read += n
	}
}
