package attempt

import (
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

// Input is an event that Step handles.
type Input interface{ input() }

// Admitted reports that the request may start.
type Admitted struct{}

// Refused reports that admission refused the request.
type Refused struct{ Failure *request.Failure }

// Chosen answers Choose with an engine.
type Chosen struct{ Target Target }

// NoEngineAvailable answers Choose when no engine can accept the request.
type NoEngineAvailable struct{}

// Opened reports that an answer started.
type Opened struct {
	// Attempt is the attempt that waited for the answer.
	Attempt string
	// Echo is the attempt ID in the answer. Incarnation and Weights are as
	// reported by the engine.
	Echo, Incarnation, Weights string
}

// Token is one token of an answer.
type Token struct {
	Attempt string
	// Position counts the tokens of the answer from 1.
	Position int
}

// Delivered reports that the sink accepted the token.
type Delivered struct{}

// End is the end marker of an answer.
type End struct{ Attempt string }

// Failed reports that an attempt failed.
type Failed struct {
	Attempt string
	Cause   Cause
}

// RetryDecision answers RequestRetry.
type RetryDecision struct{ Granted bool }

// TimerFired reports that the time of NextTimer has come.
type TimerFired struct{}

// Quarantined reports that the request crashes the engines that run it.
type Quarantined struct{}

// CallerDisconnected reports that nobody waits for the answer.
type CallerDisconnected struct{}

// Stopping reports that the planned stop of the host ends its streams.
type Stopping struct{}

func (Admitted) input()           {}
func (Refused) input()            {}
func (Chosen) input()             {}
func (NoEngineAvailable) input()  {}
func (Opened) input()             {}
func (Token) input()              {}
func (Delivered) input()          {}
func (End) input()                {}
func (Failed) input()             {}
func (RetryDecision) input()      {}
func (TimerFired) input()         {}
func (Quarantined) input()        {}
func (CallerDisconnected) input() {}
func (Stopping) input()           {}

// Action is a side effect that the caller of Step carries out.
type Action interface{ action() }

// Choose requests an engine that was not tried yet.
type Choose struct {
	// Weights is the version that the engine must have.
	Weights string
	Tried   []string
}

// Send sends an attempt to an engine.
type Send struct {
	Attempt string
	Target  Target
	// Weights is the version that the engine must have.
	Weights string
	// ResumeAfter is the position of the last token delivered to the caller.
	ResumeAfter int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Deliver forwards the token just read to the caller.
type Deliver struct{ Position int }

// Cancel cancels an abandoned attempt at its engine.
type Cancel struct{ Upstream, Attempt string }

// RequestRetry requests a retry from the host's retry budget.
type RequestRetry struct{}

// ReportStarted reports that the attempt got past the first tokens.
type ReportStarted struct{ Attempt string }

// ReportLoss reports that an engine may have crashed during the prefill or
// the first tokens of an attempt, so that the request may be the cause.
type ReportLoss struct {
	Upstream, Attempt string
	// Tokens counts the tokens of the attempt that had arrived.
	Tokens int
}

// Finish ends the request. A nil failure means that the answer is complete.
type Finish struct{ Failure *request.Failure }

func (Choose) action()        {}
func (Send) action()          {}
func (Deliver) action()       {}
func (Cancel) action()        {}
func (RequestRetry) action()  {}
func (ReportStarted) action() {}
func (ReportLoss) action()    {}
func (Finish) action()        {}
