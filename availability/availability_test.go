package availability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/clock"
)

const begin = clock.Instant(time.Hour)

// TestLeaving covers the sources of a report that an upstream is leaving, and
// how long each is valid.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	byPeer := availability.Status{}.Of(1).WithLeaving(availability.Peer, begin)
	is.True(byPeer.Leaving(begin))
	is.True(!byPeer.Leaving(begin.Add(15 * time.Second))) // the upstream did not confirm it
	byUpstream := byPeer.WithLeaving(availability.Answer, begin)
	is.True(byUpstream.Leaving(begin.Add(time.Hour)))
	is.True(byUpstream.WithLeaving(availability.Peer, begin.Add(time.Hour)).Leaving(begin.Add(2 * time.Hour)))
	is.True(!byUpstream.Accepts(0, begin))
	is.True(byUpstream.Of(1).Leaving(begin))
	is.True(byUpstream.Of(0).Leaving(begin))
	is.True(!byUpstream.Of(2).Leaving(begin)) // another incarnation
}

// TestRetryAfter covers pauses of several lengths.
func TestRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		name        string
		wait, after time.Duration
		probes      int
		accepts     bool
		retryAfter  time.Duration
	}{
		{"at the start", 2 * time.Second, 0, 0, false, 2 * time.Second},
		{"just before the end", 2 * time.Second, 2*time.Second - 1, 0, false, 1},
		{"at the end", 2 * time.Second, 2 * time.Second, 0, true, 0},
		{"no time", 0, 0, 0, true, 0},
		{"a long pause is probed once", time.Hour, 30 * time.Second, 0, true, 0},
		{"no second probe immediately", time.Hour, 31 * time.Second, 1, false, 269 * time.Second},
		{"a second probe later", time.Hour, 5 * time.Minute, 1, true, 0},
		{"no third probe", time.Hour, 50 * time.Minute, 2, false, 10 * time.Minute},
		{"negative time", -time.Second, 0, 0, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := availability.Status{}.WithRetryAfter(tt.wait, begin)
			for range tt.probes {
				s = s.WithSend(begin)
			}
			now := begin.Add(tt.after)
			is.Equal(s.Accepts(0, now), tt.accepts)
			is.Equal(s.RetryAfter(now), tt.retryAfter)
		})
	}
}

// TestSlowStart ends a pause with a hundred waiting requests: they return over
// most of a second.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	s := availability.Status{}.WithRetryAfter(time.Second, begin)
	running, first := 0, 0
	for ms := range 1000 {
		now := begin.Add(time.Second + time.Duration(ms)*time.Millisecond)
		for running < 100 && s.Accepts(running, now) {
			running++
		}
		if ms == 0 {
			first = running
		}
	}
	is.Equal(first, 1)
	is.Equal(running, 100)
}

// TestAtMostTwoProbes applies random reports and delays. At most two requests
// are sent during each pause that the upstream asked for, whatever it reports
// meanwhile, and none after it reported that it is leaving until it restarts.
func TestAtMostTwoProbes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, incarnation := availability.Status{}.Of(1), begin, int64(1)
		type pause struct {
			until clock.Instant
			sent  int
		}
		var pauses []pause
		leaving := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				wait := time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "wait"))
				s = s.WithRetryAfter(wait, now)
				pauses = append(pauses, pause{until: now.Add(wait)})
			case 1:
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Minute)).Draw(t, "pause")))
			case 2, 3:
				if !s.Accepts(0, now) {
					continue
				}
				if leaving {
					t.Fatal("sent after the upstream reported that it is leaving")
				}
				s = s.WithSend(now)
				for i := range pauses {
					if now.Before(pauses[i].until) {
						pauses[i].sent++
					}
					if pauses[i].sent > 2 {
						t.Fatalf("%d requests sent during a pause", pauses[i].sent)
					}
				}
			case 4:
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					s, leaving = s.WithLeaving(availability.Answer, now), true
				}
			case 5:
				if rapid.IntRange(0, 4).Draw(t, "restarts") == 0 {
					incarnation++
					s, leaving, pauses = s.Of(incarnation), false, nil
				}
			}
		}
	})
}
