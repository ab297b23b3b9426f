package ingress

import (
	"sync"
	"time"
)

// idleLimits keeps the operators' limit of idle connections, and the one before for as
// long as clients that have yet to see the change may use it.
type idleLimits struct {
	// limit returns the limit in force.
	limit func() time.Duration
	// mu guards the fields below.
	mu       sync.Mutex
	current  time.Duration
	previous time.Duration
	until    time.Time
}

// longest returns the longest limit that a client may use.
func (l *idleLimits) longest() time.Duration {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.After(l.until) {
		l.previous = 0
	}
	if limit := l.limit(); limit != l.current {
		l.previous = max(l.previous, l.current)
		l.until = now.Add(l.previous)
		l.current = limit
	}
	return max(l.current, l.previous)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
