package standin

import (
	"context"
	"time"
)

const (
	// stallInterval is the time between two looks at the clock, minStall the longest
	// time between two of them that is no stall.
	stallInterval = 10 * time.Millisecond
	minStall      = 50 * time.Millisecond
)

// WatchStalls reports the times in which the process did not run, since it was stopped
// or got no processor, until the context ends.
func WatchStalls(ctx context.Context, observe func(PlatformPeriod)) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) >= minStall {
			observe(PlatformPeriod{last, now})
		}
		last = now
	}
}
