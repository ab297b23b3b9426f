package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/request"
)

// TestOutcomes checks the outcome of failures before and after a send.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name        string
		idempotent  bool
		step        string
		inject      func(*harness) string
		outcome     request.Outcome
		code        request.Code
		offersRetry bool
	}{
		{"caller disconnected before a send", true, choose, func(h *harness) string { h.input(CallerDisconnected{}); return "" }, request.NotRun, request.CallerLeft, false},
		{"caller disconnected after a send", true, send, func(h *harness) string { h.input(CallerDisconnected{}); return "" }, request.Unknown, request.CallerLeft, false},
		{"no engine", false, choose, func(h *harness) string { h.input(NoEngineAvailable{}); return "" }, request.NotRun, request.NoUpstream, true},
		{"connection failed, not idempotent", false, send, fail(ConnectionFailed), request.Unknown, request.UpstreamFailed, false},
		{"refused by the engine", true, send, fail(Rejected), request.Unknown, request.BadRequest, false},
		{"host is stopping", true, midStream, func(h *harness) string { h.input(Stopping{}); return "" }, request.Unknown, request.HostStopping, true},
		{"too little time remaining", true, choose, func(h *harness) string { h.now = h.now.Add(time.Minute); h.advance(); return "" }, request.NotRun, request.DeadlineTooNear, true},
		{"first token after the deadline", true, choose, func(h *harness) string {
			h.input(Chosen{Target{Upstream: "engine-1", Estimate: 2 * time.Minute}})
			return ""
		}, request.NotRun, request.DeadlineTooNear, true},
		{"refused by admission", true, admit, func(h *harness) string {
			h.input(Refused{request.Refuse(request.RateLimited, "")})
			return ""
		}, request.NotRun, request.RateLimited, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 1, tt.idempotent, 0)
			advanceTo[tt.step](h)
			tt.inject(h)
			is.Equal(h.state.Phase(), Ended)
			is.Equal(h.finish.Failure.Outcome, tt.outcome)
			is.Equal(h.finish.Failure.Code, tt.code)
			is.Equal(h.finish.Failure.RetryAfter > 0, tt.offersRetry)
		})
	}
}

// TestResume checks that a stream whose connection failed first resumes on its
// engine, with the engine's incarnation as a precondition, and then on another
// engine.
func TestResume(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, true, 0)
	advanceTo[midStream](h)
	fail(ConnectionFailed)(h)
	h.advanceUntil(func() bool { return h.state.Phase() == Opening })
	is.Equal(h.current.Target, Target{Upstream: "engine-1", Incarnation: "1"})
	is.Equal(h.current.ResumeAfter, 2)
	fail(NotStarted)(h)
	h.advanceUntil(func() bool { return h.state.Phase() == Opening })
	is.Equal(h.current.Target, Target{Upstream: "engine-2"})
	h.complete()
	is.Equal(h.finish.Failure, nil)
}

// TestMaxAttempts checks that a request that fails on every engine is sent
// four times.
func TestMaxAttempts(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, true, 0)
	for h.state.Phase() != Ended {
		h.advanceUntil(func() bool { return h.state.Phase() == Opening })
		fail(ErrorEvent)(h)
	}
	is.Equal(len(h.sends), 4)
}

// TestOtherWeights checks that a request that no engine with its weights
// accepts tries the model's other weights once, and never after it may have
// started.
func TestOtherWeights(t *testing.T) {
	is := is.New(t)
	now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(1, 1))
	begin := func(resumeAfter int) State {
		r := request.Request{Idempotent: true, Remaining: time.Minute, OtherVersion: "v2", ResumeAfter: resumeAfter}
		s, _ := Step(Begin(DefaultLimits(), r, "v1", now), Admitted{}, now, random)
		return s
	}
	s, actions := Step(begin(0), NoEngineAvailable{}, now, random)
	is.Equal(actions, []Action{Choose{Weights: "v2"}})
	s, _ = Step(s, NoEngineAvailable{}, now, random)
	is.Equal(s.Phase(), Ended)
	s, actions = Step(begin(0), Chosen{Target{Upstream: "engine-1"}}, now, random)
	s, _ = Step(s, Failed{actions[0].(Send).Attempt, ConnectionFailed}, now, random)
	s, _ = Step(s, RetryDecision{true}, now, random)
	now = s.NextTimer()
	s, _ = Step(s, TimerFired{}, now, random)
	is.Equal(s.Phase(), Choosing)
	s, _ = Step(s, NoEngineAvailable{}, now, random)
	is.Equal(s.Phase(), Ended) // it may have started with v1
	s, _ = Step(begin(3), NoEngineAvailable{}, now, random)
	is.Equal(s.Phase(), Ended) // a resumed answer keeps its weights
	s, _ = Step(Begin(DefaultLimits(), request.Request{OtherVersion: "v2"}, "v1", now), Refused{request.Refuse(request.RateLimited, "")}, now, random)
	is.Equal(s.Phase(), Ended) // refused for another reason
}

// TestMaxLosses checks that a request that crashes every engine is sent to two.
func TestMaxLosses(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1, true, 0)
	for h.state.Phase() != Ended {
		h.advanceUntil(func() bool { return h.state.Phase() == Opening })
		fail(ConnectionFailed)(h)
	}
	is.Equal(len(h.sends), 2)
	is.Equal(h.finish.Failure.Code, request.UpstreamFailed)
}

// TestRetryBudget checks that when every request fails, retries are limited to
// a tenth of the requests plus the refill over time.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	budget, now, retries := DefaultRetryBudget(), time.Unix(1_000_000, 0), 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		budget = budget.WithRequest(now)
		for range 3 {
			var granted bool
			if budget, granted = budget.WithRetry(now); granted {
				retries++
			}
		}
	}
	is.True(retries >= 1000)
	is.True(retries <= 1000+10*2+100)
}

func ExampleStep() {
	now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(1, 1))
	state := Begin(DefaultLimits(), request.Request{Idempotent: true, Remaining: time.Second}, "v1", now)
	state, actions := Step(state, Admitted{}, now, random)
	fmt.Printf("%T\n", actions[0])
	_, actions = Step(state, NoEngineAvailable{}, now, random)
	fmt.Println(actions[0].(Finish).Failure.Outcome)
	// Output:
	// attempt.Choose
	// NotRun
}
