package call

import "sync/atomic"

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
	place atomic.Pointer[Place]
}

// Enter records that the request is sent to a place.
func (p *Progress) Enter(place *Place) {
	if p != nil {
		p.place.Store(place)
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
