package reload

import "time"

const (
	// estimateSmoothing is the weight of a new load in the moving averages.
	estimateSmoothing = 0.3
	// minLoad is the shortest load that is told apart from none: reports are
	// polled about that often.
	minLoad = 100 * time.Millisecond
	// pollDivisor divides the time that a load takes to get the time between two
	// reports, which is between minLoad and maxPollInterval.
	pollDivisor     = 10
	maxPollInterval = 500 * time.Millisecond
)

// Estimate is how long engines take for new weights, as moving averages of the
// loads that were seen. The zero value means that none was seen yet. It is
// immutable.
type Estimate struct {
	// Load is how long an engine loads after its last request has ended, Drain
	// how long its requests take to end after the order.
	Load, Drain time.Duration
	// Loads counts the loads that the averages are made of.
	Loads int
}

// IsKnown reports whether any load was seen.
func (e Estimate) IsKnown() bool { return e.Loads > 0 }

// With returns the estimate after an engine took that long.
func (e Estimate) With(load, drain time.Duration) Estimate {
	load, drain = max(load, minLoad), max(drain, 0)
	if !e.IsKnown() {
		return Estimate{Load: load, Drain: drain, Loads: 1}
	}
	smooth := func(old, seen time.Duration) time.Duration {
		return old + time.Duration(estimateSmoothing*float64(seen-old))
	}
	return Estimate{Load: smooth(e.Load, load), Drain: smooth(e.Drain, drain), Loads: e.Loads + 1}
}

// Merge returns the estimate that is made of more loads.
func (e Estimate) Merge(other Estimate) Estimate {
	if other.Loads > e.Loads && other.Load > 0 {
		return other
	}
	return e
}

// PollInterval returns the time between two status reports of an engine that
// loads.
func (e Estimate) PollInterval() time.Duration {
	return min(max(e.Load/pollDivisor, minLoad), maxPollInterval)
}
