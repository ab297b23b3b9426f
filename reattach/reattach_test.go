package reattach_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/reattach"
)

// depth is the number of events of an enumerated order.
const depth = 7

// model is what a stream may do, kept apart from the states.
type model struct {
	runs         int
	pending      bool
	copied, kept bool
	closed       [3]bool
	asked        reattach.Action
}

// mayTake reports whether a place may still take the stream.
func (m model) mayTake(p reattach.Place) bool {
	switch p {
	case reattach.Copy:
		return m.copied && !m.closed[p]
	case reattach.Source:
		return (m.copied || m.kept) && !m.closed[p]
	}
	return m.runs > 0 && !m.closed[p]
}

// events returns the events that may follow an action.
func (m model) events() []reattach.Event {
	switch {
	case m.asked.Kind == reattach.Ask:
		events := []reattach.Event{reattach.Busy, reattach.Closed, reattach.Refused, reattach.Failed}
		if m.asked.Place != reattach.Anywhere {
			events = append(events, reattach.MemoryLost)
		}
		return events
	case m.pending:
		return []reattach.Event{reattach.Due, reattach.MemoryCopied, reattach.MemoryKept, reattach.MemoryLost}
	}
	return []reattach.Event{reattach.Due}
}

// with returns the model after an event.
func (m model) with(e reattach.Event) model {
	switch e {
	case reattach.MemoryCopied, reattach.MemoryKept:
		m.pending, m.copied, m.kept = false, e == reattach.MemoryCopied, true
	case reattach.MemoryLost:
		m.pending, m.copied, m.kept = false, false, false
	case reattach.Closed:
		m.closed[m.asked.Place] = true
	case reattach.Failed:
		if m.asked.Place != reattach.Anywhere {
			m.copied, m.kept = false, false
		}
		m.runs--
	}
	return m
}

// TestOrdersOfEvents enumerates the orders of events: a stream is given up only when no
// place may take it, and never sent where it may not run.
func TestOrdersOfEvents(t *testing.T) {
	is := is.New(t)
	orders, gaveUp := 0, 0
	var visit func(s reattach.State, m model, trail []reattach.Event)
	visit = func(s reattach.State, m model, trail []reattach.Event) {
		left := m.pending
		for p := range reattach.Place(3) {
			left = left || m.mayTake(p)
		}
		at := fmt.Sprint(trail)
		switch m.asked.Kind {
		case reattach.GiveUp:
			gaveUp++
			is.True(!left && at != "") // something may still take the stream
			return
		case reattach.Wait:
			is.True(left) // nothing to wait for
		case reattach.Ask:
			is.True(m.mayTake(m.asked.Place)) // it may not run there
		}
		if len(trail) == depth {
			orders++
			return
		}
		for _, e := range m.events() {
			next, action := reattach.Step(s, e)
			after := m.with(e)
			after.asked = action
			visit(next, after, append(trail[:len(trail):len(trail)], e))
		}
	}
	for _, runs := range []int{0, 1, 2} {
		for _, first := range []reattach.Event{reattach.Due, reattach.MemoryCopied, reattach.MemoryKept, reattach.MemoryLost} {
			pending := first == reattach.Due
			s, action := reattach.Step(reattach.New(runs, true, pending), first)
			m := model{runs: runs, pending: pending}.with(first)
			m.asked = action
			visit(s, m, []reattach.Event{first})
		}
	}
	is.True(orders > 1000)
	is.True(gaveUp > 100)
}

// TestRunsOfEndedUpstreams gives a stream back a run when an upstream that ran it has ended.
func TestRunsOfEndedUpstreams(t *testing.T) {
	is := is.New(t)
	s, action := reattach.Step(reattach.New(0, true, false), reattach.MemoryLost)
	is.Equal(action, reattach.Action{Kind: reattach.GiveUp, Reason: reattach.Attempts})
	s, action = reattach.Step(s.WithRuns(1), reattach.Due)
	is.Equal(action, reattach.Action{Kind: reattach.Ask, Place: reattach.Anywhere})
	s, action = reattach.Step(s, reattach.Failed)
	is.Equal(action, reattach.Action{Kind: reattach.GiveUp, Reason: reattach.Attempts})
	_, action = reattach.Step(s.WithRuns(0), reattach.Due)
	is.Equal(action, reattach.Action{Kind: reattach.GiveUp, Reason: reattach.Attempts})
}

// TestRefusalsEndSometime has every place refuse a stream forever.
func TestRefusalsEndSometime(t *testing.T) {
	is := is.New(t)
	s, action := reattach.Step(reattach.New(2, false, true), reattach.MemoryCopied)
	asked := map[reattach.Place]int{}
	for action.Kind != reattach.GiveUp {
		e := reattach.Due
		if action.Kind == reattach.Ask {
			e = reattach.Refused
			asked[action.Place]++
		}
		s, action = reattach.Step(s, e)
	}
	is.Equal(action.Reason, reattach.Rejections)
	is.Equal(asked, map[reattach.Place]int{reattach.Copy: 8, reattach.Source: 8, reattach.Anywhere: 16})
}

// TestRuns counts the runs that ended and those at other upstreams.
func TestRuns(t *testing.T) {
	for _, c := range []struct {
		name    string
		runs    int
		counted bool
		memory  reattach.Event
		// anywhere is how often others may read the stream in again.
		anywhere int
	}{
		{"crashed, no other run left", 0, true, reattach.MemoryLost, 0},
		{"crashed, another run left", 1, true, reattach.MemoryLost, 1},
		{"moved, one run in all", 1, false, reattach.MemoryCopied, 0},
		{"moved, two runs in all", 2, false, reattach.MemoryCopied, 1},
		{"moved, three runs in all", 3, false, reattach.MemoryKept, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, action := reattach.Step(reattach.New(c.runs, c.counted, c.memory != reattach.MemoryLost), c.memory)
			anywhere := 0
			for action.Kind != reattach.GiveUp {
				e := reattach.Due
				if action.Kind == reattach.Ask {
					e = reattach.Closed
					if action.Place == reattach.Anywhere {
						e = reattach.Failed
						anywhere++
					}
				}
				s, action = reattach.Step(s, e)
			}
			is.Equal(anywhere, c.anywhere)
		})
	}
}
