package attempt

import (
	"testing"
	"time"
)

// The steps of a request.
const (
	addressLookup = "address lookup"
	accept        = "accept"
	authenticate  = "authenticate"
	admit         = "admit"
	claim         = "claim"
	choose        = "choose"
	send          = "send"
	firstToken    = "first token"
	midStream     = "mid-stream"
	end           = "end"
	recordOutcome = "record outcome"
	reply         = "reply"
	repeat        = "repeat"
)

var steps = []string{addressLookup, accept, authenticate, admit, claim, choose, send, firstToken, midStream, end, recordOutcome, reply, repeat}

// testedElsewhere explains why the faults of a step are not tested here.
var testedElsewhere = map[string]string{
	addressLookup: "the gateway answers without a request; this package decides nothing",
	accept:        "no request has started; the gateway refuses it with outcome NotRun",
	authenticate:  "no request has started; the gateway refuses it with outcome NotRun",
	claim:         "decided by package claim",
	recordOutcome: "decided by package claim",
}

// advanceTo holds functions that advance a request to a step.
var advanceTo = map[string]func(*harness){
	admit:      func(*harness) {},
	choose:     func(h *harness) { h.advanceUntil(func() bool { return h.state.Phase() == Choosing }) },
	send:       func(h *harness) { h.advanceUntil(func() bool { return h.state.Phase() == Opening }) },
	firstToken: func(h *harness) { h.advanceUntil(func() bool { return h.state.Phase() == Streaming }) },
	midStream:  func(h *harness) { h.advanceUntil(func() bool { return h.position == 2 }) },
	end:        func(h *harness) { h.advanceUntil(func() bool { return h.position == testTokens }) },
	reply:      func(h *harness) { h.complete() },
	// A repeat is a caller that resumes at another host after position 2.
	repeat: func(h *harness) { h.advanceUntil(func() bool { return h.position == 3 }) },
}

// fault is one failure. inject returns why it can't occur now, or "".
type fault struct {
	name string
	// endsRequest reports whether the request may fail because of the fault.
	endsRequest bool
	inject      func(*harness) string
}

const (
	notSent           = "nothing has been sent to an upstream yet"
	noLog             = "completions don't use the log"
	cacheAtChoiceOnly = "the cache index matters only until the chosen engine answers"
	engineFinishes    = "the engine has started the request and finishes it"
)

// fail returns a fault that makes the current attempt fail.
func fail(c Cause) func(*harness) string {
	return func(h *harness) string {
		if h.state.Phase() == Choosing {
			h.advance()
		}
		if len(h.sends) == 0 {
			return notSent
		}
		h.input(Failed{h.current.Attempt, c})
		return ""
	}
}

// beforeAnswer returns a fault that can occur only between the choice of an
// engine and its answer; reason explains why it can't occur later.
func beforeAnswer(reason string, inject func(*harness)) func(*harness) string {
	return func(h *harness) string {
		if h.state.Phase() == Choosing {
			h.advance()
		}
		switch {
		case len(h.sends) == 0:
			return notSent
		case h.state.Phase() != Opening:
			return reason
		}
		inject(h)
		return ""
	}
}

// stall lets an attempt time out and then feeds the engine's late answer.
func stall(h *harness) string {
	if h.state.Attempt() == "" {
		return notSent
	}
	id := h.state.Attempt()
	h.now = h.state.NextTimer()
	h.input(TimerFired{})
	h.input(Opened{Attempt: id, Echo: id, Weights: testWeights})
	h.input(Token{id, h.position + 1})
	h.input(End{id})
	return ""
}

// lateAnswer fails an attempt, advances until another one streams, and then
// feeds the answer of the first.
func lateAnswer(h *harness) string {
	id := h.state.Attempt()
	if id == "" {
		return notSent
	}
	h.input(Failed{id, ErrorEvent})
	h.advanceUntil(func() bool { return h.state.Phase() == Streaming })
	h.input(Token{id, h.position + 1})
	h.input(End{id})
	return ""
}

func inAnyPhase(inject func(*harness)) func(*harness) string {
	return func(h *harness) string {
		inject(h)
		return ""
	}
}

func cannotOccur(reason string) func(*harness) string { return func(*harness) string { return reason } }

