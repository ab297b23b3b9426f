// Package upstream holds the clients of engines and plain services.
package upstream

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
)

const (
	// dialTimeout bounds the time to connect to an upstream.
	dialTimeout = time.Second
	// drainTimeout bounds the wait for the last bytes of an ended stream.
	drainTimeout = 100 * time.Millisecond
	// maxAnswerBytes bounds an answer of a plain service, which is held whole.
	maxAnswerBytes = 32 << 20
)

// Call is one attempt at an upstream.
type Call struct {
	// Address is the upstream's IP:port.
	Address string
	Method  string
	Path    string
	Body    []byte
	// ContentType and Accept are the caller's; without them the body is JSON.
	ContentType, Accept string
	// Request and Attempt identify the request and this try.
	Request, Attempt string
	// Salt separates the cached prefixes of accounts.
	Salt string
	// Incarnation and Weights are what the choice of the engine relied on;
	// empty when it relied on nothing.
	Incarnation, Weights string
	// ResumeAfter is the position of the last token that the caller has.
	ResumeAfter int
	// Priority orders requests on the engine.
	Priority int
	// Remaining is the time left for the request.
	Remaining time.Duration
	// Key is passed on to a plain service.
	Key string
}

// Load is an engine's load report.
type Load struct {
	Name        string
	Incarnation int64
	Version     string
	Running     int
	Queued      int
	Leaving     bool
	// Loading tells that the engine loads and takes no requests.
	Loading bool
	// Fence is the greatest fencing number of orders that the engine checked.
	Fence    int64
	Role     string
	Adapters []string
}

// NotStarted tells that an upstream proved that it did not start a call.
type NotStarted struct{ Reason string }

// Error makes NotStarted an error.
func (n *NotStarted) Error() string { return "not started: " + n.Reason }

// Rejected tells that an engine refused a request for what it asks.
type Rejected struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error makes Rejected an error.
func (r *Rejected) Error() string { return "rejected with " + http.StatusText(r.Status) }

// Client calls upstreams. It never sends a call twice by itself.
type Client struct {
	http *http.Client
}

// NewClient returns a client that keeps a few idle connections to each
// upstream.
func NewClient() *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Stream is an open answer of an engine.
type Stream struct {
	*Decoder

	// Attempt, Incarnation and Weights are what the engine answered with.
	Attempt, Incarnation, Weights string
	// CachedTokens is how much of the prompt the engine had cached.
	CachedTokens int
	body         io.ReadCloser
}

// Drain reads the rest of an ended stream, so that its connection can be
// used again.
func (s *Stream) Drain() {
	timer := time.AfterFunc(drainTimeout, s.Close)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, s.body)
}

// Close ends the stream.
func (s *Stream) Close() { _ = s.body.Close() }

// Open starts a completion. It returns *NotStarted when the engine proved
// that it did not start or nothing was sent, *Rejected when the engine
// refused the request itself, and trace.ConnectionProblem when it may have
// started. The caller checks whose answer it is.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	resp, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		_ = resp.Body.Close()
		return nil, &Rejected{Status: resp.StatusCode}
	}
	cached, _ := strconv.Atoi(resp.Header.Get("X-Cached-Tokens"))
	return &Stream{
		Decoder:      NewDecoder(resp.Body),
		Attempt:      resp.Header.Get("X-Attempt-Id"),
		Incarnation:  resp.Header.Get("X-Incarnation"),
		Weights:      resp.Header.Get("X-Weights"),
		CachedTokens: cached,
		body:         resp.Body,
	}, nil
}

// Answer is a whole answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Run calls a plain service. Its errors are those of Open.
func (c *Client) Run(ctx context.Context, call Call) (Answer, error) {
	resp, err := c.send(ctx, call)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, trace.ConnectionProblem(err, "the answer was cut")
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// send sends a call once and sorts out answers of upstreams that did not
// start it.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, error) {
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, &NotStarted{Reason: err.Error()}
	}
	resp, err := c.http.Do(req)
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return nil, &NotStarted{Reason: err.Error()}
	}
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no answer from %s", call.Address)
	}
	if resp.Header.Get("X-Not-Started") == "true" {
		reason, _ := io.ReadAll(io.LimitReader(resp.Body, 1024))
		_ = resp.Body.Close()
		return nil, &NotStarted{Reason: string(reason)}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		_ = resp.Body.Close()
		return nil, trace.ConnectionProblem(nil, "%s answered %s", call.Address, resp.Status)
	}
	return resp, nil
}

// newRequest builds the HTTP request of a call. GetBody is cleared and the
// body is never http.NoBody, since net/http would otherwise send a request
// with an idempotency key twice.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(call.Body))
	headers := map[string]string{
		"Content-Type":         cmp.Or(call.ContentType, "application/json"),
		"Accept":               call.Accept,
		"X-Request-Id":         call.Request,
		"X-Attempt-Id":         call.Attempt,
		"X-Cache-Salt":         call.Salt,
		"X-Expect-Incarnation": call.Incarnation,
		"X-Expect-Weights":     call.Weights,
		"X-Priority":           strconv.Itoa(call.Priority),
		"X-Remaining-Millis":   strconv.FormatInt(call.Remaining.Milliseconds(), 10),
		"Idempotency-Key":      call.Key,
	}
	if call.ResumeAfter > 0 {
		headers["X-Resume-After"] = strconv.Itoa(call.ResumeAfter)
	}
	for name, value := range headers {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req, nil
}

// Cancel tells an engine that an attempt was abandoned.
func (c *Client) Cancel(ctx context.Context, address, attempt string) error {
	raw, err := json.Marshal(struct{ Attempt string }{attempt})
	if err != nil {
		return trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/control/cancel", bytes.NewReader(raw))
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "cancelling at %s", address)
	}
	return trace.Wrap(resp.Body.Close())
}

// Load asks an engine for its load.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/control/load", nil)
	if err != nil {
		return Load{}, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Load{}, trace.ConnectionProblem(err, "asking %s for its load", address)
	}
	defer resp.Body.Close()
	var load Load
	err = json.NewDecoder(resp.Body).Decode(&load)
	return load, trace.Wrap(err, "decoding the load of %s", address)
}
