// Package retry decides what follows a try to have a request run: another
// try, or which answer. The package does no I/O.
package retry

import (
	"github.com/kumquathoist/kumquathoist/call"
)

// maxNotRun bounds the tries that upstreams turned away: each of them counts
// as an arrival there.
const maxNotRun = 3

// maxUnsent bounds the tries that reached no upstream: after a crash of many,
// several in a row may be gone.
const maxUnsent = 8

// Outcome is how one try ended.
type Outcome int

// The outcomes.
const (
	// NotSent means that no byte reached an upstream.
	NotSent Outcome = iota + 1
	// TurnedAway means that the upstream promises that it did not run.
	TurnedAway
	// Broken means that it was sent and no whole answer came.
	Broken
	// Late means that no answer came in the time for this try.
	Late
	// Failed means that the upstream answered with an error of its own.
	Failed
	// Answered means that the upstream's answer can be passed on.
	Answered
)

// String names the outcome in logs.
func (o Outcome) String() string {
	return [...]string{"", "NotSent", "TurnedAway", "Broken", "Late", "Failed", "Answered"}[o]
}

// State is what is known of a request so far.
type State struct {
	// MayRepeat tells that it may run more than once.
	MayRepeat bool
	// MaxUpstreams bounds the upstreams that may run it.
	MaxUpstreams int
	// Ran counts the tries that may have run, Turned those that upstreams turned
	// away, Unsent those that reached none.
	Ran, Turned, Unsent int
	// Late tells that the last of them ran out of time.
	Late bool
	// Failure tells that an upstream's own error can be passed on.
	Failure bool
}

// With returns the state after a try.
func (s State) With(o Outcome) State {
	switch o {
	case NotSent:
		s.Unsent++
	case TurnedAway:
		s.Turned++
	case Broken, Late:
		s.Ran++
		s.Late = o == Late
	case Failed:
		s.Ran++
		s.Failure = true
	}
	return s
}

// Again tells whether another try may help and is allowed.
func (s State) Again() bool {
	if s.Turned > maxNotRun || s.Unsent > maxUnsent {
		return false
	}
	return s.Ran == 0 || s.MayRepeat && s.Ran < max(1, s.MaxUpstreams)
}

// Final returns why the request got no answer. Only a request that no
// upstream can have run is said not to have run.
func (s State) Final() call.Reason {
	switch {
	case s.Ran == 0 && s.Turned == 0 && s.Unsent == 0:
		return call.NoUpstream
	case s.Ran == 0:
		return call.NotRun
	case s.Late:
		return call.TimedOut
	}
	return call.Unknown
}
