// Package discovery holds the entries that upstreams write about themselves to the
// platform's store. A Set is immutable; each update returns a new one.
package discovery

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Entry describes one incarnation of an upstream.
type Entry struct {
	// ID identifies this incarnation of the upstream.
	ID      string
	Service string
	// Address is its IP:port. Another upstream may get the same address later.
	Address       string
	FailureDomain string
	// Software is the version of the upstream's software. Versions have no order.
	Software string
	Slots    int
	// Leaving upstreams accept no new requests.
	Leaving bool
	// WarmUp is the remaining time for which the upstream is slow after its start.
	WarmUp time.Duration
	// Weights maps models to the loaded weights versions.
	Weights map[string]int64
	// StartTime is in Unix milliseconds. It orders two incarnations with the same
	// ID and is compared with nothing else.
	StartTime int64
	// Heartbeat counts the entries that the upstream has written since its start.
	Heartbeat int64
}

// supersedes reports whether an entry is at least as new as another one with the
// same ID.
func (e Entry) supersedes(other Entry) bool {
	return cmp.Or(cmp.Compare(e.StartTime, other.StartTime), cmp.Compare(e.Heartbeat, other.Heartbeat)) >= 0
}

// Set is a set of entries by ID.
type Set struct {
	entries   map[string]Entry
	byService map[string][]Entry
}

// With returns a set with entries added in order. An entry that is older than the
// one in the set changes nothing.
func (s Set) With(entries ...Entry) Set {
	if !slices.ContainsFunc(entries, s.accepts) {
		return s
	}
	return s.modified(func(m map[string]Entry) {
		for _, e := range entries {
			if known, ok := m[e.ID]; !ok || e.supersedes(known) {
				m[e.ID] = e
			}
		}
	})
}

// accepts reports whether adding an entry would change the set.
func (s Set) accepts(e Entry) bool {
	known, ok := s.entries[e.ID]
	return !ok || e.supersedes(known)
}

// Without returns a set without the entries with the given IDs.
func (s Set) Without(ids ...string) Set {
	return s.modified(func(m map[string]Entry) {
		for _, id := range ids {
			delete(m, id)
		}
	})
}

func (s Set) modified(change func(map[string]Entry)) Set {
	next := Set{entries: make(map[string]Entry, len(s.entries)+1), byService: map[string][]Entry{}}
	for id, e := range s.entries {
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

// Entry returns an entry by its ID.
func (s Set) Entry(id string) (Entry, bool) {
	e, ok := s.entries[id]
	return e, ok
}

// Service returns the entries of a service, sorted by ID. The result is shared and
// must not be changed.
func (s Set) Service(name string) []Entry { return s.byService[name] }

// All iterates over all entries.
func (s Set) All() iter.Seq[Entry] { return maps.Values(s.entries) }

// SoftwareVersions returns the software versions of a service's upstreams, each
// once.
func (s Set) SoftwareVersions(service string) []string {
	var versions []string
	for _, e := range s.byService[service] {
		if !slices.Contains(versions, e.Software) {
			versions = append(versions, e.Software)
		}
	}
	return versions
}

// Len returns the number of entries.
func (s Set) Len() int { return len(s.entries) }
