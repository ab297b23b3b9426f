package standin_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestHeldBytesCountsUnreadBytes sends bytes that nobody reads, to connections that have
// been accepted or not: they count (/proc/net/tcp), beside the resident memory.
func TestHeldBytesCountsUnreadBytes(t *testing.T) {
	const sent = 10_000
	for _, accepts := range []bool{true, false} {
		is := is.New(t)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		conn, err := net.Dial("tcp4", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		if accepts {
			accepted, err := l.Accept()
			is.NoErr(err)
			defer func() { _ = accepted.Close() }()
		}
		_, err = conn.Write(make([]byte, sent))
		is.NoErr(err)
		time.Sleep(100 * time.Millisecond)
		held := standin.NewHeldBytes(os.Getpid(), l.Addr().String())
		peak, resident, unread := held.Stop()
		is.True(unread >= sent)
		is.True(resident > 0)
		is.Equal(peak, resident+unread)
	}
}
