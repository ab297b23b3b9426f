package admission

import (
	"math"
	"time"
)

const (
	// usageDecayTime is the time constant with which the usage of accounts
	// decays.
	usageDecayTime = 10 * time.Second
	// fullWait is the wait at the least loaded engine above which a pool
	// counts as full for requests of the lowest priority.
	fullWait = 100 * time.Millisecond
	// waitPerPriority is added to fullWait for each step of priority.
	waitPerPriority = 50 * time.Millisecond
	// fullWaitAlone is the wait above which a pool counts as full for its only
	// active account. It leaves time to read the prompt within the design
	// target of 1.4 s to the first token.
	fullWaitAlone = time.Second
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// idleUsage is the usage below which an account counts as inactive.
	idleUsage = 0.01
)

// Reason is why a request is refused.
type Reason int

// The reasons.
const (
	// Deadline means that the answer can't be complete before the deadline.
	Deadline Reason = iota + 1
	// Share means that the pool is full and the account uses more than its
	// fair share.
	Share
	// Full means that the pool is full for the request's priority.
	Full
)

// Request holds what a decision depends on.
type Request struct {
	Account string
	// Weight is the account's share relative to other accounts.
	Weight int
	// Priority orders requests; higher values go first.
	Priority int
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Wait is the estimated time until an engine starts the prompt.
	Wait time.Duration
	// Service is the estimated time to read the prompt.
	Service time.Duration
	// Answer is the estimated time to generate the answer after that.
	Answer time.Duration
}

// Decision is the answer to a Request.
type Decision struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is how long a refused caller should wait before a retry.
	RetryAfter time.Duration
}

// usage is the decayed engine time of one account, in seconds divided by its
// weight.
type usage struct {
	work    float64
	updated time.Duration
}

// State holds the recent usage of accounts at one host. It is not safe for
// concurrent use. Times are durations since any fixed instant.
type State struct {
	usages map[string]usage
}

// NewState returns the state of a host that has admitted nothing.
func NewState() *State { return &State{usages: map[string]usage{}} }

// Decide admits or refuses a request. An admitted request counts towards its
// account's usage.
func (s *State) Decide(r Request, now time.Duration) Decision {
	if late := r.Wait + r.Service + r.Answer - r.Remaining; late > 0 {
		return refuse(Deadline, max(late, r.Wait))
	}
	full := fullWait + time.Duration(r.Priority)*waitPerPriority
	used := s.usages[r.Account].decayed(now)
	if r.Wait > full {
		if reason := s.refusalWhenFull(r, used, full, now); reason != 0 {
			return refuse(reason, r.Wait-full)
		}
	}
	s.usages[r.Account] = usage{used + r.Service.Seconds()/float64(max(r.Weight, 1)), now}
	return Decision{Admitted: true}
}

// refusalWhenFull returns why a full pool refuses a request, or 0 if it admits
// it.
func (s *State) refusalWhenFull(r Request, used float64, full, now time.Duration) Reason {
	fairUsage := s.fairUsage(now)
	switch {
	case s.isOnlyActive(r.Account):
		if r.Wait > fullWaitAlone {
			return Full
		}
	case used > fairUsage:
		return Share
	case r.Wait > 2*full && used > fairUsage/2:
		return Full
	}
	return 0
}

// isOnlyActive reports whether no other account is active.
func (s *State) isOnlyActive(account string) bool {
	_, active := s.usages[account]
	return len(s.usages) == 0 || active && len(s.usages) == 1
}

// fairUsage returns the usage up to which an account is within its share:
// halfway between the mean usage of all accounts and that of the accounts
// above the mean, since accounts below it leave part of their share to others.
// It also removes inactive accounts.
func (s *State) fairUsage(now time.Duration) float64 {
	for account, u := range s.usages {
		if u.decayed(now) < idleUsage {
			delete(s.usages, account)
		}
	}
	mean := s.meanUsage(0, now)
	return (mean + s.meanUsage(mean, now)) / 2
}

// meanUsage returns the mean usage of the accounts with at least the given
// usage. It sums integers, so that the result does not depend on the order of
// the map.
func (s *State) meanUsage(atLeast float64, now time.Duration) float64 {
	total, counted := int64(0), 0
	for _, u := range s.usages {
		if used := u.decayed(now); used >= atLeast {
			total += int64(used * float64(time.Second))
			counted++
		}
	}
	return float64(total) / float64(time.Second) / float64(max(counted, 1))
}

// refuse returns a refusal with a bounded RetryAfter.
func refuse(reason Reason, after time.Duration) Decision {
	return Decision{Reason: reason, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}

// decayed returns the work with its decay up to now.
func (u usage) decayed(now time.Duration) float64 {
	return u.work * math.Exp(-float64(now-u.updated)/float64(usageDecayTime))
}
