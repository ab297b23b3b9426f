package ingress_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/ingress"
)

const (
	// connections is the limit of a listener.
	connections = 10
	// spare is the number of connections that may be ending above it.
	spare = 8
	// tries is how often a client that is refused comes back.
	tries      = 1000
	getRequest = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
)

// serve serves on a listener and returns a function that connects to it and sends a text.
func serve(t *testing.T, handler fasthttp.RequestHandler) (connect func(text string) net.Conn) {
	t.Helper()
	is := is.New(t)
	l, err := ingress.Listen(ingress.Options{
		Address: "127.0.0.1:0", Connections: connections, Spare: spare, ReceiveBytes: 8 << 10, Backlog: 64,
		Refusal: []byte("HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.500\r\nContent-Length: 0\r\n\r\n"),
	})
	is.NoErr(err)
	server := &fasthttp.Server{Handler: handler, StreamRequestBody: true, ReduceMemoryUsage: true, ConnState: ingress.RecordState}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return func(text string) net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, text)
		is.NoErr(err)
		return conn
	}
}

// begin records that a request is handled, as servers do.
func begin(ctx *fasthttp.RequestCtx) {
	ctx.Conn().(*ingress.Conn).Update(func(r *ingress.OpenRequest) { r.Whole = true })
}

// status returns the status of the next answer on a connection.
func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.New(t).NoErr(err)
	return resp.StatusCode
}

// TestConnectionsInUseStay has requests in progress use all connections: a further client is
// told when to come back, and all requests are answered.
func TestConnectionsInUseStay(t *testing.T) {
	is := is.New(t)
	release, began := make(chan struct{}), make(chan struct{})
	connect := serve(t, func(ctx *fasthttp.RequestCtx) {
		begin(ctx)
		began <- struct{}{}
		<-release
	})
	var held []net.Conn
	for len(held) < connections+spare {
		held = append(held, connect(getRequest))
		<-began
	}
	resp, err := http.ReadResponse(bufio.NewReader(connect(getRequest)), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get("Retry-After"), "0.500")
	close(release)
	for _, conn := range held {
		is.Equal(status(t, conn), http.StatusOK)
	}
}

// TestUntakenAnswersMakeRoom has clients that don't read their answers use all connections:
// a further client is served.
func TestUntakenAnswersMakeRoom(t *testing.T) {
	is := is.New(t)
	large := bytes.Repeat([]byte("a"), 16<<20)
	connect := serve(t, func(ctx *fasthttp.RequestCtx) {
		begin(ctx)
		if string(ctx.Path()) == "/a" {
			ctx.SetBody(large)
		}
	})
	for range connections + spare {
		connect(getRequest)
	}
	is.Equal(status(t, connect("GET /b HTTP/1.1\r\nHost: h\r\n\r\n")), http.StatusOK)
}

// TestArrivingRequestsMakeRoom has clients that send a part of a request use all connections,
// from now on: a further client waits until they have stood still for long enough.
func TestArrivingRequestsMakeRoom(t *testing.T) {
	is := is.New(t)
	connect := serve(t, begin)
	for range connections + spare {
		connect("GET /a HTTP/1.1\r\n")
	}
	is.Equal(status(t, connect(getRequest)), http.StatusOK)
}

// TestCrowdedConnectionsEnd has clients send request after request on all connections: once
// others find no room, each ends with its answer.
func TestCrowdedConnectionsEnd(t *testing.T) {
	is := is.New(t)
	ended := make(chan bool, 1)
	connect := serve(t, func(ctx *fasthttp.RequestCtx) {
		begin(ctx)
		time.Sleep(time.Millisecond)
		if ingress.MustClose(ctx.Conn()) {
			ctx.SetConnectionClose()
			select {
			case ended <- true:
			default:
			}
		}
	})
	for range connections + spare {
		conn := connect("")
		go func() {
			for {
				if _, err := io.WriteString(conn, getRequest); err != nil {
					return
				}
			}
		}()
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	found := 0
	for try := 0; try < tries && found != http.StatusOK; try++ {
		if resp, err := http.ReadResponse(bufio.NewReader(connect(getRequest)), nil); err == nil {
			found = resp.StatusCode
		}
	}
	is.Equal(found, http.StatusOK)
	is.True(<-ended)
}

// TestAnswersMakeRoom has a client not take its answer: it is cut once another one wants its
// room, and its own room is given back.
func TestAnswersMakeRoom(t *testing.T) {
	const room = 1 << 20
	is := is.New(t)
	answers := ingress.NewAnswers(room)
	taken := make(chan bool, 2)
	connect := serve(t, func(ctx *fasthttp.RequestCtx) {
		begin(ctx)
		ok := answers.Take(room)
		if ok {
			answers.Hold(ctx.Conn().(*ingress.Conn), room)
			ctx.SetBody(make([]byte, 16<<20))
		}
		taken <- ok
	})
	connect(getRequest)
	is.True(<-taken)
	ok := false
	for try := 0; try < tries && !ok; try++ {
		time.Sleep(10 * time.Millisecond)
		connect(getRequest)
		ok = <-taken
	}
	is.True(ok)
}
