package http1_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/standin"
)

// startEndless starts an upstream that answers every request with a first text
// and then repeats another without end.
func startEndless(t testing.TB, first, repeated string) *standin.Endless {
	t.Helper()
	e, err := standin.NewEndless(standin.EndlessOptions{Begin: func(string) string { return first }, Repeat: repeated})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

const okHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Stamp: s\r\n"

// endlessAnswers are starts of answers to the request r, each with a text that
// is then repeated without end, which no valid answer does.
var endlessAnswers = []struct{ name, first, repeated string }{
	{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"a head without a line end", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: b\r\n"},
	{"a status line", "HTTP/1.1 200 ", "OK"},
	{"a chunk extension", okHead + "Transfer-Encoding: chunked\r\n\r\n5;a=", "b"},
	{"a chunk size", okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunks of one byte", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	{"trailer fields", okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: b\r\n"},
	{"answers to another request", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\na"},
	{"an answer to another request", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
}

// TestEndlessAnswers checks that reading an answer without end fails long before
// the request's deadline, after a bounded number of bytes.
func TestEndlessAnswers(t *testing.T) {
	const (
		deadline = 20 * time.Second
		maxRead  = 1 << 20
	)
	for _, tt := range endlessAnswers {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			read := 0
			x, err := pool.Send(ctx, startEndless(t, tt.first, tt.repeated).Address(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
			for err == nil {
				var n int
				n, err = x.Read(make([]byte, 4096))
				read += n
			}
			if x != nil {
				x.Discard()
			}
			is.True(!errors.Is(err, io.EOF))
			is.NoErr(ctx.Err()) // it failed before the deadline
			is.True(read < maxRead)
		})
	}
}

// TestSkipRest checks that skipping the rest of an answer takes a bounded time,
// whatever the upstream sends, and that the connection isn't reused.
func TestSkipRest(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: r\r\n"
	for _, tt := range []struct{ name, first, repeated string }{
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		{"a length", head + "Content-Length: 1000000000\r\n\r\n", "a"},
		{"no length", head + "\r\n", "a"},
		{"nothing more", head + "Content-Length: 10\r\n\r\n", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			address := startEndless(t, tt.first, tt.repeated).Address()
			x, err := pool.Send(ctx, address, "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
			is.NoErr(err)
			x.SkipRest()
			is.NoErr(ctx.Err())
			is.True(!pool.HasIdle(address))
		})
	}
}

// TestUnreadableHeadError checks that the error for an unreadable head is short
// and still shows whether the upstream closed the connection.
func TestUnreadableHeadError(t *testing.T) {
	for _, tt := range []struct {
		name, answer string
		closed       bool
	}{
		{"bytes that aren't a head", strings.Repeat("\xf5", 3000) + " 0\n0\n", false},
		{"a truncated head", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("\xf5", 3000), true},
		{"no bytes", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newScriptedUpstream(t)
			answer := []byte(tt.answer)
			s.answer.Store(&answer)
			_, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(t.Context(), s.listener.Addr().String(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
			is.True(len(err.Error()) < 400)
			is.Equal(http1.ClosedByUpstream(err), tt.closed)
		})
	}
}
