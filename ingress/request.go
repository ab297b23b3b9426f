package ingress

import (
	"context"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/plannedstop"
)

// OpenRequest is a request that has been read, or a part of it.
type OpenRequest struct {
	// ID is "" as long as the request arrives.
	ID string
	// Whole is set once all of it has arrived.
	Whole bool
	// Began is when its first byte was read.
	Began clock.Instant
	// Progress tells where it is, Answering is set once its answer has begun, written
	// once all of the answer is being written.
	Progress           *call.Progress
	Answering, Written bool
	// Left is set once the client has closed its connection while the request is handled,
	// Broken once the answer has failed after it began, in the state BrokenIn.
	Left, Broken bool
	BrokenIn     plannedstop.State
	// Cancel ends the handling of the request; it is nil before, and once its answer has
	// begun.
	Cancel context.CancelCauseFunc
	// Abort ends all work on the request; it is nil before and after it is handled.
	Abort func()
	// Taken is called once the client has taken the answer, or the connection has ended; it
	// is nil if nothing waits for that.
	Taken func()
}

// State returns the state of the request.
func (r OpenRequest) State() plannedstop.State {
	place, found := r.Progress.Place()
	switch {
	case r.ID == "":
		return plannedstop.Arriving
	case r.Written:
		return plannedstop.Writing
	case found && place.IsMoving():
		return plannedstop.Moving
	case found && r.Answering:
		return plannedstop.Streaming
	case found:
		return plannedstop.Running
	case r.Answering:
		return plannedstop.Interrupted
	}
	return plannedstop.Waiting
}
