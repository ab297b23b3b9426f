package attempt

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// Step returns the state after an input and the actions to carry out, in
// order. It ignores late inputs: those that do not belong to the phase or to
// the current attempt.
func Step(s State, in Input, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase == Ended {
		return s, nil
	}
	if failure, ends := s.terminalFailure(in, now); ends {
		return s.finish(failure, random)
	}
	switch in := in.(type) {
	case Opened, Token, End, Failed:
		return s.handleAnswer(in, now, random)
	case Admitted:
		return s.handleAdmitted(now, random)
	case NoEngineAvailable:
		if s.phase == Choosing {
			return s.finishOrSwitchWeights(now, random)
		}
	case Chosen:
		return s.handleChosen(in.Target, now, random)
	case Delivered:
		if s.phase == Streaming {
			s.waitUntil = now.Add(s.limits.TokenTimeout)
		}
	case RetryDecision:
		return s.handleRetryDecision(in, now, random)
	case TimerFired:
		return s.handleTimer(now, random)
	}
	return s, nil
}

// handleAnswer handles an input from the engine.
func (s State) handleAnswer(in Input, now time.Time, random *rand.Rand) (State, []Action) {
	switch in := in.(type) {
	case Opened:
		return s.handleOpened(in, now, random)
	case Token:
		return s.handleToken(in, now, random)
	case End:
		return s.handleEnd(in, random)
	case Failed:
		if in.Attempt == s.attemptID && s.inFlight() {
			return s.handleFailure(in.Cause, now, random)
		}
	}
	return s, nil
}

// terminalFailure reports whether an input ends the request without regard to
// the current attempt, and returns the failure. Refused does so only in phase
// New, and TimerFired only from the deadline on.
func (s State) terminalFailure(in Input, now time.Time) (*request.Failure, bool) {
	switch in := in.(type) {
	case Refused:
		return in.Failure, s.phase == New
	case Quarantined:
		return request.Refuse(request.Quarantined, "the request crashed the engines that ran it"), true
	case CallerDisconnected:
		return request.Refuse(request.CallerLeft, "the caller left before the end"), true
	case Stopping:
		return request.Refuse(request.HostStopping, s.resumeInstructions()), true
	case TimerFired:
		return request.Refuse(request.DeadlineExceeded, "the request's time is over"), !now.Before(s.deadline)
	}
	return nil, false
}

// resumeInstructions returns the message that tells the caller of a stopping
// host how to resume.
func (s State) resumeInstructions() string {
	return fmt.Sprintf("this host stops; send the same request to another host with Last-Event-ID: %d and X-Model-Version: %s", s.position, s.weights)
}

func (s State) handleAdmitted(now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != New {
		return s, nil
	}
	return s.choose(now, random)
}

// choose requests an engine, or resumes on the same one.
func (s State) choose(now time.Time, random *rand.Rand) (State, []Action) {
	s.phase, s.waitUntil = Choosing, time.Time{}
	if s.remaining(now) < s.limits.MinRemaining {
		return s.refuseTooLate(random)
	}
	if s.resumeSameEngine {
		return s.startAttempt(now, random)
	}
	return s, []Action{Choose{Weights: s.weights, Tried: slices.Clone(s.tried)}}
}

func (s State) handleChosen(t Target, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != Choosing {
		return s, nil
	}
	if s.remaining(now) < max(t.Estimate, s.limits.MinRemaining) {
		return s.refuseTooLate(random)
	}
	s.target = t
	s.tried = append(slices.Clone(s.tried), t.Upstream)
	return s.startAttempt(now, random)
}

// refuseTooLate ends a request that can't meet its deadline.
func (s State) refuseTooLate(random *rand.Rand) (State, []Action) {
	return s.finish(request.Refuse(request.DeadlineTooNear, "the time left is too short to run the request"), random)
}

// startAttempt starts a new attempt at the target.
func (s State) startAttempt(now time.Time, random *rand.Rand) (State, []Action) {
	s.phase, s.resumeSameEngine, s.attemptTokens, s.incarnation = Opening, false, 0, ""
	s.attemptID = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	s.sends++
	s.waitUntil = now.Add(s.limits.FirstTokenTimeout)
	return s, []Action{Send{
		Attempt: s.attemptID, Target: s.target, Weights: s.weights, ResumeAfter: s.position, Remaining: s.remaining(now),
	}}
}

// handleOpened checks that the answer belongs to this attempt and comes from
// the engine incarnation and the weights that the choice relied on.
func (s State) handleOpened(in Opened, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != Opening || in.Attempt != s.attemptID {
		return s, nil
	}
	switch {
	case in.Echo != s.attemptID:
		return s.handleFailure(WrongAttempt, now, random)
	case s.target.Incarnation != "" && in.Incarnation != s.target.Incarnation:
		return s.handleFailure(IncarnationChanged, now, random)
	case in.Weights != s.weights:
		return s.handleFailure(WeightsChanged, now, random)
	}
	s.phase, s.incarnation = Streaming, in.Incarnation
	return s, nil
}

func (s State) handleToken(in Token, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != Streaming || in.Attempt != s.attemptID {
		return s, nil
	}
	if in.Position != s.position+1 {
		return s.handleFailure(Gap, now, random)
	}
	s.position = in.Position
	s.attemptTokens++
	s.waitUntil = now.Add(s.limits.TokenTimeout)
	actions := []Action{Deliver{Position: in.Position}}
	if s.attemptTokens == s.limits.EarlyTokens {
		actions = append(actions, ReportStarted{Attempt: s.attemptID})
	}
	return s, actions
}

func (s State) handleEnd(in End, random *rand.Rand) (State, []Action) {
	if s.phase != Streaming || in.Attempt != s.attemptID {
		return s, nil
	}
	s.attemptID = ""
	return s.finish(nil, random)
}

func (s State) handleRetryDecision(in RetryDecision, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != AwaitingBudget {
		return s, nil
	}
	if !in.Granted {
		return s.finish(s.exhaustedFailure(), random)
	}
	s.phase = BackingOff
	s.waitUntil = now.Add(jitter(random, s.limits.InitialBackoff<<max(s.sends-1, 0)))
	return s, nil
}

// handleTimer handles the timeout of a phase. It ignores a timer that fires
// early.
func (s State) handleTimer(now time.Time, random *rand.Rand) (State, []Action) {
	if s.waitUntil.IsZero() || now.Before(s.waitUntil) {
		return s, nil
	}
	switch s.phase {
	case Opening, Streaming:
		return s.handleFailure(Stalled, now, random)
	case BackingOff:
		return s.choose(now, random)
	}
	return s, nil
}
