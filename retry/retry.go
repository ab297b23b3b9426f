// Package retry decides whether a failed attempt of a request is retried, and
// what the caller is answered if not. The package does no I/O.
package retry

import (
	"github.com/kumquathoist/kumquathoist/call"
)

// maxRejected bounds the retries after rejections by upstreams, since each
// rejected attempt counts as a request there.
const maxRejected = 3

// maxUnsent bounds the retries after attempts that reached no upstream. When
// many have crashed, several in a row may be unreachable.
const maxUnsent = 8

// Outcome is the result of one attempt.
type Outcome int

// The outcomes.
const (
	// NotSent means that no byte reached an upstream.
	NotSent Outcome = iota + 1
	// Rejected means that the upstream promises that the request did not run.
	Rejected
	// Broken means that the request was sent and no complete answer arrived.
	Broken
	// Late means that no answer arrived within the timeout of the attempt.
	Late
	// Failed means that the upstream answered with an error of its own.
	Failed
	// Answered means that the upstream's answer can be relayed.
	Answered
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"", "NotSent", "TurnedAway", "Broken", "Late", "Failed", "Answered"}[o]
}

// State holds the results of a request's attempts so far.
type State struct {
	// Idempotent requests may run more than once.
	Idempotent bool
	// MaxUpstreams bounds the upstreams that may run the request.
	MaxUpstreams int
	// MaybeExecuted counts the attempts that may have run, Rejected those that
	// upstreams rejected, Unsent those that reached no upstream.
	MaybeExecuted, Rejected, Unsent int
	// Ended counts the attempts of MaybeExecuted whose upstream's process has ended since;
	// the limit of upstreams leaves out as many of them as it allows others.
	Ended int
	// TimedOut is set if the last Broken or Late attempt was Late.
	TimedOut bool
	// UpstreamError is set if an upstream's own error can be relayed.
	UpstreamError bool
}

// With returns the state after an attempt.
func (s State) With(o Outcome) State {
	switch o {
	case NotSent:
		s.Unsent++
	case Rejected:
		s.Rejected++
	case Broken, Late:
		s.MaybeExecuted++
		s.TimedOut = o == Late
	case Failed:
		s.MaybeExecuted++
		s.UpstreamError = true
	}
	return s
}

// ShouldRetry reports whether a retry may help and is allowed.
func (s State) ShouldRetry() bool {
	if s.Rejected > maxRejected || s.Unsent > maxUnsent {
		return false
	}
	return s.MaybeExecuted == 0 || s.Idempotent && s.RunsLeft() > 0
}

// RunsLeft returns at how many more upstreams an idempotent request may run.
func (s State) RunsLeft() int {
	most := max(1, s.MaxUpstreams)
	return most + min(s.Ended, most) - s.MaybeExecuted
}

// FailureReason returns why the request got no answer. It is call.NotRun only if
// no upstream can have run the request.
func (s State) FailureReason() call.Reason {
	switch {
	case s.MaybeExecuted == 0 && s.Rejected == 0 && s.Unsent == 0:
		return call.NoUpstream
	case s.MaybeExecuted == 0:
		return call.NotRun
	case s.TimedOut:
		return call.TimedOut
	}
	return call.Unknown
}
