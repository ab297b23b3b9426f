package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/upstream"
)

// cuttingEngine is an engine that answers with streams and cuts some connections. Others stay
// open, as those of a process that has ended do until their end arrives.
type cuttingEngine struct {
	net.Listener

	// accepted counts the connections.
	accepted atomic.Int32
	// finish lets a stream of path /slow end.
	finish chan struct{}
}

func newCuttingEngine(t *testing.T) *cuttingEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	e := &cuttingEngine{Listener: l, finish: make(chan struct{})}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			e.accepted.Add(1)
			go e.serve(conn)
		}
	}()
	return e
}

// serve answers calls by their path, until one is cut.
func (e *cuttingEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/cut-unanswered" {
			return
		}
		const event, end = "id: 1\ndata: {}\n\n", "data: [DONE]\n\n"
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Attempt-Id"), len(event+end), event)
		switch req.URL.Path {
		case "/cut-stream":
			return
		case "/slow":
			<-e.finish
		}
		_, _ = io.WriteString(conn, end)
	}
}

// open begins a stream.
func (e *cuttingEngine) open(c *upstream.Client, path string) (*upstream.Stream, error) {
	return c.Open(context.Background(), upstream.Call{Address: e.Addr().String(), Method: http.MethodPost, Path: path, Body: []byte("{}"), Attempt: path})
}

// run opens a stream and reads it to its end.
func (e *cuttingEngine) run(c *upstream.Client, path string) error {
	stream, err := e.open(c, path)
	if err != nil {
		return err
	}
	return readToEnd(stream)
}

// readToEnd reads a stream to its end, after which its connection is kept.
func readToEnd(s *upstream.Stream) error {
	defer s.Close()
	for {
		chunk, err := s.Next()
		if err != nil {
			return err
		}
		if chunk.End {
			s.SkipRest()
			return nil
		}
	}
}

// TestKeptConnectionsGoWithOneThatIsCut guards against a second attempt that is lost, too, since
// it takes a kept connection to an engine that has just ended.
func TestKeptConnectionsGoWithOneThatIsCut(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		// isBusy is set if the other connection is in use when the first one is cut.
		isBusy   bool
		accepted int32
	}{
		{"unanswered beside an idle one", "/cut-unanswered", false, 3},
		{"stream beside an idle one", "/cut-stream", false, 3},
		{"unanswered beside a busy one", "/cut-unanswered", true, 3},
		{"stream beside a busy one", "/cut-stream", true, 3},
		{"none is cut beside an idle one", "/whole", false, 2},
		{"none is cut beside a busy one", "/whole", true, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, client := newCuttingEngine(t), upstream.NewClient()
			other, err := e.open(client, "/slow")
			is.NoErr(err)
			endOther := func() {
				close(e.finish)
				is.NoErr(readToEnd(other))
			}
			if !tt.isBusy {
				is.NoErr(e.run(client, "/whole"))
				endOther()
			}
			is.Equal(e.run(client, tt.path) == nil, tt.path == "/whole")
			is.Equal(e.accepted.Load(), int32(2))
			if tt.isBusy {
				endOther()
			}
			is.NoErr(e.run(client, "/whole"))
			is.Equal(e.accepted.Load(), tt.accepted)
		})
	}
}
