// Package health tracks the health of upstreams as this host observes it:
// whether they accept connections, how many requests fail, how late they
// answer, which weights they have and this host's load there.
package health

import (
	"math"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed connection;
	// each consecutive failure doubles it.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// unreachableBackoff is the backoff after another host reported that an
	// upstream's address refuses connections.
	unreachableBackoff = time.Second
	// rejectionBackoff is the backoff after an upstream rejected a request; each
	// further rejection without an answer in between doubles it, up to maxBackoff.
	rejectionBackoff = 150 * time.Millisecond
	// maxRejections is the number of rejections without an answer in between from
	// which on an upstream gets one request at a time until it answers.
	maxRejections = 2
	// decayTime is the time constant with which old observations decay.
	decayTime = 5 * time.Second
	// priorAnswers is the number of good answers that are assumed in addition to
	// those observed.
	priorAnswers = 4.0
	// lagSmoothing is the weight of a new lag observation in the moving average.
	lagSmoothing = 0.3
	// forgetAfter is how long the state of an upstream without updates is
	// retained.
	forgetAfter = 5 * time.Minute
)

// State is the observed state of one upstream. It is immutable.
type State struct {
	// Status is the upstream's self-reported status.
	availability.Status

	// BackoffUntil is the end of the backoff, LoadingUntil the expected end of a
	// load of weights. AddressReused is set if another upstream has its address.
	BackoffUntil, LoadingUntil clock.Instant
	AddressReused              bool
	// LoadingWeights is the weights version that it loads, 0 if unknown.
	LoadingWeights int64
	// Weights is the newest weights version that it was observed with.
	// AssumedWeights is a version that it may have, since it refused requests
	// for another, or 0.
	Weights, AssumedWeights int64
	// Load is this host's load there.
	Load loadreport.Load
	// MemoryRefusedAt is when it last refused a request that went on with its memory,
	// which is admitted before others.
	MemoryRefusedAt     clock.Instant
	consecutiveFailures int
	// rejections counts the rejections since the last answer, sentSince the
	// requests sent since the last of these that are still unanswered.
	rejections, sentSince int
	failed, answered      float64
	// answeredAt is when it last answered.
	answeredAt clock.Instant
	lag        time.Duration
	updated    clock.Instant
	// firstSeen is when it was first seen, or last finished a load of weights.
	firstSeen clock.Instant
}

// Usable reports whether requests may be sent.
func (s State) Usable(now clock.Instant) bool {
	return !s.AddressReused && !now.Before(s.BackoffUntil) && !now.Before(s.LoadingUntil) && !s.isProbed() && s.Accepts(s.Load.Running, now)
}

// IsUnreachable reports whether connections to it have just failed. Once the backoff
// ends, only another attempt tells.
func (s State) IsUnreachable(now clock.Instant) bool {
	return s.consecutiveFailures > 0 && now.Before(s.BackoffUntil)
}

// Rejects reports whether it has rejected several requests in a row. However little
// it seems to have to do, it is busy with something else, such as an order that this
// host doesn't know of.
func (s State) Rejects() bool { return s.rejections >= maxRejections }

// IsTried reports whether a request shows soon whether an upstream that rejected the last
// one still rejects.
func (s State) IsTried() bool { return s.rejections > 0 && s.sentSince > 0 }

// isProbed reports whether a request shows soon whether it still rejects.
func (s State) isProbed() bool { return s.Rejects() && s.sentSince > 0 }

// Of returns the state for an incarnation of the upstream.
func (s State) Of(incarnation int64) State {
	s.Status = s.Status.Of(incarnation)
	return s
}

// FirstSeen returns when this host first saw the upstream, or when it last
// finished a load of weights.
func (s State) FirstSeen() clock.Instant { return s.firstSeen }

// WithFirstSeen returns the state with FirstSeen set to now, unless it is set
// already.
func (s State) WithFirstSeen(now clock.Instant) State {
	if s.firstSeen == 0 {
		s.firstSeen = now
	}
	return s
}

// WithUnreachable returns the state after another host reported that its
// address refuses connections.
func (s State) WithUnreachable(now clock.Instant) State {
	s.BackoffUntil = max(s.BackoffUntil, now.Add(unreachableBackoff))
	return s
}

// aged returns the state with its observations decayed.
func (s State) aged(now clock.Instant) State {
	if s.updated != 0 {
		factor := math.Exp(-float64(now.Sub(s.updated)) / float64(decayTime))
		s.failed *= factor
		s.answered *= factor
		s.lag = time.Duration(float64(s.lag) * factor)
	}
	s.updated = now
	return s
}

// FailureRate returns the recent share of requests that failed.
func (s State) FailureRate(now clock.Instant) float64 {
	a := s.aged(now)
	return a.failed / (a.failed + a.answered + priorAnswers)
}

// Lag returns how much later than expected it answered recently.
func (s State) Lag(now clock.Instant) time.Duration { return s.aged(now).lag }

// WithConnectFailure returns the state after a failed connection.
func (s State) WithConnectFailure(now clock.Instant) State {
	s = s.aged(now)
	s.BackoffUntil = now.Add(min(maxBackoff, minBackoff<<min(s.consecutiveFailures, 8)))
	s.consecutiveFailures++
	return s
}

