package call

import (
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// Place is where a request is.
type Place struct {
	// Upstream is the id of the upstream that has it, or the name of the host to which it
	// was passed on.
	Upstream string
	// Moving reports whether it is being moved to another upstream; nil if it never is.
	Moving func() bool
}

// IsMoving reports whether the request is being moved.
func (p Place) IsMoving() bool { return p.Moving != nil && p.Moving() }

// Progress tells where a request is. A nil Progress tells nothing.
type Progress struct {
	place, last atomic.Pointer[Place]
	// deadline is when the request has to have its answer, 0 if that isn't known.
	deadline atomic.Int64
}

// SetDeadline records when the request has to have its answer.
func (p *Progress) SetDeadline(at clock.Instant) {
	if p != nil {
		p.deadline.Store(int64(at))
	}
}

// TimeLeft returns the time until the deadline, or 0 if that isn't known.
func (p *Progress) TimeLeft(now clock.Instant) time.Duration {
	if p == nil || p.deadline.Load() == 0 {
		return 0
	}
	return clock.Instant(p.deadline.Load()).Sub(now)
}

// Enter records that the request is sent to a place.
func (p *Progress) Enter(place *Place) {
	if p != nil {
		p.place.Store(place)
		p.last.Store(place)
	}
}

// Leave records that the request is no longer at a place.
func (p *Progress) Leave(place *Place) {
	if p != nil {
		p.place.CompareAndSwap(place, nil)
	}
}

// Place returns where the request is; false if it is at no upstream.
func (p *Progress) Place() (Place, bool) {
	if p == nil {
		return Place{}, false
	}
	if place := p.place.Load(); place != nil {
		return *place, true
	}
	return Place{}, false
}

// LastPlace returns the place to which the request was sent last; zero if it was sent
// nowhere.
func (p *Progress) LastPlace() Place {
	if p == nil {
		return Place{}
	}
	if place := p.last.Load(); place != nil {
		return *place
	}
	return Place{}
}
