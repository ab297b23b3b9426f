package claim_test

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/request"
)

// step is a step of a call that must not be repeated.
type step string

var steps = []step{"append", "read back", "check", "send", "answer", "record", "reply"}

// fault is what goes wrong at a step.
type fault string

var faults = []fault{
	"none", "crash", "freeze then thaw", "cut both ways", "cut one way", "slow past the deadline", "answer lost after effect",
	"duplicate", "reorder", "clock step", "log down", "log trimmed", "two keepers", "service restart", "leaving", "key expires",
	"host list stale", "event gap", "configuration change",
}

// impossible tells why a fault can't occur at a step, or "".
func impossible(s step, f fault) string {
	log := s == "append" || s == "read back" || s == "record"
	switch {
	case f == "event gap":
		return "no cache events are read for calls of plain services"
	case f == "configuration change":
		return "a request uses the revision that it began with"
	case f == "host list stale":
		return "it shows as two keepers, or as an endpoint that is leaving"
	case f == "log down" && !log, f == "two keepers" && !log, f == "duplicate" && !log && s != "send", f == "reorder" && s != "append" && s != "record":
		return "the step does not use the log"
	case f == "answer lost after effect" && (s == "check" || s == "reply" || s == "answer"):
		return "the step asks nobody"
	case f == "duplicate" && s == "send":
		return "the client never sends a call again by itself"
	case (f == "service restart" || f == "leaving") && s != "send" && s != "answer":
		return "the service is not asked at this step"
	case f == "leaving" && s == "answer":
		return "a service that is leaving finishes what it runs"
	case (f == "cut both ways" || f == "cut one way") && (s == "check" || s == "reply"):
		return "the step crosses no network; a caller that is cut off repeats"
	}
	return ""
}

// world is one key, a log, a service and the callers' routers.
type world struct {
	model

	runs   int
	flying []func()
}

func (w *world) put(r claim.Record) int64 {
	raw, err := claim.EncodeBatch([]claim.Record{r})
	if err != nil {
		panic(err)
	}
	return w.append(raw)
}

// router is one attempt at the call; it can stop at a step and go on later.
type router struct {
	w      *world
	e      claim.Execution
	faults map[step]fault
	// before tells that a fault strikes before the effect of its step.
	before bool
	action claim.Action
	offset int64
	reader *claim.Table
	reply  *claim.Reply
	// runsAtReply is how often the call had run when the reply was given.
	runsAtReply int
	dead        bool
	next        int
}

func newRouter(w *world, attempt string, faults map[step]fault, before bool) *router {
	r := claim.Record{Kind: claim.Take, Account: "mill", Key: "k", Attempt: attempt, Fingerprint: "f", IssuedMillis: 1_000_000_000}
	return &router{w: w, e: claim.NewExecution(r, 2), faults: faults, before: before, reader: claim.NewTable(0), offset: -1}
}

// run goes on until the reply, a crash or a freeze.
func (r *router) run() {
	actions := []func(fault){r.append, r.readBack, r.check, r.send, r.answer, r.record, r.finish}
	for !r.dead && r.next < len(steps) {
		s := steps[r.next]
		f := r.faults[s]
		delete(r.faults, s)
		stop := f == "crash" || f == "freeze then thaw"
		if f == "clock step" {
			r.w.shift += claim.KeyLifetime.Milliseconds() / 2
		}
		if f == "key expires" {
			r.w.now += claim.KeyLifetime.Milliseconds() + 2*claim.ClockSkew.Milliseconds()
		}
		if f == "log trimmed" {
			r.w.now += retention.Milliseconds() + 1
			r.w.trimmed = len(r.w.log)
		}
		if !stop || !r.before {
			r.next++
			actions[r.next-1](f)
		}
		if stop {
			r.dead = true
			if f == "freeze then thaw" {
				r.w.flying = append(r.w.flying, func() { r.dead = false; r.run() })
			}
		}
	}
}

// lost tells whether the effect of a step happens and its answer is lost.
func (r *router) lost(f fault) (effect, lost bool) {
	switch f {
	case "cut both ways", "log down":
		return false, true
	case "cut one way", "answer lost after effect", "slow past the deadline":
		return !r.before, true
	}
	return true, false
}

func (r *router) append(f fault) {
	effect, lost := r.lost(f)
	if f == "reorder" {
		r.w.flying = append(r.w.flying, func() { r.w.put(r.e.Record()) })
		effect, lost = false, true
	}
	if effect {
		r.offset = r.w.put(r.e.Record())
	}
	if f == "duplicate" || f == "two keepers" {
		r.w.put(r.e.Record())
	}
	if lost {
		r.unconfirmed()
	}
}

