// Package retrybudget limits retries, so that those of all hosts together can't
// overload a service that is already failing.
//
// In an outage every request fails once, and without a limit each would be sent
// twice. The package does no I/O.
package retrybudget

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// buckets is the number of counters that a window is divided into.
	buckets = 20
	// usedShare is the share of the limit that is used, since hosts count
	// requests at other moments than the services do.
	usedShare = 0.7
	// freshShare is the share of the used limit that is available to requests
	// without any relayed answer. They are only late if they aren't retried; a
	// stream is lost if it can't be resumed.
	freshShare = 0.75
)

// Stage is how much of the answer was relayed before a retry.
type Stage int

const (
	// Fresh means that nothing of the answer has been relayed.
	Fresh Stage = iota
	// Streaming means that a stream has started and is to be resumed.
	Streaming
)

// Limits bounds the retries of all hosts together.
type Limits struct {
	// Ratio is the number of retries per request in a window.
	Ratio float64
	// Window is the length of a window.
	Window time.Duration
	// Slack is the number of additional retries per window, for all hosts
	// together.
	Slack float64
}

// Budget counts the requests and retries of one host to one service. The zero
// value is ready to use. It isn't safe for concurrent use.
type Budget struct {
	firstSends, retries [buckets]int
	bucketNumbers       [buckets]int64
}

// bucket returns the index of the bucket of an instant, and resets a bucket that
// holds older counts.
func (b *Budget) bucket(limits Limits, now clock.Instant) int {
	number := int64(now) / int64(limits.Window/buckets)
	i := int(number % buckets)
	if b.bucketNumbers[i] != number {
		b.bucketNumbers[i], b.firstSends[i], b.retries[i] = number, 0, 0
	}
	return i
}

// RecordFirst counts the first attempt of a request.
func (b *Budget) RecordFirst(limits Limits, now clock.Instant) { b.firstSends[b.bucket(limits, now)]++ }

// TryRetry reports whether a retry is within this host's part of the limits, and
// counts it if so.
func (b *Budget) TryRetry(limits Limits, s Stage, hosts int, now clock.Instant) bool {
	if !b.Allows(limits, s, hosts, now) {
		return false
	}
	b.retries[b.bucket(limits, now)]++
	return true
}

// Allows reports whether a retry would be within this host's part of the
// limits.
func (b *Budget) Allows(limits Limits, s Stage, hosts int, now clock.Instant) bool {
	current := b.bucket(limits, now)
	number := b.bucketNumbers[current]
	firstSends, retries := 0, 0
	for i := range buckets {
		if number-b.bucketNumbers[i] < buckets {
			firstSends += b.firstSends[i]
			retries += b.retries[i]
		}
	}
	fraction := usedShare
	if s == Fresh {
		fraction *= freshShare
	}
	return float64(retries+1) <= fraction*(limits.Ratio*float64(firstSends)+limits.Slack/float64(max(1, hosts)))
}
