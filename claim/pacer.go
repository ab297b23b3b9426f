package claim

import "time"

const (
	// AppendInterval is the minimum time between two appends to one stream, so
	// that the number of appends does not grow with the number of requests.
	AppendInterval = 40 * time.Millisecond
	// MaxBatch is the maximum number of records in one append.
	MaxBatch = 512
	// outageInterval is the time between two attempts while the log is down.
	outageInterval = time.Second
)

// Pacer decides when the next batch is appended, and whether new claims are
// queued or refused. It is immutable.
type Pacer struct {
	// nextAppend is the earliest start of the next append.
	nextAppend time.Time
	// failing is set if the last append did not succeed.
	failing bool
}

// Delay returns how long to wait before the next append.
func (p Pacer) Delay(now time.Time) time.Duration { return max(p.nextAppend.Sub(now), 0) }

// Refuses reports whether a new claim is refused immediately because the log
// did not answer and the next attempt is not due yet.
func (p Pacer) Refuses(now time.Time) bool { return p.failing && now.Before(p.nextAppend) }

// RetryAfter returns how long a refused caller should wait before a retry.
func (p Pacer) RetryAfter(now time.Time) time.Duration { return p.Delay(now) + outageInterval }

// WithAppended returns the pacer after a successful append.
func (p Pacer) WithAppended(started time.Time) Pacer {
	return Pacer{nextAppend: started.Add(AppendInterval)}
}

// WithFailed returns the pacer after a failed append.
func (p Pacer) WithFailed(now time.Time) Pacer {
	return Pacer{nextAppend: now.Add(outageInterval), failing: true}
}
