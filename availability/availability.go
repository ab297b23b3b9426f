// Package availability folds what an upstream tells a host of itself: that it
// leaves, and that it wants no requests for a time.
//
// It answers the load of a service that sheds: hosts keep away from upstreams
// that ask for it, callers are told when to come back, and what waited does
// not return to an upstream at one moment. The package does no I/O.
package availability

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// toldTime is how long the word of another host holds that an upstream
	// leaves, if the upstream itself doesn't confirm it.
	toldTime = 15 * time.Second
	// firstTrial is after how much of a rest one request is sent all the same,
	// secondTrial when another is. The users' pages allow two until the end of
	// the rest; an upstream that asked for an hour may have asked by mistake.
	firstTrial  = 30 * time.Second
	secondTrial = 5 * time.Minute
	// rampStep is the time in which what a host may have at an upstream doubles
	// after its rest, rampTime how long that bound holds.
	rampStep = 100 * time.Millisecond
	rampTime = 800 * time.Millisecond
	// LongestRest bounds a rest; longer ones are cut.
	LongestRest = 24 * time.Hour
)

// Source tells who said something of an upstream.
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

// Standing is what an upstream has said of itself. It is immutable; the zero
// value has said nothing.
type Standing struct {
	// Start is the start of the upstream that said it, 0 if unknown.
	Start int64
	// LeavingSource tells who said that it leaves, LeavingSince when.
	LeavingSource Source
	LeavingSince  clock.Instant
	// RestFrom and RestUntil bound the time for which it wants nothing.
	RestFrom, RestUntil clock.Instant
	// trials counts the requests that were sent within that time.
	trials int
}

// Of returns the standing of one start of the upstream: the word of an
// earlier one doesn't hold for it.
func (s Standing) Of(start int64) Standing {
	if start != 0 && s.Start != 0 && start != s.Start {
		return Standing{Start: start}
	}
	if s.Start == 0 {
		s.Start = start
	}
	return s
}

// WithLeaving returns the standing after a source said that it leaves. What
// the upstream itself said holds until it starts again.
func (s Standing) WithLeaving(by Source, now clock.Instant) Standing {
	if s.LeavingSource == Answer {
		return s
	}
	s.LeavingSource, s.LeavingSince = by, now
	return s
}

// WithRest returns the standing after the upstream asked for a time without
// requests. A word during a rest prolongs it at most.
func (s Standing) WithRest(wait time.Duration, now clock.Instant) Standing {
	until := now.Add(min(max(wait, 0), LongestRest))
	if !s.resting(now) {
		s.RestFrom, s.RestUntil, s.trials = now, until, 0
		return s
	}
	s.RestUntil = max(s.RestUntil, until)
	return s
}

// WithSend returns the standing after a request was sent.
func (s Standing) WithSend(now clock.Instant) Standing {
	if s.resting(now) {
		s.trials++
	}
	return s
}

// Leaving tells whether it takes no more requests.
func (s Standing) Leaving(now clock.Instant) bool {
	return s.LeavingSource == Answer || s.LeavingSource == Peer && now.Sub(s.LeavingSince) < toldTime
}

func (s Standing) resting(now clock.Instant) bool { return now.Before(s.RestUntil) }

// Takes tells whether a host that has some requests there may send another.
func (s Standing) Takes(running int, now clock.Instant) bool {
	switch rested := now.Sub(s.RestFrom); {
	case s.Leaving(now):
		return false
	case s.RestUntil == 0:
		return true
	case s.resting(now):
		return s.trials == 0 && rested >= firstTrial || s.trials == 1 && rested >= secondTrial
	}
	since := now.Sub(s.RestUntil)
	return since >= rampTime || running < 1<<int(since/rampStep)
}

// Back returns how long it takes until it may be sent a request again; 0 if it
// may now, or if that is not known.
func (s Standing) Back(now clock.Instant) time.Duration {
	if s.Leaving(now) || !s.resting(now) {
		return 0
	}
	next := s.RestUntil
	switch s.trials {
	case 0:
		next = min(next, s.RestFrom.Add(firstTrial))
	case 1:
		next = min(next, s.RestFrom.Add(secondTrial))
	}
	return max(0, next.Sub(now))
}
