package standin

import (
	"context"
	"syscall"
	"time"
)

const (
	// stallInterval is the time between two looks at the clock, minStall the longest
	// time between two of them that is no stall.
	stallInterval = 10 * time.Millisecond
	minStall      = 50 * time.Millisecond
	// maxStallWork is the share of a stall for which the process may have used a
	// processor: one that is busy keeps its own goroutines waiting.
	maxStallWork = 0.5
)

// WatchStalls reports the times in which the process did not run, since it was stopped
// or got no processor, until the context ends.
func WatchStalls(ctx context.Context, observe func(PlatformPeriod)) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	worked := processorTime()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, work := time.Now(), processorTime()
		if gap := now.Sub(last); gap >= minStall && float64(work-worked) <= maxStallWork*float64(gap) {
			observe(PlatformPeriod{last, now})
		}
		last, worked = now, work
	}
}

// processorTime returns how long the process has used processors.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic("reading the processor time: " + err.Error())
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
