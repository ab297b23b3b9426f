package storenode

import (
	"context"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// standstillInterval is the interval at which a process that runs shows it.
	standstillInterval = 50 * time.Millisecond
	// minStandstill is the delay from which on the process counts as one that stood still.
	minStandstill = 4 * standstillInterval
)

// standstill knows when the process last stood still.
type standstill struct {
	// mu guards the fields below.
	mu sync.Mutex
	// ran is when the process last ran, from and until when it last stood still.
	ran, from, until clock.Instant
}

// watch records that the process runs, until the context ends.
func (s *standstill) watch(ctx context.Context) {
	s.record(clock.Now())
	clock.Every(ctx, standstillInterval, func(context.Context) { s.record(clock.Now()) })
}

// record records that the process runs.
func (s *standstill) record(now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ran != 0 && now.Sub(s.ran) >= minStandstill {
		s.from, s.until = s.ran, now
	}
	s.ran = now
}

// earliest returns the earliest instant at which a signal that was seen at an instant may
// have been sent: it waits while the process stands still.
func (s *standstill) earliest(seen clock.Instant) clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ran != 0 && seen.Sub(s.ran) >= minStandstill:
		return s.ran
	case s.until != 0 && seen.Sub(s.until) < minStandstill:
		return min(seen, s.from)
	}
	return seen
}
