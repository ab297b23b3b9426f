// Package discovery holds what upstreams say of themselves in the platform's
// store. A roster is immutable; later news make a new one.
package discovery

import (
	"cmp"
	"slices"
	"time"
)

// Entry is what one start of an upstream says of itself.
type Entry struct {
	// ID names this start of the upstream.
	ID      string
	Service string
	// Address is its IP:port. It may be given to another upstream later.
	Address       string
	FailureDomain string
	Slots         int
	// Leaving upstreams take no new request.
	Leaving bool
	// Cold is how much longer the upstream is slow after its start.
	Cold time.Duration
	// Weights maps models to the number of the weights that are loaded.
	Weights map[string]int64
	// Born is the time of day of its start in Unix milliseconds. It orders
	// two starts under one id and is compared with nothing else.
	Born int64
	// Beat counts what the upstream wrote since its start.
	Beat int64
}

// newer tells whether an entry follows another one under the same id.
func (e Entry) newer(than Entry) bool {
	return cmp.Or(cmp.Compare(e.Born, than.Born), cmp.Compare(e.Beat, than.Beat)) >= 0
}

// Roster is a set of entries by id.
type Roster struct {
	entries   map[string]Entry
	byService map[string][]Entry
}

// With returns a roster with some entries, one after the other. An entry of an
// earlier start, or an earlier one of the same start, changes nothing.
func (r Roster) With(entries ...Entry) Roster {
	if !slices.ContainsFunc(entries, r.lacks) {
		return r
	}
	return r.changed(func(m map[string]Entry) {
		for _, e := range entries {
			if known, ok := m[e.ID]; !ok || e.newer(known) {
				m[e.ID] = e
			}
		}
	})
}

// lacks tells whether an entry would change the roster.
func (r Roster) lacks(e Entry) bool {
	known, ok := r.entries[e.ID]
	return !ok || e.newer(known)
}

// Without returns a roster without some entries.
func (r Roster) Without(ids ...string) Roster {
	return r.changed(func(m map[string]Entry) {
		for _, id := range ids {
			delete(m, id)
		}
	})
}

func (r Roster) changed(change func(map[string]Entry)) Roster {
	next := Roster{entries: make(map[string]Entry, len(r.entries)+1), byService: map[string][]Entry{}}
	for id, e := range r.entries {
		next.entries[id] = e
	}
	change(next.entries)
	for _, e := range next.entries {
		next.byService[e.Service] = append(next.byService[e.Service], e)
	}
	for _, list := range next.byService {
		slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	}
	return next
}

// Entry returns an entry by its id.
func (r Roster) Entry(id string) (Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// Service returns the entries of a service by id. The result is shared and
// must not be changed.
func (r Roster) Service(name string) []Entry { return r.byService[name] }

// Len returns the number of entries.
func (r Roster) Len() int { return len(r.entries) }
