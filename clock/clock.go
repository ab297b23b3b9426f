// Package clock measures time since the host was booted.
//
// Unlike the monotonic clock of package time, it keeps running while the host is
// suspended, so a lease's age or the staleness of an estimate is never
// underestimated.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a time since boot. The zero value stands for long ago.
type Instant int64

// Now returns the time since boot.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("reading the boot clock: " + err.Error())
	}
	return Instant(t.Nano())
}

// Sub returns the duration from another instant to this one.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant that is later by a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Before reports whether the instant is earlier than another.
func (i Instant) Before(other Instant) bool { return i < other }

// Pause blocks for a duration or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Every runs a function at an interval until the context ends. The first run is
// after one interval.
func Every(ctx context.Context, interval time.Duration, run func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run(ctx)
		}
	}
}
