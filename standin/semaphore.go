package standin

import (
	"context"
	"slices"
	"sync"
)

// prioritySemaphore is a counting semaphore that serves the highest priority
// first, and equal priorities in order of arrival.
type prioritySemaphore struct {
	// mu guards the fields below.
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

// waiter is a queued acquire call.
type waiter struct {
	priority int
	acquired chan struct{}
}

func newPrioritySemaphore(free int) *prioritySemaphore { return &prioritySemaphore{free: free} }

// acquire waits for a permit and reports whether it got one before the context
// ended.
func (g *prioritySemaphore) acquire(ctx context.Context, priority int) bool {
	t := g.enqueue(priority)
	select {
	case <-t.acquired:
		return true
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiting, t); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
		return false
	}
	// The permit was granted when the context ended: return it.
	g.grant(1)
	return false
}

// enqueue adds a waiter behind those with the same or a higher priority.
func (g *prioritySemaphore) enqueue(priority int) *waiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &waiter{priority, make(chan struct{})}
	at := len(g.waiting)
	for at > 0 && g.waiting[at-1].priority < priority {
		at--
	}
	g.waiting = slices.Insert(g.waiting, at, t)
	g.grant(0)
	return t
}

// release returns a permit.
func (g *prioritySemaphore) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grant(1)
}

// grant adds freed permits and gives free permits to the next waiters. The
// caller holds mu.
func (g *prioritySemaphore) grant(freed int) {
	g.free += freed
	for g.free > 0 && len(g.waiting) > 0 {
		g.free--
		close(g.waiting[0].acquired)
		g.waiting = g.waiting[1:]
	}
}
