package account

import (
	"math"
	"time"
)

const (
	// burst is how much of its rate a router may save up.
	burst = time.Second
	// idleAfter is how long an unused share is kept.
	idleAfter = 5 * Period
	// firstRetry and lastRetry bound when a refused caller may come back.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 30 * time.Second
)

// Share is what one router holds of an account's limits. It is immutable.
type Share struct {
	// held is the lease, which lasts until the next one.
	held Amount
	// requests and tokens are saved up; tokens may be owed.
	requests, tokens float64
	inFlight, peak   int
	updated          time.Time
	// wanted counts what callers asked for since the last ask, and demand is
	// its mean over several.
	wanted, demand Amount
	asked, taken   time.Time
}

// First is what a router goes on with that can't reach the home: an even
// part, and one request in flight at least.
func First(limits Amount, routers int) Amount {
	first := limits.Divided(routers)
	if limits.Concurrency > 0 {
		first.Concurrency = max(1, first.Concurrency)
	}
	return first
}

// NewShare returns the share of a router with its first lease.
func NewShare(first Amount, now time.Time) Share {
	return Share{held: first, requests: most(first.Requests), tokens: most(first.Tokens), updated: now, asked: now, taken: now}
}

// most is how much of a rate is saved up at most; at least one request, so
// that small shares can be used at all.
func most(rate float64) float64 { return max(1, rate*burst.Seconds()) }

// refill adds what the lease gave since the last update.
func (s Share) refill(now time.Time) Share {
	seconds := max(0, now.Sub(s.updated).Seconds())
	s.requests = min(most(s.held.Requests), s.requests+s.held.Requests*seconds)
	s.tokens = min(most(s.held.Tokens), s.tokens+s.held.Tokens*seconds)
	s.updated = now
	return s
}

// Refusal tells why a request may not start now.
type Refusal struct {
	// Limit names what was used up, or is "" for a request that may start.
	Limit string
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// Take admits a request of a number of tokens under the account's limits, or
// refuses it. Release has to be called when an admitted request ends.
func (s Share) Take(limits Amount, tokens int, now time.Time) (Share, Refusal) {
	s = s.refill(now)
	s.taken = now
	s.wanted.Requests++
	s.wanted.Tokens += float64(tokens)
	s.peak = max(s.peak, s.inFlight+1)
	switch {
	case limits.Requests > 0 && s.requests < 1:
		return s, Refusal{"requests", wait(1-s.requests, s.held.Requests)}
	case limits.Tokens > 0 && s.tokens <= 0:
		return s, Refusal{"tokens", wait(-s.tokens, s.held.Tokens)}
	case limits.Concurrency > 0 && s.inFlight >= s.slots():
		s.wanted.Concurrency++
		return s, Refusal{"concurrency", Period / 2}
	}
	s.requests--
	s.tokens -= float64(tokens)
	s.inFlight++
	return s, Refusal{}
}

// slots is the number of requests that may be in flight. A part of a slot is
// none, so that all routers together stay within the limit.
func (s Share) slots() int { return int(math.Floor(s.held.Concurrency + 1e-9)) }

// wait returns the time to save up an amount at a rate.
func wait(amount, rate float64) time.Duration {
	if rate <= 0 {
		return Period
	}
	return min(lastRetry, max(firstRetry, time.Duration(amount/rate*float64(time.Second))))
}

// Release ends an admitted request.
func (s Share) Release() Share {
	s.inFlight--
	return s
}

// Ask is what a router tells the home of an account.
type Ask struct {
	// Wanted is the recent demand: rates, and requests in flight.
	Wanted Amount
	// Held is the lease that the router goes on with until the answer.
	Held Amount
	// InFlight is the number of requests that run.
	InFlight int
}

// FirstAsk returns what a router tells that got a first request. It would go
// on with the amount given.
func FirstAsk(first Amount, tokens int) Ask {
	return Ask{
		Wanted: Amount{Requests: 1 / Period.Seconds(), Tokens: float64(tokens) / Period.Seconds(), Concurrency: 1},
		Held:   first,
	}
}

// Ask returns what to tell the home, and begins to count demand anew.
func (s Share) Ask(now time.Time) (Share, Ask) {
	seconds := max(0.1, now.Sub(s.asked).Seconds())
	wanted := Amount{s.wanted.Requests / seconds, s.wanted.Tokens / seconds, float64(s.peak) + s.wanted.Concurrency}
	s.demand = s.demand.zip(wanted, func(before, latest float64) float64 { return (before + latest) / 2 })
	s.wanted, s.peak, s.asked = Amount{}, s.inFlight, now
	return s, Ask{Wanted: s.demand, Held: s.held, InFlight: s.inFlight}
}

// Due tells whether the router should ask the home again.
func (s Share) Due(now time.Time) bool { return now.Sub(s.asked) >= Period }

// Idle tells that the share was not used for some time, and can be dropped.
func (s Share) Idle(now time.Time) bool { return s.inFlight == 0 && now.Sub(s.taken) >= idleAfter }

// WithLease returns the share with a new lease.
func (s Share) WithLease(lease Amount, now time.Time) Share {
	s = s.refill(now)
	s.held = lease
	s.requests, s.tokens = min(s.requests, most(lease.Requests)), min(s.tokens, most(lease.Tokens))
	return s
}
