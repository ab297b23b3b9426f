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

// elsewhere tells where the faults of a step are driven instead.
var elsewhere = map[string]string{
	addressLookup: "the gateway answers without a request; nothing is decided here",
	accept:        "no request has begun; the gateway refuses it as not run",
	authenticate:  "no request has begun; the gateway refuses it as not run",
	claim:         "decided by package claim",
	recordOutcome: "decided by package claim",
}

// reach holds how a request comes to a step.
var reach = map[string]func(*world){
	admit:      func(*world) {},
	choose:     func(w *world) { w.until(func() bool { return w.state.Phase() == Choosing }) },
	send:       func(w *world) { w.until(func() bool { return w.state.Phase() == Opening }) },
	firstToken: func(w *world) { w.until(func() bool { return w.state.Phase() == Streaming }) },
	midStream:  func(w *world) { w.until(func() bool { return w.position == 2 }) },
	end:        func(w *world) { w.until(func() bool { return w.position == testTokens }) },
	reply:      func(w *world) { w.complete() },
	// A repeat is the caller's going on at another host after position 2.
	repeat: func(w *world) { w.until(func() bool { return w.position == 3 }) },
}

// fault is one failure. It returns why it can't occur now, or "".
type fault struct {
	name string
	// ends tells that the request need not be done after the fault.
	ends bool
	put  func(*world) string
}

const (
	notSent   = "nothing was sent to an upstream yet"
	noLog     = "a completion uses no log"
	cacheOnly = "believed cache contents matter only when an engine is chosen and answers"
	wasSent   = "the engine has begun and finishes what it began"
)

// fails returns a fault that makes the current attempt fail.
func fails(c Cause) func(*world) string {
	return func(w *world) string {
		if w.state.Phase() == Choosing {
			w.healthy()
		}
		if len(w.sends) == 0 {
			return notSent
		}
		w.input(Failed{w.current.Attempt, c})
		return ""
	}
}

// onlyChosen returns a fault of the time between the choice and the answer.
func onlyChosen(why string, put func(*world)) func(*world) string {
	return func(w *world) string {
		if w.state.Phase() == Choosing {
			w.healthy()
		}
		switch {
		case len(w.sends) == 0:
			return notSent
		case w.state.Phase() != Opening:
			return why
		}
		put(w)
		return ""
	}
}

// stalls lets the wait of an attempt run out; what the engine sends later is
// late.
func stalls(w *world) string {
	if w.state.Attempt() == "" {
		return notSent
	}
	id := w.state.Attempt()
	w.now = w.state.Wake()
	w.input(Woken{})
	w.input(Opened{Attempt: id, Echo: id, Weights: testWeights})
	w.input(Token{id, w.position + 1})
	w.input(End{id})
	return ""
}

// lateAnswer abandons an attempt, goes on until another one streams, and then
// gives the answer of the first.
func lateAnswer(w *world) string {
	id := w.state.Attempt()
	if id == "" {
		return notSent
	}
	w.input(Failed{id, ErrorEvent})
	w.until(func() bool { return w.state.Phase() == Streaming })
	w.input(Token{id, w.position + 1})
	w.input(End{id})
	return ""
}

func inAnyPhase(put func(*world)) func(*world) string {
	return func(w *world) string {
		put(w)
		return ""
	}
}

func never(why string) func(*world) string { return func(*world) string { return why } }

