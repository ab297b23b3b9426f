package health_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

const now = clock.Instant(time.Hour)

// TestRest leaves an upstream alone that takes no connection, the longer the
// more often, and forgets that with an answer.
func TestRest(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithRefused(now)
	is.True(!s.Usable(now.Add(200 * time.Millisecond)))
	is.True(s.Usable(now.Add(300 * time.Millisecond)))
	for range 20 {
		s = s.WithRefused(now)
	}
	is.True(!s.Usable(now.Add(1900 * time.Millisecond)))
	is.True(s.Usable(now.Add(2 * time.Second)))
	s = s.WithAnswer(now, 0).WithRefused(now)
	is.True(s.Usable(now.Add(300 * time.Millisecond)))
}

// TestFailing tells a grey upstream from one that failed once, and lets old
// failures fade.
func TestFailing(t *testing.T) {
	is := is.New(t)
	once := health.State{}.WithAnswer(now, 0).WithFailure(now)
	grey := health.State{}
	for range 10 {
		grey = grey.WithAnswer(now, 0).WithFailure(now)
	}
	is.True(once.Failing(now) < 0.2)
	is.True(grey.Failing(now) > 0.35)
	is.True(grey.Failing(now.Add(30*time.Second)) < 0.01)
}

// TestLoad counts what a host has at an upstream.
func TestLoad(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithSend(1, 100, now).WithSend(9, 50, now)
	is.Equal(s.Load, loadreport.Load{Running: 2, Waiting: [loadreport.Ranks]int{0, 100, loadreport.Ranks - 1: 50}})
	s = s.WithBegun(1, 100).WithEnd().WithBegun(9, 50).WithEnd()
	is.Equal(s.Load, loadreport.Load{})
}

// TestWeightsNeverGoBack keeps the newest weights that were seen.
func TestWeightsNeverGoBack(t *testing.T) {
	is := is.New(t)
	s := health.State{Loading: now.Add(time.Second)}.WithWeights(4).WithWeights(3)
	is.Equal(s.Weights, int64(4))
	is.True(s.Usable(now))
}

// TestJoined tells since when an upstream takes requests, and ends a load also
// if its weights were known before.
func TestJoined(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithKnown(now).WithKnown(now.Add(time.Second))
	is.Equal(s.Joined(), now)
	s = s.WithWeights(3)
	s.Loading = now.Add(time.Minute)
	s = s.WithLoaded(2, now.Add(time.Second)) // of an earlier order
	is.True(!s.Usable(now.Add(2 * time.Second)))
	s = s.WithLoaded(3, now.Add(2*time.Second))
	is.True(s.Usable(now.Add(2 * time.Second)))
	is.Equal(s.Joined(), now.Add(2*time.Second))
	is.True(!s.WithDown(now.Add(2 * time.Second)).Usable(now.Add(2 * time.Second)))
}

// TestOtherWeights covers an engine that refuses requests for weights: others
// are tried, but it is taken to have only what it was seen with.
func TestOtherWeights(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithWeights(1)
	s = s.WithOtherWeights(3, now)
	is.Equal(s.Weights, int64(1))
	is.Equal(s.Guess, int64(3))
	is.True(s.Usable(now))
	s = s.WithOtherWeights(0, now) // refused that too, and none is newer
	is.Equal(s.Weights, int64(1))
	is.Equal(s.Guess, int64(0))
	is.True(!s.Usable(now))
	s = s.WithOtherWeights(3, now).WithWeights(2) // it answered
	is.Equal(s.Weights, int64(2))
	is.Equal(s.Guess, int64(0))
}
