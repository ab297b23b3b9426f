package forward

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/liveness"
	"github.com/kumquathoist/kumquathoist/retry"
)

const (
	// maxBeside is how long an upstream that works, but sends no event, keeps a stream
	// after it was sent to another one. A rejection by that one arrives sooner.
	maxBeside = 200 * time.Millisecond
	// minSilence is how long an upstream leaves a check unanswered if it was silent rather
	// than late with its answer.
	minSilence = 300 * time.Millisecond
	// searchInterval is the time between two searches for an upstream that answers.
	searchInterval = 300 * time.Millisecond
	// minStoppingIdle is how long an upstream may be idle at least while the host stops.
	minStoppingIdle = 500 * time.Millisecond
	// maxSilentTargets bounds the silent upstreams that one search meets.
	maxSilentTargets = 3
)

// signsOfLife tells silent engines from those that have nothing to send.
type signsOfLife interface {
	// Check returns a channel that is closed once an engine has answered a check.
	Check(address, upstream string) <-chan struct{}
	// Silent returns the engines that leave a check unanswered.
	Silent() map[string]bool
	// Silence returns how long an engine has left a check unanswered.
	Silence(upstream string) liveness.Silence
}

// awaitEvent waits for the next event as long as the stream stays with an upstream that is
// idle. While the host stops, that is only as long as the upstream isn't known to be silent.
func (s *stream) awaitEvent() error {
	await := func(d time.Duration) error { return s.attempt.exchange.AwaitData(min(d, s.timeLeft())) }
	if s.searching {
		return await(searchInterval)
	}
	began, least := clock.Now(), max(s.route.EventGap, minStoppingIdle)
	limit := s.Stop().MaxIdle(s.resumeTimeout(), least, began)
	if s.Stop().IsZero() || limit <= least+liveness.AnswerTime {
		return await(limit)
	}
	if err := await(least); !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	answered := s.checkAlive(s.attempt.target)
	if err := await(liveness.AnswerTime); !errors.Is(err, os.ErrDeadlineExceeded) || !isClosed(answered) {
		return err
	}
	return await(limit - clock.Now().Sub(began))
}

// idleAttempt is an attempt without an event for too long, which another may replace.
type idleAttempt struct {
	*attempt

	// answered is closed once the upstream has answered a check that began at checked,
	// spoke once it has sent something or its connection has ended.
	answered, spoke <-chan struct{}
	checked         clock.Instant
	stop            func()
	// silent is set if the upstream left the check unanswered, silentBefore if it also did
	// when another was searched for before, in vain.
	silent, silentBefore bool
	// goesOn is set once the upstream serves the stream again, ended once it no longer
	// can.
	goesOn, ended bool
}

// takeOver has another upstream continue a stream whose upstream is idle, or returns to
// that one. Of two attempts that are in progress, the first to send an event serves the
// stream, and one that was silent and answers again; the other is ended at once.
func (s *stream) takeOver(idle *attempt, cause error) error {
	if !s.searching {
		s.recordFailure(idle, retry.Broken, cause)
	}
	if !s.mayReplace(idle) || !s.allowsRetry(s.service.Name, s.stage) {
		s.returnTo(idle, false)
		return nil
	}
	first := s.watchIdle(idle)
	for s.mayReplace(idle) {
		t, ok := s.answeringTarget(first)
		if !ok || first.hasSpoken() || s.wakes(first) {
			break
		}
		if s.count(idle, retry.Broken); !s.retryAllowed(s.ctx, retry.Broken) {
			break
		}
		if t.relay {
			t.send.Attempts = s.retryState.MaybeExecuted
		}
		answer, outcome := s.sendBeside(first, t)
		if outcome == retry.Answered {
			first.stop()
			return s.switchTo(t, answer)
		}
		s.retryState = s.retryState.With(outcome)
		if first.goesOn {
			break
		}
	}
	first.stop()
	if first.ended {
		return s.reattach(idle, cause)
	}
	s.returnTo(idle, first.hasSpoken())
	return nil
}

// mayReplace reports whether another attempt may replace an idle one, apart from the
// retry budget.
func (s *stream) mayReplace(idle *attempt) bool {
	state := s.currentState()
	if !idle.counted {
		state = state.With(retry.Broken)
	}
	return s.ctx.Err() == nil && s.timeLeft() > minTimeLeft && state.ShouldRetry()
}

// watchIdle begins to watch an idle attempt, and finds out whether its upstream is silent.
func (s *stream) watchIdle(idle *attempt) *idleAttempt {
	first := &idleAttempt{attempt: idle, checked: clock.Now(), answered: s.checkAlive(idle.target)}
	first.spoke, first.stop = idle.exchange.NotifyData()
	first.silent = !s.awaitAnswer(first.answered, first)
	first.silentBefore, idle.wasSilent = s.searching && idle.wasSilent, first.silent
	return first
}

// wakes reports whether an idle upstream that was silent before, when no other answered,
// wakes now that another does: its next event is due.
func (s *stream) wakes(first *idleAttempt) bool {
	if !first.silentBefore || !s.awaitAnswer(first.answered, first) && !first.hasSpoken() {
		return false
	}
	first.wasSilent = false
	return true
}

// checkAlive returns a channel that is closed once an upstream has answered a check. Only
// engines can be checked; others count as alive.
func (h *handler) checkAlive(t target) <-chan struct{} {
	if h.service.Engine == nil || t.relay {
		alive := make(chan struct{})
		close(alive)
		return alive
	}
	return h.Liveness.Check(t.address, t.id)
}

// hasSpoken reports whether the upstream has sent something or its connection has ended,
// unless the attempt has ended here.
func (f *idleAttempt) hasSpoken() bool {
	return !f.ended && isClosed(f.spoke)
}

