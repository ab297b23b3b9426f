package admission

import (
	"math"
	"time"
)

const (
	// usageTime is the time constant of the work that accounts used.
	usageTime = 10 * time.Second
	// fullWait is the wait of the least loaded engine at which a pool counts
	// as full for requests of the least priority.
	fullWait = 100 * time.Millisecond
	// waitPerPriority is how much more wait each step of priority may see.
	waitPerPriority = 50 * time.Millisecond
	// aloneWait is the wait at which a pool counts as full for an account that
	// shares it with nobody: it leaves time for the prompt within the 1.4 s to
	// the first token that the system is designed for.
	aloneWait = time.Second
	// minRetryAfter and maxRetryAfter bound when a refused caller may come
	// back.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
	// idleUsage is the use below which an account counts as not active.
	idleUsage = 0.01
)

// Reason tells why a request is refused.
type Reason int

// The reasons.
const (
	// Deadline means that the answer can't be whole before the deadline.
	Deadline Reason = iota + 1
	// Share means that the pool is full and that the account uses more than
	// its fair share of it.
	Share
	// Full means that the pool is full for the request's priority.
	Full
)

// Ask is what a decision depends on.
type Ask struct {
	Account string
	// Weight is the account's fair share relative to others.
	Weight int
	// Priority orders requests; a higher one goes first.
	Priority int
	// Remaining is the time left for the request.
	Remaining time.Duration
	// Wait is the estimated time until an engine begins the prompt.
	Wait time.Duration
	// Service is the estimated time to read the prompt.
	Service time.Duration
	// Answer is the estimated time of the answer after that.
	Answer time.Duration
}

// Verdict is the answer to an ask.
type Verdict struct {
	Admitted bool
	Reason   Reason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// usage is the decayed work of one account, relative to its weight.
type usage struct {
	work float64
	at   time.Duration
}

// State holds what accounts used lately at one host. It is not safe for
// concurrent use. Times are durations since any fixed instant.
type State struct {
	usages map[string]usage
}

// NewState returns the state of a host that has admitted nothing.
func NewState() *State { return &State{usages: map[string]usage{}} }

// Decide admits or refuses a request, and counts an admitted one.
func (s *State) Decide(a Ask, now time.Duration) Verdict {
	if late := a.Wait + a.Service + a.Answer - a.Remaining; late > 0 {
		return refuse(Deadline, max(late, a.Wait))
	}
	full := fullWait + time.Duration(a.Priority)*waitPerPriority
	used := s.usages[a.Account].decayed(now)
	if a.Wait > full {
		if reason := s.contended(a, used, full, now); reason != 0 {
			return refuse(reason, a.Wait-full)
		}
	}
	s.usages[a.Account] = usage{used + a.Service.Seconds()/float64(max(a.Weight, 1)), now}
	return Verdict{Admitted: true}
}

// contended returns why a request is refused by a pool that is full, or 0.
func (s *State) contended(a Ask, used float64, full, now time.Duration) Reason {
	fair := s.fair(now)
	switch {
	case s.alone(a.Account):
		if a.Wait > aloneWait {
			return Full
		}
	case used > fair:
		return Share
	case a.Wait > 2*full && used > fair/2:
		return Full
	}
	return 0
}

// alone tells whether no other account is active.
func (s *State) alone(account string) bool {
	_, active := s.usages[account]
	return len(s.usages) == 0 || active && len(s.usages) == 1
}

// fair returns the use up to which an account has its share: half-way from
// the mean use of all to that of the accounts above it, since those that use
// less leave the rest of their share to the others.
func (s *State) fair(now time.Duration) float64 {
	for account, u := range s.usages {
		if u.decayed(now) < idleUsage {
			delete(s.usages, account)
		}
	}
	mean := s.mean(0, now)
	return (mean + s.mean(mean, now)) / 2
}

// mean returns the mean use of the accounts that use at least so much,
// relative to weight. Whole numbers add up to the same sum in any order.
func (s *State) mean(least float64, now time.Duration) float64 {
	total, counted := int64(0), 0
	for _, u := range s.usages {
		if used := u.decayed(now); used >= least {
			total += int64(used * float64(time.Second))
			counted++
		}
	}
	return float64(total) / float64(time.Second) / float64(max(counted, 1))
}

// refuse returns a refusal with when to come back.
func refuse(r Reason, after time.Duration) Verdict {
	return Verdict{Reason: r, RetryAfter: min(max(after, minRetryAfter), maxRetryAfter)}
}

// decayed returns the work as it counts now.
func (u usage) decayed(now time.Duration) float64 {
	return u.work * math.Exp(-float64(now-u.at)/float64(usageTime))
}
