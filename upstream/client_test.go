package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/upstream"
)

// TestCallIsNeverResent checks that a call is not sent again when the upstream reads it,
// for a completion on a reused connection, and then closes the connection. By default,
// net/http retries a request with an idempotency key and no body.
func TestCallIsNeverResent(t *testing.T) {
	client := upstream.NewClient()
	for name, send := range map[string]func(call upstream.Call) error{
		"service": func(call upstream.Call) error {
			_, err := client.Run(context.Background(), call)
			return err
		},
		"completion": func(call upstream.Call) error {
			stream, err := client.Open(context.Background(), call)
			if err == nil {
				stream.SkipRest()
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			var received atomic.Int32
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go serveFirstCallOnly(conn, &received)
				}
			}()
			call := upstream.Call{Address: listener.Addr().String(), Method: http.MethodPost, Path: "/approve", Key: "key-1"}
			is.NoErr(send(call))
			is.True(trace.IsConnectionProblem(send(call)))
			is.Equal(received.Load(), int32(2))
		})
	}
}

// serveFirstCallOnly answers the first call of a connection and closes the
// connection after reading the second.
func serveFirstCallOnly(conn net.Conn, received *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if received.Add(1) != 1 {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// TestRefusedConnectionIsNotStarted checks that a refused connection returns
// NotStarted.
func TestRefusedConnectionIsNotStarted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err = upstream.NewClient().Open(ctx, upstream.Call{Address: address, Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")})
	var notStarted *upstream.NotStarted
	is.True(errors.As(err, &notStarted))
}

// TestStreamWithoutFraming reads streams that have neither a length nor chunks and
// end with their connection.
func TestStreamWithoutFraming(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		chunks     int
		end        error
	}{
		{"whole", "id: 1\ndata: {}\n\ndata: [DONE]\n\n", 2, nil},
		{"inside an event", "id: 1\ndata: {}\n\nid: 2\nda", 1, upstream.ErrMissingEnd},
		{"before the first event", "", 0, upstream.ErrMissingEnd},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+tt.body)
			}()
			stream, err := upstream.NewClient().Open(context.Background(), upstream.Call{Address: listener.Addr().String(), Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}")})
			is.NoErr(err)
			defer stream.Close()
			for range tt.chunks {
				_, err := stream.Next()
				is.NoErr(err)
			}
			if tt.end != nil {
				_, err := stream.Next()
				is.True(errors.Is(err, tt.end))
			}
		})
	}
}

// TestDecoder checks each way in which an engine's stream can end.
func TestDecoder(t *testing.T) {
	tests := []struct {
		name, stream string
		chunks       int
		check        func(error) bool
	}{
		{"whole", "id: 1\ndata: {}\n\ndata: [DONE]\n\n", 2, nil},
		{"no end marker", "id: 1\ndata: {}\n\n", 1, func(err error) bool { return errors.Is(err, upstream.ErrMissingEnd) }},
		{"incomplete event", "id: 1\ndata: {}\n", 0, func(err error) bool { return errors.Is(err, upstream.ErrMissingEnd) }},
		{"error event", "id: 1\ndata: {}\n\nevent: error\ndata: {}\n\n", 1, func(err error) bool { return errors.Is(err, upstream.ErrReported) }},
		{"no position", "data: {}\n\n", 0, trace.IsBadParameter},
		{"position is not a number", "id: x\ndata: {}\n\n", 0, trace.IsBadParameter},
		{"too long", "id: 1\ndata: " + strings.Repeat("x", 1<<20) + "\n\n", 0, trace.IsConnectionProblem},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := upstream.NewDecoder(strings.NewReader(tt.stream))
			for range tt.chunks {
				_, err := d.Next()
				is.NoErr(err)
			}
			if tt.check != nil {
				_, err := d.Next()
				is.True(tt.check(err))
			}
		})
	}
}

// TestRepeatedRefusalIsNotBelieved has an upstream write its refusal of a call once
// more when it runs the next call on the same connection.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for _, c := range []struct{ name, head string }{
		{"with its attempt", "X-Attempt-Id: first\r\nX-Not-Started: true\r\n"},
		{"without an attempt", "X-Not-Started: true\r\n"},
		{"an invalid request", "X-Attempt-Id: first\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go refuseAgain(conn, "HTTP/1.1 422 Unprocessable Entity\r\n"+c.head+"Content-Length: 0\r\n\r\n")
				}
			}()
			client := upstream.NewClient()
			call := upstream.Call{Address: listener.Addr().String(), Method: http.MethodPost, Path: "/approve", Key: "key-1", Attempt: "first"}
			_, _ = client.Run(context.Background(), call)
			call.Attempt = "second"
			answer, err := client.Run(context.Background(), call)
			var notStarted *upstream.NotStarted
			is.True(!errors.As(err, &notStarted))
			is.True(trace.IsConnectionProblem(err) || string(answer.Body) == "ran")
		})
	}
}

// refuseAgain refuses the first call of a connection, and later ones before it
// answers them.
func refuseAgain(conn net.Conn, refusal string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := refusal
		if !first {
			text += "HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nContent-Length: 3\r\n\r\nran"
		}
		_, _ = conn.Write([]byte(text))
	}
}
