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

// endless starts an upstream that answers every request with a beginning and
// then sends the same again and again.
func endless(t testing.TB, begin, again string) *standin.Endless {
	t.Helper()
	e, err := standin.NewEndless(standin.EndlessOptions{Begin: func(string) string { return begin }, Again: again})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

const okHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Stamp: s\r\n"

// endlessAnswers are beginnings of answers to the request r, and what then
// comes for ever though no answer goes on so.
var endlessAnswers = []struct{ name, begin, again string }{
	{"informational heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"a head without a line's end", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "X-More: b\r\n"},
	{"a status line", "HTTP/1.1 200 ", "OK"},
	{"a chunk's extension", okHead + "Transfer-Encoding: chunked\r\n\r\n5;a=", "b"},
	{"a chunk's size", okHead + "Transfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunks of a byte", okHead + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
	{"fields after the last chunk", okHead + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-More: b\r\n"},
	{"answers to another request", "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\na"},
	{"an answer to another request", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
}

// TestBytesWithoutEnd reads answers that never end: each is given up long
// before the request's deadline, after a bounded number of bytes.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		deadline = 20 * time.Second
		most     = 1 << 20
	)
	for _, tt := range endlessAnswers {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := http1.NewPool(platform.Wire{})
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			read := 0
			x, err := pool.Send(ctx, endless(t, tt.begin, tt.again).Address(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			for err == nil {
				var n int
				n, err = x.Read(make([]byte, 4096))
				read += n
			}
			if x != nil {
				x.Discard()
			}
			is.True(!errors.Is(err, io.EOF))
			is.NoErr(ctx.Err()) // it was given up before the deadline
			is.True(read < most)
		})
	}
}

// TestRestOfAnswer reads the rest of answers that nobody needs: it takes
// little, whatever comes.
func TestRestOfAnswer(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: r\r\n"
	for _, tt := range []struct{ name, begin, again string }{
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		{"a length", head + "Content-Length: 1000000000\r\n\r\n", "a"},
		{"no length", head + "\r\n", "a"},
		{"nothing more", head + "Content-Length: 10\r\n\r\n", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pool := http1.NewPool(platform.Wire{})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			address := endless(t, tt.begin, tt.again).Address()
			x, err := pool.Send(ctx, address, "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			is.NoErr(err)
			x.Drop()
			is.NoErr(ctx.Err())
			is.True(!pool.Idle(address))
		})
	}
}

// TestReasonOfUnreadableHead checks that what is told of a head that can't be
// read is short, and still tells whether the connection was cut.
func TestReasonOfUnreadableHead(t *testing.T) {
	for _, tt := range []struct {
		name, answer string
		cut          bool
	}{
		{"bytes that are no head", strings.Repeat("\xf5", 3000) + " 0\n0\n", false},
		{"a head that ends early", "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("\xf5", 3000), true},
		{"nothing", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newScript(t)
			answer := []byte(tt.answer)
			s.answer.Store(&answer)
			_, err := http1.NewPool(platform.Wire{}).Send(t.Context(), s.listener.Addr().String(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
			is.True(len(err.Error()) < 400)
			is.Equal(http1.Cut(err), tt.cut)
		})
	}
}
