package replica

import (
	"maps"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// clockMargin is how far the times of day of two hosts may be apart.
const clockMargin = 3 * time.Second

// Bound tells that a host knew all records at an instant, and that no target weights
// version after a given one was set then.
type Bound struct {
	// After is the newest version at that instant.
	After int64
	// Age is how long before it was told that was.
	Age time.Duration
}

// RecordedBounds is what the store tells of the target weights of a model, by times of
// day.
type RecordedBounds struct {
	Model  string
	Bounds []Bound
}

// bounds maps versions to the latest instant at which none after them was set.
type bounds map[int64]clock.Instant

// with returns the bounds with others that were told at an instant.
func (b bounds) with(told []Bound, at clock.Instant) bounds {
	next := maps.Clone(b)
	if next == nil {
		next = bounds{}
	}
	for _, t := range told {
		next[t.After] = max(next[t.After], at.Add(-t.Age))
	}
	for len(next) > maxEarlierVersions {
		delete(next, slices.Min(slices.Collect(maps.Keys(next))))
	}
	return next
}

// replacedSince returns the latest instant at which a version was certainly not replaced
// yet, or 0. A host that has missed versions in between can't tell which of them was set
// first, but what others know of an older version holds for a newer one, too.
func (b bounds) replacedSince(version int64) clock.Instant {
	var latest clock.Instant
	for after, at := range b {
		if after <= version {
			latest = max(latest, at)
		}
	}
	return latest
}

// Bounds returns what this host has observed of target weights, by model, the newest
// first, and what others have told it.
func (s State) Bounds(now clock.Instant) map[string][]Bound {
	all := map[string][]Bound{}
	for model, h := range s.weights {
		known := maps.Clone(s.told[model])
		if known == nil {
			known = bounds{}
		}
		for i, v := range h.versions() {
			after := int64(0) // no version was set at all
			switch {
			case i < len(h.earlier):
				after = h.earlier[i].Version
			case i >= maxEarlierVersions:
				continue // those before it are forgotten
			}
			if v.observed {
				known[after] = max(known[after], v.Since)
			}
		}
		for _, after := range slices.Backward(slices.Sorted(maps.Keys(known))) {
			all[model] = append(all[model], Bound{after, now.Sub(known[after])})
		}
	}
	return all
}

// WithBounds returns the state after another host told what it knows, at an instant.
func (s State) WithBounds(told map[string][]Bound, at clock.Instant) State {
	all := maps.Clone(s.told)
	if all == nil {
		all = map[string]bounds{}
	}
	for model, b := range told {
		all[model] = all[model].with(b, at)
	}
	s.told = all
	return s.withHistories()
}

// withHistories returns the state with all that is known of target weights in their
// histories.
func (s State) withHistories() State {
	s.weights = maps.Clone(s.weights)
	for model, h := range s.weights {
		h.told, h.recorded = s.told[model], s.recorded[model]
		s.weights[model] = h
	}
	return s
}

// IsRecorded reports whether the store tells when no version after the given one was set.
func (s State) IsRecorded(model string, after int64) bool {
	_, ok := s.recorded[model][after]
	return ok
}
