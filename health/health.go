// Package health holds what this host has seen of upstreams: whether they
// take connections, how many requests fail there, how late they answer, what
// weights they have and what this host has running at them.
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
	// firstRest and maxRest bound how long an upstream that takes no
	// connection is left alone; each further failure doubles the time.
	firstRest = 250 * time.Millisecond
	maxRest   = 2 * time.Second
	// downRest is how long an upstream is left alone at whose address nobody
	// listens, as another host has found.
	downRest = time.Second
	// fullRest is how long an upstream that turned a request away is left
	// alone.
	fullRest = 150 * time.Millisecond
	// memory is how fast old observations lose their weight.
	memory = 5 * time.Second
	// prior is how many good answers an upstream is credited with.
	prior = 4.0
	// lagGain is the weight of a new observation of lateness.
	lagGain = 0.3
	// forgetAfter is how long an upstream without news is remembered.
	forgetAfter = 5 * time.Minute
)

// State is what is known of one upstream. It is immutable.
type State struct {
	// Standing is what it has said of itself.
	availability.Status

	// Rest is until when it is left alone, Loading until when it is expected
	// to load weights, Gone that another upstream has its address.
	Rest, Loading clock.Instant
	Gone          bool
	// Weights is the newest number of weights that it was seen with, Guess one
	// that it may have since it refused requests for others, or 0.
	Weights, Guess int64
	// Load is what this host has there.
	Load             loadreport.Load
	strikes          int
	failed, answered float64
	lag              time.Duration
	seen             clock.Instant
	// joined is when it was first known, or came back with new weights.
	joined clock.Instant
}

// Usable tells whether requests may be sent.
func (s State) Usable(now clock.Instant) bool {
	return !s.Gone && !now.Before(s.Rest) && !now.Before(s.Loading) && s.Accepts(s.Load.Running, now)
}

// Of returns the state of one start of the upstream.
func (s State) Of(start int64) State {
	s.Status = s.Status.Of(start)
	return s
}

// Joined returns since when it takes requests as far as this host knows.
func (s State) Joined() clock.Instant { return s.joined }

// WithKnown returns the state of an upstream that was not known before.
func (s State) WithKnown(now clock.Instant) State {
	if s.joined == 0 {
		s.joined = now
	}
	return s
}

// WithDown returns the state after another host found that nobody listens at
// its address.
func (s State) WithDown(now clock.Instant) State {
	s.Rest = max(s.Rest, now.Add(downRest))
	return s
}

// aged returns the state with older observations counting less.
func (s State) aged(now clock.Instant) State {
	if s.seen != 0 {
		f := math.Exp(-float64(now.Sub(s.seen)) / float64(memory))
		s.failed *= f
		s.answered *= f
		s.lag = time.Duration(float64(s.lag) * f)
	}
	s.seen = now
	return s
}

// Failing returns the recent share of requests that failed.
func (s State) Failing(now clock.Instant) float64 {
	a := s.aged(now)
	return a.failed / (a.failed + a.answered + prior)
}

// Lag returns how much later than expected it answered recently.
func (s State) Lag(now clock.Instant) time.Duration { return s.aged(now).lag }

// WithRefused returns the state after a connection that was not made.
func (s State) WithRefused(now clock.Instant) State {
	s = s.aged(now)
	s.Rest = now.Add(min(maxRest, firstRest<<min(s.strikes, 8)))
	s.strikes++
	return s
}

// WithTurnedAway returns the state after a request that it did not run.
func (s State) WithTurnedAway(now clock.Instant) State {
	s.Rest = max(s.Rest, now.Add(fullRest))
	return s
}

// WithFailure returns the state after a request that failed.
func (s State) WithFailure(now clock.Instant) State {
	s = s.aged(now)
	s.failed++
	return s
}

// WithAnswer returns the state after an answer that came later than expected
// by a time, which may be below 0.
func (s State) WithAnswer(now clock.Instant, late time.Duration) State {
	s = s.aged(now)
	s.answered++
	s.strikes = 0
	s.lag += time.Duration(lagGain * float64(max(0, late)-s.lag))
	return s
}

// WithSend returns the state after a request was sent whose prompt must be
// read.
func (s State) WithSend(rank, tokens int, now clock.Instant) State {
	s.Status = s.Status.WithSend(now)
	s.Load.Running++
	s.Load.Waiting[min(rank, loadreport.Ranks-1)] += tokens
	return s
}

// WithBegun returns the state after such a request has begun to answer.
func (s State) WithBegun(rank, tokens int) State {
	s.Load.Waiting[min(rank, loadreport.Ranks-1)] -= tokens
	return s
}

// WithEnd returns the state after a request has ended.
func (s State) WithEnd() State {
	s.Load.Running--
	return s
}

// WithWeights returns the state after weights were seen; they never go back.
func (s State) WithWeights(number int64) State {
	if number > s.Weights {
		s.Weights, s.Guess = number, 0
		s.Loading = 0
	}
	return s
}

// WithOtherWeights returns the state after it refused a request for weights
// that it doesn't have. The next number that was named is tried, until it has
// been seen with some; nothing may be concluded from a refusal alone, or an
// engine that is taken for newer than it is would never be ordered to load.
func (s State) WithOtherWeights(next int64, now clock.Instant) State {
	s.Guess = next
	if next == 0 {
		return s.WithTurnedAway(now)
	}
	return s
}

// WithLoaded returns the state after the load of weights has ended.
func (s State) WithLoaded(number int64, now clock.Instant) State {
	s = s.WithWeights(number)
	if number == s.Weights {
		s.Loading = 0
		s.joined = now
	}
	return s
}

// Board holds the states of all upstreams by id.
type Board struct {
	mu     sync.Mutex
	states map[string]State
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{states: map[string]State{}} }

// State returns what is known of an upstream.
func (b *Board) State(id string) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.states[id]
}

// Known returns what is known of a start of an upstream, and notes that it is.
func (b *Board) Known(id string, start int64, now clock.Instant) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.states[id]
	if s.joined == 0 || s.Incarnation != start {
		s = s.WithKnown(now).Of(start)
		b.states[id] = s
	}
	return s
}

// Update changes what is known of an upstream.
func (b *Board) Update(id string, change func(State) State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.states[id] = change(b.states[id])
}

// Loads returns what this host has at upstreams.
func (b *Board) Loads() map[loadreport.Engine]loadreport.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[loadreport.Engine]loadreport.Load{}
	for id, s := range b.states {
		if s.Load != (loadreport.Load{}) {
			loads[loadreport.Short(id)] = s.Load
		}
	}
	return loads
}

// Forget drops upstreams that had no news for long and run nothing.
func (b *Board) Forget(now clock.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.Load.Running == 0 && now.Sub(max(s.seen, s.joined)) > forgetAfter {
			delete(b.states, id)
		}
	}
}
