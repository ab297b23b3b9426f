// Package attempt decides the life of one request: when it is sent, what is
// passed on to the caller, whether a failed attempt goes on elsewhere, and
// which outcome the request has.
//
// Step takes the state, one input, the time and a source of randomness, and
// returns the next state with the actions to carry out. The package does no
// I/O, so that every failure can be put at every step in a test.
package attempt

import (
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// Limits bounds the attempts of one request.
type Limits struct {
	// Attempts is the most sends of a request, the first one included.
	Attempts int
	// Losses is the most attempts that may end with a lost engine in their
	// first tokens, so that a request that crashes engines takes few.
	Losses int
	// Early is how many tokens of an attempt count as its first.
	Early int
	// Pause bounds the pause before the first repeat; it doubles with each.
	Pause time.Duration
	// Least is the shortest remaining time that is worth a send.
	Least time.Duration
	// FirstToken bounds the wait for the first token of an attempt.
	FirstToken time.Duration
	// Token bounds the wait for each further token.
	Token time.Duration
	// RetryAfter is the least time after which a caller may come back.
	RetryAfter time.Duration
}

// DefaultLimits returns the limits of the daemon.
func DefaultLimits() Limits {
	return Limits{
		Attempts: 4, Losses: 2, Early: 8, Pause: 20 * time.Millisecond, Least: 20 * time.Millisecond,
		FirstToken: 20 * time.Second, Token: 3 * time.Second, RetryAfter: time.Second,
	}
}

// Phase tells what a request waits for.
type Phase int

// The phases.
const (
	// New waits for its admission.
	New Phase = iota
	// Choosing waits for the choice of an engine.
	Choosing
	// Opening waits for the head of an answer.
	Opening
	// Streaming waits for tokens and the end.
	Streaming
	// Budgeting waits for the host's retry budget.
	Budgeting
	// Pausing waits before a repeat.
	Pausing
	// Ended waits for nothing.
	Ended
)

// Target is the engine of an attempt and what its choice relies on.
type Target struct {
	// Upstream names the engine.
	Upstream string
	// Incarnation is what the engine must still be; empty when the choice
	// relies on nothing cached.
	Incarnation string
	// Estimate is the expected time to the first token; 0 when not known.
	Estimate time.Duration
}

// State is the state of one request. It is immutable.
type State struct {
	limits     Limits
	repeatable bool
	weights    string
	// other is a version of the weights that the request may use instead, as
	// long as no engine can have started it.
	other    string
	deadline time.Time
	// allowed is the time that the request had at first.
	allowed time.Duration

	phase Phase
	// id identifies the current attempt; empty between attempts.
	id     string
	target Target
	// incarnation is what the engine of the current attempt answered with.
	incarnation string
	// wake is when the wait of the phase ends.
	wake time.Time
	// position is the last token passed on to the caller.
	position int
	// tokens counts the tokens of the current attempt.
	tokens int
	// started tells that an upstream may have started an earlier attempt.
	started bool
	tried   []string
	sends   int
	losses  int
	// resume tells that the next attempt goes to the same engine.
	resume bool
}

// Begin returns the state of a request that was just accepted. The weights
// are the model's version that every token must come from, unless no engine
// has it and the request names another.
func Begin(l Limits, r request.Request, weights string, now time.Time) State {
	if r.ResumeAfter > 0 {
		r.OtherVersion = ""
	}
	return State{
		limits: l, repeatable: r.Repeatable, weights: weights, other: r.OtherVersion,
		deadline: now.Add(r.Remaining), allowed: r.Remaining, position: r.ResumeAfter,
	}
}

// Phase returns what the request waits for.
func (s State) Phase() Phase { return s.phase }

// Position returns the last token that was passed on to the caller.
func (s State) Position() int { return s.position }

// Weights returns the version that every token must come from.
func (s State) Weights() string { return s.weights }

// Attempt returns the id of the current attempt, or "".
func (s State) Attempt() string { return s.id }

// Wake returns when to step with Woken: the end of the phase's wait or the
// deadline, whichever is first.
func (s State) Wake() time.Time {
	if s.wake.IsZero() || s.wake.After(s.deadline) {
		return s.deadline
	}
	return s.wake
}

// remaining returns the time left. A clock that steps back gives no more time
// than the request had.
func (s State) remaining(now time.Time) time.Duration {
	return min(s.deadline.Sub(now), s.allowed)
}

// open tells that an upstream may be running the current attempt.
func (s State) open() bool { return s.id != "" }