var faults = []fault{
	{"engine crashes", false, fail(ConnectionFailed)},
	{"engine freezes and thaws", false, stall},
	{"host freezes and thaws", true, inAnyPhase(func(h *harness) {
		h.now = h.now.Add(10 * time.Minute)
		h.advance()
		h.input(TimerFired{})
	})},
	{"connection lost in both directions", false, fail(ConnectionFailed)},
	{"connection lost in one direction", false, stall},
	{"late answer of a failed attempt", false, lateAnswer},
	{"slow engine", false, inAnyPhase(func(h *harness) {
		if timer := h.state.NextTimer(); h.state.Phase() != Ended && timer.Sub(h.now) < 30*time.Second {
			h.now = timer.Add(-time.Millisecond)
		}
	})},
	{"answer lost after execution", false, fail(MissingEnd)},
	{"duplicate inputs", false, inAnyPhase(func(h *harness) {
		if h.state.Phase() != Streaming {
			h.input(Chosen{h.current.Target})
			h.input(Opened{Attempt: h.current.Attempt, Echo: h.current.Attempt})
			h.input(End{h.current.Attempt})
			return
		}
		h.input(h.opened())
		h.input(Token{h.state.Attempt(), h.position})
	})},
	{"reordered tokens", false, func(h *harness) string {
		if h.state.Attempt() == "" {
			return notSent
		}
		h.input(Token{h.state.Attempt(), h.position + 2})
		return ""
	}},
	{"answer of another attempt", false, beforeAnswer(engineFinishes, func(h *harness) {
		opened := h.opened()
		opened.Echo = "another"
		h.input(opened)
	})},
	{"clock steps back", false, inAnyPhase(func(h *harness) {
		h.now = h.now.Add(-time.Hour)
		h.input(TimerFired{})
		h.now = h.now.Add(time.Hour)
	})},
	{"log unavailable", false, cannotOccur(noLog)},
	{"log slow", false, cannotOccur(noLog)},
	{"log trimmed", false, cannotOccur(noLog)},
	{"stale host list", false, beforeAnswer(engineFinishes, func(h *harness) { h.input(Failed{h.state.Attempt(), NotStarted}) })},
	{"gap in cache events", false, beforeAnswer(cacheAtChoiceOnly, func(h *harness) { h.input(Failed{h.state.Attempt(), NotStarted}) })},
	{"engine restart with the same address", false, func(h *harness) string {
		if reason := fail(ConnectionFailed)(h); reason != "" {
			return reason
		}
		h.advanceUntil(func() bool { return h.state.Phase() == Opening })
		if h.state.Phase() == Opening {
			opened := h.opened()
			opened.Incarnation = "2"
			h.input(opened)
		}
		return ""
	}},
	{"configuration change", false, beforeAnswer("the request keeps its revision and the engine keeps its weights", func(h *harness) {
		opened := h.opened()
		opened.Weights = "v2"
		h.input(opened)
	})},
	{"engine stops taking requests", false, beforeAnswer(engineFinishes, func(h *harness) { h.input(Failed{h.state.Attempt(), NotStarted}) })},
	{"host is draining", true, inAnyPhase(func(h *harness) { h.input(Stopping{}) })},
	{"caller disconnects", true, inAnyPhase(func(h *harness) { h.input(CallerDisconnected{}) })},
	{"engine reports an error", false, fail(ErrorEvent)},
	{"malformed answer", false, fail(Malformed)},
	{"no engine available", true, func(h *harness) string {
		h.advanceUntil(func() bool { return h.state.Phase() == Choosing || h.state.Attempt() != "" })
		if h.state.Attempt() != "" {
			h.input(Failed{h.state.Attempt(), Stalled})
			h.advanceUntil(func() bool { return h.state.Phase() == Choosing })
		}
		h.input(NoEngineAvailable{})
		return ""
	}},
	{"retry budget exhausted", true, func(h *harness) string {
		if reason := fail(Stalled)(h); reason != "" {
			return reason
		}
		h.input(RetryDecision{Granted: false})
		return ""
	}},
}

// TestFaultMatrix injects every fault, alone and followed by every other, at
// every step. The harness checks the invariants after each input.
func TestFaultMatrix(t *testing.T) {
	const seed = 1
	driven, impossible, elsewhere := 0, map[string]int{}, 0
	for _, step := range steps {
		for _, first := range faults {
			if testedElsewhere[step] != "" {
				elsewhere++
				continue
			}
			// A nil second fault injects the first one alone.
			reason := driveCell(t, seed, step, first, nil)
			if reason != "" {
				impossible[reason]++
				t.Logf("can't occur: %s at %s: %s", first.name, step, reason)
				continue
			}
			driven++
			for _, second := range faults {
				if reason := driveCell(t, seed, step, first, &second); reason != "" {
					impossible["as the second of two: "+reason]++
				} else {
					driven++
				}
			}
		}
	}
	t.Logf("%d steps, %d faults; cells driven (alone and in pairs): %d, each idempotent and not idempotent", len(steps), len(faults), driven)
	for reason, n := range impossible {
		t.Logf("%d cells can't occur: %s", n, reason)
	}
	t.Logf("%d cells are tested elsewhere: %v", elsewhere, testedElsewhere)
	if driven < 1000 {
		t.Fatalf("only %d cells were driven", driven)
	}
}

// driveCell injects the faults of one cell and returns why the cell can't
// occur, or "".
func driveCell(t *testing.T, seed uint64, step string, first fault, second *fault) string {
	t.Helper()
	reason := ""
	for _, idempotent := range []bool{true, false} {
		resumeAfter := 0
		if step == repeat {
			resumeAfter = 2
		}
		h := newHarness(t, seed, idempotent, resumeAfter)
		advanceTo[step](h)
		if reason = first.inject(h); reason != "" {
			return reason
		}
		if second != nil {
			h.advance()
			if reason = second.inject(h); reason != "" {
				return reason
			}
		}
		h.complete()
		if second == nil && !first.endsRequest && idempotent && h.finish.Failure != nil {
			t.Errorf("%s at %s: %v", first.name, step, h.finish.Failure)
		}
	}
	return reason
}
