package account

import (
	"math"
	"time"
)

const (
	// burstTime is the time for which a router may accumulate unused rate.
	burstTime = time.Second
	// idleAfter is how long an unused share is retained.
	idleAfter = 5 * Period
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal by rate.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Share is the part of an account's limits that one router holds: token buckets
// for the rates, and slots for concurrency. It is immutable.
type Share struct {
	// held is the lease, which stays valid until the next one.
	held Amount
	// requests and tokens are the levels of the buckets. tokens may be
	// negative.
	requests, tokens       float64
	inFlight, peakInFlight int
	updated                time.Time
	// wanted counts the demand of callers since the last lease request, and
	// demand is its moving average.
	wanted, demand        Amount
	lastRequest, lastTake time.Time
}

// FallbackLease returns the lease of a router that can't reach the coordinator:
// an even part of the limits, and at least one request in flight.
func FallbackLease(limits Amount, routers int) Amount {
	lease := limits.DividedBy(routers)
	if limits.Concurrency > 0 {
		lease.Concurrency = max(1, lease.Concurrency)
	}
	return lease
}

// NewShare returns the share of a router with its first lease.
func NewShare(first Amount, now time.Time) Share {
	return Share{held: first, requests: burstLimit(first.Requests), tokens: burstLimit(first.Tokens), updated: now, lastRequest: now, lastTake: now}
}

// burstLimit returns the capacity of the bucket for a rate. It is at least one
// request, so that small shares can be used at all.
func burstLimit(rate float64) float64 { return max(1, rate*burstTime.Seconds()) }

// refill adds what the lease allows since the last update.
func (s Share) refill(now time.Time) Share {
	seconds := max(0, now.Sub(s.updated).Seconds())
	s.requests = min(burstLimit(s.held.Requests), s.requests+s.held.Requests*seconds)
	s.tokens = min(burstLimit(s.held.Tokens), s.tokens+s.held.Tokens*seconds)
	s.updated = now
	return s
}

// Refusal is why a request may not start now.
type Refusal struct {
	// Limit is the name of the exceeded limit, or "" if the request may start.
	Limit string
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
}

// Take admits or refuses a request of a number of tokens under the account's
// limits. Release must be called when an admitted request ends.
func (s Share) Take(limits Amount, tokens int, now time.Time) (Share, Refusal) {
	s = s.refill(now)
	s.lastTake = now
	s.wanted.Requests++
	s.wanted.Tokens += float64(tokens)
	s.peakInFlight = max(s.peakInFlight, s.inFlight+1)
	switch {
	case limits.Requests > 0 && s.requests < 1:
		return s, Refusal{"requests", refillTime(1-s.requests, s.held.Requests)}
	case limits.Tokens > 0 && s.tokens <= 0:
		return s, Refusal{"tokens", refillTime(-s.tokens, s.held.Tokens)}
	case limits.Concurrency > 0 && s.inFlight >= s.slots():
		s.wanted.Concurrency++
		return s, Refusal{"concurrency", Period / 2}
	}
	s.requests--
	s.tokens -= float64(tokens)
	s.inFlight++
	return s, Refusal{}
}

// slots returns the number of requests that may be in flight. It rounds down, so
// that all routers together stay within the limit.
func (s Share) slots() int { return int(math.Floor(s.held.Concurrency + 1e-9)) }

// refillTime returns the bounded time in which an amount accumulates at a rate.
func refillTime(amount, rate float64) time.Duration {
	if rate <= 0 {
		return Period
	}
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(amount/rate*float64(time.Second))))
}

// Release ends an admitted request.
func (s Share) Release() Share {
	s.inFlight--
	return s
}

// LeaseRequest is what a router sends to the coordinator of an account.
type LeaseRequest struct {
	// Wanted is the recent demand: rates, and requests in flight.
	Wanted Amount
	// Held is the lease that the router uses until the reply.
	Held Amount
	// InFlight is the number of requests in flight.
	InFlight int
}

// FirstLeaseRequest returns the lease request of a router that received the
// first request of an account. fallback is the lease that it uses without a
// reply.
func FirstLeaseRequest(fallback Amount, tokens int) LeaseRequest {
	return LeaseRequest{
		Wanted: Amount{Requests: 1 / Period.Seconds(), Tokens: float64(tokens) / Period.Seconds(), Concurrency: 1},
		Held:   fallback,
	}
}

// NextLeaseRequest returns the next lease request, and resets the count of
// demand.
func (s Share) NextLeaseRequest(now time.Time) (Share, LeaseRequest) {
	seconds := max(0.1, now.Sub(s.lastRequest).Seconds())
	wanted := Amount{s.wanted.Requests / seconds, s.wanted.Tokens / seconds, float64(s.peakInFlight) + s.wanted.Concurrency}
	s.demand = s.demand.combine(wanted, func(before, latest float64) float64 { return (before + latest) / 2 })
	s.wanted, s.peakInFlight, s.lastRequest = Amount{}, s.inFlight, now
	return s, LeaseRequest{Wanted: s.demand, Held: s.held, InFlight: s.inFlight}
}

// Due reports whether it is time for the next lease request.
func (s Share) Due(now time.Time) bool { return now.Sub(s.lastRequest) >= Period }

// Idle reports whether the share was unused for some time and can be dropped.
func (s Share) Idle(now time.Time) bool { return s.inFlight == 0 && now.Sub(s.lastTake) >= idleAfter }

// WithLease returns the share with a new lease.
func (s Share) WithLease(lease Amount, now time.Time) Share {
	s = s.refill(now)
	s.held = lease
	s.requests, s.tokens = min(s.requests, burstLimit(lease.Requests)), min(s.tokens, burstLimit(lease.Tokens))
	return s
}
