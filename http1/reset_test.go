package http1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// TestResetOfUnframedAnswerIsNoEnd resets a connection whose end would end the answer,
// while the reader awaits more of it.
func TestResetOfUnframedAnswerIsNoEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		await func(e *http1.Exchange)
	}{
		{"AwaitData", func(e *http1.Exchange) { _ = e.AwaitData(5 * time.Second) }},
		{"NotifyData", func(e *http1.Exchange) {
			ready, stop := e.NotifyData()
			<-ready
			stop()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = l.Close() })
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n")
				time.Sleep(200 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			e, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(ctx, l.Addr().String(), "a", "POST", []byte("POST / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
			is.NoErr(err)
			b := make([]byte, 4096)
			_, err = e.Read(b)
			is.NoErr(err)
			c.await(e)
			_, err = e.Read(b)
			is.True(err != nil && !errors.Is(err, io.EOF)) // a reset doesn't end the answer
			is.True(!e.Complete())
		})
	}
}
