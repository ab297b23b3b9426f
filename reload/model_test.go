package reload_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/reload"
)

// simulated is an engine of TestPlan.
type simulated struct {
	weights, target int64
	// drained and done are when its requests end and when it has loaded.
	drained, done clock.Instant
	busy          bool
}

// TestPlan names new weights at random moments for pools of 3 to 300 engines that load
// for 0.1 to 10 s after draining for up to 2 s. More engines at a time than may load
// slow each other down. Never more than the stated share is out of service, no engine is
// ordered twice at once, and all engines have the newest weights in the time that the
// loads take one wave after the other.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 50 * time.Millisecond
		engines := rapid.IntRange(3, 300).Draw(t, "engines")
		loadTime := time.Duration(rapid.IntRange(100, 10_000).Draw(t, "load time, ms")) * time.Millisecond
		drainTime := time.Duration(rapid.IntRange(0, 2000).Draw(t, "drain time, ms")) * time.Millisecond
		atOnce, mostOut := max(2, engines/5), max(2, engines*2/5)
		waves := (engines + atOnce - 1) / atOnce
		within := 2*time.Duration(waves)*loadTime + 4*drainTime + 4*time.Second
		plan := reload.Plan{Target: 1, MayAct: true, Within: within}
		pool, now := make([]simulated, engines), clock.Instant(time.Hour)
		var named []clock.Instant
		for at := now; len(named) < rapid.IntRange(1, 4).Draw(t, "namings"); {
			at = at.Add(time.Duration(rapid.IntRange(0, 15_000).Draw(t, "pause, ms")) * time.Millisecond)
			named = append(named, at)
		}
		last := named[len(named)-1]
		for ; now < last.Add(within); now = now.Add(tick) {
			plan.Target = 0
			for _, at := range named {
				if at <= now {
					plan.Target++
				}
			}
			loading := 0
			for _, e := range pool {
				if e.busy && e.drained <= now {
					loading++
				}
			}
			known := make([]reload.Engine, engines)
			for i, e := range pool {
				if e.busy && now >= e.drained && loading > atOnce {
					pool[i].done = e.done.Add(tick * time.Duration(loading-atOnce) / time.Duration(loading))
				}
				if e.busy && now >= pool[i].done {
					pool[i].busy, pool[i].weights = false, e.target
					plan.Learnt = plan.Learnt.With(now.Sub(e.drained), drainTime)
				}
				known[i] = reload.Engine{ID: string(rune('a' + i)), Weights: pool[i].weights, OutOfService: pool[i].busy, OutSince: e.drained.Add(-drainTime), Loading: pool[i].busy && now >= e.drained, MayOrder: true}
			}
			for _, id := range plan.Next(known, now) {
				i := slices.IndexFunc(known, func(e reload.Engine) bool { return e.ID == id })
				if pool[i].busy {
					t.Fatalf("engine %d is ordered while it executes an order", i)
				}
				pool[i] = simulated{weights: pool[i].weights, target: plan.Target, busy: true, drained: now.Add(drainTime), done: now.Add(drainTime + loadTime)}
			}
			out := 0
			for _, e := range pool {
				if e.busy {
					out++
				}
			}
			if out > mostOut {
				t.Fatalf("%d of %d engines are out of service", out, engines)
			}
		}
		for i, e := range pool {
			if e.weights < plan.Target {
				t.Fatalf("engine %d has weights %d of %d after %v", i, e.weights, plan.Target, within)
			}
		}
	})
}
