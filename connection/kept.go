// Package connection makes calls that only read over connections that are kept as long as
// nothing else can stand in the place of an answer.
package connection

import (
	"cmp"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/socket"
)

// idleTimeout is how long an idle connection of Kept stays open.
const idleTimeout = 2 * time.Second

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
	resp, err := socket.NewHTTPClient(t).Do(req.WithContext(ctx))
	if err != nil {
		return Answer{}, trace.ConnectionProblem(err, "no answer from %s", req.URL.Host)
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, err = bounded.ReadAll(resp.Body, maxBytes)
	return a, trace.Wrap(err, "reading the answer from %s", req.URL.Host)
}

// server is an address and the instance that is expected there.
type server struct{ address, instance string }

// Kept are connections for one kind of calls that only read. A connection carries one call
// at a time, and no further one after an answer that is in doubt or no success.
type Kept struct {
	pool     *Pool
	maxBytes int64
}

// NewKept returns connections for calls whose answers have bodies of at most maxBytes.
func NewKept(d Dial, maxBytes int64) *Kept {
	return &Kept{pool: NewPool(d, 1, idleTimeout), maxBytes: maxBytes}
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
	transport := k.pool.take(to)
	if c.Starts {
		transport.CloseIdleConnections()
		transport = k.pool.newTransport()
	}
	a, err := RoundTrip(transport.Transport, c.Request, k.maxBytes)
	if err == nil && a.isSuccess() && !a.IsFirst && !c.Fits(a) {
		event.ControlAnswerDoubted.Info("Upstream", cmp.Or(to.instance, to.address), "Address", to.address, "Path", c.URL.Path, "Bytes", len(a.Body))
		transport.CloseIdleConnections()
		transport = k.pool.newTransport()
		a, err = RoundTrip(transport.Transport, c.Request, k.maxBytes)
	}
	if err != nil || !a.isSuccess() || !c.Keeps(a) {
		transport.CloseIdleConnections()
		return a, err
	}
	k.pool.put(to, transport)
	return a, nil
}
