package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

const (
	testWeights = "v1"
	testTokens  = 4
)

// world feeds one request and checks what must hold after each input.
type world struct {
	t      *testing.T
	limits Limits
	state  State
	random *rand.Rand
	now    time.Time
	start  time.Time
	// repeatable and position are those of the request.
	repeatable bool
	position   int
	// current is the last send; mayRun holds attempts that were sent and not
	// proved not started, closed those that ended or were cancelled, relied
	// those answered by the engine that the attempt relies on.
	current    Send
	sends      []Send
	mayRun     map[string]bool
	closed     map[string]bool
	relied     map[string]bool
	endMarker  bool
	finish     *Finish
	inputCount int
}

func newWorld(t *testing.T, seed uint64, repeatable bool, resumeAfter int) *world {
	w := &world{
		t: t, limits: DefaultLimits(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		repeatable: repeatable, position: resumeAfter,
		mayRun: map[string]bool{}, closed: map[string]bool{}, relied: map[string]bool{},
	}
	w.start = w.now
	w.state = Begin(w.limits, request.Request{Repeatable: repeatable, ResumeAfter: resumeAfter, Remaining: time.Minute}, testWeights, w.now)
	return w
}

// input steps the decisions and checks every invariant.
func (w *world) input(in Input) {
	w.t.Helper()
	w.inputCount++
	if w.inputCount > 1000 {
		w.t.Fatalf("the request does not end; phase %d", w.state.Phase())
	}
	if f, ok := in.(Failed); ok && f.Cause.proven() && f.Attempt == w.state.Attempt() {
		w.mayRun[f.Attempt], w.closed[f.Attempt] = false, true
	}
	if o, ok := in.(Opened); ok && o.Attempt == w.state.Attempt() && w.state.Phase() == Opening {
		w.relied[o.Attempt] = o.Echo == o.Attempt && o.Weights == testWeights &&
			(w.current.Target.Incarnation == "" || w.current.Target.Incarnation == o.Incarnation)
	}
	if e, ok := in.(End); ok && e.Attempt == w.state.Attempt() && w.state.Phase() == Streaming {
		w.closed[e.Attempt], w.endMarker = true, true
	}
	before := w.state
	var actions []Action
	w.state, actions = Step(w.state, in, w.now, w.random)
	if before.Phase() == Ended && len(actions) > 0 {
		w.t.Fatalf("%T after the end gave %v", in, actions)
	}
	for _, a := range actions {
		w.check(in, a)
	}
	if w.state.Phase() == Ended {
		w.checkEnd()
	}
}

// check checks one action.
func (w *world) check(in Input, a Action) {
	w.t.Helper()
	switch a := a.(type) {
	case Send:
		if len(w.sends) > 0 && !w.closed[w.current.Attempt] {
			w.t.Fatalf("sent again while %s runs", w.current.Attempt)
		}
		if a.ResumeAfter != w.position || a.Weights != testWeights || a.Remaining <= 0 || a.Remaining > time.Minute {
			w.t.Fatalf("bad send %+v at position %d", a, w.position)
		}
		w.current, w.sends, w.mayRun[a.Attempt] = a, append(w.sends, a), true
		w.checkSends()
	case Deliver:
		token, ok := in.(Token)
		if !ok || token.Attempt != w.current.Attempt || a.Position != w.position+1 || !w.relied[token.Attempt] {
			w.t.Fatalf("delivered %d after %d of %+v", a.Position, w.position, in)
		}
		w.position = a.Position
	case Cancel:
		w.closed[a.Attempt] = true
	case Finish:
		if w.finish != nil {
			w.t.Fatal("finished twice")
		}
		w.finish = &a
	}
}

func (w *world) checkSends() {
	w.t.Helper()
	running := 0
	for _, may := range w.mayRun {
		if may {
			running++
		}
	}
	if !w.repeatable && running > 1 {
		w.t.Fatal("sent again what may have run and may not be repeated")
	}
	if len(w.sends) > w.limits.Attempts {
		w.t.Fatalf("%d sends", len(w.sends))
	}
}

// checkEnd checks the outcome against what the engines may have done.
func (w *world) checkEnd() {
	w.t.Helper()
	if w.finish == nil {
		w.t.Fatal("ended without an outcome")
	}
	ran := false
	for id, may := range w.mayRun {
		ran = ran || may
		if may && !w.closed[id] {
			w.t.Fatalf("attempt %s was left running", id)
		}
	}
	f := w.finish.Failure
	switch {
	case f == nil && !w.endMarker:
		w.t.Fatal("done without an end marker")
	case f == nil:
	case (f.Outcome == request.NotRun) == ran:
		w.t.Fatalf("outcome %s, may have run: %v", f.Outcome, ran)
	case f.Outcome == request.Unknown && !w.repeatable && f.RetryAfter > 0:
		w.t.Fatal("told to come back with what may have run")
	}
}

// opened returns the head of a healthy engine's answer.
func (w *world) opened() Opened {
	id := w.state.Attempt()
	return Opened{Attempt: id, Echo: id, Incarnation: "1", Weights: testWeights}
}

// healthy feeds what happens next without a fault.
func (w *world) healthy() {
	w.t.Helper()
	switch w.state.Phase() {
	case New:
		w.input(Admitted{})
	case Choosing:
		w.input(Chosen{Target{Upstream: fmt.Sprintf("engine-%d", len(w.state.tried)+1)}})
	case Opening:
		w.input(w.opened())
	case Streaming:
		if w.position == testTokens {
			w.input(End{w.state.Attempt()})
			return
		}
		w.input(Token{w.state.Attempt(), w.position + 1})
		w.input(Delivered{})
	case Budgeting:
		w.input(Budget{Granted: true})
	case Pausing:
		w.now = w.state.Wake()
		w.input(Woken{})
	case Ended:
	}
}

// until runs healthily to a point.
func (w *world) until(there func() bool) {
	w.t.Helper()
	for !there() && w.state.Phase() != Ended {
		w.healthy()
	}
}

// complete runs healthily to the end.
func (w *world) complete() {
	w.t.Helper()
	w.until(func() bool { return false })
}
