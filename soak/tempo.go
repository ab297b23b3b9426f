package soak

import (
	"math/rand/v2"
	"time"
)

// tempo is how fast engines make events and how long callers wait for them.
type tempo struct {
	// prefill is the time to the first event or a plain answer, interval that between
	// two events.
	prefill, interval time.Duration
	// events is the number of events of a stream, spread how much longer than interval an
	// engine's time between two events may be.
	events int
	spread time.Duration
	// objective and gap are those of the routes.
	objective, gap time.Duration
	// deadline is the callers' time limit of a request. patience is how long they wait
	// for an event of a stream; 0 means until the deadline.
	deadline, patience time.Duration
	// minTimeout is the lower bound of the routes' timeouts.
	minTimeout time.Duration
}

// usualTempo is that of engines in the soak's own process.
var usualTempo = tempo{interval: eventPause, events: streamEvents, objective: time.Second, gap: 300 * time.Millisecond, deadline: callDeadline}

const (
	// processDeadline is the time limit of a request to engines that are processes.
	processDeadline = 10 * time.Second
	// minEventInterval, maxEventInterval and maxPrefill bound the tempo of such engines.
	minEventInterval = 30 * time.Millisecond
	maxEventInterval = 900 * time.Millisecond
	maxPrefill       = 900 * time.Millisecond
	// Callers leave a stream after the longest of minPatience, objectivePatience times
	// its objective and gapPatience times its gap without an event (the users' protocol).
	minPatience       = 2 * time.Second
	objectivePatience = 4
	gapPatience       = 8
)

// objectives and gaps are those of the routes, by seed.
var (
	objectives = []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond}
	gaps       = []time.Duration{50 * time.Millisecond, 150 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond}
)

// newTempo draws the tempo of engines that are processes.
func newTempo(seed uint64) tempo {
	random := rand.New(rand.NewPCG(seed, 8))
	t := tempo{
		events: streamEvents, prefill: time.Duration(random.Int64N(int64(maxPrefill))), interval: minEventInterval + time.Duration(random.Int64N(int64(maxEventInterval-minEventInterval))),
		objective: objectives[random.IntN(len(objectives))], gap: gaps[random.IntN(len(gaps))], deadline: processDeadline,
	}
	t.patience = max(minPatience, objectivePatience*t.objective, gapPatience*t.gap)
	return t
}

const (
	// stopDeadline is the time limit of a request in runs with PlanStops, minStopTimeout
	// the lower bound of the routes' timeouts there.
	stopDeadline   = 15 * time.Second
	minStopTimeout = 12 * time.Second
	// minStopLoadTime is the lower bound of the time in which engines load weights: those
	// that have them at once take no stream back.
	minStopLoadTime = 400 * time.Millisecond
	// stopEvents is the number of events of a stream in such runs. With pauses of
	// minStopEventTime and up to stopSpread more, it lasts about 0.5 to 10 s.
	stopEvents       = 20
	minStopEventTime = 25 * time.Millisecond
	stopSpread       = 450 * time.Millisecond
)

// newStopTempo draws the tempo of runs with PlanStops. Callers wait for events until their
// time limit with every other seed.
func newStopTempo(seed uint64) tempo {
	t := newTempo(seed)
	t.events, t.interval, t.spread = stopEvents, minStopEventTime, stopSpread
	t.deadline, t.minTimeout = stopDeadline, minStopTimeout
	if seed%2 == 0 {
		t.patience = 0
	}
	return t
}

// intervalOf returns the time between two events of the engine that is started as the nth.
func (t tempo) intervalOf(seed uint64, n int) time.Duration {
	if t.spread == 0 {
		return t.interval
	}
	return t.interval + time.Duration(rand.New(rand.NewPCG(seed, uint64(n))).Int64N(int64(t.spread)))
}

// terms are the parts of the configuration that change while engines fall silent.
type terms struct {
	// timeout is that of all routes, idleTimeout that of callers' connections.
	timeout, idleTimeout time.Duration
	// plainService serves the plain routes.
	plainService string
	// extra means that there is one more route.
	extra bool
}

// usualTerms are those of the first configuration.
var usualTerms = terms{timeout: 6 * time.Second, idleTimeout: 15 * time.Second, plainService: plainService}

// termsChange is the writing of a configuration.
type termsChange struct {
	at    time.Time
	terms terms
}

// configApplyTime is how long hosts may take to apply a configuration.
const configApplyTime = 3 * time.Second

// shortestTimeout returns the shortest timeout of a route that may have been in force
// at some time between two instants.
func shortestTimeout(changes []termsChange, from, until time.Time) time.Duration {
	return shortestTimeoutWithin(processDeadline, changes, from, until)
}

// shortestTimeoutWithin does the same with a limit.
func shortestTimeoutWithin(limit time.Duration, changes []termsChange, from, until time.Time) time.Duration {
	shortest := limit
	for i, c := range changes {
		replaced := i+1 < len(changes) && changes[i+1].at.Add(configApplyTime).Before(from)
		if !replaced && !c.at.After(until) {
			shortest = min(shortest, c.terms.timeout)
		}
	}
	return shortest
}

// drawTerms draws the terms of the next configuration.
func drawTerms(random *rand.Rand) terms {
	return terms{
		timeout:      time.Duration(4+random.IntN(7)) * time.Second,
		idleTimeout:  time.Duration(1000+random.IntN(4000)) * time.Millisecond,
		plainService: []string{plainService, otherPlainService}[random.IntN(2)],
		extra:        random.IntN(2) == 0,
	}
}
