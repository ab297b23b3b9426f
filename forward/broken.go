package forward

import (
	"context"
	"errors"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/retry"
)

// phase is what a stream that no upstream serves was doing last.
type phase string

// The phases.
const (
	// atUpstream means that its upstream had failed and nothing was tried since.
	atUpstream phase = "AtUpstream"
	// awaitingMemory means that it waited for the end of a migration, or for its memory.
	awaitingMemory phase = "AwaitingMemory"
	// moved means that it was sent to an engine that has its memory.
	moved phase = "Moved"
	// betweenAttempts means that another attempt without its memory was due.
	betweenAttempts phase = "BetweenAttempts"
)

// denial is why no further attempt is made.
type denial string

// The denials.
const (
	deniedCallerLeft  denial = "CallerLeft"
	deniedDeadline    denial = "Deadline"
	deniedAttempts    denial = "Attempts"
	deniedRejections  denial = "Rejections"
	deniedQuarantined denial = "Quarantined"
	deniedBudget      denial = "Budget"
	// deniedNoUpstream means that no upstream was usable, or none of the stream's version.
	deniedNoUpstream denial = "NoUpstream"
	// deniedWaiting means that too many other streams waited for an upstream.
	deniedWaiting denial = "Waiting"
)

// retryDenial returns why no further attempt may be made after a failed one, apart from
// the retry budget, or "".
func (h *handler) retryDenial(ctx context.Context) denial {
	if d := h.endDenial(ctx); d != "" {
		return d
	}
	switch {
	case h.currentState().ShouldRetry():
	case (retry.State{Rejected: h.retryState.Rejected, Unsent: h.retryState.Unsent}).ShouldRetry():
		return deniedAttempts
	default:
		return deniedRejections
	}
	if h.isQuarantined() {
		return deniedQuarantined
	}
	return ""
}

// endDenial returns why the request has come to its end, or "".
func (h *handler) endDenial(ctx context.Context) denial {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return deniedCallerLeft
	case ctx.Err() != nil, h.timeLeft() < minTimeLeft:
		return deniedDeadline
	}
	return ""
}

// waitDenial returns why the stream may not wait for an upstream any longer, or "".
func (s *stream) waitDenial() denial {
	if d := s.endDenial(s.ctx); d != "" {
		return d
	}
	if s.isQuarantined() {
		return deniedQuarantined
	}
	return ""
}

// logFailure logs that the stream can't continue, and returns the cause.
func (s *stream) logFailure(cause error) error {
	waited := clock.Now().Sub(s.detached)
	s.Metrics.Tagged(map[string]string{"phase": string(s.phase), "denied": string(s.denied)}).Counter("streams_broken").Inc(1)
	event.StreamFailed.Info("Request", s.call.ID, "After", s.lastID, "Events", s.events, "Phase", s.phase, "Denied", s.denied, "Lacked", s.lacks, "WaitedMillis", waited.Milliseconds(), "LeftMillis", s.timeLeft().Milliseconds(),
		"Ran", s.retryState.MaybeExecuted, "TurnedAway", s.retryState.Rejected+s.forgiven, "Unsent", s.retryState.Unsent, "Reason", event.Line(cause))
	return cause
}
