package attempt

import (
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// handleFailure records a failed attempt and decides how to proceed.
func (s State) handleFailure(c Cause, now time.Time, random *rand.Rand) (State, []Action) {
	var actions []Action
	if !c.provesNotStarted() {
		s.mayHaveStarted = true
		actions = append(actions, Cancel{Upstream: s.target.Upstream, Attempt: s.attemptID})
	}
	if c.suggestsCrash() && s.attemptTokens < s.limits.EarlyTokens {
		actions = append(actions, ReportLoss{Upstream: s.target.Upstream, Attempt: s.attemptID, Tokens: s.attemptTokens})
		s.losses++
	}
	s.attemptID = ""
	s, next := s.retryOrFinish(c, now, random)
	return s, append(actions, next...)
}

// retryOrFinish retries on another engine, resumes on the same engine or
// finishes the request.
func (s State) retryOrFinish(c Cause, now time.Time, random *rand.Rand) (State, []Action) {
	switch {
	case c == Rejected:
		return s.finish(request.Refuse(request.BadRequest, "the engine refused the request"), random)
	case !s.idempotent && s.mayHaveStarted:
		return s.finish(request.Refuse(request.UpstreamFailed, "the upstream did not answer"), random)
	case s.sends >= s.limits.MaxAttempts || s.losses >= s.limits.MaxLosses:
		return s.finishOrSwitchWeights(now, random)
	case c.provesNotStarted():
		return s.choose(now, random)
	}
	s.resumeSameEngine = c == ConnectionFailed && s.attemptTokens > 0
	if s.resumeSameEngine {
		s.target.Incarnation, s.target.Estimate = s.incarnation, 0
	}
	s.phase, s.waitUntil = AwaitingBudget, time.Time{}
	return s, []Action{RequestRetry{}}
}

// finishOrSwitchWeights handles a request that no engine can accept. If it
// cannot have started, it tries the model's other weights once, because during
// a rollout the reports of which engine has which weights lag behind.
func (s State) finishOrSwitchWeights(now time.Time, random *rand.Rand) (State, []Action) {
	if s.otherWeights == "" || s.mayHaveStarted {
		return s.finish(s.exhaustedFailure(), random)
	}
	s.weights, s.otherWeights = s.otherWeights, ""
	s.tried, s.sends = nil, 0
	return s.choose(now, random)
}

// exhaustedFailure returns the failure of a request that no engine finished.
func (s State) exhaustedFailure() *request.Failure {
	if s.mayHaveStarted {
		return request.Refuse(request.UpstreamFailed, "no engine finished the request")
	}
	return request.Refuse(request.NoUpstream, "no engine can take the request now")
}

// finish ends the request. Only this function decides the outcome of a
// failure: NotRun if no upstream can have started the request, else Unknown.
func (s State) finish(f *request.Failure, random *rand.Rand) (State, []Action) {
	var actions []Action
	unknown := s.mayHaveStarted || s.inFlight()
	if f != nil && unknown {
		f = f.WithOutcome(request.Unknown)
	}
	if f != nil && s.shouldOfferRetry(f) {
		f = f.WithRetryAfter(s.limits.MinRetryAfter + jitter(random, s.limits.MinRetryAfter))
	}
	actions = append(actions, Finish{Failure: f})
	if s.inFlight() {
		actions = append(actions, Cancel{Upstream: s.target.Upstream, Attempt: s.attemptID})
	}
	s.phase, s.attemptID, s.waitUntil = Ended, "", time.Time{}
	return s, actions
}

// shouldOfferRetry reports whether the caller may retry: a retry can succeed,
// and the request did not run or is idempotent.
func (s State) shouldOfferRetry(f *request.Failure) bool {
	switch f.Code {
	case request.NoUpstream, request.UpstreamFailed, request.HostStopping, request.DeadlineTooNear, request.DeadlineExceeded:
		return s.idempotent || f.Outcome == request.NotRun
	}
	return false
}

// jitter returns a random duration below the limit.
func jitter(random *rand.Rand, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(limit)))
}
