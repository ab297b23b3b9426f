package rollout_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/rollout"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "9")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

const (
	loadTime = 300 * time.Millisecond
	slice    = 100 * time.Millisecond
)

// engine is an engine of the model world.
type engine struct {
	rollout.Report

	checks  bool
	pending string
	until   time.Time
	// undone counts loads of the old version after the new one.
	undone int
}

// keeper is a host that believes it keeps the pool.
type keeper struct {
	demand rollout.Demand
	state  rollout.State
	queue  []rollout.Decision
}

// world is a pool with an old keeper, whose document is old, and a new one.
type world struct {
	now     time.Time
	engines map[string]*engine
	old     keeper
	new     keeper
	// refusing makes the weight store refuse every load.
	refusing bool
	most     int
	fewest   int
}

func newWorld(count int, checks bool) *world {
	w := &world{now: time.Unix(0, 0), engines: map[string]*engine{}, fewest: count}
	w.old.demand, w.new.demand = demand(count, "v1", 1, checks), demand(count, "v2", 2, checks)
	for _, e := range w.old.demand.Engines {
		w.engines[e.Name] = &engine{Report: rollout.Report{Reachable: true, Version: "v0"}, checks: checks}
	}
	return w
}

// look lets a keeper decide on fresh reports; its orders wait to be sent.
func (w *world) look(k *keeper) {
	all := map[string]rollout.Report{}
	for name, e := range w.engines {
		all[name] = e.Report
	}
	var decisions []rollout.Decision
	k.state, decisions, _ = k.state.Next(k.demand, all, w.now)
	k.queue = append(k.queue, decisions...)
}

// send sends a keeper's waiting orders. A keeper that was paused after its
// last check of the time sends them however old they are.
func (w *world) send(k *keeper, pausedAfterCheck bool) {
	for _, d := range k.queue {
		if pausedAfterCheck || !d.Expired(w.now) {
			w.engines[d.Engine.Name].take(d.Order, w)
		}
	}
	k.queue = nil
}

// take is what an engine does with an order.
func (e *engine) take(o rollout.Order, w *world) {
	if e.checks && o.Fence < e.Fence || e.Loading || !e.Reachable {
		return
	}
	if e.checks {
		e.Fence = o.Fence
	}
	if o.Version != e.Version {
		if e.Version == "v2" {
			e.undone++
		}
		e.Loading, e.pending, e.until = true, o.Version, w.now.Add(loadTime)
	}
}

// pass lets time go by.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(slice) {
		loading, ready := 0, 0
		for _, e := range w.engines {
			if e.Loading && !w.now.Before(e.until) {
				e.Loading = false
				if !w.refusing {
					e.Version = e.pending
				}
			}
			if e.Loading {
				loading++
			} else if e.Reachable {
				ready++
			}
		}
		w.most, w.fewest = max(w.most, loading), min(w.fewest, ready)
	}
}

// finish lets the new keeper alone go on until all is quiet, and returns the
// engines that do not run the new version.
func (w *world) finish() int {
	w.refusing = false
	for range 2000 {
		w.look(&w.new)
		w.send(&w.new, false)
		w.pass(slice)
	}
	behind := 0
	for _, e := range w.engines {
		if e.Version != "v2" {
			behind++
		}
	}
	return behind
}

// TestOrderFaults puts each fault on the step "order" of a rollout over 7
// engines that check fencing numbers or ignore them.
func TestOrderFaults(t *testing.T) {
	start := func(w *world) {
		w.look(&w.new)
		w.send(&w.new, false)
		w.pass(loadTime)
	}
	faults := []struct {
		name string
		run  func(w *world)
		// undone is how many engines that ignore the number fall back.
		undone int
	}{
		{"order lost", func(w *world) { w.look(&w.new); w.new.queue = nil }, 0},
		{"answer lost after effect", func(w *world) { start(w); w.new.state = rollout.State{} }, 0},
		{"order twice", func(w *world) {
			w.look(&w.new)
			queue := w.new.queue
			w.send(&w.new, false)
			w.new.queue = queue
			start(w)
		}, 0},
		{"order late", func(w *world) { w.look(&w.new); w.pass(10 * time.Second); start(w) }, 0},
		{"weight store refuses", func(w *world) { w.refusing = true; start(w); start(w); w.pass(5 * time.Second) }, 0},
		{"engine restarts with old weights", func(w *world) { start(w); w.engines[w.new.demand.Engines[0].Name].Version = "v0" }, 0},
		{"engine unreachable for a while", func(w *world) {
			e := w.engines[w.new.demand.Engines[0].Name]
			e.Reachable = false
			start(w)
			e.Reachable = true
		}, 0},
		{"keeper dies in the middle", func(w *world) { start(w); w.new = keeper{demand: w.new.demand} }, 0},
		{"old keeper paused before the check, thawed after", func(w *world) { w.look(&w.old); start(w); w.pass(5 * time.Second); w.send(&w.old, false) }, 0},
		{"old keeper paused after the check, thawed after", func(w *world) { w.look(&w.old); start(w); w.pass(5 * time.Second); w.send(&w.old, true) }, 2},
	}
	for _, f := range faults {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, checks %v", f.name, checks), func(t *testing.T) {
				w := newWorld(7, checks)
				f.run(w)
				behind, undone := w.finish(), 0
				for _, e := range w.engines {
					undone += e.undone
				}
				want := f.undone
				if checks {
					want = 0
				}
				if behind != 0 || undone != want || w.most > 2*rollout.MaxLoading || w.fewest < 3 {
					t.Fatalf("%d engines behind, %d undone, %d loading at most, %d ready at least", behind, undone, w.most, w.fewest)
				}
			})
		}
	}
}

// TestKeepersInterleaved lets two keepers with different documents look, send
// and pause in any order.
func TestKeepersInterleaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "engines")
		checks := rapid.Bool().Draw(t, "checks")
		w := newWorld(count, checks)
		stale := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			k := &w.old
			if rapid.Bool().Draw(t, "new keeper") {
				k = &w.new
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w.look(k)
			case 1:
				w.send(k, false)
			case 2:
				stale += len(k.queue)
				w.send(k, true)
			case 3:
				k.state, k.queue = rollout.State{}, nil
			case 4:
				w.refusing = !w.refusing
			case 5:
				w.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "slices")) * slice)
			}
		}
		if behind := w.finish(); behind != 0 {
			t.Fatalf("%d engines don't run the newest version", behind)
		}
		for name, e := range w.engines {
			if checks && e.undone > 0 {
				t.Fatalf("%s checks fencing numbers and was undone", name)
			}
		}
		if checks && stale == 0 && w.fewest < 1 {
			t.Fatalf("only %d of %d engines were ready", w.fewest, count)
		}
	})
}