// WithRejection returns the state after it rejected a request. Rejections within a
// backoff are of requests that were sent before it, and say nothing new.
func (s State) WithRejection(now clock.Instant) State {
	if now.Before(s.BackoffUntil) {
		return s
	}
	s.BackoffUntil = max(s.BackoffUntil, now.Add(min(maxBackoff, rejectionBackoff<<min(s.rejections, 8))))
	s.rejections++
	s.sentSince = 0
	return s
}

// WithFailure returns the state after a request that failed.
func (s State) WithFailure(now clock.Instant) State {
	s = s.aged(now)
	s.failed++
	return s
}

// WithAnswer returns the state after an answer that was late by a time, which is
// negative for an early one.
func (s State) WithAnswer(now clock.Instant, late time.Duration) State {
	s = s.aged(now)
	s.answered++
	s.answeredAt = now
	s.consecutiveFailures, s.rejections, s.sentSince = 0, 0, 0
	s.lag += time.Duration(lagSmoothing * float64(max(0, late)-s.lag))
	return s
}

// AnsweredAt returns when the upstream last answered this host.
func (s State) AnsweredAt() clock.Instant { return s.answeredAt }

// WithSend returns the state after a request was sent with a number of prompt
// tokens to read.
func (s State) WithSend(rank, tokens int, now clock.Instant) State {
	s.Load.Running++
	s.sentSince++
	s.Load.Waiting[min(rank, loadreport.Ranks-1)] += tokens
	return s
}

// WithAnswerStarted returns the state after the answer to such a request has
// started.
func (s State) WithAnswerStarted(rank, tokens int) State {
	s.Load.Waiting[min(rank, loadreport.Ranks-1)] -= tokens
	return s
}

// WithEnd returns the state after a request has ended.
func (s State) WithEnd() State {
	s.Load.Running--
	s.sentSince = max(0, s.sentSince-1)
	return s
}

// WithWeights returns the state after a weights version was observed; the
// version never decreases.
func (s State) WithWeights(version int64) State {
	if version > s.Weights {
		s.Weights, s.AssumedWeights = version, 0
		if version >= s.LoadingWeights {
			s.LoadingUntil, s.LoadingWeights = 0, 0
		}
	}
	return s
}

// WithWeightsRefused returns the state after it refused a request for weights
// that it doesn't have. The next target version is assumed until a newer one
// is observed. Weights stays as it is: an engine that is wrongly taken for
// newer would never be ordered to load.
func (s State) WithWeightsRefused(next int64, now clock.Instant) State {
	s.AssumedWeights = next
	if next == 0 {
		return s.WithRejection(now)
	}
	return s
}

// WithLoading returns the state while it loads a weights version, expected until
// an instant. An update that arrives after the end of the load changes nothing.
func (s State) WithLoading(version int64, until clock.Instant) State {
	if s.Weights < version {
		s.LoadingUntil, s.LoadingWeights = max(s.LoadingUntil, until), max(s.LoadingWeights, version)
	}
	return s
}

// WithLoadFailed returns the state after a load of weights has ended without success.
func (s State) WithLoadFailed() State {
	s.LoadingUntil, s.LoadingWeights = 0, 0
	return s
}

// WithLoaded returns the state after a load of weights has ended.
func (s State) WithLoaded(version int64, now clock.Instant) State {
	s = s.WithWeights(version)
	if version == s.Weights && version >= s.LoadingWeights {
		s.LoadingUntil, s.LoadingWeights = 0, 0
		s.firstSeen = now
		s.BackoffUntil, s.rejections = 0, 0
	}
	return s
}

// Tracker holds the states of all upstreams by id.
type Tracker struct {
	mu     sync.Mutex
	states map[string]State
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{states: map[string]State{}} }

// State returns the state of an upstream.
func (t *Tracker) State(id string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.states[id]
}

// Observe returns the state of an upstream's incarnation, and records when it
// was first seen.
func (t *Tracker) Observe(id string, incarnation int64, now clock.Instant) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[id]
	if s.firstSeen == 0 || s.Incarnation != incarnation {
		s = s.WithFirstSeen(now).Of(incarnation)
		t.states[id] = s
	}
	return s
}

// Update replaces the state of an upstream with the result of change.
func (t *Tracker) Update(id string, change func(State) State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[id] = change(t.states[id])
}

// Loads returns this host's load at the upstreams that have any.
func (t *Tracker) Loads() map[loadreport.EngineHash]loadreport.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := map[loadreport.EngineHash]loadreport.Load{}
	for id, s := range t.states {
		if s.Load != (loadreport.Load{}) {
			loads[loadreport.HashEngine(id)] = s.Load
		}
	}
	return loads
}

// Forget drops upstreams that run no request of this host and had no updates
// for forgetAfter.
func (t *Tracker) Forget(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.states {
		if s.Load.Running == 0 && now.Sub(max(s.updated, s.firstSeen)) > forgetAfter {
			delete(t.states, id)
		}
	}
}