// answeringTarget chooses an upstream that answers a check. It returns false if there is
// none, or if the idle upstream has spoken meanwhile.
func (s *stream) answeringTarget(first *idleAttempt) (target, bool) {
	s.needsAnswering = true
	defer func() { s.needsAnswering = false }()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	if !first.ended {
		s.Background.Go(func() {
			select {
			case <-first.spoke:
				cancel()
			case <-ctx.Done():
			}
		})
	}
	for range maxSilentTargets {
		t, ok := s.schedule(ctx)
		if !ok {
			return target{}, false
		}
		if s.awaitAnswer(s.checkAlive(t), first) {
			return t, true
		}
		if first.hasSpoken() || s.ctx.Err() != nil {
			break
		}
	}
	return target{}, false
}

// awaitAnswer waits for the answer to a check as long as an upstream that works takes at
// most. It returns early if the idle upstream speaks.
func (s *stream) awaitAnswer(answered <-chan struct{}, first *idleAttempt) bool {
	timer := time.NewTimer(liveness.AnswerTime)
	defer timer.Stop()
	spoke := first.spoke
	if first.ended {
		spoke = nil
	}
	select {
	case <-answered:
	case <-spoke:
	case <-timer.C:
	case <-s.ctx.Done():
	}
	return isClosed(answered) // also if others were ready, as after this process stood still
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sendBeside sends a stream to a second upstream while the first attempt is in progress,
// and ends one of the two as soon as it is clear which one serves the stream.
func (s *stream) sendBeside(first *idleAttempt, t target) (*call.Answer, retry.Outcome) {
	ctx, cancel := context.WithCancel(s.ctx)
	sent, finished := clock.Now(), make(chan struct{})
	var deciding conc.WaitGroup
	if !first.ended {
		deciding.Go(func() { s.decide(first, t, sent, cancel, finished) })
	}
	answer, outcome := s.sendTo(ctx, t, s.lastID)
	close(finished)
	deciding.Wait()
	if outcome == retry.Answered && !first.goesOn {
		if second, ok := answer.Stream.(*stream); ok {
			second.attempt.release = cancel
		} else {
			cancel() // switchTo refuses the answer
		}
		if !first.ended {
			s.endFirst(first, t, sent)
		}
		return answer, outcome
	}
	if outcome == retry.Answered {
		outcome = retry.Broken
		if second, ok := answer.Stream.(*stream); ok {
			second.attempt.exchange.Discard()
			s.endAttempt(second.attempt)
		}
	}
	cancel()
	if first.goesOn {
		s.recordReplaced(t.id, first.id, sent, first.silent)
	}
	return nil, outcome
}

// decide ends the second attempt once the first upstream serves the stream again, or the
// first one if it works, but has sent nothing for too long. It returns when that is decided
// or the second attempt has finished.
func (s *stream) decide(first *idleAttempt, t target, sent clock.Instant, endSecond func(), finished <-chan struct{}) {
	var tooLong <-chan time.Time
	for answered := first.answered; ; {
		select {
		case <-finished:
			return
		case <-first.spoke:
			s.decideSpoken(first, t, sent, endSecond, finished)
			return
		case <-answered:
			if first.silent && clock.Now().Sub(first.checked) >= minSilence {
				first.goesOn = true
				endSecond()
				return
			}
			answered, tooLong = nil, time.After(maxBeside-clock.Now().Sub(sent))
		case <-tooLong:
			s.decideSlow(first, t, sent, endSecond, finished)
			return
		}
	}
}

// decideSlow ends the first attempt, whose upstream works but is slow, unless that one
// answers another check in time and the second upstream doesn't.
func (s *stream) decideSlow(first *idleAttempt, t target, sent clock.Instant, endSecond func(), finished <-chan struct{}) {
	secondAnswers, firstAnswers := s.checkAlive(t), s.checkAlive(first.target)
	timer := time.NewTimer(liveness.AnswerTime)
	defer timer.Stop()
	select {
	case <-finished:
	case <-first.spoke:
	case <-secondAnswers:
	case <-timer.C:
	}
	switch { // others may be ready, too, as after this process stood still
	case isClosed(finished):
	case isClosed(first.spoke):
		s.decideSpoken(first, t, sent, endSecond, finished)
	case isClosed(firstAnswers) && !isClosed(secondAnswers):
		first.goesOn = true
		endSecond()
	default:
		s.endFirst(first, t, sent)
	}
}

// decideSpoken decides once the first upstream has sent something, or its connection has
// ended, as when it moved the stream to another engine.
func (s *stream) decideSpoken(first *idleAttempt, t target, sent clock.Instant, endSecond func(), finished <-chan struct{}) {
	goesOn, pending := first.exchange.HasData(), false
	if !goesOn {
		goesOn, pending = s.awaitMemory(finished)
	}
	switch {
	case goesOn:
		first.goesOn = true
		endSecond()
	case !pending:
		s.endFirst(first, t, sent)
	}
}

// endFirst ends the attempt at the first upstream, since another serves the stream.
func (s *stream) endFirst(first *idleAttempt, t target, sent clock.Instant) {
	first.ended = true
	first.exchange.Discard()
	s.endAttempt(first.attempt)
	s.recordReplaced(first.id, t.id, sent, first.silent)
}

// returnTo returns to an idle upstream, since it has spoken or no other could take over.
func (s *stream) returnTo(idle *attempt, hasSpoken bool) {
	if !s.searching && !hasSpoken {
		event.StreamStalled.Info("Request", s.call.ID, "Upstream", idle.id, "After", s.lastID, "Events", s.events)
	}
	s.setAttempt(idle)
	s.searching = s.mayReplace(idle)
	s.waitsForever = !s.searching
}
