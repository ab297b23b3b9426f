package claim_test

import (
	"maps"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/claim"
	"github.com/kumquathoist/kumquathoist/request"
)

// step is a step of a call that must not run twice.
type step string

var steps = []step{"append", "read back", "check", "send", "answer", "record", "reply"}

// fault is what goes wrong at a step.
type fault string

var faults = []fault{
	"none", "crash", "freeze then thaw", "connection lost in both directions", "connection lost in one direction", "slow past the deadline", "answer lost after effect",
	"duplicate", "reorder", "clock step", "log down", "log trimmed", "two owners", "service restart", "leaving", "key expires",
	"stale host list", "gap in cache events", "configuration change",
}

// impossible returns why a fault can't occur at a step, or "".
func impossible(s step, f fault) string {
	log := s == "append" || s == "read back" || s == "record"
	switch {
	case f == "gap in cache events":
		return "no cache events are read for calls of plain services"
	case f == "configuration change":
		return "a request uses the revision that it started with"
	case f == "stale host list":
		return "it appears as two owners, or as an endpoint that is leaving"
	case f == "log down" && !log, f == "two owners" && !log, f == "duplicate" && !log && s != "send", f == "reorder" && s != "append" && s != "record":
		return "the step does not use the log"
	case f == "answer lost after effect" && (s == "check" || s == "reply" || s == "answer"):
		return "the step makes no call"
	case f == "duplicate" && s == "send":
		return "the client never resends a call by itself"
	case (f == "service restart" || f == "leaving") && s != "send" && s != "answer":
		return "the service is not called at this step"
	case f == "leaving" && s == "answer":
		return "a service that is leaving finishes what it runs"
	case (f == "connection lost in both directions" || f == "connection lost in one direction") && (s == "check" || s == "reply"):
		return "the step uses no network; a disconnected caller retries"
	}
	return ""
}

// scenario is one key, its log, the number of runs at the service, and delayed
// effects.
type scenario struct {
	model

	runs    int
	delayed []func()
}

func (s *scenario) appendRecord(r claim.Record) int64 {
	raw, err := claim.EncodeBatch([]claim.Record{r})
	if err != nil {
		panic(err)
	}
	return s.append(raw)
}

// router is one attempt at the call; it can stop at a step and resume later.
type router struct {
	scenario  *scenario
	execution claim.Execution
	faults    map[step]fault
	// beforeEffect is set if a fault occurs before the effect of its step.
	beforeEffect bool
	action       claim.Action
	offset       int64
	reader       *claim.Table
	reply        *claim.Reply
	// runsAtReply is how often the call had run by the time of the reply.
	runsAtReply int
	stopped     bool
	nextStep    int
}

func newRouter(s *scenario, attempt string, faults map[step]fault, beforeEffect bool) *router {
	r := claim.Record{Kind: claim.Take, Account: "mill", Key: "k", Attempt: attempt, Fingerprint: "f", IssuedMillis: 1_000_000_000}
	return &router{scenario: s, execution: claim.NewExecution(r, 2), faults: faults, beforeEffect: beforeEffect, reader: claim.NewTable(0), offset: -1}
}

// run executes steps until the reply, a crash or a freeze.
func (r *router) run() {
	actions := []func(fault){r.append, r.readBack, r.check, r.send, r.answer, r.record, r.finish}
	for !r.stopped && r.nextStep < len(steps) {
		s := steps[r.nextStep]
		f := r.faults[s]
		delete(r.faults, s)
		stop := f == "crash" || f == "freeze then thaw"
		if f == "clock step" {
			r.scenario.clockOffset += claim.KeyLifetime.Milliseconds() / 2
		}
		if f == "key expires" {
			r.scenario.now += claim.KeyLifetime.Milliseconds() + 2*claim.ClockSkew.Milliseconds()
		}
		if f == "log trimmed" {
			r.scenario.now += retention.Milliseconds() + 1
			r.scenario.trimmed = len(r.scenario.log)
		}
		if !stop || !r.beforeEffect {
			r.nextStep++
			actions[r.nextStep-1](f)
		}
		if stop {
			r.stopped = true
			if f == "freeze then thaw" {
				r.scenario.delayed = append(r.scenario.delayed, func() { r.stopped = false; r.run() })
			}
		}
	}
}

// outcome reports whether the effect of a step happens and whether its answer
// is lost.
func (r *router) outcome(f fault) (effect, lost bool) {
	switch f {
	case "connection lost in both directions", "log down":
		return false, true
	case "connection lost in one direction", "answer lost after effect", "slow past the deadline":
		return !r.beforeEffect, true
	}
	return true, false
}

func (r *router) append(f fault) {
	effect, lost := r.outcome(f)
	if f == "reorder" {
		r.scenario.delayed = append(r.scenario.delayed, func() { r.scenario.appendRecord(r.execution.Record()) })
		effect, lost = false, true
	}
	if effect {
		r.offset = r.scenario.appendRecord(r.execution.Record())
	}
	if f == "duplicate" || f == "two owners" {
		r.scenario.appendRecord(r.execution.Record())
	}
	if lost {
		r.unconfirmed()
	}
}

