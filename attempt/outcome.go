package attempt

import (
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// failed decides what follows a failed attempt.
func (s State) failed(c Cause, now time.Time, random *rand.Rand) (State, []Action) {
	var actions []Action
	if !c.proven() {
		s.started = true
		actions = append(actions, Cancel{Upstream: s.target.Upstream, Attempt: s.id})
	}
	if c.lost() && s.tokens < s.limits.Early {
		actions = append(actions, Lost{Upstream: s.target.Upstream, Attempt: s.id})
		s.losses++
	}
	s.id = ""
	s, next := s.afterFailure(c, now, random)
	return s, append(actions, next...)
}

// afterFailure goes on elsewhere, resumes on the same engine or ends.
func (s State) afterFailure(c Cause, now time.Time, random *rand.Rand) (State, []Action) {
	switch {
	case c == Rejected:
		return s.finish(request.Refuse(request.BadRequest, "the engine refused the request"), random)
	case !s.repeatable && s.started:
		return s.finish(request.Refuse(request.UpstreamFailed, "the upstream did not answer"), random)
	case s.sends >= s.limits.Attempts || s.losses >= s.limits.Losses:
		return s.exhaust(now, random)
	case c.proven():
		return s.choose(now, random)
	}
	s.resume = c == Cut && s.tokens > 0
	if s.resume {
		s.target.Incarnation, s.target.Estimate = s.incarnation, 0
	}
	s.phase, s.wake = Budgeting, time.Time{}
	return s, []Action{AskBudget{}}
}

// exhaust ends a request that no engine takes. One that cannot have started
// tries the model's other weights once: while a pool is rolled, reports of
// which engines have which weights lag.
func (s State) exhaust(now time.Time, random *rand.Rand) (State, []Action) {
	if s.other == "" || s.started {
		return s.finish(s.exhausted(), random)
	}
	s.weights, s.other = s.other, ""
	s.tried, s.sends = nil, 0
	return s.choose(now, random)
}

// exhausted returns the failure of a request that no engine finished.
func (s State) exhausted() *request.Failure {
	if s.started {
		return request.Refuse(request.UpstreamFailed, "no engine finished the request")
	}
	return request.Refuse(request.NoUpstream, "no engine can take the request now")
}

// finish ends the request. It is the only place that decides an outcome:
// not run if no upstream can have started the request, else unknown.
func (s State) finish(f *request.Failure, random *rand.Rand) (State, []Action) {
	var actions []Action
	unknown := s.started || s.open()
	if f != nil && unknown {
		f = f.WithOutcome(request.Unknown)
	}
	if f != nil && s.mayComeBack(f) {
		f = f.WithRetryAfter(s.limits.RetryAfter + jitter(random, s.limits.RetryAfter))
	}
	actions = append(actions, Finish{Failure: f})
	if s.open() {
		actions = append(actions, Cancel{Upstream: s.target.Upstream, Attempt: s.id})
	}
	s.phase, s.id, s.wake = Ended, "", time.Time{}
	return s, actions
}

// mayComeBack tells that sending the request again does no harm and may
// help: it did not run, or running it twice does no harm.
func (s State) mayComeBack(f *request.Failure) bool {
	switch f.Code {
	case request.NoUpstream, request.UpstreamFailed, request.HostStopping, request.DeadlineTooNear, request.DeadlineExceeded:
		return s.repeatable || f.Outcome == request.NotRun
	}
	return false
}

// jitter returns a random duration below a bound.
func jitter(random *rand.Rand, below time.Duration) time.Duration {
	if below <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(below)))
}
