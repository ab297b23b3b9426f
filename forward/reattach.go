package forward

import (
	"time"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/reattach"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/retry"
)

const (
	// reattachInterval is the time between two searches for an upstream that takes a
	// waiting stream.
	reattachInterval = 40 * time.Millisecond
	// memoryRefusalTime is how long the refusal of a stream with its memory tells that an
	// engine would refuse others, too.
	memoryRefusalTime = 500 * time.Millisecond
	// maxLeavingTime is how long after the start of its migration a stream may go on with its
	// memory at an engine that leaves.
	maxLeavingTime = time.Second
	// maxWaitingStreams bounds the streams of this host that wait for an upstream.
	maxWaitingStreams = 256
)

// reattachment brings a stream that no upstream serves back to one.
type reattachment struct {
	*stream

	broken *attempt
	// migration is the migration of the broken attempt, or nil; it is pending until its
	// result is known.
	migration *migration
	pending   bool
	// asked holds the engines with the memory that were asked, and whether they were to
	// load weights then. sends counts the sends.
	asked map[string]bool
	sends int
	// waits is set once the stream has waited.
	waits bool
	// upstream and answer are those of the place that took the stream.
	upstream target
	answer   *call.Answer
}

// reattach brings the stream back to an upstream after an attempt that was ended here, or
// failed and was recorded. While none takes it, it waits.
func (s *stream) reattach(broken *attempt, cause error) error {
	s.lock.Lock()
	m := s.migration
	s.lock.Unlock()
	r := &reattachment{stream: s, broken: broken, migration: m, pending: m != nil, asked: map[string]bool{}}
	defer r.endWait()
	before := s.retryState
	state := reattach.New(r.runsLeft(), broken.counted, r.pending)
	e := r.memory()
	for {
		var action reattach.Action
		state, action = reattach.Step(state, e)
		if s.denied = s.waitDenial(); s.denied != "" {
			return s.logFailure(cause)
		}
		switch action.Kind {
		case reattach.Ask:
			e = r.ask(action.Place)
		case reattach.Wait:
			if !r.beginWait() {
				s.denied = deniedWaiting
				return s.logFailure(cause)
			}
			e = r.wait()
		case reattach.GiveUp:
			if left := r.runsLeftAfter(action.Reason); left > 0 {
				state, e = state.WithRuns(left), reattach.Due
				continue
			}
			s.denied = denial(action.Reason)
			return s.logFailure(cause)
		}
		if r.answer != nil {
			s.forgiveRefusals(before)
			return s.switchTo(r.upstream, r.answer)
		}
	}
}

// runsLeft returns at how many more upstreams the stream may run.
func (r *reattachment) runsLeft() int {
	if !r.retryState.Idempotent {
		return 0
	}
	return r.currentState().RunsLeft()
}

// runsLeftAfter returns at how many more upstreams a stream may run that is given up, now
// that some of those that ran it may have ended.
func (r *reattachment) runsLeftAfter(reason reattach.Reason) int {
	if reason != reattach.Attempts {
		return 0
	}
	r.count(r.broken, retry.Broken)
	return r.runsLeft()
}

// memory returns what is known of the stream's memory: Due if it may still arrive.
func (r *reattachment) memory() reattach.Event {
	if !r.pending {
		return reattach.MemoryLost
	}
	if !isClosed(r.migration.done) {
		if r.timeToBegin(r.migration.source.target) > 0 {
			return reattach.Due
		}
		r.pending = false
		return reattach.MemoryLost
	}
	r.pending = false
	switch {
	case !r.hasMemory(r.migration):
		return reattach.MemoryLost
	case r.migration.moved.Transferred:
		return reattach.MemoryCopied
	}
	return reattach.MemoryKept
}

// ask sends the stream to a place, if that accepts it now.
func (r *reattachment) ask(p reattach.Place) reattach.Event {
	if (r.sends > 0 || p == reattach.Anywhere) && !r.reserved.Load() && !r.allowsRetry(r.service.Name, r.stage) {
		r.lacks = deniedBudget
		return reattach.Busy
	}
	t, e := r.targetOf(p)
	if e != reattach.Due {
		return e
	}
	// The first engine that has the memory continues the run that stopped.
	if continues := r.sends == 0 && p != reattach.Anywhere; !continues && !r.reserved.Swap(false) && !r.tryRetry(r.service.Name, r.stage) {
		r.lacks = deniedBudget
		r.Metrics.Counter("repeats_refused").Inc(1)
		return reattach.Busy
	}
	return r.send(t)
}

// targetOf returns the target of a place, and Due if it may be sent there now.
func (r *reattachment) targetOf(p reattach.Place) (target, reattach.Event) {
	if p == reattach.Anywhere {
		return r.anywhere()
	}
	return r.withMemory(p)
}

