// Package connection makes calls that only read over connections that are kept as long as
// nothing else can stand in the place of an answer.
package connection

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

// idleTimeout is how long an idle connection stays open.
const idleTimeout = 2 * time.Second

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewOnce returns a transport that uses each connection for one call.
func NewOnce(d Dial) *http.Transport {
	t := newTransport(d)
	t.DisableKeepAlives = true
	return t
}

// newTransport returns a transport that keeps at most one connection to a server.
func newTransport(d Dial) *http.Transport {
	return &http.Transport{
		DialContext: d, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}

// Answer is the complete answer to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// IsFirst is set if no answer came before on the connection: then the server can't
	// have meant this one for another call.
	IsFirst bool
}

// isSuccess reports whether a server serves the call with the answer. It may send others
// once more where the next one is due.
func (a Answer) isSuccess() bool { return a.Status/100 == 2 }

// RoundTrip sends a call and returns the answer with a body of at most maxBytes.
func RoundTrip(t *http.Transport, req *http.Request, maxBytes int64) (Answer, error) {
	a := Answer{}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.IsFirst = !i.Reused }})
	client := http.Client{Transport: t}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Answer{}, trace.ConnectionProblem(err, "no answer from %s", req.URL.Host)
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, err = bounded.ReadAll(resp.Body, maxBytes)
	return a, trace.Wrap(err, "reading the answer from %s", req.URL.Host)
}

// Kept are connections for one kind of calls that only read. A connection carries one call
// at a time, and no further one after an answer that is in doubt or no success.
type Kept struct {
	dial     Dial
	maxBytes int64
	// mu guards the fields below.
	mu sync.Mutex
	// idle holds the connections that no call uses, sweepAt is when those are dropped that
	// the server or the transport has closed meanwhile.
	idle    map[server]idleConnection
	sweepAt clock.Instant
}

// server is an address and the instance that is expected there.
type server struct{ address, instance string }

// idleConnection is a transport that may have a connection until some time.
type idleConnection struct {
	transport *http.Transport
	until     clock.Instant
}

// NewKept returns connections for calls whose answers have bodies of at most maxBytes.
func NewKept(d Dial, maxBytes int64) *Kept {
	return &Kept{dial: d, maxBytes: maxBytes, idle: map[server]idleConnection{}}
}

// Call is a call that only reads.
type Call struct {
	*http.Request

	// Instance is the instance that is expected at the address, or empty.
	Instance string
	// Starts is set if the call follows no earlier one. It begins a connection.
	Starts bool
	// Fits reports whether a success answers this call, though others were answered before
	// on the connection. If not, the call is sent again on a new connection.
	Fits func(Answer) bool
	// Keeps reports whether another call may follow a success on its connection.
	Keeps func(Answer) bool
}

// RoundTrip sends a call and returns an answer that came first on its connection, fits the
// call or is no success.
func (k *Kept) RoundTrip(c Call) (Answer, error) {
	to := server{c.URL.Host, c.Instance}
	transport := k.take(to)
	if transport == nil || c.Starts {
		closeIdle(transport)
		transport = newTransport(k.dial)
	}
	a, err := RoundTrip(transport, c.Request, k.maxBytes)
	if err == nil && a.isSuccess() && !a.IsFirst && !c.Fits(a) {
		event.ControlAnswerDoubted.Info("Upstream", cmp.Or(to.instance, to.address), "Address", to.address, "Path", c.URL.Path, "Bytes", len(a.Body))
		transport.CloseIdleConnections()
		transport = newTransport(k.dial)
		a, err = RoundTrip(transport, c.Request, k.maxBytes)
	}
	if err != nil || !a.isSuccess() || !c.Keeps(a) {
		transport.CloseIdleConnections()
		return a, err
	}
	k.put(to, transport)
	return a, nil
}

// take returns the idle connection to a server, or nil. Only the caller uses it.
func (k *Kept) take(s server) *http.Transport {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.idle[s]
	delete(k.idle, s)
	return c.transport
}

// put makes a connection idle, in place of another one to the server.
func (k *Kept) put(s server, t *http.Transport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	closeIdle(k.idle[s].transport)
	k.idle[s] = idleConnection{t, now.Add(idleTimeout)}
	if now.Before(k.sweepAt) {
		return
	}
	k.sweepAt = now.Add(idleTimeout)
	for other, c := range k.idle {
		if !now.Before(c.until) {
			closeIdle(c.transport)
			delete(k.idle, other)
		}
	}
}

// closeIdle closes a transport's connection, if it has one.
func closeIdle(t *http.Transport) {
	if t != nil {
		t.CloseIdleConnections()
	}
}
