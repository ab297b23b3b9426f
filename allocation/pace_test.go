package allocation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/clock"
)

// TestPace checks that a pace finds a delay and a factor among noise, corrects nothing
// before it has seen some waits, and follows a change.
func TestPace(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 8))
	now, p := clock.Instant(time.Hour), allocation.Pace{}
	observe := func(delay time.Duration, factor float64) {
		for range 300 {
			now = now.Add(100 * time.Millisecond)
			expected := time.Duration(random.IntN(800)) * time.Millisecond
			noise := 0.8 + 0.4*random.Float64()
			p = p.With(expected, delay+time.Duration(factor*noise*float64(expected)), now)
		}
	}
	is.Equal(p.With(time.Second, 9*time.Second, now).Correct(time.Second), time.Second)
	observe(70*time.Millisecond, 1.6)
	is.True(p.Correct(500*time.Millisecond) > 780*time.Millisecond)
	is.True(p.Correct(500*time.Millisecond) < 960*time.Millisecond)
	is.True(p.Correct(0) > 30*time.Millisecond && p.Correct(0) < 130*time.Millisecond)
	observe(0, 1)
	is.True(p.Correct(500*time.Millisecond) < 560*time.Millisecond)
	observe(0, 50)
	is.True(p.Correct(time.Second) <= 4300*time.Millisecond) // bounded
}

// TestOverloadOfSlowEngine simulates an engine that reads prompts in small pieces
// between the tokens of its running requests, at two thirds of the rate that hosts
// assume, while requests arrive at 1.4 times that rate. If expected waits aren't
// corrected, hosts take too many for requests that can be on time, and few are.
func TestOverloadOfSlowEngine(t *testing.T) {
	is := is.New(t)
	const (
		prefillRate = 40_000.0 // tokens a second
		tokens      = 6_000
		objective   = 500 * time.Millisecond
		patience    = 6 * time.Second
		delay       = 70 * time.Millisecond
		tick        = 5 * time.Millisecond
	)
	type waiting struct {
		left     float64
		rank     int
		arrived  clock.Instant
		expected time.Duration
	}
	simulate := func(learns bool) float64 {
		random := rand.New(rand.NewPCG(9, 10))
		var queue []waiting
		pace, start := allocation.Pace{}, clock.Instant(time.Hour)
		onTime, arrivals := 0, 0
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(tick) {
			if random.Float64() < 1.4*prefillRate/tokens*tick.Seconds() {
				arrivals++
				r := allocation.Requirements{Input: tokens, Output: 1, Objective: objective, Pace: pace}
				all, urgent := 0.0, 0.0
				for _, w := range queue {
					all += w.left
					if w.rank < allocation.DeferredRank {
						urgent += w.left
					}
				}
				own := allocation.Candidate{QueuedAhead: int(urgent), Waiting: int(urgent)}
				last := allocation.Candidate{QueuedAhead: int(all), Waiting: int(all)}
				mode, _ := allocation.ChooseMode(own, last, r, patience)
				switch mode {
				case allocation.OnTime:
					queue = append(queue, waiting{tokens, 0, now, allocation.UncorrectedWait(own, r)})
				case allocation.Late:
					queue = append(queue, waiting{tokens, allocation.DeferredRank, now, 0})
				case allocation.Refused:
				}
			}
			queue = readPrompts(queue, prefillRate*tick.Seconds(), func(w *waiting) (*float64, int) { return &w.left, w.rank }, func(w waiting) {
				observed := now.Sub(w.arrived) + delay
				if observed <= objective {
					onTime++
				}
				if learns && w.expected > 0 {
					pace = pace.With(w.expected, observed, now)
				}
			})
		}
		return float64(onTime) / float64(arrivals)
	}
	assumed, learnt := simulate(false), simulate(true)
	t.Logf("on time: assumed rate %.2f, learnt pace %.2f", assumed, learnt)
	is.True(learnt > 2.0/3/1.4) // two thirds of what the engine can read
	is.True(learnt > 1.5*assumed)
}
