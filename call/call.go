// Package call holds a caller's request, the request sent to an upstream for it
// and the answer, independent of their names on the wire.
package call

import (
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/plannedstop"
)

// ErrStopping is the cause that ends the context of a request whose host stops: it is
// answered at once.
var ErrStopping = errors.New("the host stops")

// Field is a header field that is forwarded unchanged.
type Field struct{ Name, Value string }

// Part is one named part of a prompt, with its exact size.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request to a model.
type Prompt struct {
	// Model is "" for a request that has no prompt.
	Model string
	// Parts of the prompt in order. The last one belongs to the request or its
	// session, the others are shared with other requests.
	Parts []Part
	// Input and MaxOutput are numbers of tokens.
	Input, MaxOutput int
}

// Shared returns the parts that are shared with other requests.
func (p Prompt) Shared() []Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// Call is one request of a caller.
type Call struct {
	// ID is the caller's ID of this request; it is never reused.
	ID string
	// Method, Target (path and query) and Body are forwarded unchanged.
	Method, Target string
	Body           []byte
	// Host and Path select the route. Authority is the host as sent by the
	// caller.
	Host, Path, Authority string
	// Key authenticates the client account; it is never forwarded or logged.
	Key string
	// Remaining is how long after Arrived the caller waits; 0 if unspecified.
	Remaining time.Duration
	Arrived   clock.Instant
	// ResumeAfter is the ID of the last event that the caller has received, or
	// "".
	ResumeAfter string
	// BeganBy is the ID of the caller's request that brought the first event of the
	// stream that this one resumes, or "".
	BeganBy string
	Prompt  Prompt
	Fields  []Field
	// Stop is the plan of this host's stop; zero if it isn't stopping.
	Stop plannedstop.Plan
	// Relayed reports whether another host passed the request on to this one, and
	// Attempts how many earlier attempts of it may have run.
	Relayed  bool
	Attempts int
	// Progress is told where the request is; it may be nil.
	Progress *Progress
}

// Began returns the ID of the caller's request that began the answer: an earlier one
// if this one resumes its stream.
func (c Call) Began() string {
	if c.ResumeAfter != "" && c.BeganBy != "" {
		return c.BeganBy
	}
	return c.ID
}

// UpstreamRequest is the request sent to one upstream for a call.
type UpstreamRequest struct {
	Call

	// Instance is the ID of the only upstream that may run the request.
	Instance string
	// Timeout is how long the upstream may work on the request.
	Timeout time.Duration
	// Account is the name of the client account, or "".
	Account string
	// Priority ranks the request at an engine: 0 is first, negative is unset.
	Priority int
	// Weights is the weights version that must answer; 0 for any.
	Weights int64
	// Salt separates cached parts that must not be shared.
	Salt string
	// FetchFrom is the IP:port from which the upstream may fetch cached parts,
	// SaveTo the IP:port to which it saves new parts. "" for none.
	FetchFrom, SaveTo string
	// MemoryHandle is the source engine's handle of the KV cache of a migrated
	// request, which continues with it. "" for none.
	MemoryHandle string
}

// Migration is the result of migrating a running request to another engine.
type Migration struct {
	// MemoryHandle identifies the request's KV cache; "" if the request
	// continues on its engine.
	MemoryHandle string
	// Transferred reports whether the target engine has the KV cache. Otherwise
	// the source engine keeps it and the request continues there.
	Transferred bool
}

// SelfReport is the status that an upstream reports about itself in an answer.
type SelfReport struct {
	Status int
	// Instance is the ID of the upstream that answered; "" if not reported.
	Instance string
	// Leaving reports whether the upstream accepts no more requests.
	Leaving bool
	// RetryAfter is the pause that the upstream asks for; 0 if none.
	// InvalidRetryAfter is the value of the header if it is not a valid time.
	RetryAfter        time.Duration
	InvalidRetryAfter string
	// Limited reports whether the upstream limits its requests, and
	// RequestsPerSecond how many it then takes from all hosts together.
	// InvalidLimit is the value of the header if it is not a valid rate.
	Limited           bool
	RequestsPerSecond float64
	InvalidLimit      string
	// Brittle reports whether the upstream falls over when it has to reject more than
	// a few requests a second for want of room.
	Brittle bool
}

