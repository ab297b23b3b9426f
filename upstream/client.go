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
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/bounded"
	"github.com/kumquathoist/kumquathoist/connection"
	"github.com/kumquathoist/kumquathoist/socket"
)

const (
	// dialTimeout bounds the time to connect to an upstream.
	dialTimeout = time.Second
	// maxSilence is how long an upstream's host may acknowledge nothing before a
	// connection to it is closed.
	maxSilence = 3 * time.Second
	// maxIdleConnections is the number of idle connections to an engine that are kept for
	// completions, idleTimeout how long they stay open.
	maxIdleConnections = 64
	idleTimeout        = 30 * time.Second
	// skipRestTimeout bounds the wait for the last bytes of an ended stream.
	skipRestTimeout = 100 * time.Millisecond
	// maxAnswerBytes bounds an answer of a plain service, which is buffered completely,
	// maxBufferedBytes all answers that are being read.
	maxAnswerBytes   = 32 << 20
	maxBufferedBytes = 128 << 20
	// maxReportBytes bounds what an engine reports of itself in one answer.
	maxReportBytes = 4 << 20
)

// Headers of calls and answers that prove which call was answered, and that it didn't start.
const (
	attemptHeader    = "X-Attempt-Id"
	callHeader       = "X-Call-Id"
	notStartedHeader = "X-Not-Started"
)

// Call is one attempt of a request at an upstream.
type Call struct {
	// Address is the upstream's IP:port.
	Address string
	Method  string
	Path    string
	Body    []byte
	// ContentType and Accept are the caller's. Without a ContentType, the body
	// is JSON.
	ContentType, Accept string
	// Request and Attempt are the IDs of the request and of this attempt.
	Request, Attempt string
	// Salt keeps the cached prefixes of accounts separate.
	Salt string
	// Incarnation and Weights are the engine's incarnation and weights version
	// that the choice of the engine relied on, or empty if it relied on none.
	Incarnation, Weights string
	// ResumeAfter is the position of the last token that the caller received.
	ResumeAfter int
	// Priority orders requests on the engine.
	Priority int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Key is the idempotency key for a plain service.
	Key string
}

// ErrWrongAttempt is wrapped by the error for an answer that nothing shows to be the one to
// its call: it names another attempt, or none on a connection that was used before.
var ErrWrongAttempt = errors.New("the answer belongs to another attempt")

// NotStarted is returned when an upstream certainly did not start a call: it
// said so, or nothing was sent.
type NotStarted struct{ Reason string }

// Error implements error.
func (n *NotStarted) Error() string { return "not started: " + n.Reason }

// Rejected is returned when an engine rejected the request as invalid.
type Rejected struct {
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (r *Rejected) Error() string { return "rejected with " + http.StatusText(r.Status) }

// Client calls upstreams. It never retries a call.
//
// An upstream may send an earlier answer once more where the next one is due, and
// nothing but an ID in the answer tells the two apart. So a connection is kept only after a
// complete stream that names its attempt, and after reports of engines that repeat the ID of
// the call; each other call has a connection of its own, on which no other answer can arrive.
type Client struct {
	single      *http.Client
	completions *connection.Pool
	reports     *connection.Kept
	budget      *bounded.Budget
}

// NewClient returns a client that keeps a few idle connections to each
// upstream.
func NewClient() *Client {
	dial := socket.NewDialer(dialTimeout, maxSilence).DialContext
	return &Client{
		single: socket.NewHTTPClient(connection.NewOnce(dial)), completions: connection.NewPool(dial, maxIdleConnections, idleTimeout),
		reports: connection.NewKept(dial, maxReportBytes), budget: bounded.NewBudget(maxBufferedBytes),
	}
}

// Stream is the open answer of an engine.
type Stream struct {
	*Decoder

	// Attempt, Incarnation and Weights are from the engine's response headers.
	Attempt, Incarnation, Weights string
	// CachedTokens is the number of prompt tokens that the engine had cached.
	CachedTokens int
	body         io.ReadCloser
	// keep makes the connection idle, drop closes it if it is unused.
	keep, drop func()
}

// SkipRest reads and discards the rest of an ended stream, so that its connection
// can be reused. It is called at most once.
func (s *Stream) SkipRest() {
	timer := time.AfterFunc(skipRestTimeout, func() { _ = s.body.Close() })
	defer timer.Stop()
	if _, err := io.Copy(io.Discard, s.body); err == nil {
		s.drop = func() {}
		s.keep()
	}
}

// Close ends the stream, and its connection unless SkipRest has read the whole stream.
func (s *Stream) Close() {
	_ = s.body.Close()
	s.drop()
}

// Open starts a completion. It returns *NotStarted if the engine reported that it
// did not start the call or nothing was sent, *Rejected if the engine rejected
// the request as invalid, and trace.ConnectionProblem if the engine may have
// started it. The caller must check which attempt, incarnation and weights answered.
func (c *Client) Open(ctx context.Context, call Call) (*Stream, error) {
	transport := c.completions.Take(call.Address)
	resp, err := send(ctx, socket.NewHTTPClient(transport.Transport), call)
	if isBroken(ctx, err) {
		c.completions.DropAll(call.Address)
	}
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		_ = resp.Body.Close()
		err = &Rejected{Status: resp.StatusCode}
	}
	if err != nil {
		transport.CloseIdleConnections()
		return nil, err
	}
	keep := transport.CloseIdleConnections
	if resp.Header.Get(attemptHeader) == call.Attempt {
		keep = func() { c.completions.Put(call.Address, transport) }
	}
	body := &answerBody{ReadCloser: resp.Body, ctx: ctx, onBroken: func() { c.completions.DropAll(call.Address) }}
	cached, _ := strconv.Atoi(resp.Header.Get("X-Cached-Tokens"))
	return &Stream{
		Decoder:      NewDecoder(body),
		Attempt:      resp.Header.Get(attemptHeader),
		Incarnation:  resp.Header.Get("X-Incarnation"),
		Weights:      resp.Header.Get("X-Weights"),
		CachedTokens: cached,
		body:         body,
		keep:         keep,
		drop:         transport.CloseIdleConnections,
	}, nil
}

