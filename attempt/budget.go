package attempt

import "time"

// RetryBudget is a token bucket that limits a host's retries to a share of
// its requests. It is immutable.
type RetryBudget struct {
	// Share is the number of retries that each request allows.
	Share float64
	// PerSecond is the number of retries per second allowed without traffic.
	PerSecond float64
	// Burst is the maximum number of retries that accumulate.
	Burst float64

	spent      float64
	lastRefill time.Time
}

// DefaultRetryBudget returns the budget that the daemon uses: a tenth of the
// requests, and a few retries for hosts with little traffic.
func DefaultRetryBudget() RetryBudget {
	return RetryBudget{Share: 0.1, PerSecond: 2, Burst: 100}
}

// WithRequest returns the budget after one more request.
func (b RetryBudget) WithRequest(now time.Time) RetryBudget {
	b = b.refilled(now)
	b.spent = max(b.spent-b.Share, 0)
	return b
}

// WithRetry returns the budget after a retry and reports whether the retry is
// allowed.
func (b RetryBudget) WithRetry(now time.Time) (RetryBudget, bool) {
	b = b.refilled(now)
	if b.spent+1 > b.Burst {
		return b, false
	}
	b.spent++
	return b, true
}

// refilled returns the budget refilled for the time elapsed since the last
// refill. A clock that steps back adds nothing.
func (b RetryBudget) refilled(now time.Time) RetryBudget {
	if elapsed := now.Sub(b.lastRefill).Seconds(); !b.lastRefill.IsZero() && elapsed > 0 {
		b.spent = max(b.spent-elapsed*b.PerSecond, 0)
	}
	b.lastRefill = now
	return b
}
