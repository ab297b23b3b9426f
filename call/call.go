// Package call holds a caller's request, what is sent to an upstream for it
// and what comes back, without the names that these have on the wire.
package call

import (
	"io"
	"strconv"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// Field is a header field that is passed on unread.
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
	// Parts in their order. The last belongs to the request or its session,
	// the others are shared.
	Parts []Part
	// Input and MostOutput count tokens.
	Input, MostOutput int
}

// Shared returns the parts that other requests share.
func (p Prompt) Shared() []Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// Call is one request of a caller.
type Call struct {
	// ID is the caller's name for this request; it is never used again.
	ID string
	// Method, Target (path and query) and Body reach the upstream unchanged.
	Method, Target string
	Body           []byte
	// Host and Path select the route. Authority is the host as the caller
	// wrote it.
	Host, Path, Authority string
	// Key proves the client account; it is never passed on or logged.
	Key string
	// Remaining is how long the caller waits from Arrived on; 0 if it does
	// not say.
	Remaining time.Duration
	Arrived   clock.Instant
	// ResumeAfter names the last event that the caller has, or is "".
	ResumeAfter string
	Prompt      Prompt
	Fields      []Field
}

// Send is what one upstream is sent for a call.
type Send struct {
	Call

	// Instance is the id of the upstream that may run it.
	Instance string
	// Left is how long the upstream may work on it.
	Left time.Duration
	// Account is the name of the client account, or "".
	Account string
	// Priority ranks the request at an engine; 0 goes first, below 0 unset.
	Priority int
	// Weights is the number of the weights that must answer; 0 for any.
	Weights int64
	// Salt keeps cached parts apart that must not be mixed.
	Salt string
	// FetchFrom is the IP:port where the upstream may get cached parts, SaveTo
	// where it stores new ones; "" for none.
	FetchFrom, SaveTo string
	// Memory names the memory of a run that was moved, as its source calls it;
	// the run goes on with it. "" for none.
	Memory string
}

// Moved tells what became of moving a run from one engine to another.
type Moved struct {
	// Memory names the run's memory; "" if the run goes on where it was.
	Memory string
	// Arrived tells that the other engine has it. Otherwise the first one
	// keeps it, and the run goes on there.
	Arrived bool
}

// Word is what an upstream says of itself in an answer.
type Word struct {
	Status int
	// Instance is the id of the upstream that answered, if it says so.
	Instance string
	// Leaving tells that the upstream takes no more requests.
	Leaving bool
	// Rest is how long the upstream wants no requests; 0 if it doesn't say.
	// Unusable holds what it said if that is no such time.
	Rest     time.Duration
	Unusable string
}

// Head is the beginning of an upstream's answer.
type Head struct {
	Word

	// Call is the id of the call that the answer belongs to.
	Call string
	// Certified answers bear the upstream's signature.
	Certified bool
	// NotRun answers promise that the upstream did not run the request.
	NotRun bool
	// Encoded bodies are not as the upstream made them.
	Encoded bool
	// Weights is the number of the weights that answer; 0 if not said.
	Weights int64
	// Close tells that the connection ends with the answer.
	Close bool
	// KeepAlive is how long the upstream keeps an idle connection; 0 if not
	// said.
	KeepAlive time.Duration
	// Fields are passed on to the caller.
	Fields []Field
}

// Answer is what the caller gets.
type Answer struct {
	Status int
	Fields []Field
	Body   []byte
	// Stream, if set, replaces Body. An error other than io.EOF must reach
	// the caller as a broken answer. Its reader closes it.
	Stream io.ReadCloser
	// RetryAfter, if above 0, is when the caller may send the request again.
	RetryAfter time.Duration
	// Reason explains an answer of our own; "" for an upstream's answer.
	Reason Reason
}

// Reason tells why a request got no answer of an upstream.
type Reason string

// The reasons, with the status that callers get.
const (
	NotReady     Reason = "NotReady"     // 503: no configuration is known yet
	Stale        Reason = "Stale"        // 503: the configuration may be outdated
	NoRoute      Reason = "NoRoute"      // 404
	NoAccount    Reason = "NoAccount"    // 401
	BadCall      Reason = "BadCall"      // 400
	NoUpstream   Reason = "NoUpstream"   // 503: none can run it now
	NotRun       Reason = "NotRun"       // 503: upstreams turned it away
	Overloaded   Reason = "Overloaded"   // 503: too much waits everywhere
	Resting      Reason = "Resting"      // 503: all that could run it have asked for time
	Stopping     Reason = "Stopping"     // 503: this host is about to end
	Quarantined  Reason = "Quarantined"  // 503: it crashed the upstreams that ran it
	Unknown      Reason = "Unknown"      // 502: it may have run
	TimedOut     Reason = "TimedOut"     // 504: it may have run
	DeadlinePast Reason = "DeadlinePast" // 504: no time was left
	CallerLeft   Reason = "CallerLeft"   // nobody is there to read an answer
)

// statuses maps reasons to HTTP statuses. Those that promise that nothing ran
// are used only for reasons that imply it.
var statuses = map[Reason]int{
	NotReady: 503, Stale: 503, NoRoute: 404, NoAccount: 401, BadCall: 400, NoUpstream: 503,
	NotRun: 503, Overloaded: 503, Resting: 503, Stopping: 503, Quarantined: 503, Unknown: 502, TimedOut: 504, DeadlinePast: 504, CallerLeft: 502,
}

// Refuse returns an answer of our own.
func Refuse(r Reason) Answer {
	return Answer{Status: statuses[r], Reason: r, Body: []byte(`{"Reason":` + strconv.Quote(string(r)) + `}`)}
}

// WithRetryAfter returns the answer with a time to come back.
func (a Answer) WithRetryAfter(d time.Duration) Answer {
	a.RetryAfter = d
	return a
}
