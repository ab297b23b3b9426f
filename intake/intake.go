// Package intake decides which bodies of requests a host takes in while they arrive, so
// that clients can't fill its memory with what they leave unfinished.
//
// The load that it answers: more large bodies at once than fit into the room for them,
// many of which stand still. Small bodies have a room that large ones can't take. If
// there is no room for a body, those that have stood still for longest make room, then
// those of the caller's address that holds more than the address of the new one; else the
// body is refused. Callers behind one address share what the other addresses leave.
//
// The package does no I/O. An Intake must not be used by several goroutines at once.
package intake

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// StandstillTime is how long a body may bring nothing before it has to make room for
// others. It is longer than the usual pauses of a connection that loses packets.
const StandstillTime = 500 * time.Millisecond

// SmallBytes is the size up to which a body may take the room for small ones.
const SmallBytes = 16 << 10

// Limits are the bytes of the two rooms.
type Limits struct {
	// Bytes is the room for all bodies, SmallBytes the one that only small bodies take.
	Bytes, SmallBytes int64
}

// room is one of the two rooms.
type room struct {
	limit, held int64
}

// takes reports whether there is room for more bytes.
func (r *room) takes(more int64) bool { return r.held+more <= r.limit }

// Body is the body of a request.
type Body struct {
	caller string
	bytes  int64
	// small is set if it is in the room for small bodies.
	small bool
	// whole is set once it has arrived.
	whole bool
	// ended is set once it holds nothing any more.
	ended bool
	// progressed is when something of it last arrived.
	progressed clock.Instant
}

// Ended reports whether the body holds no room any more: it has ended, or made room for
// another one.
func (b *Body) Ended() bool { return b.ended }

// Intake holds the bodies of requests that arrive or are in progress.
type Intake struct {
	all, small room
	// callers maps the addresses of callers to the bytes that they hold in the room for
	// all bodies.
	callers map[string]int64
	// arriving holds the bodies that have not arrived yet.
	arriving map[*Body]struct{}
}

// New returns an intake without bodies.
func New(l Limits) *Intake {
	return &Intake{
		all: room{limit: l.Bytes}, small: room{limit: l.SmallBytes},
		callers: map[string]int64{}, arriving: map[*Body]struct{}{},
	}
}

// Held returns the bytes that all bodies hold.
func (i *Intake) Held() int64 { return i.all.held + i.small.held }

// Begin returns the body of a request of a caller's address. It holds nothing yet.
func (i *Intake) Begin(caller string, now clock.Instant) *Body {
	b := &Body{caller: caller, progressed: now}
	i.arriving[b] = struct{}{}
	return b
}

// Progress records that something of a body has arrived.
func (i *Intake) Progress(b *Body, now clock.Instant) { b.progressed = now }

// Grow reports whether a body may take a number of bytes in all, and returns the bodies
// that have ended to make room for it.
func (i *Intake) Grow(b *Body, bytes int64, now clock.Instant) (taken bool, displaced []*Body) {
	if b.ended {
		return false, nil
	}
	if bytes <= SmallBytes && (b.small || b.bytes == 0) {
		if displaced, ok := i.makeSmallRoom(b, bytes-b.bytes, now); ok {
			i.end(displaced)
			b.small = true
			i.small.held += bytes - b.bytes
			b.bytes = bytes
			return true, displaced
		}
	}
	need := bytes
	if !b.small {
		need -= b.bytes
	}
	displaced, ok := i.makeRoom(b, need, now)
	if !ok {
		return false, nil
	}
	i.end(displaced)
	i.release(b)
	b.small, b.bytes = false, bytes
	i.all.held += bytes
	i.callers[b.caller] += bytes
	return true, displaced
}

// Arrived records that a body is whole: it makes no room for others, and keeps its own
// until it ends.
func (i *Intake) Arrived(b *Body) {
	if !b.ended {
		b.whole = true
		delete(i.arriving, b)
	}
}

// End records that a body holds nothing any more.
func (i *Intake) End(b *Body) {
	if b.ended {
		return
	}
	i.release(b)
	delete(i.arriving, b)
	b.ended = true
}

// end ends bodies.
func (i *Intake) end(bodies []*Body) {
	for _, b := range bodies {
		i.End(b)
	}
}

// release gives back what a body holds.
func (i *Intake) release(b *Body) {
	if b.small {
		i.small.held -= b.bytes
	} else {
		i.all.held -= b.bytes
		if i.callers[b.caller] -= b.bytes; i.callers[b.caller] == 0 {
			delete(i.callers, b.caller)
		}
	}
	b.bytes = 0
}

// makeSmallRoom returns the bodies that have to end for more bytes in the room for small
// ones.
func (i *Intake) makeSmallRoom(b *Body, more int64, now clock.Instant) ([]*Body, bool) {
	if i.small.takes(more) {
		return nil, true
	}
	return choose(i.standing(b, true, now), i.small.held+more-i.small.limit)
}

// makeRoom returns the bodies that have to end for more bytes in the room for all.
func (i *Intake) makeRoom(b *Body, more int64, now clock.Instant) ([]*Body, bool) {
	switch {
	case i.all.takes(more):
		return nil, true
	case more > i.all.limit:
		return nil, false
	}
	missing := i.all.held + more - i.all.limit
	candidates := i.standing(b, false, now)
	if displaced, ok := choose(candidates, missing); ok {
		return displaced, true
	}
	return choose(append(candidates, i.unfair(b, more, candidates)...), missing)
}

// standing returns the arriving bodies of a room that stand still, those that have done so
// for longest first.
func (i *Intake) standing(b *Body, small bool, now clock.Instant) []*Body {
	var found []*Body
	for other := range i.arriving {
		if other != b && other.small == small && other.bytes > 0 && now.Sub(other.progressed) >= StandstillTime {
			found = append(found, other)
		}
	}
	sortByProgress(found)
	return found
}

// unfair returns the arriving bodies of the address that holds most, as long as it holds
// more than the body's address would; those that have stood still for longest first.
func (i *Intake) unfair(b *Body, more int64, without []*Body) []*Body {
	largest := ""
	for caller, held := range i.callers {
		if held > i.callers[largest] || held == i.callers[largest] && caller < largest {
			largest = caller
		}
	}
	if largest == b.caller {
		return nil
	}
	var found []*Body
	for other := range i.arriving {
		if other.caller == largest && !other.small && !slices.Contains(without, other) {
			found = append(found, other)
		}
	}
	sortByProgress(found)
	left, want := i.callers[largest], i.callers[b.caller]+more
	for n, other := range found {
		if left -= other.bytes; left < want {
			return found[:n]
		}
	}
	return found
}

func sortByProgress(bodies []*Body) {
	slices.SortFunc(bodies, func(a, b *Body) int { return cmp.Compare(a.progressed, b.progressed) })
}

// choose returns the first bodies that hold a number of bytes together.
func choose(candidates []*Body, bytes int64) ([]*Body, bool) {
	for n, b := range candidates {
		if bytes -= b.bytes; bytes <= 0 {
			return candidates[:n+1], true
		}
	}
	return nil, false
}
