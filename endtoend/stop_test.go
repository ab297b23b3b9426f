package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

// callerConn is a caller's connection to a router.
type callerConn struct {
	net.Conn

	t      *testing.T
	reader *bufio.Reader
}

func dialRouter(t *testing.T, r *router) *callerConn {
	t.Helper()
	conn, err := net.Dial("tcp", r.callers)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
	return &callerConn{conn, t, bufio.NewReader(conn)}
}

// write sends a part of a request.
func (c *callerConn) write(part string) {
	c.t.Helper()
	_, err := io.WriteString(c, part)
	is.New(c.t).NoErr(err)
}

// read reads a whole answer.
func (c *callerConn) read() (resp *http.Response, body string) {
	c.t.Helper()
	is := is.New(c.t)
	resp, err := http.ReadResponse(c.reader, nil)
	is.NoErr(err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp, string(raw)
}

// chunked returns a request of the account whose body comes in two chunks.
func chunked(path, id, body string) string {
	half := len(body) / 2
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nX-Request-Id: %s\r\nX-Repeatable: true\r\nTransfer-Encoding: chunked\r\n\r\n", path, accountKey, id) +
		fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", half, body[:half], len(body)-half, body[half:])
}

const shortBody = `{"model":"matcher","prompt":"pair","max_tokens":3}`

// beginStop sends SIGTERM to a router and waits until the stop has begun.
func beginStop(t *testing.T, r *router) {
	t.Helper()
	r.signal(syscall.SIGTERM)
	eventually(t, "the stop begins", func() bool { return r.hasLogged(`"stopping"`) })
}

// TestStopNamesCutRequests guards against requests that a planned stop cuts without a line.
func TestStopNamesCutRequests(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 1, configure: func(_ *system, conf *settings.Settings) { conf.Stop.StreamSeconds = 1 }})
	r := s.routers[0]
	s.service.setFaults(t, standin.ServiceFaults{SlowMillis: int(waitTimeout.Milliseconds())})
	running, arriving := dialRouter(t, r), dialRouter(t, r)
	running.write(chunked("/services/approvals/approve", "running", "{}"))
	part := chunked("/v1/completions", "arriving", shortBody)
	arriving.write(part[:len(part)-3])
	beginStop(t, r)
	eventually(t, "the stop ends", func() bool { return r.hasLogged(`"stopped"`) })
	is.True(r.hasLogged(fmt.Sprintf(`"request cut" Event=1011 Request="running" Caller=%q State="Running"`, running.LocalAddr())))
	is.True(r.hasLogged(fmt.Sprintf(`"request cut" Event=1011 Request="" Caller=%q State="Arriving"`, arriving.LocalAddr())))
	is.True(strings.Contains(r.output(), "Cut=2"))
}

// TestStopAwaitsArrivingRequests guards against a planned stop that refuses a request whose
// head or body is still arriving, though it has time left.
func TestStopAwaitsArrivingRequests(t *testing.T) {
	t.Parallel()
	// servingTime is the time in which the host still takes requests, and more.
	const servingTime = 3 * time.Second
	request := chunked("/v1/completions", "arriving", shortBody)
	for _, tt := range []struct{ name, sent string }{
		{"part of the head", request[:40]},
		{"part of the body", request[:strings.Index(request, "\r\n\r\n")+12]},
		{"all but the end", request[:len(request)-3]},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startSystem(t, options{routers: 1, engines: 1})
			conn := dialRouter(t, s.routers[0])
			conn.write(tt.sent)
			beginStop(t, s.routers[0])
			time.Sleep(servingTime)
			conn.write(request[len(tt.sent):])
			resp, body := conn.read()
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(strings.Contains(body, "finish_reason"))
			<-s.routers[0].done
			is.True(strings.Contains(s.routers[0].output(), "HandedOver=0 Cut=0"))
		})
	}
}

// TestStopReleasesKeptConnections guards against callers that stay on a connection to a stopping
// host until it is gone.
func TestStopReleasesKeptConnections(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ name, request string }{
		{"completion", chunked("/v1/completions", "completion", shortBody)},
		{"stream", chunked("/v1/completions", "stream", strings.Replace(shortBody, "{", `{"stream":true,`, 1))},
		{"service", chunked("/services/approvals/approve", "service", "{}")},
		{"refused", chunked("/v1/completions", "refused", "{}")},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := startSystem(t, options{routers: 1, engines: 1})
			conn := dialRouter(t, s.routers[0])
			conn.write(tt.request)
			resp, _ := conn.read()
			want := resp.StatusCode
			is.True(!resp.Close)
			beginStop(t, s.routers[0])
			conn.write(tt.request)
			resp, _ = conn.read()
			is.Equal(resp.StatusCode, want)
			is.True(resp.Close)
			<-s.routers[0].done
		})
	}
}

// TestStopAnswersBusyConnection guards against a request that gets no answer because its caller
// sends one after the other on a connection until the host is gone.
func TestStopAnswersBusyConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 1})
	conn := dialRouter(t, s.routers[0])
	s.routers[0].signal(syscall.SIGTERM)
	for released := false; !released; {
		conn.write(chunked("/v1/completions", "busy", shortBody))
		resp, _ := conn.read()
		is.Equal(resp.StatusCode, http.StatusOK)
		released = resp.Close
	}
	<-s.routers[0].done
	is.True(strings.Contains(s.routers[0].output(), "HandedOver=0 Cut=0"))
}
