package allocation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/allocation"
)

// TestChooseMode checks the mode of a request by the tokens queued ahead of it.
func TestChooseMode(t *testing.T) {
	r := allocation.Requirements{Input: 2_400, Output: 4, Objective: 600 * time.Millisecond}
	withQueue := func(tokens int) allocation.Candidate {
		return allocation.Candidate{QueuedAhead: tokens, Waiting: tokens}
	}
	for _, c := range []struct {
		name       string
		own, last  allocation.Candidate
		remaining  time.Duration
		want       allocation.Mode
		retryAfter time.Duration
	}{
		{"nothing is ahead", withQueue(0), withQueue(0), 3 * time.Second, allocation.OnTime, 0},
		{"the urgent queue is short, the whole queue long", withQueue(6_000), withQueue(600_000), 3 * time.Second, allocation.OnTime, 0},
		{"too much is ahead", withQueue(40_000), withQueue(60_000), 3 * time.Second, allocation.Late, 0},
		{"far too much is ahead", withQueue(300_000), withQueue(300_000), 3 * time.Second, allocation.Refused, time.Second},
		{"little time is left", withQueue(40_000), withQueue(40_000), 300 * time.Millisecond, allocation.Refused, 300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			mode, retryAfter := allocation.ChooseMode(c.own, c.last, r, c.remaining)
			is.Equal(mode, c.want)
			is.Equal(retryAfter, c.retryAfter)
		})
	}
}

// TestOverload simulates ten seconds in which requests arrive at 1.5 times the
// prefill rate of one engine, and ten seconds at 0.7 times the rate after it.
// With deferring, at least half of the requests of the overload are on time and
// nearly all after it; with first come, first served nearly none are.
func TestOverload(t *testing.T) {
	is := is.New(t)
	const (
		prefillRate = 60_000.0 // tokens a second
		objective   = time.Second
		deadline    = 15 * time.Second
	)
	type waiting struct {
		tokens  float64
		rank    int
		arrived time.Duration
	}
	simulate := func(deferring bool) (overload, after float64) {
		random := rand.New(rand.NewPCG(5, 6))
		var queue []waiting
		onTime, arrivals := [2]int{}, [2]int{}
		for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
			phase, load := 0, 1.5
			if now >= 10*time.Second {
				phase, load = 1, 0.7
			}
			if random.Float64() < load*prefillRate/100/6_000 {
				arrivals[phase]++
				r := allocation.Requirements{Input: 6_000, Output: 1, Objective: objective}
				all, urgent := 0.0, 0.0
				for _, w := range queue {
					all += w.tokens
					if w.rank < allocation.DeferredRank {
						urgent += w.tokens
					}
				}
				own := allocation.Candidate{QueuedAhead: int(urgent), Waiting: int(urgent)}
				last := allocation.Candidate{QueuedAhead: int(all), Waiting: int(all)}
				rank := 0
				if mode, _ := allocation.ChooseMode(own, last, r, deadline); deferring && mode == allocation.Late {
					rank = allocation.DeferredRank
				}
				queue = append(queue, waiting{6_000, rank, now})
			}
			queue = readPrompts(queue, prefillRate/100, func(w *waiting) (*float64, int) { return &w.tokens, w.rank }, func(w waiting) {
				switch {
				case now-w.arrived > objective:
				case w.arrived < 10*time.Second:
					onTime[0]++
				default:
					onTime[1]++
				}
			})
		}
		return float64(onTime[0]) / float64(arrivals[0]), float64(onTime[1]) / float64(arrivals[1])
	}
	overload, after := simulate(false)
	deferredOverload, deferredAfter := simulate(true)
	t.Logf("on time in the overload and after: first come %.2f, %.2f; deferring %.2f, %.2f", overload, after, deferredOverload, deferredAfter)
	is.True(overload < 0.3)
	is.True(deferredOverload > 0.5)
	is.True(deferredAfter > 0.9)
}

// TestChooseLast checks which engine gets a request that is late at all of them
// while new weights are rolled out.
func TestChooseLast(t *testing.T) {
	r := allocation.Requirements{Input: 12_000, Output: 50, Objective: time.Second}
	busy := allocation.Candidate{ID: "busy", QueuedAhead: 1_000, Waiting: 90_000}
	free := allocation.Candidate{ID: "free", Waiting: 10_000, WeightsOutdated: true}
	freer := allocation.Candidate{ID: "freer", Waiting: 5_000, WeightsOutdated: true}
	for _, c := range []struct {
		name       string
		candidates []allocation.Candidate
		want       string
	}{
		{"an engine that keeps its weights", []allocation.Candidate{free, busy, freer}, "busy"},
		{"the least loaded if all are to load", []allocation.Candidate{free, freer}, "freer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			last, i := allocation.ChooseLast(c.candidates, r, "key")
			is.Equal(last.ID, c.want)
			is.Equal(c.candidates[i].ID, c.want)
			is.Equal(last.QueuedAhead, last.Waiting)
		})
	}
	_, none := allocation.ChooseLast(nil, r, "key")
	is.New(t).Equal(none, -1)
}
