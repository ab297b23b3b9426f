package attempt

import "time"

// RetryBudget is a token bucket that bounds a host's repeats to a share of
// its requests. It is immutable.
type RetryBudget struct {
	// Share is how many repeats each request allows.
	Share float64
	// PerSecond is how many repeats are allowed without traffic.
	PerSecond float64
	// Burst is the most repeats that are saved up.
	Burst float64

	spent   float64
	refresh time.Time
}

// DefaultRetryBudget returns the budget of the daemon: a tenth of the
// requests, and a few for hosts with little traffic.
func DefaultRetryBudget() RetryBudget {
	return RetryBudget{Share: 0.1, PerSecond: 2, Burst: 100}
}

// WithRequest returns the budget after one more request.
func (b RetryBudget) WithRequest(now time.Time) RetryBudget {
	b = b.refreshed(now)
	b.spent = max(b.spent-b.Share, 0)
	return b
}

// WithRepeat returns the budget after a repeat, and whether it is allowed.
func (b RetryBudget) WithRepeat(now time.Time) (RetryBudget, bool) {
	b = b.refreshed(now)
	if b.spent+1 > b.Burst {
		return b, false
	}
	b.spent++
	return b, true
}

// refreshed adds what time gives. A clock that steps back gives nothing.
func (b RetryBudget) refreshed(now time.Time) RetryBudget {
	if elapsed := now.Sub(b.refresh).Seconds(); !b.refresh.IsZero() && elapsed > 0 {
		b.spent = max(b.spent-elapsed*b.PerSecond, 0)
	}
	b.refresh = now
	return b
}
