package standin

import (
	"context"
	"slices"
	"sync"
)

// gate lets a bounded number of holders in at a time: those of the highest
// priority first, then in the order of arrival.
type gate struct {
	// mu guards the fields below.
	mu      sync.Mutex
	free    int
	waiting []*ticket
}

// ticket is one wait at a gate.
type ticket struct {
	priority int
	entered  chan struct{}
}

func newGate(free int) *gate { return &gate{free: free} }

// enter waits for a place and tells whether it got one before the context
// ended.
func (g *gate) enter(ctx context.Context, priority int) bool {
	t := g.join(priority)
	select {
	case <-t.entered:
		return true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return false
	}
	// The place came at the same moment: give it back.
	g.admit(1)
	return false
}

// join takes a place in the queue.
func (g *gate) join(priority int) *ticket {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &ticket{priority, make(chan struct{})}
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].priority < priority {
		at--
	}
	g.waiting = slices.Insert(g.waiting, at, t)
	g.admit(0)
	return t
}

// leave gives a place back.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admit(1)
}

// admit frees places and lets in who is next. The caller holds mu.
func (g *gate) admit(freed int) {
	g.free += freed
	for g.free > 0 && len(g.waiting) > 0 {
		g.free--
		close(g.waiting[0].entered)
		g.waiting = g.waiting[1:]
	}
}
