// Package attempt implements the state machine of one request: when the
// request is sent, which tokens the caller receives, whether a failed attempt
// is retried or resumed, and which outcome the request has.
//
// Step takes the state, one input, the time and a source of randomness, and
// returns the next state with the actions to carry out. The package does no
// I/O, so that tests can inject every failure at every step.
package attempt

import (
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// Limits bounds the attempts of one request.
type Limits struct {
	// MaxAttempts is the maximum number of sends, including the first one.
	MaxAttempts int
	// MaxLosses is the maximum number of attempts that may lose their engine
	// during the first tokens. It limits how many engines one request can crash.
	MaxLosses int
	// EarlyTokens is how many tokens of an attempt count as the first tokens.
	EarlyTokens int
	// InitialBackoff is the maximum backoff before the first retry. It doubles
	// with each retry.
	InitialBackoff time.Duration
	// MinRemaining is the shortest remaining time with which a request is
	// still sent.
	MinRemaining time.Duration
	// FirstTokenTimeout is the timeout for the first token of an attempt.
	FirstTokenTimeout time.Duration
	// TokenTimeout is the timeout for each further token.
	TokenTimeout time.Duration
	// MinRetryAfter is the shortest Retry-After that a caller receives.
	MinRetryAfter time.Duration
}

// DefaultLimits returns the limits that the daemon uses.
func DefaultLimits() Limits {
	return Limits{
		MaxAttempts: 4, MaxLosses: 2, EarlyTokens: 8, InitialBackoff: 20 * time.Millisecond, MinRemaining: 20 * time.Millisecond,
		FirstTokenTimeout: 20 * time.Second, TokenTimeout: 3 * time.Second, MinRetryAfter: time.Second,
	}
}

// Phase is what a request waits for.
type Phase int

// The phases.
const (
	// New waits for admission.
	New Phase = iota
	// Choosing waits for the choice of an engine.
	Choosing
	// Opening waits for the response header.
	Opening
	// Streaming waits for tokens and the end marker.
	Streaming
	// AwaitingBudget waits for a decision of the host's retry budget.
	AwaitingBudget
	// BackingOff waits until the backoff before a retry ends.
	BackingOff
	// Ended is final.
	Ended
)

// Target is the engine of an attempt and the assumptions behind its choice.
type Target struct {
	// Upstream is the name of the engine.
	Upstream string
	// Incarnation is the incarnation that the engine must still have; empty
	// when the choice doesn't rely on cached parts.
	Incarnation string
	// Estimate is the expected time to the first token; 0 if unknown.
	Estimate time.Duration
}

// State is the state of one request. It is immutable.
type State struct {
	limits     Limits
	idempotent bool
	weights    string
	// otherWeights is an alternative version of the weights, usable as long as
	// no engine can have started the request.
	otherWeights string
	deadline     time.Time
	// initialRemaining is the remaining time when the request was accepted.
	initialRemaining time.Duration

	phase Phase
	// attemptID identifies the current attempt; empty between attempts.
	attemptID string
	target    Target
	// incarnation is the one that the engine of the current attempt reported.
	incarnation string
	// waitUntil is when the phase times out; zero if it doesn't.
	waitUntil time.Time
	// position is the position of the last token delivered to the caller.
	position int
	// attemptTokens counts the tokens of the current attempt.
	attemptTokens int
	// mayHaveStarted reports whether an upstream may have started an earlier
	// attempt.
	mayHaveStarted bool
	tried          []string
	sends          int
	losses         int
	// resumeSameEngine makes the next attempt go to the same engine.
	resumeSameEngine bool
}

// Begin returns the state of a newly accepted request. Every token must come
// from the given version of the weights, unless no engine has it and the
// request has an OtherVersion.
func Begin(l Limits, r request.Request, weights string, now time.Time) State {
	if r.ResumeAfter > 0 {
		r.OtherVersion = ""
	}
	return State{
		limits: l, idempotent: r.Idempotent, weights: weights, otherWeights: r.OtherVersion,
		deadline: now.Add(r.Remaining), initialRemaining: r.Remaining, position: r.ResumeAfter,
	}
}

// Phase returns what the request waits for.
func (s State) Phase() Phase { return s.phase }

// Position returns the position of the last token delivered to the caller.
func (s State) Position() int { return s.position }

// Weights returns the version of the weights that every token must come from.
func (s State) Weights() string { return s.weights }

// Attempt returns the ID of the current attempt, or "".
func (s State) Attempt() string { return s.attemptID }

// NextTimer returns when to step with TimerFired: at the timeout of the phase
// or at the deadline, whichever is first.
func (s State) NextTimer() time.Time {
	if s.waitUntil.IsZero() || s.waitUntil.After(s.deadline) {
		return s.deadline
	}
	return s.waitUntil
}

// remaining returns the time until the deadline, limited to the initial
// remaining time in case the clock steps back.
func (s State) remaining(now time.Time) time.Duration {
	return min(s.deadline.Sub(now), s.initialRemaining)
}

// inFlight reports whether an upstream may be running the current attempt.
func (s State) inFlight() bool { return s.attemptID != "" }
