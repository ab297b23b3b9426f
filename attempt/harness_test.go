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

// harness feeds inputs to one request and checks the invariants after each.
type harness struct {
	t      *testing.T
	limits Limits
	state  State
	random *rand.Rand
	now    time.Time
	start  time.Time
	// idempotent and position are those of the request.
	idempotent bool
	position   int
	// current is the last send. mayHaveRun holds the attempts that were sent,
	// false once confirmed as not started; closed holds those that ended or
	// were cancelled; matchesChoice holds whether the answer came from the
	// engine incarnation and weights that the choice relies on.
	current       Send
	sends         []Send
	mayHaveRun    map[string]bool
	closed        map[string]bool
	matchesChoice map[string]bool
	endMarker     bool
	finish        *Finish
	inputCount    int
}

func newHarness(t *testing.T, seed uint64, idempotent bool, resumeAfter int) *harness {
	h := &harness{
		t: t, limits: DefaultLimits(), random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		idempotent: idempotent, position: resumeAfter,
		mayHaveRun: map[string]bool{}, closed: map[string]bool{}, matchesChoice: map[string]bool{},
	}
	h.start = h.now
	h.state = Begin(h.limits, request.Request{Idempotent: idempotent, ResumeAfter: resumeAfter, Remaining: time.Minute}, testWeights, h.now)
	return h
}

// input feeds an input to the state and checks every invariant.
func (h *harness) input(in Input) {
	h.t.Helper()
	h.inputCount++
	if h.inputCount > 1000 {
		h.t.Fatalf("the request does not end: phase %d", h.state.Phase())
	}
	if f, ok := in.(Failed); ok && f.Cause.provesNotStarted() && f.Attempt == h.state.Attempt() {
		h.mayHaveRun[f.Attempt], h.closed[f.Attempt] = false, true
	}
	if o, ok := in.(Opened); ok && o.Attempt == h.state.Attempt() && h.state.Phase() == Opening {
		h.matchesChoice[o.Attempt] = o.Echo == o.Attempt && o.Weights == testWeights &&
			(h.current.Target.Incarnation == "" || h.current.Target.Incarnation == o.Incarnation)
	}
	if e, ok := in.(End); ok && e.Attempt == h.state.Attempt() && h.state.Phase() == Streaming {
		h.closed[e.Attempt], h.endMarker = true, true
	}
	before := h.state
	var actions []Action
	h.state, actions = Step(h.state, in, h.now, h.random)
	if before.Phase() == Ended && len(actions) > 0 {
		h.t.Fatalf("%T after the end returned %v", in, actions)
	}
	for _, a := range actions {
		h.check(in, a)
	}
	if h.state.Phase() == Ended {
		h.checkEnd()
	}
}

// check checks one action against the invariants.
func (h *harness) check(in Input, a Action) {
	h.t.Helper()
	switch a := a.(type) {
	case Send:
		if len(h.sends) > 0 && !h.closed[h.current.Attempt] {
			h.t.Fatalf("sent again while attempt %s is running", h.current.Attempt)
		}
		if a.ResumeAfter != h.position || a.Weights != testWeights || a.Remaining <= 0 || a.Remaining > time.Minute {
			h.t.Fatalf("bad send %+v at position %d", a, h.position)
		}
		h.current, h.sends, h.mayHaveRun[a.Attempt] = a, append(h.sends, a), true
		h.checkSends()
	case Deliver:
		token, ok := in.(Token)
		if !ok || token.Attempt != h.current.Attempt || a.Position != h.position+1 || !h.matchesChoice[token.Attempt] {
			h.t.Fatalf("delivered %d after %d of %+v", a.Position, h.position, in)
		}
		h.position = a.Position
	case Cancel:
		h.closed[a.Attempt] = true
	case Finish:
		if h.finish != nil {
			h.t.Fatal("finished twice")
		}
		h.finish = &a
	}
}

func (h *harness) checkSends() {
	h.t.Helper()
	running := 0
	for _, may := range h.mayHaveRun {
		if may {
			running++
		}
	}
	if !h.idempotent && running > 1 {
		h.t.Fatal("sent a request again that is not idempotent and may have run")
	}
	if len(h.sends) > h.limits.MaxAttempts {
		h.t.Fatalf("%d sends", len(h.sends))
	}
}

// checkEnd checks the outcome against the attempts that may have run.
func (h *harness) checkEnd() {
	h.t.Helper()
	if h.finish == nil {
		h.t.Fatal("ended without an outcome")
	}
	anyMayHaveRun := false
	for id, may := range h.mayHaveRun {
		anyMayHaveRun = anyMayHaveRun || may
		if may && !h.closed[id] {
			h.t.Fatalf("attempt %s was left running", id)
		}
	}
	f := h.finish.Failure
	switch {
	case f == nil && !h.endMarker:
		h.t.Fatal("request succeeded without an end marker")
	case f == nil:
	case (f.Outcome == request.NotRun) == anyMayHaveRun:
		h.t.Fatalf("outcome %s, may have run: %v", f.Outcome, anyMayHaveRun)
	case f.Outcome == request.Unknown && !h.idempotent && f.RetryAfter > 0:
		h.t.Fatal("offered a retry of a request that is not idempotent and may have run")
	}
}

// opened returns the start of a healthy engine's answer.
func (h *harness) opened() Opened {
	id := h.state.Attempt()
	return Opened{Attempt: id, Echo: id, Incarnation: "1", Weights: testWeights}
}

// advance feeds the next input of a request without faults.
func (h *harness) advance() {
	h.t.Helper()
	switch h.state.Phase() {
	case New:
		h.input(Admitted{})
	case Choosing:
		h.input(Chosen{Target{Upstream: fmt.Sprintf("engine-%d", len(h.state.tried)+1)}})
	case Opening:
		h.input(h.opened())
	case Streaming:
		if h.position == testTokens {
			h.input(End{h.state.Attempt()})
			return
		}
		h.input(Token{h.state.Attempt(), h.position + 1})
		h.input(Delivered{})
	case AwaitingBudget:
		h.input(RetryDecision{Granted: true})
	case BackingOff:
		h.now = h.state.NextTimer()
		h.input(TimerFired{})
	case Ended:
	}
}

// advanceUntil advances without faults until the condition holds or the request
// has ended.
func (h *harness) advanceUntil(reached func() bool) {
	h.t.Helper()
	for !reached() && h.state.Phase() != Ended {
		h.advance()
	}
}

// complete advances without faults until the request has ended.
func (h *harness) complete() {
	h.t.Helper()
	h.advanceUntil(func() bool { return false })
}
