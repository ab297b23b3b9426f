package allocation

import "time"

const (
	// DeferredRank is the rank of a request that is late at every candidate:
	// behind all requests that can still be on time.
	DeferredRank = 9
	// minRetryAfter is the shortest Retry-After of a refused request.
	minRetryAfter = 300 * time.Millisecond
	// retryAfterDivisor limits Retry-After to a part of the remaining time (the
	// users' pages: callers wait a third at most).
	retryAfterDivisor = 3
)

// Mode is how a request is sent.
type Mode int

// The modes.
const (
	// OnTime requests are sent with their own rank.
	OnTime Mode = iota
	// Late requests are sent behind those that can be on time.
	Late
	// Refused requests are not sent, since they can't be answered before their
	// deadline.
	Refused
)

// maxPriority is the highest priority number with ranks of its own; the last rank is
// reserved for deferred requests.
const maxPriority = DeferredRank/2 - 1

// longPromptTokens is the prompt length above which a request ranks behind shorter
// ones of the same priority: engines read that many prompt tokens between two output
// tokens.
const longPromptTokens = 4096

// Rank returns the rank of a request at an engine: by the operators' priority, and
// within a priority short prompts first. A stream that has begun and must be read
// again ranks before all others of its priority: its caller has waited for longest,
// and what it has is worth nothing without the rest.
func Rank(priority int, r Requirements) int {
	rank := 2 * min(max(priority, 0), maxPriority)
	switch {
	case r.Begun:
		return max(rank-1, 0)
	case r.Input > longPromptTokens:
		return rank + 1
	}
	return rank
}

// ChooseLast returns the candidate for a request that is queued behind all
// others, with its QueuedAhead set accordingly, and the candidate's index, or
// -1 if there is none.
//
// It prefers engines with current weights: an overloaded engine that is about
// to load new weights doesn't reach the end of its queue before it loads them.
func ChooseLast(candidates []Candidate, r Requirements, key string) (Candidate, int) {
	last := make([]Candidate, 0, len(candidates))
	indices := make([]int, 0, len(candidates))
	for _, outdated := range []bool{false, true} {
		for i, c := range candidates {
			if c.WeightsOutdated == outdated {
				c.QueuedAhead = c.Waiting
				last, indices = append(last, c), append(indices, i)
			}
		}
		if i := Choose(last, r, key); i >= 0 {
			return last[i], indices[i]
		}
	}
	return Candidate{}, -1
}

// ChooseMode decides how to send a request, given the best candidate for its
// own rank and the best for a request behind all others. It returns the
// Retry-After of a refused request. remaining is the time until the deadline.
//
// It handles overloads of some seconds, in which more requests arrive than the
// engines can read. First come, first served would make all of them late, and
// also those that arrive after the overload. Here as many are on time as the
// engines can read; the others are answered after them or refused immediately.
// Streams that have begun are not deferred.
func ChooseMode(own, last Candidate, r Requirements, remaining time.Duration) (Mode, time.Duration) {
	if r.Objective <= 0 || ExpectedFirstEvent(own, r) <= r.Objective {
		return OnTime, 0
	}
	if r.Begun {
		last = own
	}
	wait := ExpectedFirstEvent(last, r) - r.Elapsed
	switch {
	case wait <= remaining && r.Begun:
		return OnTime, 0
	case wait <= remaining:
		return Late, 0
	}
	return Refused, min(max(wait-r.Objective/2, minRetryAfter), max(remaining/retryAfterDivisor, minRetryAfter))
}

// ExpectedFirstEvent returns the expected time from a request's arrival to its
// first event at a candidate.
func ExpectedFirstEvent(c Candidate, r Requirements) time.Duration {
	return r.Elapsed + r.Pace.Correct(UncorrectedWait(c, r)) + c.Lag
}
