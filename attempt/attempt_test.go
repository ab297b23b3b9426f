package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/request"
)

// TestOutcomes gives the outcome of a failure at each kind of place.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		step       string
		put        func(*world) string
		outcome    request.Outcome
		code       request.Code
		comeBack   bool
	}{
		{"caller left before a send", true, choose, func(w *world) string { w.input(CallerLeft{}); return "" }, request.NotRun, request.CallerLeft, false},
		{"caller left after a send", true, send, func(w *world) string { w.input(CallerLeft{}); return "" }, request.Unknown, request.CallerLeft, false},
		{"no engine", false, choose, func(w *world) string { w.input(NoneUsable{}); return "" }, request.NotRun, request.NoUpstream, true},
		{"cut, not repeatable", false, send, fails(Cut), request.Unknown, request.UpstreamFailed, false},
		{"refused by the engine", true, send, fails(Rejected), request.Unknown, request.BadRequest, false},
		{"host stops", true, midStream, func(w *world) string { w.input(Stopping{}); return "" }, request.Unknown, request.HostStopping, true},
		{"too little time", true, choose, func(w *world) string { w.now = w.now.Add(time.Minute); w.healthy(); return "" }, request.NotRun, request.DeadlineTooNear, true},
		{"first token after the deadline", true, choose, func(w *world) string {
			w.input(Chosen{Target{Upstream: "engine-1", Estimate: 2 * time.Minute}})
			return ""
		}, request.NotRun, request.DeadlineTooNear, true},
		{"refused by admission", true, admit, func(w *world) string {
			w.input(Refused{request.Refuse(request.RateLimited, "")})
			return ""
		}, request.NotRun, request.RateLimited, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, tt.repeatable, 0)
			reach[tt.step](w)
			tt.put(w)
			is.Equal(w.state.Phase(), Ended)
			is.Equal(w.finish.Failure.Outcome, tt.outcome)
			is.Equal(w.finish.Failure.Code, tt.code)
			is.Equal(w.finish.Failure.RetryAfter > 0, tt.comeBack)
		})
	}
}

// TestResume shows that a cut stream first resumes on its engine, with the
// engine's incarnation as a precondition, and then goes on elsewhere.
func TestResume(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, true, 0)
	reach[midStream](w)
	fails(Cut)(w)
	w.until(func() bool { return w.state.Phase() == Opening })
	is.Equal(w.current.Target, Target{Upstream: "engine-1", Incarnation: "1"})
	is.Equal(w.current.ResumeAfter, 2)
	fails(NotStarted)(w)
	w.until(func() bool { return w.state.Phase() == Opening })
	is.Equal(w.current.Target, Target{Upstream: "engine-2"})
	w.complete()
	is.Equal(w.finish.Failure, nil)
}

// TestAttempts shows that a request which fails everywhere is sent four
// times.
func TestAttempts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, true, 0)
	for w.state.Phase() != Ended {
		w.until(func() bool { return w.state.Phase() == Opening })
		fails(ErrorEvent)(w)
	}
	is.Equal(len(w.sends), 4)
}

// TestOtherWeights shows that a request which no engine with its weights takes
// tries the model's other weights once, and none after a start.
func TestOtherWeights(t *testing.T) {
	is := is.New(t)
	now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(1, 1))
	begin := func(resumeAfter int) State {
		r := request.Request{Repeatable: true, Remaining: time.Minute, OtherVersion: "v2", ResumeAfter: resumeAfter}
		s, _ := Step(Begin(DefaultLimits(), r, "v1", now), Admitted{}, now, random)
		return s
	}
	s, actions := Step(begin(0), NoneUsable{}, now, random)
	is.Equal(actions, []Action{Choose{Weights: "v2"}})
	s, _ = Step(s, NoneUsable{}, now, random)
	is.Equal(s.Phase(), Ended)
	s, actions = Step(begin(0), Chosen{Target{Upstream: "engine-1"}}, now, random)
	s, _ = Step(s, Failed{actions[0].(Send).Attempt, Cut}, now, random)
	s, _ = Step(s, Budget{true}, now, random)
	now = s.Wake()
	s, _ = Step(s, Woken{}, now, random)
	is.Equal(s.Phase(), Choosing)
	s, _ = Step(s, NoneUsable{}, now, random)
	is.Equal(s.Phase(), Ended) // it may have started with v1
	s, _ = Step(begin(3), NoneUsable{}, now, random)
	is.Equal(s.Phase(), Ended) // a resumed answer stays in its weights
	s, _ = Step(Begin(DefaultLimits(), request.Request{OtherVersion: "v2"}, "v1", now), Refused{request.Refuse(request.RateLimited, "")}, now, random)
	is.Equal(s.Phase(), Ended) // refused for another reason
}

// TestLosses shows that a request which kills every engine takes two.
func TestLosses(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, true, 0)
	for w.state.Phase() != Ended {
		w.until(func() bool { return w.state.Phase() == Opening })
		fails(Cut)(w)
	}
	is.Equal(len(w.sends), 2)
	is.Equal(w.finish.Failure.Code, request.UpstreamFailed)
}

// TestRetryBudget lets every request fail: repeats stay a tenth of requests
// and what the passing time gives.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	budget, now, repeats := DefaultRetryBudget(), time.Unix(1_000_000, 0), 0
	for range 10_000 {
		now = now.Add(time.Millisecond)
		budget = budget.WithRequest(now)
		for range 3 {
			var granted bool
			if budget, granted = budget.WithRepeat(now); granted {
				repeats++
			}
		}
	}
	is.True(repeats >= 1000)
	is.True(repeats <= 1000+10*2+100)
}

func ExampleStep() {
	now, random := time.Unix(1_000_000, 0), rand.New(rand.NewPCG(1, 1))
	state := Begin(DefaultLimits(), request.Request{Repeatable: true, Remaining: time.Second}, "v1", now)
	state, actions := Step(state, Admitted{}, now, random)
	fmt.Printf("%T\n", actions[0])
	_, actions = Step(state, NoneUsable{}, now, random)
	fmt.Println(actions[0].(Finish).Failure.Outcome)
	// Output:
	// attempt.Choose
	// NotRun
}
