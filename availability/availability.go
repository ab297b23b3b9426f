// Package availability tracks the self-reported status of an upstream: that it
// is leaving, or that it asks for no requests for some time (Retry-After).
//
// It handles services that shed load: hosts avoid an upstream during its
// Retry-After pause, callers are told when to retry, and waiting requests
// return to the upstream gradually after the pause (slow start). The package
// does no I/O.
package availability

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// peerReportLifetime is how long another host's report that an upstream is
	// leaving is valid, unless the upstream itself confirms it.
	peerReportLifetime = 15 * time.Second
	// firstProbeAfter and secondProbeAfter are the times since the start of a
	// pause after which one probe request each is sent. The users' pages allow
	// two during a pause, since an upstream that asked for an hour may have
	// asked by mistake.
	firstProbeAfter  = 30 * time.Second
	secondProbeAfter = 5 * time.Minute
	// slowStartStep is the time in which the limit of a host's concurrent
	// requests to an upstream doubles after a pause; the limit applies for
	// slowStartTime.
	slowStartStep = 100 * time.Millisecond
	slowStartTime = 800 * time.Millisecond
	// MaxRetryAfter bounds a pause; longer ones are truncated.
	MaxRetryAfter = 24 * time.Hour
)

// Source is the origin of a report on an upstream.
type Source int

// The sources.
const (
	// Answer is an answer of the upstream to this host.
	Answer Source = iota + 1
	// Peer is another host.
	Peer
)

// String names the source in logs.
func (s Source) String() string { return [...]string{"None", "Answer", "Peer"}[s] }

// Status is the self-reported status of an upstream. It is immutable; the zero
// value means that nothing was reported.
type Status struct {
	// Incarnation is the incarnation of the upstream that reported the status, 0
	// if unknown.
	Incarnation int64
	// LeavingSource is the source of the report that the upstream is leaving,
	// LeavingSince its time.
	LeavingSource Source
	LeavingSince  clock.Instant
	// PauseFrom and PauseUntil are the start and end of the Retry-After pause.
	PauseFrom, PauseUntil clock.Instant
	// probes counts the requests sent during the pause.
	probes int
	// limit is the limit that it named.
	limit limit
	// brittleAt is when an answer last said that the upstream is brittle; 0 if the
	// last answer didn't.
	brittleAt clock.Instant
}

// Of returns the status of an incarnation of the upstream. The status of another
// incarnation doesn't apply to it.
func (s Status) Of(incarnation int64) Status {
	if incarnation != 0 && s.Incarnation != 0 && incarnation != s.Incarnation {
		return Status{Incarnation: incarnation}
	}
	if s.Incarnation == 0 {
		s.Incarnation = incarnation
	}
	return s
}

// WithLeaving returns the status after a source reported that the upstream is
// leaving. A report by the upstream itself is valid until it restarts.
func (s Status) WithLeaving(by Source, now clock.Instant) Status {
	if s.LeavingSource == Answer {
		return s
	}
	s.LeavingSource, s.LeavingSince = by, now
	return s
}

// WithRetryAfter returns the status after the upstream asked for a pause. A
// request during a pause can prolong but not shorten it.
func (s Status) WithRetryAfter(wait time.Duration, now clock.Instant) Status {
	until := now.Add(min(max(wait, 0), MaxRetryAfter))
	if !s.paused(now) {
		s.PauseFrom, s.PauseUntil, s.probes = now, until, 0
		return s
	}
	s.PauseUntil = max(s.PauseUntil, until)
	return s
}

// WithSend returns the status after a request was sent.
func (s Status) WithSend(now clock.Instant) Status {
	if s.paused(now) {
		s.probes++
	}
	if s.limit.valid(now) {
		s.limit = s.limit.refilled(now)
		s.limit.tokens--
	}
	return s
}

// Leaving reports whether the upstream accepts no more requests.
func (s Status) Leaving(now clock.Instant) bool {
	return s.LeavingSource == Answer || s.LeavingSource == Peer && now.Sub(s.LeavingSince) < peerReportLifetime
}

func (s Status) paused(now clock.Instant) bool { return now.Before(s.PauseUntil) }

// Accepts reports whether a host with a number of running requests on the
// upstream may send another.
func (s Status) Accepts(running int, now clock.Instant) bool {
	switch elapsed := now.Sub(s.PauseFrom); {
	case s.Leaving(now), !s.limitAccepts(now):
		return false
	case s.PauseUntil == 0:
		return true
	case s.paused(now):
		return s.probes == 0 && elapsed >= firstProbeAfter || s.probes == 1 && elapsed >= secondProbeAfter
	}
	since := now.Sub(s.PauseUntil)
	return since >= slowStartTime || running < 1<<int(since/slowStartStep)
}

// RetryAfter returns the time until the upstream may be sent a request again; 0
// if it may be now, or if the time isn't known.
func (s Status) RetryAfter(now clock.Instant) time.Duration {
	if s.Leaving(now) {
		return 0
	}
	return max(s.pauseLeft(now), s.limitWait(now))
}

// pauseLeft returns the time until the upstream may be sent a request in spite of
// its pause.
func (s Status) pauseLeft(now clock.Instant) time.Duration {
	if !s.paused(now) {
		return 0
	}
	next := s.PauseUntil
	switch s.probes {
	case 0:
		next = min(next, s.PauseFrom.Add(firstProbeAfter))
	case 1:
		next = min(next, s.PauseFrom.Add(secondProbeAfter))
	}
	return max(0, next.Sub(now))
}
