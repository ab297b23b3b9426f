package attempt

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// Step returns the state after an input and the actions to carry out, in
// their order. An input that does not belong to the phase or to the current
// attempt changes nothing: it came late.
func Step(s State, in Input, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase == Ended {
		return s, nil
	}
	if failure, ends := s.interrupted(in, now); ends {
		return s.finish(failure, random)
	}
	switch in := in.(type) {
	case Opened, Token, End, Failed:
		return s.answered(in, now, random)
	case Admitted:
		return s.admitted(now, random)
	case NoneUsable:
		if s.phase == Choosing {
			return s.exhaust(now, random)
		}
	case Chosen:
		return s.chosen(in.Target, now, random)
	case Delivered:
		if s.phase == Streaming {
			s.wake = now.Add(s.limits.Token)
		}
	case Budget:
		return s.budget(in, now, random)
	case Woken:
		return s.woken(now, random)
	}
	return s, nil
}

// answered takes an input of the engine's side.
func (s State) answered(in Input, now time.Time, random *rand.Rand) (State, []Action) {
	switch in := in.(type) {
	case Opened:
		return s.opened(in, now, random)
	case Token:
		return s.token(in, now, random)
	case End:
		return s.end(in, random)
	case Failed:
		if in.Attempt == s.id && s.open() {
			return s.failed(in.Cause, now, random)
		}
	}
	return s, nil
}

// interrupted returns the failure of an input that ends the request in any
// phase.
func (s State) interrupted(in Input, now time.Time) (*request.Failure, bool) {
	switch in := in.(type) {
	case Refused:
		return in.Failure, s.phase == New
	case Condemned:
		return request.Refuse(request.Quarantined, "the request crashed the engines that ran it"), true
	case CallerLeft:
		return request.Refuse(request.CallerLeft, "the caller left before the end"), true
	case Stopping:
		return request.Refuse(request.HostStopping, s.continuation()), true
	case Woken:
		return request.Refuse(request.DeadlineExceeded, "the request's time is over"), !now.Before(s.deadline)
	}
	return nil, false
}

// continuation tells the caller of a stopping host how to go on.
func (s State) continuation() string {
	return fmt.Sprintf("this host stops; send the same request to another host with Last-Event-ID: %d and X-Model-Version: %s", s.position, s.weights)
}

func (s State) admitted(now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != New {
		return s, nil
	}
	return s.choose(now, random)
}

// choose asks for an engine, or sends to the same one again to resume.
func (s State) choose(now time.Time, random *rand.Rand) (State, []Action) {
	s.phase, s.wake = Choosing, time.Time{}
	if s.remaining(now) < s.limits.Least {
		return s.tooLate(random)
	}
	if s.resume {
		return s.send(now, random)
	}
	return s, []Action{Choose{Weights: s.weights, Tried: slices.Clone(s.tried)}}
}

func (s State) chosen(t Target, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != Choosing {
		return s, nil
	}
	if s.remaining(now) < max(t.Estimate, s.limits.Least) {
		return s.tooLate(random)
	}
	s.target = t
	s.tried = append(slices.Clone(s.tried), t.Upstream)
	return s.send(now, random)
}

// tooLate refuses a send that can't meet the deadline.
func (s State) tooLate(random *rand.Rand) (State, []Action) {
	return s.finish(request.Refuse(request.DeadlineTooNear, "the time left is too short to run the request"), random)
}

// send begins a new attempt at the target.
func (s State) send(now time.Time, random *rand.Rand) (State, []Action) {
	s.phase, s.resume, s.tokens, s.incarnation = Opening, false, 0, ""
	s.id = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	s.sends++
	s.wake = now.Add(s.limits.FirstToken)
	return s, []Action{Send{
		Attempt: s.id, Target: s.target, Weights: s.weights, ResumeAfter: s.position, Remaining: s.remaining(now),
	}}
}

// opened checks that the answer is this attempt's, and from the engine and
// the weights that the choice relied on.
func (s State) opened(in Opened, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != Opening || in.Attempt != s.id {
		return s, nil
	}
	switch {
	case in.Echo != s.id:
		return s.failed(WrongAttempt, now, random)
	case s.target.Incarnation != "" && in.Incarnation != s.target.Incarnation:
		return s.failed(IncarnationChanged, now, random)
	case in.Weights != s.weights:
		return s.failed(WeightsChanged, now, random)
	}
	s.phase, s.incarnation = Streaming, in.Incarnation
	return s, nil
}

func (s State) token(in Token, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != Streaming || in.Attempt != s.id {
		return s, nil
	}
	if in.Position != s.position+1 {
		return s.failed(Gap, now, random)
	}
	s.position = in.Position
	s.tokens++
	s.wake = now.Add(s.limits.Token)
	return s, []Action{Deliver{Position: in.Position}}
}

func (s State) end(in End, random *rand.Rand) (State, []Action) {
	if s.phase != Streaming || in.Attempt != s.id {
		return s, nil
	}
	s.id = ""
	return s.finish(nil, random)
}

func (s State) budget(in Budget, now time.Time, random *rand.Rand) (State, []Action) {
	if s.phase != Budgeting {
		return s, nil
	}
	if !in.Granted {
		return s.finish(s.exhausted(), random)
	}
	s.phase = Pausing
	s.wake = now.Add(jitter(random, s.limits.Pause<<max(s.sends-1, 0)))
	return s, nil
}

// woken ends the wait of a phase. A timer may fire before the wait ended.
func (s State) woken(now time.Time, random *rand.Rand) (State, []Action) {
	if s.wake.IsZero() || now.Before(s.wake) {
		return s, nil
	}
	switch s.phase {
	case Opening, Streaming:
		return s.failed(Stalled, now, random)
	case Pausing:
		return s.choose(now, random)
	}
	return s, nil
}
