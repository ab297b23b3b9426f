package replica

import (
	"maps"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// clockMargin is how far the times of day of two hosts may be apart.
const clockMargin = 3 * time.Second

// Naming tells since when a target weights version is set at the earliest.
type Naming struct {
	Version int64
	// Age is how long before it was told.
	Age time.Duration
}

// namings returns what the host has observed of the versions.
func (h WeightsHistory) namings(now clock.Instant) []Naming {
	var found []Naming
	for _, v := range append([]WeightsHistory{h}, h.earlier...) {
		if v.observed {
			found = append(found, Naming{v.Version, now.Sub(v.Since)})
		}
	}
	return found
}

// withNamings returns the history after another host told what it has observed before
// an instant. Of two earliest times, the later one is closer to the truth.
func (h WeightsHistory) withNamings(told []Naming, at clock.Instant) WeightsHistory {
	learn := func(v WeightsHistory) WeightsHistory {
		for _, n := range told {
			if since := at.Add(-n.Age); n.Version == v.Version && (!v.observed || since > v.Since) {
				v.Since, v.observed = since, true
			}
		}
		return v
	}
	next := learn(h)
	next.earlier = nil
	for _, v := range h.earlier {
		next.earlier = append(next.earlier, learn(v))
	}
	return next
}

// Namings returns since when target weights versions are set, by model, as far as this
// host or one that told it has observed that.
func (s State) Namings(now clock.Instant) map[string][]Naming {
	all := map[string][]Naming{}
	for model, h := range s.weights {
		if found := h.namings(now); len(found) > 0 {
			all[model] = found
		}
	}
	return all
}

// WithNamings returns the state after another host told what it has observed before an
// instant.
func (s State) WithNamings(told map[string][]Naming, at clock.Instant) State {
	weights := maps.Clone(s.weights)
	for model, h := range weights {
		weights[model] = h.withNamings(told[model], at)
	}
	s.weights = weights
	return s
}

// RecordedNamings is what the store tells of the target weights of a model, by times of
// day.
type RecordedNamings struct {
	Model   string
	Namings []Naming
}

// earliest returns since when the versions are set at the earliest.
func (r RecordedNamings) earliest(now clock.Instant) map[int64]clock.Instant {
	found := map[int64]clock.Instant{}
	for _, n := range r.Namings {
		found[n.Version] = now.Add(-n.Age - clockMargin)
	}
	return found
}

// IsRecorded reports whether the store tells since when a version is set.
func (s State) IsRecorded(model string, version int64) bool {
	_, ok := s.recorded[model][version]
	return ok
}

// applyRecorded uses what the store tells of versions that no host has observed. The
// state's weights must be a copy.
func (s *State) applyRecorded(model string) {
	improve := func(v WeightsHistory) WeightsHistory {
		if since, ok := s.recorded[model][v.Version]; ok && !v.observed {
			v.Since = max(v.Since, since)
		}
		return v
	}
	h, ok := s.weights[model]
	if !ok {
		return
	}
	next := improve(h)
	next.earlier = nil
	for _, v := range h.earlier {
		next.earlier = append(next.earlier, improve(v))
	}
	s.weights[model] = next
}
