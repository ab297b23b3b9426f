// Package plannedstop decides what a stopping host does with each request: whether it
// takes a new one, and when it waits for an open one, refuses it or cuts it.
//
// The package does no I/O.
package plannedstop

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// serveTime is how long callers may use an address that they have cached.
	serveTime = 3 * time.Second
	// cutMargin is how long before the end of the grace time open requests are cut.
	cutMargin = 500 * time.Millisecond
	// settleShare is the share of the grace time after which a request has to be at an
	// upstream.
	settleShare = 5.0 / 6
	// settleMargin is the time by which that is decided sooner.
	settleMargin = 200 * time.Millisecond
	// takeOverTime is how long another engine takes to take over a stream.
	takeOverTime = 700 * time.Millisecond
	// durationMargin is the factor by which a request may last longer than those before it.
	durationMargin = 1.25
)

// Moment is a part of a planned stop.
type Moment int

// The moments in their order.
const (
	// Serving is the time in which callers may still use the host's address.
	Serving Moment = iota
	// Finishing is the time in which the host finishes the requests it has.
	Finishing
	// Settling begins with the last sixth of the grace time.
	Settling
	// Ending is when the process has to end.
	Ending
)

// State is the state of a request.
type State int

// The states of requests.
const (
	// Arriving means that a part of the request has been read.
	Arriving State = iota
	// Waiting means that it is at no upstream and has no answer yet.
	Waiting
	// Running means that an upstream has it and has not begun to answer.
	Running
	// Moving means that it is being moved to another engine.
	Moving
	// Streaming means that an upstream sends its answer.
	Streaming
	// Interrupted means that its answer has begun, and it is at no upstream.
	Interrupted
	// Writing means that the rest of its answer is being written to the caller.
	Writing
)

// States lists all states.
func States() []State {
	return []State{Arriving, Waiting, Running, Moving, Streaming, Interrupted, Writing}
}

// String returns the name of a state.
func (s State) String() string {
	return [...]string{"Arriving", "Waiting", "Running", "Moving", "Streaming", "Interrupted", "Writing"}[s]
}

// Action is what the host does with an open request.
type Action int

// The actions.
const (
	// Wait means that the request goes on.
	Wait Action = iota
	// Refuse means that the caller is told now that the host stops.
	Refuse
	// Cut means that the request ends with the process, since its answer has begun.
	Cut
)

// Decide returns what the host does with an open request.
func Decide(s State, m Moment) Action {
	switch {
	case m == Settling && s == Waiting:
		return Refuse
	case m < Ending:
		return Wait
	case s == Arriving || s == Waiting || s == Running:
		return Refuse
	}
	return Cut
}

// Plan holds the instants of a planned stop. The zero value means that there is none.
type Plan struct {
	// Began is the earliest instant at which the stop may have been requested.
	Began clock.Instant
	// Refuses, Settles and Cuts begin the moments after the first.
	Refuses, Settles, Cuts clock.Instant
}

// NewPlan returns the plan of a stop that was requested at an instant.
func NewPlan(began clock.Instant, grace time.Duration) Plan {
	cut := max(0, grace-cutMargin)
	settle := min(cut, max(0, time.Duration(settleShare*float64(grace))-settleMargin))
	return Plan{Began: began, Refuses: began.Add(min(settle, serveTime)), Settles: began.Add(settle), Cuts: began.Add(cut)}
}

// IsZero reports whether there is no stop.
func (p Plan) IsZero() bool { return p == Plan{} }

// Moment returns the moment of an instant.
func (p Plan) Moment(now clock.Instant) Moment {
	switch {
	case now.Before(p.Refuses):
		return Serving
	case now.Before(p.Settles):
		return Finishing
	case now.Before(p.Cuts):
		return Settling
	}
	return Ending
}

// MaxIdle returns how long a stream may be idle before another engine is tried, which is
// usual without a stop: one that works has to be found before the requests settle.
func (p Plan) MaxIdle(usual, least time.Duration, now clock.Instant) time.Duration {
	if p.IsZero() {
		return usual
	}
	return min(usual, max(least, p.Settles.Sub(now)-takeOverTime))
}

// HasTime reports whether what takes a time ends before the requests settle, or there is no
// stop.
func (p Plan) HasTime(d time.Duration, now clock.Instant) bool {
	return p.IsZero() || !p.Settles.Before(now.Add(d))
}

// Request describes a request that has been read.
type Request struct {
	Deadline clock.Instant
	// Resumable reports whether the caller may resume its stream elsewhere.
	Resumable bool
	// Expected is how long such requests last, 0 if that isn't known.
	Expected time.Duration
}

// Takes reports whether the host takes a new request: one that is to end before the host
// cuts it. One that can't be resumed is taken only if its deadline is in time.
func (p Plan) Takes(r Request, now clock.Instant) bool {
	switch {
	case p.IsZero():
		return true
	case p.Moment(now) != Serving:
		return false
	case !p.Cuts.Before(r.Deadline):
		return true
	case !r.Resumable || r.Expected <= 0:
		return false
	}
	return !p.Cuts.Before(now.Add(time.Duration(durationMargin * float64(r.Expected))))
}