var faults = []fault{
	{"crash of the engine", false, fails(Cut)},
	{"freeze then thaw of the engine", false, stalls},
	{"freeze then thaw of the host", true, inAnyPhase(func(w *world) {
		w.now = w.now.Add(10 * time.Minute)
		w.healthy()
		w.input(Woken{})
	})},
	{"cut both ways", false, fails(Cut)},
	{"cut one way", false, stalls},
	{"late answer of an abandoned attempt", false, lateAnswer},
	{"slow", false, inAnyPhase(func(w *world) {
		if wake := w.state.Wake(); w.state.Phase() != Ended && wake.Sub(w.now) < 30*time.Second {
			w.now = wake.Add(-time.Millisecond)
		}
	})},
	{"answer lost after effect", false, fails(MissingEnd)},
	{"duplicate", false, inAnyPhase(func(w *world) {
		if w.state.Phase() != Streaming {
			w.input(Chosen{w.current.Target})
			w.input(Opened{Attempt: w.current.Attempt, Echo: w.current.Attempt})
			w.input(End{w.current.Attempt})
			return
		}
		w.input(w.opened())
		w.input(Token{w.state.Attempt(), w.position})
	})},
	{"reorder", false, func(w *world) string {
		if w.state.Attempt() == "" {
			return notSent
		}
		w.input(Token{w.state.Attempt(), w.position + 2})
		return ""
	}},
	{"crossed answer", false, onlyChosen(wasSent, func(w *world) {
		opened := w.opened()
		opened.Echo = "another"
		w.input(opened)
	})},
	{"clock step", false, inAnyPhase(func(w *world) {
		w.now = w.now.Add(-time.Hour)
		w.input(Woken{})
		w.now = w.now.Add(time.Hour)
	})},
	{"log down", false, never(noLog)},
	{"log slow", false, never(noLog)},
	{"log trimmed", false, never(noLog)},
	{"host list stale", false, onlyChosen(wasSent, func(w *world) { w.input(Failed{w.state.Attempt(), NotStarted}) })},
	{"event gap", false, onlyChosen(cacheOnly, func(w *world) { w.input(Failed{w.state.Attempt(), NotStarted}) })},
	{"engine restart with the same address", false, func(w *world) string {
		if why := fails(Cut)(w); why != "" {
			return why
		}
		w.until(func() bool { return w.state.Phase() == Opening })
		if w.state.Phase() == Opening {
			opened := w.opened()
			opened.Incarnation = "2"
			w.input(opened)
		}
		return ""
	}},
	{"config change", false, onlyChosen("the request keeps its revision, and its engine its weights", func(w *world) {
		opened := w.opened()
		opened.Weights = "v2"
		w.input(opened)
	})},
	{"drain of the engine", false, onlyChosen(wasSent, func(w *world) { w.input(Failed{w.state.Attempt(), NotStarted}) })},
	{"drain of the host", true, inAnyPhase(func(w *world) { w.input(Stopping{}) })},
	{"caller leaves", true, inAnyPhase(func(w *world) { w.input(CallerLeft{}) })},
	{"engine reports an error", false, fails(ErrorEvent)},
	{"answer makes no sense", false, fails(Malformed)},
	{"no engine left", true, func(w *world) string {
		w.until(func() bool { return w.state.Phase() == Choosing || w.state.Attempt() != "" })
		if w.state.Attempt() != "" {
			w.input(Failed{w.state.Attempt(), Stalled})
			w.until(func() bool { return w.state.Phase() == Choosing })
		}
		w.input(NoneUsable{})
		return ""
	}},
	{"retry budget spent", true, func(w *world) string {
		if why := fails(Stalled)(w); why != "" {
			return why
		}
		w.input(Budget{Granted: false})
		return ""
	}},
}

// TestFaultMatrix puts every fault, alone and followed by every other, at
// every step. The world checks the invariants after each input.
func TestFaultMatrix(t *testing.T) {
	const seed = 1
	driven, impossible, other := 0, map[string]int{}, 0
	for _, step := range steps {
		for _, first := range faults {
			if elsewhere[step] != "" {
				other++
				continue
			}
			// The second fault nil stands for the first one alone.
			why := putBoth(t, seed, step, first, nil)
			if why != "" {
				impossible[why]++
				t.Logf("can't occur: %s at %s: %s", first.name, step, why)
				continue
			}
			driven++
			for _, second := range faults {
				if why := putBoth(t, seed, step, first, &second); why != "" {
					impossible["as the second of two: "+why]++
				} else {
					driven++
				}
			}
		}
	}
	t.Logf("%d steps, %d faults; cells driven (alone and in pairs): %d, each with and without leave to repeat", len(steps), len(faults), driven)
	for why, n := range impossible {
		t.Logf("%d cells can't occur: %s", n, why)
	}
	t.Logf("%d cells belong elsewhere: %v", other, elsewhere)
	if driven < 1000 {
		t.Fatalf("only %d cells were driven", driven)
	}
}

// putBoth drives one cell and returns why it can't occur.
func putBoth(t *testing.T, seed uint64, step string, first fault, second *fault) string {
	t.Helper()
	why := ""
	for _, repeatable := range []bool{true, false} {
		resumeAfter := 0
		if step == repeat {
			resumeAfter = 2
		}
		w := newWorld(t, seed, repeatable, resumeAfter)
		reach[step](w)
		if why = first.put(w); why != "" {
			return why
		}
		if second != nil {
			w.healthy()
			if why = second.put(w); why != "" {
				return why
			}
		}
		w.complete()
		if second == nil && !first.ends && repeatable && w.finish.Failure != nil {
			t.Errorf("%s at %s: %v", first.name, step, w.finish.Failure)
		}
	}
	return why
}