// Head is the response header of an upstream's answer.
type Head struct {
	SelfReport

	// CallID is the ID of the call that the answer belongs to.
	CallID string
	// Certified reports whether the answer has the upstream's signature.
	Certified bool
	// NotRun reports whether the upstream guarantees that it did not run the
	// request.
	NotRun bool
	// Encoded reports whether the body has a content encoding, so that it isn't
	// as the upstream produced it.
	Encoded bool
	// EventStream reports whether the body is a stream of events.
	EventStream bool
	// Weights is the weights version that answered; 0 if not reported.
	Weights int64
	// Elsewhere reports whether another host that was passed the request asks for
	// it to be passed to yet another one; it has not run.
	Elsewhere bool
	// Close reports whether the connection closes after the answer.
	Close bool
	// KeepAlive is how long the upstream keeps an idle connection open; 0 if
	// not reported.
	KeepAlive time.Duration
	// Fields are forwarded to the caller.
	Fields []Field
}

// Answer is the answer to the caller.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
	// HeldBytes is the room that Body takes until its caller has taken it.
	HeldBytes int
	// Stream, if set, replaces Body. An error other than io.EOF must reach the
	// caller as an incomplete answer. Its reader closes it.
	Stream io.ReadCloser
	// RetryAfter, if above 0, is how long the caller waits before a retry.
	RetryAfter time.Duration
	// Reason is set if the router generated the answer; "" for an upstream's.
	Reason Reason
}

// Reason is why a request got no answer from an upstream.
type Reason string

// The reasons, with the HTTP status that callers receive.
const (
	NotReady     Reason = "NotReady"     // 503: no configuration received yet
	Stale        Reason = "Stale"        // 503: the configuration may be outdated
	NoRoute      Reason = "NoRoute"      // 404
	NoAccount    Reason = "NoAccount"    // 401
	BadCall      Reason = "BadCall"      // 400
	AccountLimit Reason = "AccountLimit" // 429: the account has used up its limit
	NoCredit     Reason = "NoCredit"     // 503: no host granted credit of the account's limit
	NoUpstream   Reason = "NoUpstream"   // 503: no upstream can run it now
	NotRun       Reason = "NotRun"       // 503: upstreams rejected it
	Overloaded   Reason = "Overloaded"   // 503: all queues are too long
	Resting      Reason = "Resting"      // 503: every suitable upstream asked for a Retry-After pause
	Limited      Reason = "Limited"      // 503: every suitable upstream is at the limit that it named, or asked for a pause
	Stopping     Reason = "Stopping"     // 503: this host is stopping
	Isolated     Reason = "Isolated"     // 503: this host reaches no upstream of the service
	Relayed      Reason = "Relayed"      // as the host answered that the request was passed on to
	Unresumable  Reason = "Unresumable"  // 503: no upstream may continue the stream
	Quarantined  Reason = "Quarantined"  // 503: it crashed the upstreams that ran it
	Unknown      Reason = "Unknown"      // 502: it may have run
	TimedOut     Reason = "TimedOut"     // 504: it may have run
	DeadlinePast Reason = "DeadlinePast" // 504: its deadline had passed
	CallerLeft   Reason = "CallerLeft"   // the caller disconnected; nobody reads the answer
)

// statuses maps reasons to HTTP statuses. Statuses that promise that the request
// did not run are used only for reasons that imply it.
var statuses = map[Reason]int{
	NotReady: 503, Stale: 503, NoRoute: 404, NoAccount: 401, BadCall: 400, AccountLimit: 429, NoCredit: 503, NoUpstream: 503,
	NotRun: 503, Overloaded: 503, Resting: 503, Limited: 503, Stopping: 503, Isolated: 503, Unresumable: 503, Quarantined: 503, Unknown: 502, TimedOut: 504, DeadlinePast: 504, CallerLeft: 502,
}

// Elsewhere reports whether other hosts may serve a request that was refused for the
// reason.
func (r Reason) Elsewhere() bool { return r == NotReady || r == Stopping || r == Isolated }

// Refuse returns an answer generated by the router.
func Refuse(r Reason) Answer {
	return Answer{Status: statuses[r], Reason: r, Body: []byte(`{"Reason":` + strconv.Quote(string(r)) + `}`)}
}

// WithRetryAfter returns the answer with a Retry-After.
func (a Answer) WithRetryAfter(d time.Duration) Answer {
	a.RetryAfter = d
	return a
}
