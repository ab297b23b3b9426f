package availability

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// maxReturn bounds the time after which a refused caller is asked to return.
const maxReturn = 10 * time.Second

// ReturnQueue spreads the callers that are refused because upstreams are at their
// limits: each is asked to return when the requests of those before it fit. It is
// immutable; the zero value is an empty queue.
type ReturnQueue struct {
	// next is when the next caller may return.
	next clock.Instant
}

// With returns the queue with one more caller and how long it should wait, given
// the time until the next request fits and the rate of requests a second that fit
// then; 0 if this host has no part of them.
func (q ReturnQueue) With(wait time.Duration, perSecond float64, now clock.Instant) (ReturnQueue, time.Duration) {
	if perSecond <= 0 {
		return q, wait // the caller may find another host
	}
	due := min(max(q.next, now.Add(wait)), now.Add(maxReturn))
	q.next = due.Add(time.Duration(float64(time.Second) / perSecond))
	return q, due.Sub(now)
}
