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

// TestBackoff checks that the backoff grows with each failed connection and is
// reset by an answer.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithConnectFailure(now)
	is.True(s.IsUnreachable(now.Add(200 * time.Millisecond)))
	is.True(!s.IsUnreachable(now.Add(300 * time.Millisecond))) // otherwise, an engine that gets no request would get no order either
	is.True(!s.Usable(now.Add(200 * time.Millisecond)))
	is.True(s.Usable(now.Add(300 * time.Millisecond)))
	for range 20 {
		s = s.WithConnectFailure(now)
	}
	is.True(!s.Usable(now.Add(1900 * time.Millisecond)))
	is.True(s.Usable(now.Add(2 * time.Second)))
	s = s.WithAnswer(now, 0).WithConnectFailure(now)
	is.True(s.Usable(now.Add(300 * time.Millisecond)))
}

// TestFailureRate checks that an upstream that fails half of its requests has a
// higher rate than one that failed once, and that old failures decay.
func TestFailureRate(t *testing.T) {
	is := is.New(t)
	once := health.State{}.WithAnswer(now, 0).WithFailure(now)
	failing := health.State{}
	for range 10 {
		failing = failing.WithAnswer(now, 0).WithFailure(now)
	}
	is.True(once.FailureRate(now) < 0.2)
	is.True(failing.FailureRate(now) > 0.35)
	is.True(failing.FailureRate(now.Add(30*time.Second)) < 0.01)
}

// TestLoad checks that the load counts running requests and waiting tokens.
func TestLoad(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithSend(1, 100, now).WithSend(9, 50, now)
	is.Equal(s.Load, loadreport.Load{Running: 2, Waiting: [loadreport.Ranks]int{0, 100, loadreport.Ranks - 1: 50}})
	s = s.WithAnswerStarted(1, 100).WithEnd().WithAnswerStarted(9, 50).WithEnd()
	is.Equal(s.Load, loadreport.Load{})
}

// TestWeightsNeverDecrease checks that an older weights version doesn't replace
// the newest observed one.
func TestWeightsNeverDecrease(t *testing.T) {
	is := is.New(t)
	s := health.State{LoadingUntil: now.Add(time.Second)}.WithWeights(4).WithWeights(3)
	is.Equal(s.Weights, int64(4))
	is.True(s.Usable(now))
}

// TestFirstSeen checks that FirstSeen is set once, and again by a finished load,
// which makes the upstream usable even if its weights were known before.
func TestFirstSeen(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithFirstSeen(now).WithFirstSeen(now.Add(time.Second))
	is.Equal(s.FirstSeen(), now)
	s = s.WithWeights(3)
	s.LoadingUntil = now.Add(time.Minute)
	s = s.WithLoaded(2, now.Add(time.Second)) // answers an earlier order
	is.True(!s.Usable(now.Add(2 * time.Second)))
	s = s.WithLoaded(3, now.Add(2*time.Second))
	is.True(s.Usable(now.Add(2 * time.Second)))
	is.Equal(s.FirstSeen(), now.Add(2*time.Second))
	is.True(!s.WithUnreachable(now.Add(2 * time.Second)).Usable(now.Add(2 * time.Second)))
}

// TestWeightsRefused covers an engine that refuses requests for its weights: the
// next version is assumed, but Weights stays at what was observed.
func TestWeightsRefused(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithWeights(1)
	s = s.WithWeightsRefused(3, now)
	is.Equal(s.Weights, int64(1))
	is.Equal(s.AssumedWeights, int64(3))
	is.True(s.Usable(now))
	s = s.WithWeightsRefused(0, now) // refused those too, and there are no newer ones
	is.Equal(s.Weights, int64(1))
	is.Equal(s.AssumedWeights, int64(0))
	is.True(!s.Usable(now))
	s = s.WithWeightsRefused(3, now).WithWeights(2) // it answered
	is.Equal(s.Weights, int64(2))
	is.Equal(s.AssumedWeights, int64(0))
}

// TestRejections covers an engine that rejects every request for ten seconds while it
// seems to have nothing to do, as when it loads weights without this host knowing. It
// must not get a request each time that a short backoff ends, nor several at once; one
// answer makes it usable as before.
func TestRejections(t *testing.T) {
	is := is.New(t)
	s, at, rejected := health.State{}, now, 0
	for ; at < now.Add(10*time.Second); at = at.Add(10 * time.Millisecond) {
		if !s.Usable(at) {
			continue
		}
		s = s.WithSend(0, 100, at)
		if s.Rejects() {
			is.True(!s.Usable(at)) // one request at a time shows whether it still rejects
		}
		s = s.WithAnswerStarted(0, 100).WithEnd().WithRejection(at)
		rejected++
	}
	is.True(rejected <= 10)
	at = at.Add(2 * time.Second)
	is.True(s.Usable(at))
	s = s.WithSend(0, 100, at).WithAnswerStarted(0, 100).WithAnswer(at, 0)
	is.True(s.Usable(at))
	is.True(s.WithRejection(at).Usable(at.Add(200 * time.Millisecond)))
}

// TestRejectionsAtOnce checks that requests which are rejected at the same moment count
// once: they were sent before the first rejection was known.
func TestRejectionsAtOnce(t *testing.T) {
	is := is.New(t)
	s := health.State{}
	for range 20 {
		s = s.WithRejection(now)
	}
	is.True(s.Usable(now.Add(150 * time.Millisecond)))
}

// TestLateRenewal checks that an update about a load that goes on excludes an engine, but
// not one whose load has ended meanwhile.
func TestLateRenewal(t *testing.T) {
	is := is.New(t)
	s := health.State{}.WithWeights(2)
	is.True(!s.WithLoading(3, now.Add(time.Second)).Usable(now))
	is.True(s.WithWeights(3).WithLoading(3, now.Add(time.Second)).Usable(now))
	is.True(!s.WithLoading(4, now.Add(time.Second)).WithWeights(3).Usable(now)) // answers an earlier order
	is.True(s.WithLoading(4, now.Add(time.Second)).WithLoadFailed().Usable(now))
	is.True(!s.WithLoading(4, now.Add(time.Second)).WithLoaded(3, now).Usable(now)) // told late, by a host that was frozen
}