// Answer is the complete answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Run calls a plain service, which may name the attempt in its answer or not. It returns the same errors as Open.
func (c *Client) Run(ctx context.Context, call Call) (Answer, error) {
	resp, err := send(ctx, c.single, call)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := c.budget.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return Answer{}, trace.ConnectionProblem(err, "the answer was truncated")
	}
	return Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

// send sends a call once and converts answers that mean that the upstream failed
// or did not start the call to errors.
func send(ctx context.Context, client *http.Client, call Call) (*http.Response, error) {
	req, err := newRequest(ctx, call)
	if err != nil {
		return nil, &NotStarted{Reason: err.Error()}
	}
	reused := false
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused },
	}))
	resp, err := client.Do(req)
	var dialErr *net.OpError
	if errors.As(err, &dialErr) && dialErr.Op == "dial" {
		return nil, &NotStarted{Reason: err.Error()}
	}
	if err != nil {
		return nil, trace.ConnectionProblem(brokenError{err}, "no answer from %s", call.Address)
	}
	if !belongsTo(resp, call, reused) {
		_ = resp.Body.Close()
		return nil, trace.ConnectionProblem(ErrWrongAttempt, "%s answered %s to attempt %q instead of %q", call.Address, resp.Status, resp.Header.Get(attemptHeader), call.Attempt)
	}
	if resp.Header.Get(notStartedHeader) == "true" {
		_ = resp.Body.Close()
		return nil, &NotStarted{Reason: resp.Status}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		_ = resp.Body.Close()
		return nil, trace.ConnectionProblem(nil, "%s answered %s", call.Address, resp.Status)
	}
	return resp, nil
}

// belongsTo reports whether an answer is shown to be the one to its call. An upstream may
// send an earlier answer once more on a connection that was used before. A status of 500 or
// above promises nothing, whichever call it answers.
func belongsTo(resp *http.Response, call Call, reused bool) bool {
	attempt := resp.Header.Get(attemptHeader)
	if attempt == call.Attempt {
		return true
	}
	if attempt != "" || resp.Header.Get(notStartedHeader) == "true" {
		return false
	}
	return !reused || resp.StatusCode >= http.StatusInternalServerError
}

// newRequest builds the HTTP request of a call. GetBody is nil and the body is
// never http.NoBody, since net/http would otherwise retry a request with an
// idempotency key by itself.
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
		attemptHeader:          call.Attempt,
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

// Cancel asks an engine to cancel an attempt.
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
	resp, err := c.single.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "cancelling an attempt at %s", address)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.ConnectionProblem(nil, "%s answered the cancellation with %s", address, resp.Status)
	}
	return nil
}
