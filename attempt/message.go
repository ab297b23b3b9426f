package attempt

import (
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// Input is something that happened.
type Input interface{ input() }

// Admitted tells that the request may start.
type Admitted struct{}

// Refused tells that admission refused the request.
type Refused struct{ Failure *request.Failure }

// Chosen answers Choose with an engine.
type Chosen struct{ Target Target }

// NoneUsable answers Choose when no engine can take the request.
type NoneUsable struct{}

// Opened tells that an answer began.
type Opened struct {
	// Attempt is the attempt that waited for it.
	Attempt string
	// Echo, Incarnation and Weights are what the engine answered with.
	Echo, Incarnation, Weights string
}

// Token is one token of an answer.
type Token struct {
	Attempt string
	// Position counts the tokens of the answer from 1.
	Position int
}

// Delivered tells that the caller's side took the token.
type Delivered struct{}

// End is the end marker of an answer.
type End struct{ Attempt string }

// Failed tells that an attempt failed.
type Failed struct {
	Attempt string
	Cause   Cause
}

// Budget answers AskBudget.
type Budget struct{ Granted bool }

// Woken tells that the time of Wake came.
type Woken struct{}

// Condemned tells that the request crashes the engines that run it.
type Condemned struct{}

// CallerLeft tells that nobody waits for the answer.
type CallerLeft struct{}

// Stopping tells that the host's planned stop ends its streams.
type Stopping struct{}

func (Admitted) input()   {}
func (Refused) input()    {}
func (Chosen) input()     {}
func (NoneUsable) input() {}
func (Opened) input()     {}
func (Token) input()      {}
func (Delivered) input()  {}
func (End) input()        {}
func (Failed) input()     {}
func (Budget) input()     {}
func (Woken) input()      {}
func (Condemned) input()  {}
func (CallerLeft) input() {}
func (Stopping) input()   {}

// Action is something to carry out.
type Action interface{ action() }

// Choose asks for an engine that was not tried.
type Choose struct {
	// Weights is the version that the engine must have.
	Weights string
	Tried   []string
}

// Send sends an attempt.
type Send struct {
	Attempt string
	Target  Target
	// Weights is the version that the engine must have.
	Weights string
	// ResumeAfter is the position of the last token that the caller has.
	ResumeAfter int
	// Remaining is the time left for the request.
	Remaining time.Duration
}

// Deliver passes the token just read on to the caller.
type Deliver struct{ Position int }

// Cancel tells the engine to stop an attempt that was abandoned.
type Cancel struct{ Upstream, Attempt string }

// AskBudget asks whether the host's retry budget allows a repeat.
type AskBudget struct{}

// Lost reports that an engine may have died in the prefill or the first
// tokens of an attempt, so that the request may be the reason.
type Lost struct{ Upstream, Attempt string }

// Finish ends the request. A nil failure means that the answer is whole.
type Finish struct{ Failure *request.Failure }

func (Choose) action()    {}
func (Send) action()      {}
func (Deliver) action()   {}
func (Cancel) action()    {}
func (AskBudget) action() {}
func (Lost) action()      {}
func (Finish) action()    {}
