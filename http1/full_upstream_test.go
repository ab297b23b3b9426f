package http1_test

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// fullListener resets the connections that it accepts while it is full.
type fullListener struct {
	net.Listener

	isFull atomic.Bool
}

func (l *fullListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || !l.isFull.Load() {
			return c, err
		}
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// newFullCutter returns a cutter that can become full, and a pool with two idle connections to it.
func newFullCutter(t *testing.T) (*cutter, *fullListener, *http1.Pool) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	full := &fullListener{Listener: l}
	c := &cutter{full, make(chan struct{})}
	go func() {
		for {
			conn, err := full.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
	slow, err := c.open(t, pool, "slow")
	is.NoErr(err)
	is.NoErr(c.run(t, pool, "before"))
	close(c.finish)
	is.NoErr(finish(slow))
	return c, full, pool
}

// TestKeptConnectionsStayWhenNewOnesAreReset guards against kept connections that are given up,
// and requests that are lost, since an upstream with all the connections it accepts resets others.
func TestKeptConnectionsStayWhenNewOnesAreReset(t *testing.T) {
	is := is.New(t)
	c, full, pool := newFullCutter(t)
	full.isFull.Store(true)
	first, err := c.open(t, pool, "first")
	is.NoErr(err)
	second, err := c.open(t, pool, "second")
	is.NoErr(err)
	is.True(c.run(t, pool, "one too many") != nil)
	is.NoErr(finish(first))
	is.NoErr(finish(second))
	for _, id := range []string{"after", "after that", "later"} {
		is.NoErr(c.run(t, pool, id))
	}
}

// TestDoubtedConnectionIsKeptIfNewOnesAreReset guards against a request that is lost on a new
// connection to a full upstream, after an answer was cut on another one.
func TestDoubtedConnectionIsKeptIfNewOnesAreReset(t *testing.T) {
	for _, id := range []string{"cut answer", "cut unanswered"} {
		t.Run(id, func(t *testing.T) {
			is := is.New(t)
			c, full, pool := newFullCutter(t)
			full.isFull.Store(true)
			is.True(c.run(t, pool, id) != nil)
			for _, id := range []string{"after", "after that", "later"} {
				is.NoErr(c.run(t, pool, id))
			}
		})
	}
}