// unconfirmed ends an attempt whose claim the log did not confirm.
func (r *router) unconfirmed() {
	r.execution, r.action = r.execution.WithUnconfirmed(true)
	if r.action.Abandon {
		r.scenario.delayed = append(r.scenario.delayed, func() { r.scenario.appendRecord(r.execution.Record().WithRelease()) })
	}
}

func (r *router) readBack(f fault) {
	if r.action.Reply != nil {
		return
	}
	if _, lost := r.outcome(f); lost {
		r.unconfirmed()
		return
	}
	status, entry := r.scenario.read(r.reader).Status(r.execution.Record())
	r.execution, r.action = r.execution.WithStatus(status, entry, false)
}

// check is the pause between the decision and the send.
func (*router) check(fault) {}

func (r *router) send(f fault) {
	if f == "leaving" && r.action.Send {
		r.execution, r.action = r.execution.WithNotStarted()
	}
	if !r.action.Send {
		return
	}
	effect, lost := r.outcome(f)
	if f == "service restart" {
		effect, lost = !r.beforeEffect, true
	}
	if effect {
		r.scenario.runs++
	}
	if lost {
		r.execution, r.action = r.execution.WithAnswerLost()
	}
}

func (r *router) answer(f fault) {
	if !r.action.Send {
		return
	}
	if _, lost := r.outcome(f); lost || f == "service restart" {
		r.execution, r.action = r.execution.WithAnswerLost()
		return
	}
	r.execution, r.action = r.execution.WithAnswer(200, "", []byte("booked"))
}

func (r *router) record(f fault) {
	if r.action.End == nil {
		return
	}
	end := *r.action.End
	effect, lost := r.outcome(f)
	if effect && f != "reorder" {
		r.scenario.appendRecord(end)
	}
	if lost || f == "reorder" || f == "duplicate" || f == "two owners" {
		r.scenario.delayed = append(r.scenario.delayed, func() { r.scenario.appendRecord(end) })
	}
}

func (r *router) finish(f fault) {
	if f == "slow past the deadline" {
		return
	}
	r.reply, r.runsAtReply = r.action.Reply, r.scenario.runs
}

// deliverDelayed applies delayed effects, the latest first.
func (s *scenario) deliverDelayed() {
	for len(s.delayed) > 0 {
		last := s.delayed[len(s.delayed)-1]
		s.delayed = s.delayed[:len(s.delayed)-1]
		last()
	}
}

// check verifies the guarantees on runs and replies.
func (s *scenario) check(is *is.I, routers ...*router) {
	is.True(s.runs <= 1) // the call ran at most once
	for _, r := range routers {
		if r.reply == nil {
			continue
		}
		if r.reply.Failure == nil || r.reply.Failure.Outcome == request.Done {
			is.Equal(s.runs, 1) // done means that it ran
		}
		if r.reply.Failure != nil && r.reply.Failure.Outcome == request.NotRun {
			is.Equal(r.runsAtReply, 0) // not run means that it did not
		}
	}
}

// runScenario runs a call with faults, a repeat at another router while delayed
// effects are pending, and another repeat after their delivery. In one of the
// two passes, the log is down for the first repeat.
func runScenario(is *is.I, faults map[step]fault, beforeEffect bool) {
	for _, repeat := range []map[step]fault{{}, {"append": "log down"}} {
		s := &scenario{model: model{now: 1_000_000_000}}
		first := newRouter(s, "one", maps.Clone(faults), beforeEffect)
		first.run()
		s.check(is, first)
		second := newRouter(s, "two", repeat, false)
		second.run()
		s.check(is, first, second)
		s.deliverDelayed()
		s.check(is, first, second)
		third := newRouter(s, "three", nil, false)
		third.run()
		s.check(is, first, second, third)
	}
}

// TestFaultMatrix injects every fault at every step and every pair of faults at
// two steps, each before and after the effect of its step.
func TestFaultMatrix(t *testing.T) {
	cells, pairs, skipped := 0, 0, 0
	for _, s := range steps {
		for _, f := range faults {
			if impossible(s, f) != "" {
				skipped++
				continue
			}
			cells++
			for _, before := range []bool{true, false} {
				t.Run(string(s)+"/"+string(f), func(t *testing.T) {
					runScenario(is.New(t), map[step]fault{s: f}, before)
				})
			}
			for _, s2 := range steps {
				for _, f2 := range faults {
					if s2 <= s || impossible(s2, f2) != "" {
						continue
					}
					pairs++
					for _, before := range []bool{true, false} {
						runScenario(is.New(t), map[step]fault{s: f, s2: f2}, before)
					}
				}
			}
		}
	}
	t.Logf("%d of %d cells covered, %d can't occur, %d pairs", cells, len(steps)*len(faults), skipped, pairs)
}
