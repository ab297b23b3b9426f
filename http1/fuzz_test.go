package http1_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/httpheader"
	"github.com/kumquathoist/kumquathoist/platform"
)

// totalAllocated returns the cumulative number of allocated bytes.
func totalAllocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// scriptedUpstream is an upstream that answers with given bytes and closes the
// connection.
type scriptedUpstream struct {
	listener net.Listener
	answer   atomic.Pointer[[]byte]
}

func newScriptedUpstream(t testing.TB) *scriptedUpstream {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedUpstream{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write(*s.answer.Load())
			}
			_ = c.Close()
		}
	}()
	return s
}

// FuzzAnswer reads arbitrary bytes as an answer: the answer ends only where its
// framing ends it, no more is read than was sent, and memory use is bounded.
func FuzzAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Stamp: s\r\n"
	for _, answer := range []string{
		head + "Content-Length: 4\r\n\r\nbody",
		head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		head + "Content-Length: 99999999999999999999\r\n\r\nbody",
		head + "Content-Length: -1\r\n\r\nbody",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-After: b\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nbody",
		head + "Transfer-Encoding: chunked\r\n\r\n7fffffff;a=b\r\nbody",
		head + "Transfer-Encoding: gzip, chunked\r\nContent-Length: 4\r\n\r\nbody",
		head + "\r\nbody",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\na" + head + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: r\r\nRetry-After: 0.5\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		head + "Retry-After: -1e999\r\nX-Weight-Versions: 99999999999999999999\r\nKeep-Alive: timeout=-5\r\n\r\n",
		"HTTP/1.1 000 No\r\nX-Attempt-Id: r\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 600 No\r\nX-Attempt-Id: r\r\nContent-Length: 4\r\n\r\nbody",
		"\r\n\r\nHTTP/1.1 000\r\nX-Attempt-Id: r\r\n\r\n",
		head + "X A: v\r\nContent-Length: 4\r\n\r\nbody", head + "Content-Length : 4\r\n\r\nbody", head + "Content-Length: 4\r\n\nX-A: v\r\n\r\nbody",
		"HTTP/0.9 000\r\n\r\n", "\r\n\r\n", "", "HTTP/1.1 200 OK\n\nbody", "HTTP/1.1 204 No Content\r\nX-Attempt-Id: r\r\nContent-Length: 9\r\n\r\n",
	} {
		f.Add([]byte(answer))
	}
	s := newScriptedUpstream(f)
	f.Fuzz(func(t *testing.T, answer []byte) {
		// A hundred concurrent answers may take a quarter of the memory of a host
		// with 112 MB.
		const maxMemory = 112 << 20 / 4 / 100
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
		before := totalAllocated()
		s.answer.Store(&answer)
		x, err := pool.Send(ctx, s.listener.Addr().String(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
		read := 0
		buffer := make([]byte, 4096)
		for err == nil {
			var n int
			n, err = x.Read(buffer)
			read += n
		}
		if took := totalAllocated() - before; took > maxMemory {
			t.Errorf("%d bytes took %d bytes of memory", len(answer), took)
		}
		if ctx.Err() != nil {
			t.Error("the answer was read until the deadline")
		}
		if read > len(answer) {
			t.Errorf("%d bytes were read of %d", read, len(answer))
		}
		if x == nil {
			return
		}
		defer x.Discard()
		if x.Status < 200 || x.Status > 599 || !bytes.Contains(answer, fmt.Appendf(nil, " %d", x.Status)) {
			t.Errorf("the status is %d", x.Status)
		}
		for _, f := range x.Fields {
			if err := httpheader.CheckName(f.Name); err != nil {
				t.Error(err)
			}
		}
		if errors.Is(err, io.EOF) != x.Complete() {
			t.Errorf("the answer ended with %v, complete: %v", err, x.Complete())
		}
	})
}
