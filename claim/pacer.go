package claim

import "time"

const (
	// AppendInterval is the least time between two appends to one stream, so
	// that the number of appends does not grow with the number of requests.
	AppendInterval = 40 * time.Millisecond
	// MaxBatch bounds the records of one append.
	MaxBatch = 512
	// outageInterval is the time between two tries while the log is down.
	outageInterval = time.Second
)

// Pacer decides when the next batch is appended, and whether new claims are
// worth waiting for. It is immutable.
type Pacer struct {
	// next is when the next append may start.
	next time.Time
	// failing tells that the last append did not succeed.
	failing bool
}

// Delay returns how long to wait before the next append.
func (p Pacer) Delay(now time.Time) time.Duration { return max(p.next.Sub(now), 0) }

// Refuses tells whether a new claim is refused at once, since the log did
// not answer and it is not yet time to try again.
func (p Pacer) Refuses(now time.Time) bool { return p.failing && now.Before(p.next) }

// RetryAfter returns when a refused caller may come back.
func (p Pacer) RetryAfter(now time.Time) time.Duration { return p.Delay(now) + outageInterval }

// WithAppended returns the pacer after an append that started at a time.
func (p Pacer) WithAppended(started time.Time) Pacer {
	return Pacer{next: started.Add(AppendInterval)}
}

// WithFailed returns the pacer after an append that got no answer.
func (p Pacer) WithFailed(now time.Time) Pacer {
	return Pacer{next: now.Add(outageInterval), failing: true}
}
