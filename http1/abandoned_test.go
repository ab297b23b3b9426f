package http1_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// listen returns a listener whose connections take size bytes that are not read.
func listen(t *testing.T, size int) net.Listener {
	t.Helper()
	limited := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	}}
	listener, err := limited.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// longRequest is longer than what a small listener takes.
var longRequest = append([]byte("POST / HTTP/1.1\r\nContent-Length: 8000\r\n\r\n"), bytes.Repeat([]byte("x"), 8000)...)

const smallBytes, largeBytes = 1 << 10, 1 << 20

// TestAbandonedRequestDoesNotArriveLater gives a request up while a part of it has yet
// to be sent, and lets the upstream read only after that.
func TestAbandonedRequestDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	listener := listen(t, smallBytes)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
	_, err := pool.Send(ctx, listener.Addr().String(), "a", http.MethodPost, longRequest, nil)
	is.True(err != nil)

	upstream, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = upstream.Close() }()
	received, _ := io.Copy(io.Discard, upstream) // fails when the connection was reset
	t.Logf("%d of %d bytes arrived", received, len(longRequest))
	is.True(received < int64(len(longRequest)))
}

// TestUndeliveredRequestIsWithdrawn withdraws the requests to an upstream: only those
// that have yet to arrive.
func TestUndeliveredRequestIsWithdrawn(t *testing.T) {
	is := is.New(t)
	undelivered, delivered := listen(t, smallBytes).Addr().String(), listen(t, largeBytes).Addr().String()
	pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	results := map[string]chan error{undelivered: make(chan error, 1), delivered: make(chan error, 1)}
	for address, result := range results {
		go func() {
			_, err := pool.Send(ctx, address, "a", http.MethodPost, longRequest, nil)
			result <- err
		}()
	}
	is.Equal(pool.Withdraw(undelivered), 0) // it may still arrive
	for pool.Withdraw(undelivered) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(errors.Is(<-results[undelivered], http1.ErrWithdrawn))
	time.Sleep(time.Second)
	is.Equal(pool.Withdraw(delivered), 0)
	cancel()
	is.True(errors.Is(<-results[delivered], context.Canceled))
}
