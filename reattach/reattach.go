// Package reattach decides how a stream that has begun, and that no upstream serves any
// more, gets back to one: with its memory, if engines keep that, or else read in again. As
// long as an upstream may still take it, it waits rather than ends. The package does no I/O.
package reattach

const (
	// maxMemoryRefusals and maxRefusals bound the refusals of one engine that has the
	// memory, and those of all others.
	maxMemoryRefusals = 8
	maxRefusals       = 16
)

// Place is where the stream may go on.
type Place int

// The places, in the order in which they are asked.
const (
	// Copy is the engine to which its memory was copied.
	Copy Place = iota
	// Source is the engine that stopped it to move it, and keeps its memory.
	Source
	// Anywhere is any upstream that may read it in again.
	Anywhere
	places
)

// Event is what has happened since the last action.
type Event int

// The events.
const (
	// MemoryCopied means that its memory is at Copy and at Source.
	MemoryCopied Event = iota
	// MemoryKept means that its memory is at Source only.
	MemoryKept
	// MemoryLost means that there is no memory, or that it may not be used any more.
	MemoryLost
	// Busy means that the place accepts nothing now, so that it wasn't asked.
	Busy
	// Closed means that the place will never take the stream.
	Closed
	// Refused means that the place was asked and did not run the stream.
	Refused
	// Failed means that the place may have run the stream before it failed.
	Failed
	// Due means that a wait is over.
	Due
)

// Kind tells actions apart.
type Kind int

// The kinds.
const (
	// Ask asks a place to take the stream.
	Ask Kind = iota
	// Wait waits for a while, or for the memory.
	Wait
	// GiveUp ends the stream.
	GiveUp
)

// Reason is why a stream is given up.
type Reason string

// The reasons.
const (
	// Attempts means that it may not run at any more upstreams.
	Attempts Reason = "Attempts"
	// Rejections means that too many upstreams refused it.
	Rejections Reason = "Rejections"
	// NoUpstream means that no upstream will ever take it.
	NoUpstream Reason = "NoUpstream"
)

// Action is what to do next.
type Action struct {
	Kind Kind
	// Place is the place to ask, Reason why the stream is given up.
	Place  Place
	Reason Reason
}

// State is the state of a stream that no upstream serves. It is immutable.
type State struct {
	// runs is how often it may still run at other upstreams; counted is set if the run
	// that ended counts already.
	runs    int
	counted bool
	// pending is set while its memory may still arrive.
	pending bool
	// open holds the places that may take it, due those to ask before the next wait.
	open, due [places]bool
	refusals  [places]int
	// asked is the place that was asked last.
	asked Place
	// reason is why the last place was closed.
	reason Reason
}

// New returns the state of a stream that has just lost its upstream. It may still run at
// a number of upstreams, less the run that ended unless that is counted. If pending is set,
// its memory may arrive.
func New(runs int, counted, pending bool) State {
	s := State{runs: runs, counted: counted, pending: pending, reason: Attempts}
	s.open[Anywhere] = s.mayRun()
	s.due = s.open
	return s
}

// WithRuns returns the state once the stream may run at a number of upstreams, since some of
// those that ran it have ended.
func (s State) WithRuns(runs int) State {
	s.runs, s.counted = runs, true
	s.open[Anywhere] = s.mayRun()
	return s
}

// mayRun reports whether another upstream may read the stream in again.
func (s State) mayRun() bool {
	if s.counted {
		return s.runs > 0
	}
	return s.runs > 1
}

// Step returns the state after an event, and the next action.
func Step(s State, e Event) (State, Action) {
	switch e {
	case MemoryCopied, MemoryKept:
		s.pending = false
		s.open[Copy], s.open[Source] = e == MemoryCopied, true
		s.due = s.open
	case MemoryLost:
		s.pending = false
		s = s.withoutMemory()
	case Busy:
		s.due[s.asked] = false
	case Closed:
		s = s.closed(NoUpstream)
	case Refused:
		s.due[s.asked] = false
		if s.refusals[s.asked]++; s.refusals[s.asked] >= limit(s.asked) {
			s = s.closed(Rejections)
		}
	case Failed:
		s = s.afterRun()
	case Due:
		s.due = s.open
	}
	return s.next()
}

// limit returns how many refusals close a place.
func limit(p Place) int {
	if p == Anywhere {
		return maxRefusals
	}
	return maxMemoryRefusals
}

// withoutMemory returns the state once the memory is of no use.
func (s State) withoutMemory() State {
	s.open[Copy], s.open[Source] = false, false
	return s
}

// closed returns the state once the place that was asked will not take the stream.
func (s State) closed(r Reason) State {
	s.open[s.asked], s.reason = false, r
	return s
}

// afterRun returns the state after a place may have run the stream: memory can be used once.
func (s State) afterRun() State {
	if s.asked != Anywhere {
		s = s.withoutMemory()
	}
	s.runs--
	s.counted = true
	if !s.mayRun() {
		s.open[Anywhere], s.reason = false, Attempts
	}
	s.due = s.open
	return s
}

// next returns the next action.
func (s State) next() (State, Action) {
	waits := s.pending
	for p := range places {
		if s.open[p] && s.due[p] {
			s.asked = p
			if p == Anywhere && !s.counted {
				s.runs, s.counted = s.runs-1, true
			}
			return s, Action{Kind: Ask, Place: p}
		}
		waits = waits || s.open[p]
	}
	if waits {
		return s, Action{Kind: Wait}
	}
	return s, Action{Kind: GiveUp, Reason: s.reason}
}
