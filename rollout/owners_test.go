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

// engine is a simulated engine.
type engine struct {
	rollout.Report

	checksFence bool
	pending     string
	loadedAt    time.Time
	// downgrades counts loads of the old version after the new one.
	downgrades int
}

// owner is a host that assumes it owns the pool.
type owner struct {
	demand rollout.Demand
	state  rollout.State
	queue  []rollout.Decision
}

// poolModel simulates a pool with an old owner, whose document is outdated, and
// a new one.
type poolModel struct {
	now     time.Time
	engines map[string]*engine
	old     owner
	new     owner
	// rejectsLoads makes the weight store reject every load.
	rejectsLoads bool
	maxLoading   int
	minReady     int
}

func newPoolModel(count int, checks bool) *poolModel {
	m := &poolModel{now: time.Unix(0, 0), engines: map[string]*engine{}, minReady: count}
	m.old.demand, m.new.demand = demand(count, "v1", 1, checks), demand(count, "v2", 2, checks)
	for _, e := range m.old.demand.Engines {
		m.engines[e.Name] = &engine{Report: rollout.Report{Reachable: true, Version: "v0"}, checksFence: checks}
	}
	return m
}

// decide lets an owner decide on current reports and queues its orders.
func (m *poolModel) decide(o *owner) {
	all := map[string]rollout.Report{}
	for name, e := range m.engines {
		all[name] = e.Report
	}
	var decisions []rollout.Decision
	o.state, decisions, _ = o.state.Next(o.demand, all, m.now)
	o.queue = append(o.queue, decisions...)
}

// send sends an owner's queued orders. An owner that was paused after its last
// check of the time sends them however old they are.
func (m *poolModel) send(o *owner, pausedAfterCheck bool) {
	for _, d := range o.queue {
		if pausedAfterCheck || !d.Expired(m.now) {
			m.engines[d.Engine.Name].receive(d.Order, m)
		}
	}
	o.queue = nil
}

// receive handles an order at the engine.
func (e *engine) receive(o rollout.Order, m *poolModel) {
	if e.checksFence && o.Fence < e.Fence || e.Loading || !e.Reachable {
		return
	}
	if e.checksFence {
		e.Fence = o.Fence
	}
	if o.Version != e.Version {
		if e.Version == "v2" {
			e.downgrades++
		}
		e.Loading, e.pending, e.loadedAt = true, o.Version, m.now.Add(loadTime)
	}
}

// advance simulates the pool for a duration.
func (m *poolModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(slice) {
		loading, ready := 0, 0
		for _, e := range m.engines {
			if e.Loading && !m.now.Before(e.loadedAt) {
				e.Loading = false
				if !m.rejectsLoads {
					e.Version = e.pending
				}
			}
			if e.Loading {
				loading++
			} else if e.Reachable {
				ready++
			}
		}
		m.maxLoading, m.minReady = max(m.maxLoading, loading), min(m.minReady, ready)
	}
}

// finish lets only the new owner continue until nothing changes any more, and
// returns the number of engines that do not run the new version.
func (m *poolModel) finish() int {
	m.rejectsLoads = false
	for range 2000 {
		m.decide(&m.new)
		m.send(&m.new, false)
		m.advance(slice)
	}
	behind := 0
	for _, e := range m.engines {
		if e.Version != "v2" {
			behind++
		}
	}
	return behind
}

// TestOrderFaults injects each fault into the sending of orders to 7 engines
// that check or ignore fencing numbers.
func TestOrderFaults(t *testing.T) {
	start := func(m *poolModel) {
		m.decide(&m.new)
		m.send(&m.new, false)
		m.advance(loadTime)
	}
	faults := []struct {
		name string
		run  func(m *poolModel)
		// downgrades is how many engines that ignore the number load the old
		// version again.
		downgrades int
	}{
		{"order lost", func(m *poolModel) { m.decide(&m.new); m.new.queue = nil }, 0},
		{"answer lost after effect", func(m *poolModel) { start(m); m.new.state = rollout.State{} }, 0},
		{"order sent twice", func(m *poolModel) {
			m.decide(&m.new)
			queue := m.new.queue
			m.send(&m.new, false)
			m.new.queue = queue
			start(m)
		}, 0},
		{"order sent late", func(m *poolModel) { m.decide(&m.new); m.advance(10 * time.Second); start(m) }, 0},
		{"weight store rejects loads", func(m *poolModel) { m.rejectsLoads = true; start(m); start(m); m.advance(5 * time.Second) }, 0},
		{"engine restarts with old weights", func(m *poolModel) { start(m); m.engines[m.new.demand.Engines[0].Name].Version = "v0" }, 0},
		{"engine unreachable for a while", func(m *poolModel) {
			e := m.engines[m.new.demand.Engines[0].Name]
			e.Reachable = false
			start(m)
			e.Reachable = true
		}, 0},
		{"owner crashes during the rollout", func(m *poolModel) { start(m); m.new = owner{demand: m.new.demand} }, 0},
		{"old owner paused before the check, resumed later", func(m *poolModel) { m.decide(&m.old); start(m); m.advance(5 * time.Second); m.send(&m.old, false) }, 0},
		{"old owner paused after the check, resumed later", func(m *poolModel) { m.decide(&m.old); start(m); m.advance(5 * time.Second); m.send(&m.old, true) }, 2},
	}
	for _, f := range faults {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, checks %v", f.name, checks), func(t *testing.T) {
				m := newPoolModel(7, checks)
				f.run(m)
				behind, downgrades := m.finish(), 0
				for _, e := range m.engines {
					downgrades += e.downgrades
				}
				want := f.downgrades
				if checks {
					want = 0
				}
				if behind != 0 || downgrades != want || m.maxLoading > 2*rollout.MaxLoading || m.minReady < 3 {
					t.Fatalf("%d engines behind, %d downgrades, at most %d loading, at least %d ready", behind, downgrades, m.maxLoading, m.minReady)
				}
			})
		}
	}
}

// TestOwnersInterleaved lets two owners with different documents decide, send
// and pause in any order.
func TestOwnersInterleaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 8).Draw(t, "engines")
		checks := rapid.Bool().Draw(t, "checks")
		m := newPoolModel(count, checks)
		stale := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			o := &m.old
			if rapid.Bool().Draw(t, "new owner") {
				o = &m.new
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				m.decide(o)
			case 1:
				m.send(o, false)
			case 2:
				stale += len(o.queue)
				m.send(o, true)
			case 3:
				o.state, o.queue = rollout.State{}, nil
			case 4:
				m.rejectsLoads = !m.rejectsLoads
			case 5:
				m.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "slices")) * slice)
			}
		}
		if behind := m.finish(); behind != 0 {
			t.Fatalf("%d engines don't run the newest version", behind)
		}
		for name, e := range m.engines {
			if checks && e.downgrades > 0 {
				t.Fatalf("%s checks fencing numbers but loaded the old version again", name)
			}
		}
		if checks && stale == 0 && m.minReady < 1 {
			t.Fatalf("only %d of %d engines were ready", m.minReady, count)
		}
	})
}