// unconfirmed ends the attempt whose claim the log did not confirm.
func (r *router) unconfirmed() {
	r.e, r.action = r.e.WithUnconfirmed(true)
	if r.action.Abandon {
		r.w.flying = append(r.w.flying, func() { r.w.put(r.e.Record().WithRelease()) })
	}
}

func (r *router) readBack(f fault) {
	if r.action.Reply != nil {
		return
	}
	if _, lost := r.lost(f); lost {
		r.unconfirmed()
		return
	}
	standing, entry := r.w.read(r.reader).Standing(r.e.Record())
	r.e, r.action = r.e.WithStanding(standing, entry, false)
}

// check is the moment between the decision and the send.
func (*router) check(fault) {}

func (r *router) send(f fault) {
	if f == "leaving" && r.action.Send {
		r.e, r.action = r.e.WithNotStarted()
	}
	if !r.action.Send {
		return
	}
	effect, lost := r.lost(f)
	if f == "service restart" {
		effect, lost = !r.before, true
	}
	if effect {
		r.w.runs++
	}
	if lost {
		r.e, r.action = r.e.WithLost()
	}
}

func (r *router) answer(f fault) {
	if !r.action.Send {
		return
	}
	if _, lost := r.lost(f); lost || f == "service restart" {
		r.e, r.action = r.e.WithLost()
		return
	}
	r.e, r.action = r.e.WithAnswer(200, "", []byte("booked"))
}

func (r *router) record(f fault) {
	if r.action.End == nil {
		return
	}
	end := *r.action.End
	effect, lost := r.lost(f)
	if effect && f != "reorder" {
		r.w.put(end)
	}
	if lost || f == "reorder" || f == "duplicate" || f == "two keepers" {
		r.w.flying = append(r.w.flying, func() { r.w.put(end) })
	}
}

func (r *router) finish(f fault) {
	if f == "slow past the deadline" {
		return
	}
	r.reply, r.runsAtReply = r.action.Reply, r.w.runs
}

// land lets what was delayed happen, the latest first.
func (w *world) land() {
	for len(w.flying) > 0 {
		last := w.flying[len(w.flying)-1]
		w.flying = w.flying[:len(w.flying)-1]
		last()
	}
}

// check fails the test if a promise is broken.
func (w *world) check(is *is.I, routers ...*router) {
	is.True(w.runs <= 1) // it ran at most once
	for _, r := range routers {
		if r.reply == nil {
			continue
		}
		if r.reply.Failure == nil || r.reply.Failure.Outcome == request.Done {
			is.Equal(w.runs, 1) // done means that it ran
		}
		if r.reply.Failure != nil && r.reply.Failure.Outcome == request.NotRun {
			is.Equal(r.runsAtReply, 0) // not run means that it did not
		}
	}
}

// play runs a call with faults, a repeat at another router while delayed
// things are still under way, and another repeat after they landed. The first
// repeat finds the log down in one of two runs.
func play(is *is.I, faults map[step]fault, before bool) {
	for _, repeat := range []map[step]fault{{}, {"append": "log down"}} {
		w := &world{model: model{now: 1_000_000_000}}
		first := newRouter(w, "one", maps.Clone(faults), before)
		first.run()
		w.check(is, first)
		second := newRouter(w, "two", repeat, false)
		second.run()
		w.check(is, first, second)
		w.land()
		w.check(is, first, second)
		third := newRouter(w, "three", nil, false)
		third.run()
		w.check(is, first, second, third)
	}
}

// TestFaultMatrix puts every fault at every step, every pair of faults at
// two steps, each before and after the effect of its step.
func TestFaultMatrix(t *testing.T) {
	cells, pairs, cannot := 0, 0, 0
	for _, s := range steps {
		for _, f := range faults {
			if impossible(s, f) != "" {
				cannot++
				continue
			}
			cells++
			for _, before := range []bool{true, false} {
				t.Run(string(s)+"/"+string(f), func(t *testing.T) {
					play(is.New(t), map[step]fault{s: f}, before)
				})
			}
			for _, s2 := range steps {
				for _, f2 := range faults {
					if s2 <= s || impossible(s2, f2) != "" {
						continue
					}
					pairs++
					for _, before := range []bool{true, false} {
						play(is.New(t), map[step]fault{s: f, s2: f2}, before)
					}
				}
			}
		}
	}
	t.Logf("%d of %d cells covered, %d can't occur, %d pairs", cells, len(steps)*len(faults), cannot, pairs)
}
