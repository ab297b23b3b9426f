package availability

import (
	"math"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/placement"
)

const (
	// MaxLimit bounds a limit, in requests a second.
	MaxLimit = 1e6
	// limitLifetime is how long a limit is valid without another report. It
	// outlasts several reports of the hosts that share the limit.
	limitLifetime = 20 * time.Second
	// limitReportInterval is how often an unchanged limit is reported to the other
	// hosts, and how long a host that shares it goes without an answer before it
	// sends a request to learn whether the limit still holds.
	limitReportInterval = 5 * time.Second
	// minChange is the relative change of a limit that is reported at once.
	minChange = 0.05
	// minRate is the rate, in requests a second of all hosts together, at which
	// an upstream with a lower limit is sent requests: otherwise nobody would
	// learn that the limit has ended.
	minRate = 0.2
	// partLifetime is how long the part of a host is valid. Hosts come and go.
	partLifetime = time.Second
	// noPartRetryAfter is the Retry-After of a host that has no part of a limit.
	noPartRetryAfter = 300 * time.Millisecond
	// minSharers is the number of hosts that share the lowest limit. One more does
	// for each requestsPerSharer requests a second.
	minSharers        = 2
	requestsPerSharer = 2
	// minCapacity is how many requests a host may send at once if its part of a
	// limit is small.
	minCapacity = 2
)

// limit is the request rate that an upstream takes from all hosts together, and
// the part of it that this host uses: a token bucket.
type limit struct {
	perSecond float64
	// since is when the limit was first reported, reported when it was last, and
	// shared when it was last reported to other hosts or by them.
	since, reported, shared clock.Instant
	// ownCalls is set if an answer to this host's own calls named the limit, so
	// that such an answer without it ends it.
	ownCalls bool
	// part is this host's rate as of partAt; divided is set once it is known.
	part    float64
	partAt  clock.Instant
	divided bool
	// tokens is the number of requests that this host may send, as of updated.
	// It is negative after requests that were sent regardless.
	tokens  float64
	updated clock.Instant
}

// valid reports whether the limit holds.
func (l limit) valid(now clock.Instant) bool {
	return l.reported != 0 && now.Sub(l.reported) < limitLifetime
}

// capacity returns how many requests the host may send at once.
func (l limit) capacity() float64 { return max(minCapacity, l.part) }

// refilled returns the limit with the tokens of the time since the last update.
func (l limit) refilled(now clock.Instant) limit {
	l.tokens = min(l.capacity(), l.tokens+l.part*max(0, now.Sub(l.updated).Seconds()))
	l.updated = now
	return l
}

// limitAccepts reports whether the limit allows this host to send a request.
func (s Status) limitAccepts(now clock.Instant) bool { return s.limitWait(now) == 0 }

// limitWait returns the time until the limit allows this host to send a request.
func (s Status) limitWait(now clock.Instant) time.Duration {
	l := s.limit
	if !l.valid(now) || !l.divided {
		return 0
	}
	if l.part == 0 {
		// Other hosts use the limit. The caller may find one of them.
		return noPartRetryAfter
	}
	missing := 1 - l.refilled(now).tokens
	return time.Duration(max(0, missing) / l.part * float64(time.Second))
}

// PartOf returns the part of an upstream's limit that a host uses, in requests a
// second. A limit below the number of hosts would be rounded up by each of them,
// so only some hosts share it, evenly. They are found without messages, by
// rendezvous hashing; with equal lists all hosts find the same.
func PartOf(upstream string, perSecond float64, self string, hosts []string) float64 {
	sharers := max(1, min(len(hosts), minSharers+int(min(perSecond, MaxLimit)/requestsPerSharer)))
	own, ahead := placement.Score(upstream, self), 0
	for _, h := range hosts {
		if score := placement.Score(upstream, h); score > own || score == own && h < self {
			ahead++
		}
	}
	if ahead >= sharers {
		return 0
	}
	return max(perSecond, minRate) / float64(sharers)
}

// WithLimit returns the status after a report that the upstream takes a number of
// requests a second, and whether that is new to the other hosts.
func (s Status) WithLimit(perSecond float64, by Source, now clock.Instant) (Status, bool) {
	l := s.limit
	if !l.valid(now) {
		l = limit{since: now, updated: now}
	}
	isNew := l.shared == 0 || now.Sub(l.shared) >= limitReportInterval || math.Abs(perSecond-l.perSecond) > minChange*l.perSecond
	if math.Abs(perSecond-l.perSecond) > minChange*l.perSecond {
		l.partAt = 0
	}
	l.perSecond, l.reported = perSecond, now
	if by == Peer || isNew {
		l.shared = now
	}
	s.limit = l
	return s, isNew
}

// WithLimitInOwnCalls returns the status after the limit was named in an answer to
// this host's own calls, which run no caller's request.
func (s Status) WithLimitInOwnCalls() Status {
	s.limit.ownCalls = true
	return s
}

// OwnCallsNameLimit reports whether answers to this host's own calls name the
// limit.
func (s Status) OwnCallsNameLimit() bool { return s.limit.ownCalls }

// LimitProbeDue reports whether this host shares a limit that nobody has reported
// for some time, so that a request is due to learn whether it still holds.
func (s Status) LimitProbeDue(now clock.Instant) bool {
	return s.limit.valid(now) && s.limit.part > 0 && now.Sub(s.limit.reported) >= limitReportInterval && s.limitAccepts(now)
}

// WithoutLimit returns the status after a report that the upstream has no limit.
func (s Status) WithoutLimit() Status {
	s.limit = limit{}
	return s
}

// Limit returns the limit in force, in requests a second, and since when it is
// known.
func (s Status) Limit(now clock.Instant) (perSecond float64, since clock.Instant, ok bool) {
	return s.limit.perSecond, s.limit.since, s.limit.valid(now)
}

// HasSpareRequests reports whether this host uses less than its part of the limit,
// or none is in force.
func (s Status) HasSpareRequests(now clock.Instant) bool {
	return !s.limit.valid(now) || s.limit.refilled(now).tokens >= minCapacity
}

// NeedsPart reports whether a limit is in force whose part has to be set.
func (s Status) NeedsPart(now clock.Instant) bool {
	return s.limit.valid(now) && (s.limit.partAt == 0 || now.Sub(s.limit.partAt) >= partLifetime)
}

// WithPart returns the status with this host's part of the limit, as of PartOf.
func (s Status) WithPart(part float64, now clock.Instant) Status {
	l := s.limit
	l = l.refilled(now)
	l.part, l.partAt = part, now
	if !l.divided {
		l.divided, l.tokens = true, l.capacity()
	}
	l.tokens = min(l.tokens, l.capacity())
	s.limit = l
	return s
}

// Part returns this host's part of the limit, in requests a second.
func (s Status) Part() float64 { return s.limit.part }
