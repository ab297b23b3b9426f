package http1_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// cutter is an upstream that cuts the connections of some requests. Others stay open, as those
// of a process that has ended do until their end arrives.
type cutter struct {
	net.Listener

	// finish lets the answer to the request "slow" end.
	finish chan struct{}
}

func newCutter(t *testing.T) *cutter {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	c := &cutter{l, make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c
}

// serve answers requests by their ids, until one is cut.
func (c *cutter) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		if id == "cut unanswered" {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nha", id)
		switch id {
		case "cut answer":
			return
		case "slow":
			<-c.finish
		}
		_, _ = io.WriteString(conn, "lf")
	}
}

// open sends a request.
func (c *cutter) open(t *testing.T, pool *http1.Pool, id string) (*http1.Exchange, error) {
	return pool.Send(t.Context(), c.Addr().String(), id, "POST", []byte("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n"), nil)
}

// run sends a request and reads its answer, after which its connection is kept.
func (c *cutter) run(t *testing.T, pool *http1.Pool, id string) error {
	x, err := c.open(t, pool, id)
	if err != nil {
		return err
	}
	return finish(x)
}

func finish(x *http1.Exchange) error {
	defer x.Finish()
	_, err := io.Copy(io.Discard, x)
	return err
}

// TestKeptConnectionsGoWithOneThatBreaks guards against a second attempt that is lost, too, since
// it takes a kept connection to an upstream that has just ended.
func TestKeptConnectionsGoWithOneThatBreaks(t *testing.T) {
	for _, tt := range []struct {
		name, id string
		// isBusy is set if the other connection is in use when the first one breaks.
		isBusy  bool
		dialled int64
	}{
		{"unanswered beside an idle one", "cut unanswered", false, 3},
		{"answer beside an idle one", "cut answer", false, 3},
		{"unanswered beside a busy one", "cut unanswered", true, 3},
		{"answer beside a busy one", "cut answer", true, 3},
		{"none breaks beside an idle one", "whole", false, 2},
		{"none breaks beside a busy one", "whole", true, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c, pool := newCutter(t), http1.NewPool(platform.Wire{}, http1.NewDialer())
			slow, err := c.open(t, pool, "slow")
			is.NoErr(err)
			endSlow := func() {
				close(c.finish)
				is.NoErr(finish(slow))
			}
			if !tt.isBusy {
				is.NoErr(c.run(t, pool, "before"))
				endSlow()
			}
			is.Equal(c.run(t, pool, tt.id) != nil, strings.HasPrefix(tt.id, "cut"))
			is.Equal(pool.Dialled(), int64(2))
			if tt.isBusy {
				endSlow()
			}
			is.NoErr(c.run(t, pool, "after"))
			is.Equal(pool.Dialled(), tt.dialled)
		})
	}
}

// brokenDialer opens connections until it is given an error.
type brokenDialer struct {
	net.Dialer

	err error
}

func (d *brokenDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if d.err != nil {
		return nil, d.err
	}
	return d.Dialer.DialContext(ctx, network, address)
}

// TestKeptConnectionsAfterABreak checks that a kept connection carries a request if no new one
// can be opened, and that none is sent if the upstream refuses new ones.
func TestKeptConnectionsAfterABreak(t *testing.T) {
	for _, tt := range []struct {
		name      string
		dialErr   error
		isRefused bool
	}{
		{"no new connection can be opened", syscall.ETIMEDOUT, false},
		{"new connections are refused", syscall.ECONNREFUSED, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := &brokenDialer{}
			c, pool := newCutter(t), http1.NewPool(platform.Wire{}, d)
			slow, err := c.open(t, pool, "slow")
			is.NoErr(err)
			is.NoErr(c.run(t, pool, "before"))
			close(c.finish)
			is.NoErr(finish(slow))
			is.True(c.run(t, pool, "cut unanswered") != nil)
			d.err = tt.dialErr
			for _, id := range []string{"after", "after that"} {
				err = c.run(t, pool, id)
				is.Equal(err != nil, tt.isRefused)
				is.Equal(errors.Is(err, http1.ErrRefused), tt.isRefused)
			}
			is.Equal(pool.Dialled(), int64(2))
		})
	}
}
