package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// TestRepeatedRefusalIsNotBelieved has an upstream write its refusal of a request once
// more on the same connection, before or after the next request, which it runs.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nX-Response-Stamp: s\r\nContent-Length: 3\r\n\r\nran"
	refusal := func(id, more string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + id + "X-Not-Executed: 1\r\n" + more + "Content-Length: 4\r\n\r\nfull"
	}
	first := "X-Attempt-Id: first\r\n"
	for _, c := range []struct {
		name, repeated string
		// early means that the repeated refusal comes with the first.
		early bool
		// unanswered means that the answer can't be told from what is repeated.
		unanswered bool
	}{
		{"after the next request", refusal(first, ""), false, false},
		{"before the next request", refusal(first, ""), true, false},
		{"twice", refusal(first, "") + refusal(first, ""), false, false},
		{"without an id", refusal("", ""), false, false},
		{"with the end of the connection", refusal(first, "Connection: close\r\n"), false, false},
		{"too often", refusal(first, "") + refusal(first, "") + refusal(first, ""), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := serve(t, func(id string) string {
				switch {
				case id == "first" && c.early:
					return refusal(first, "") + c.repeated
				case id == "first":
					return refusal(first, "")
				case c.early:
					return answer
				}
				return c.repeated + answer
			})
			pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			send := func(id string) (*http1.Exchange, error) {
				return pool.Send(ctx, address, id, "POST", []byte("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "+id+"\r\nContent-Length: 0\r\n\r\n"), nil)
			}
			x, err := send("first")
			is.NoErr(err)
			is.True(x.NotRun)
			x.SkipRest()
			x, err = send("second")
			is.NoErr(ctx.Err())
			is.Equal(err != nil, c.unanswered) // it failed at once, and may have run
			if err != nil {
				return
			}
			defer x.Discard()
			is.True(!x.NotRun)
			body := make([]byte, 3)
			_, err = io.ReadFull(x, body)
			is.NoErr(err)
			is.Equal(string(body), "ran")
		})
	}
}

// serve starts an upstream that answers each request with a text, given its ID.
func serve(t *testing.T, answer func(id string) string) (address string) {
	return serveConnections(t, func() func(string) string { return answer })
}

// serveConnections starts an upstream that answers the requests of each connection with
// texts, given their IDs.
func serveConnections(t *testing.T, accept func() func(id string) string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			answer := accept()
			go func() {
				defer func() { _ = conn.Close() }()
				in := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.WriteString(conn, answer(r.Header.Get("X-Attempt-Id"))); err != nil {
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}