// withMemory returns the target of a place that has the memory, and Due if it may be sent
// there now.
func (r *reattachment) withMemory(p reattach.Place) (target, reattach.Event) {
	r.phase = moved
	t := r.migration.to
	if p == reattach.Source {
		t = r.migration.source.target
	}
	if r.hasOldWeights(t) {
		return t, reattach.MemoryLost
	}
	t.send.MemoryHandle = r.migration.moved.MemoryHandle
	snapshot := r.Replica.State()
	state, now := r.Tracker.State(t.id), clock.Now()
	loads, refuses := now.Before(state.LoadingUntil), state.MemoryRefusedAt != 0 && now.Sub(state.MemoryRefusedAt) < memoryRefusalTime
	loaded, asked := r.asked[t.id]
	switch {
	case r.isGone(snapshot, t, asked):
		return t, reattach.Closed
	case !asked && !refuses, asked && loads && !loaded:
		// A load may discard the memory.
		r.asked[t.id] = loads
		r.takeRegardless(t.id)
		return t, reattach.Due
	}
	if state.IsTried() || !r.isUsable(snapshot, t.id) || !r.take(t.id) {
		r.lacks = deniedNoUpstream
		return t, reattach.Busy
	}
	return t, reattach.Due
}

// isGone reports whether an engine that has the memory will not take the stream, or may not
// get it.
func (r *reattachment) isGone(snapshot replica.State, t target, asked bool) bool {
	entry, known := snapshot.Upstreams.Entry(t.id)
	leaves := !known || entry.Leaving
	if asked && (leaves || r.Tracker.State(t.id).Weights > t.send.Weights) {
		return true
	}
	return leaves && clock.Now().Sub(r.migration.started) >= maxLeavingTime
}

// isUsable reports whether an upstream may be sent a request now.
func (h *handler) isUsable(snapshot replica.State, id string) bool {
	return len(h.usable(snapshot, h.service, h.call.Prompt.Model, func(e discovery.Entry) bool { return e.ID != id })) > 0
}

// anywhere chooses an upstream that reads the stream in again, and returns Due if there is
// one now.
func (r *reattachment) anywhere() (target, reattach.Event) {
	r.phase = betweenAttempts
	if !r.knowsOrigin(r.broken) {
		return target{}, reattach.Closed
	}
	r.count(r.broken, retry.Broken) // it has run, even if its memory was lost
	t, ok, _ := r.place()
	switch {
	case !ok && r.isUnresumable():
		return t, reattach.Closed
	case !ok, r.waits && r.Tracker.State(t.id).IsTried():
		r.lacks = deniedNoUpstream
		return t, reattach.Busy
	}
	return t, reattach.Due
}

// send sends the stream to a target.
func (r *reattachment) send(t target) reattach.Event {
	r.sends++
	answer, outcome := r.sendTo(r.ctx, t, r.lastID)
	if outcome == retry.Answered {
		r.upstream, r.answer = t, answer
		return reattach.Due
	}
	r.retryState = r.retryState.With(outcome)
	if outcome != retry.Rejected && outcome != retry.NotSent {
		return reattach.Failed
	}
	r.lacks = deniedRejections
	if !t.relay {
		delete(r.tried, t.id) // it has not run the stream, and may take it later
	}
	if t.send.MemoryHandle != "" && outcome == retry.Rejected {
		r.Tracker.Update(t.id, func(s health.State) health.State {
			s.MemoryRefusedAt = clock.Now()
			return s
		})
	}
	return reattach.Refused
}

// beginWait counts the stream among those that wait, unless there are too many.
func (r *reattachment) beginWait() bool {
	if r.waits {
		return true
	}
	if r.waiting.Add(1) > maxWaitingStreams {
		r.waiting.Add(-1)
		return false
	}
	r.waits = true
	r.Metrics.Counter("streams_waited").Inc(1)
	return true
}

// endWait ends what beginWait began.
func (r *reattachment) endWait() {
	if r.waits {
		r.waiting.Add(-1)
	}
}

// wait waits until a place may take the stream, or its memory is there.
func (r *reattachment) wait() reattach.Event {
	var done chan struct{}
	if r.pending {
		r.phase, done = awaitingMemory, r.migration.done
	}
	timer := time.NewTimer(min(reattachInterval, max(time.Millisecond, r.timeLeft()-minTimeLeft)))
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-r.ctx.Done():
	}
	if r.pending {
		return r.memory()
	}
	if r.migration != nil && r.migration.source == r.broken {
		delete(r.tried, r.broken.id) // it has not failed, but was stopped by this host
	}
	return reattach.Due
}

// forgiveRefusals forgets the refusals while the stream waited, which say nothing about
// the next time that it needs another upstream.
func (s *stream) forgiveRefusals(before retry.State) {
	s.Metrics.Histogram("reattach_time", timeBuckets).RecordDuration(clock.Now().Sub(s.detached))
	s.forgiven += s.retryState.Rejected - before.Rejected
	s.retryState.Rejected, s.retryState.Unsent = before.Rejected, before.Unsent
}
