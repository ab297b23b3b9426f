package reload_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/reload"
)

// TestMayAct checks when a host acts on new target weights.
func TestMayAct(t *testing.T) {
	for _, c := range []struct {
		name            string
		rank            int
		age, sinceClaim time.Duration
		acts            bool
	}{
		{"the first acts immediately", 0, 0, 0, true},
		{"the second waits for the first", 1, 600 * time.Millisecond, time.Hour, false},
		{"the second acts when the first made no claim", 1, 800 * time.Millisecond, time.Hour, true},
		{"the second waits after a recent claim of the first", 1, 2 * time.Second, time.Second, false},
		{"the third waits for the first two", 2, 1300 * time.Millisecond, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(reload.MayAct(c.rank, c.age, c.sinceClaim), c.acts)
		})
	}
}

// TestNext simulates a change of weights on pools of the users' sizes. No more
// engines load at a time than can load at full speed, at most two fifths are out
// of service, idle engines go first, each loads once, and all have the new
// weights within three seconds.
func TestNext(t *testing.T) {
	for _, c := range []struct{ engines, maxLoading, maxOut int }{{9, 2, 3}, {12, 2, 4}, {60, 12, 24}} {
		t.Run(fmt.Sprint(c.engines, " engines"), func(t *testing.T) {
			is := is.New(t)
			const loadTime, tick = 700 * time.Millisecond, 50 * time.Millisecond
			pool, now := make([]reload.Engine, c.engines), clock.Instant(time.Hour)
			for i := range pool {
				pool[i] = reload.Engine{ID: fmt.Sprintf("e%02d", i), Weights: 1, MayOrder: true, Running: c.engines - i}
			}
			learnt := reload.Estimate{}.With(350*time.Millisecond, 350*time.Millisecond)
			plan := reload.Plan{Target: 2, MayAct: true, Learnt: learnt}
			is.Equal(len(reload.Plan{Target: 1, MayAct: true, Learnt: learnt}.Next(pool, now)), 0)
			is.Equal(plan.Next(pool, now)[0], pool[c.engines-1].ID)
			loads, start := map[string]int{}, now
			for outdated := c.engines; outdated > 0; now = now.Add(tick) {
				outdated = 0
				for i, e := range pool {
					if e.OutOfService && now.Sub(e.OutSince) >= loadTime {
						pool[i].OutOfService, pool[i].Weights = false, 2
					}
				}
				ids := plan.Next(pool, now)
				out, loading := len(ids), len(ids)
				for i := range pool {
					if slices.Contains(ids, pool[i].ID) {
						loads[pool[i].ID]++
						pool[i].OutOfService, pool[i].OutSince = true, now
						continue
					}
					if pool[i].OutOfService {
						out++
						if now.Sub(pool[i].OutSince) < 300*time.Millisecond {
							loading++
						}
					}
				}
				is.True(loading <= c.maxLoading)
				is.True(out <= c.maxOut)
				for _, e := range pool {
					if e.Weights < 2 {
						outdated++
					}
				}
			}
			is.Equal(len(loads), c.engines)
			for _, n := range loads {
				is.Equal(n, 1)
			}
			is.True(now.Sub(start) <= 3*time.Second)
		})
	}
}

// TestNextPriority checks which engines are ordered first and which are not
// ordered at all.
func TestNextPriority(t *testing.T) {
	is := is.New(t)
	pool := []reload.Engine{
		{ID: "a", Weights: 2, MayOrder: true}, {ID: "b", Weights: 1, MayOrder: true, Running: 5}, {ID: "c", Weights: 1, MayOrder: true, Running: 2},
		{ID: "d", Weights: 1}, {ID: "e", Weights: 3, MayOrder: true},
	}
	plan := reload.Plan{Target: 3, MayAct: true}
	is.Equal(plan.Next(pool, 0), []string{"c", "b"}) // oldest weights first, then fewest requests
	pool[1].Weights, pool[2].Weights = 3, 3
	is.Equal(plan.Next(pool, 0), []string{"a"}) // another host may still order d
	pool[4].Weights, pool[4].Exclusive = 1, true
	is.Equal(reload.Plan{Target: 3}.Next(pool, 0), []string{"e"}) // no other host may order e
}

// TestSmallPools checks that a change of weights leaves an engine in service, and that a
// single engine loads nevertheless.
func TestSmallPools(t *testing.T) {
	is := is.New(t)
	plan := reload.Plan{Target: 2, MayAct: true}
	for engines, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2} {
		pool := make([]reload.Engine, engines)
		for i := range pool {
			pool[i] = reload.Engine{ID: fmt.Sprint(i), Weights: 1, MayOrder: true}
		}
		is.Equal(len(plan.Next(pool, 0)), want)
	}
}

// TestExpiredWeights guards against requests that begin on weights which were replaced
// long ago: all engines that have them are ordered, however many are out of service.
func TestExpiredWeights(t *testing.T) {
	is := is.New(t)
	plan := reload.Plan{Target: 3, MayAct: true}
	pool := make([]reload.Engine, 12)
	for i := range pool {
		pool[i] = reload.Engine{ID: fmt.Sprintf("e%02d", i), Weights: 2, MayOrder: true, OutOfService: i < 4, Loading: i < 4}
	}
	is.Equal(len(plan.Next(pool, 0)), 0) // no more may be out of service
	for i := range pool {
		pool[i].Expired = true
	}
	pool[10].MayOrder, pool[11].Unreachable = false, true
	is.Equal(plan.Next(pool, 0), []string{"e04", "e05", "e06", "e07", "e08", "e09"})
	pool[4].Weights = 3
	is.Equal(len(plan.Next(pool, 0)), 5)
}
