package plannedstop

import (
	"slices"
	"time"
)

const (
	// keptDurations is the number of requests whose durations are kept.
	keptDurations = 64
	// minDurations is the number from which on they tell what to expect.
	minDurations = 8
)

// Durations tells how long requests are expected to last, from those before them. It is
// immutable.
type Durations struct {
	// recent holds the last durations, the latest at the end.
	recent []time.Duration
}

// With returns the durations with one more.
func (d Durations) With(one time.Duration) Durations {
	from := max(0, len(d.recent)+1-keptDurations)
	return Durations{append(slices.Clone(d.recent[from:]), one)}
}

// Expected returns the longest of the recent durations, or 0 if there are too few.
func (d Durations) Expected() time.Duration {
	if len(d.recent) < minDurations {
		return 0
	}
	return slices.Max(d.recent)
}
