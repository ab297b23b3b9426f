// Package retrybudget bounds how often requests are sent again, so that repeats
// of all hosts together can't overload a service that is already failing.
//
// It answers the load of an outage: every request fails once, and without a
// bound each would be sent twice. The package does no I/O.
package retrybudget

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// buckets is how finely the window is counted.
	buckets = 20
	// share is the part of the bound that is used: hosts see their requests
	// at other moments than the services do.
	share = 0.7
	// freshShare is the part of that for requests of which nothing has been
	// passed on: a stream that can't go on is lost, they are only late.
	freshShare = 0.75
)

// Stage tells how far the answer has come of a request that is sent again.
type Stage int

const (
	// Fresh is a request of which nothing has been passed on.
	Fresh Stage = iota
	// Begun is a stream that has begun and is to go on.
	Begun
)

// Bound is what all hosts together may send again.
type Bound struct {
	// Ratio is the share of the requests of a window.
	Ratio float64
	// Window is its length.
	Window time.Duration
	// Slack is added for all hosts together.
	Slack float64
}

// Allowance counts the requests of one host to one service. The zero value is
// ready to use; its owner guards it.
type Allowance struct {
	first, again [buckets]int
	at           [buckets]int64
}

// bucket returns the bucket of an instant, emptied if it is of an earlier
// round.
func (a *Allowance) bucket(b Bound, now clock.Instant) int {
	number := int64(now) / int64(b.Window/buckets)
	i := int(number % buckets)
	if a.at[i] != number {
		a.at[i], a.first[i], a.again[i] = number, 0, 0
	}
	return i
}

// First counts a request that is sent for the first time.
func (a *Allowance) First(b Bound, now clock.Instant) { a.first[a.bucket(b, now)]++ }

// Again counts one more send of a request and tells whether it is within this
// host's part of the bound.
func (a *Allowance) Again(b Bound, s Stage, hosts int, now clock.Instant) bool {
	if !a.Room(b, s, hosts, now) {
		return false
	}
	a.again[a.bucket(b, now)]++
	return true
}

// Room tells whether one more send would be within this host's part of the
// bound.
func (a *Allowance) Room(b Bound, s Stage, hosts int, now clock.Instant) bool {
	current := a.bucket(b, now)
	number := a.at[current]
	first, again := 0, 0
	for i := range buckets {
		if number-a.at[i] < buckets {
			first += a.first[i]
			again += a.again[i]
		}
	}
	part := share
	if s == Fresh {
		part *= freshShare
	}
	return float64(again+1) <= part*(b.Ratio*float64(first)+b.Slack/float64(max(1, hosts)))
}
