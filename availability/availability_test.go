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

// TestLeaving covers who may say that an upstream leaves, and for how long.
func TestLeaving(t *testing.T) {
	is := is.New(t)
	told := availability.Standing{}.Of(1).WithLeaving(availability.Peer, begin)
	is.True(told.Leaving(begin))
	is.True(!told.Leaving(begin.Add(15 * time.Second))) // nobody confirmed it
	said := told.WithLeaving(availability.Answer, begin)
	is.True(said.Leaving(begin.Add(time.Hour)))
	is.True(said.WithLeaving(availability.Peer, begin.Add(time.Hour)).Leaving(begin.Add(2 * time.Hour)))
	is.True(!said.Takes(0, begin))
	is.True(said.Of(1).Leaving(begin))
	is.True(said.Of(0).Leaving(begin))
	is.True(!said.Of(2).Leaving(begin)) // another start
}

// TestRest covers rests of several lengths.
func TestRest(t *testing.T) {
	for _, tt := range []struct {
		name        string
		wait, after time.Duration
		trials      int
		takes       bool
		back        time.Duration
	}{
		{"at once", 2 * time.Second, 0, 0, false, 2 * time.Second},
		{"just before the end", 2 * time.Second, 2*time.Second - 1, 0, false, 1},
		{"at the end", 2 * time.Second, 2 * time.Second, 0, true, 0},
		{"no time", 0, 0, 0, true, 0},
		{"a long one is tried once", time.Hour, 30 * time.Second, 0, true, 0},
		{"and not at once again", time.Hour, 31 * time.Second, 1, false, 269 * time.Second},
		{"but later", time.Hour, 5 * time.Minute, 1, true, 0},
		{"and no more", time.Hour, 50 * time.Minute, 2, false, 10 * time.Minute},
		{"a negative one", -time.Second, 0, 0, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := availability.Standing{}.WithRest(tt.wait, begin)
			for range tt.trials {
				s = s.WithSend(begin)
			}
			now := begin.Add(tt.after)
			is.Equal(s.Takes(0, now), tt.takes)
			is.Equal(s.Back(now), tt.back)
		})
	}
}

// TestRamp plays the end of a rest for which a hundred requests have waited:
// they return over most of a second.
func TestRamp(t *testing.T) {
	is := is.New(t)
	s := availability.Standing{}.WithRest(time.Second, begin)
	running, most := 0, 0
	for ms := range 1000 {
		now := begin.Add(time.Second + time.Duration(ms)*time.Millisecond)
		for running < 100 && s.Takes(running, now) {
			running++
		}
		if ms == 0 {
			most = running
		}
	}
	is.Equal(most, 1)
	is.Equal(running, 100)
}

// TestNoMoreThanTwoWithinARest plays random answers and pauses: whatever is
// said meanwhile, at most two requests are sent from an answer that asks for
// time to the end of that time, and none after the upstream said that it
// leaves, until it starts again.
func TestNoMoreThanTwoWithinARest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now, start := availability.Standing{}.Of(1), begin, int64(1)
		type rest struct {
			until clock.Instant
			sent  int
		}
		var rests []rest
		left := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				wait := time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "wait"))
				s = s.WithRest(wait, now)
				rests = append(rests, rest{until: now.Add(wait)})
			case 1:
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Minute)).Draw(t, "pause")))
			case 2, 3:
				if !s.Takes(0, now) {
					continue
				}
				if left {
					t.Fatal("sent after it said that it leaves")
				}
				s = s.WithSend(now)
				for i := range rests {
					if now.Before(rests[i].until) {
						rests[i].sent++
					}
					if rests[i].sent > 2 {
						t.Fatalf("%d sent within a rest", rests[i].sent)
					}
				}
			case 4:
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					s, left = s.WithLeaving(availability.Answer, now), true
				}
			case 5:
				if rapid.IntRange(0, 4).Draw(t, "restarts") == 0 {
					start++
					s, left, rests = s.Of(start), false, nil
				}
			}
		}
	})
}
