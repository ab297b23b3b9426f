package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/rollout"
)

// demand returns the demand for a version on a pool of engines.
func demand(engines int, version string, fence int64, checks bool) rollout.Demand {
	doc := document.Document{Models: document.Models{Models: []document.Model{{Name: "matcher", Pool: "pool", Version: version}}}}
	pool := document.Pool{Name: "pool", Kind: document.EnginePool}
	for i := range engines {
		pool.Upstreams = append(pool.Upstreams, document.Upstream{Name: fmt.Sprintf("engine-%d", i), ChecksFence: checks})
	}
	doc.Capacity.Pools = []document.Pool{pool}
	return rollout.Demands(doc, fence)[0]
}

// reports returns reachable engines that all run a version.
func reports(d rollout.Demand, version string) map[string]rollout.Report {
	all := map[string]rollout.Report{}
	for _, e := range d.Engines {
		all[e.Name] = rollout.Report{Reachable: true, Version: version}
	}
	return all
}

func TestNext(t *testing.T) {
	type change func(d *rollout.Demand, r map[string]rollout.Report)
	edit := func(i int, update func(*rollout.Report)) change {
		return func(d *rollout.Demand, r map[string]rollout.Report) {
			report := r[d.Engines[i].Name]
			update(&report)
			r[d.Engines[i].Name] = report
		}
	}
	unreachable := func(r *rollout.Report) { r.Reachable = false }
	loading := func(r *rollout.Report) { r.Loading = true }
	updated := func(r *rollout.Report) { r.Version = "v2" }
	cases := []struct {
		name    string
		engines int
		change  []change
		// want lists the indices, in load order, of the engines that get orders.
		want []int
		kind rollout.Kind
		held bool
	}{
		{"a large pool loads two at once", 9, nil, []int{0, 1}, rollout.Load, false},
		{"a small pool loads one at a time", 3, nil, []int{0}, rollout.Load, false},
		{"an engine that loads already counts", 9, []change{edit(0, loading)}, []int{1}, rollout.Load, false},
		{"engines that are done are skipped", 9, []change{edit(0, updated), edit(1, updated)}, []int{2, 3}, rollout.Load, false},
		{"unreachable engines are skipped", 9, []change{edit(0, unreachable)}, []int{1, 2}, rollout.Load, false},
		{"the last ready engine keeps serving", 1, nil, nil, "", true},
		{"the last ready engine beside one that loads", 2, []change{edit(0, loading)}, nil, "", false},
		{"the last ready engine beside an unreachable one", 2, []change{edit(0, unreachable)}, nil, "", true},
		{"the last ready engine may be interrupted", 1, []change{func(d *rollout.Demand, _ map[string]rollout.Report) { d.Interrupt = true }}, []int{0}, rollout.Load, false},
		{"a paused rollout holds loads back", 9, []change{func(d *rollout.Demand, _ map[string]rollout.Report) { d.Paused = true }}, nil, "", true},
		{"a greater fencing number means that this host is behind", 9, []change{edit(8, func(r *rollout.Report) { r.Fence = 99 })}, nil, "", true},
		{"models with different versions hold orders back", 9, []change{func(d *rollout.Demand, _ map[string]rollout.Report) { d.Conflict = "differ" }}, nil, "", true},
		{"an adapter loads without interruption", 1, []change{edit(0, updated), func(d *rollout.Demand, _ map[string]rollout.Report) { d.Adapters = []string{"a"} }}, []int{0}, rollout.LoadAdapter, false},
		{"a role comes before weights", 9, []change{func(d *rollout.Demand, _ map[string]rollout.Report) { d.Engines[0].Role = "prefill" }, edit(1, loading)}, []int{0}, rollout.SetRole, false},
		{"an engine that should leave is ordered to", 1, []change{func(d *rollout.Demand, _ map[string]rollout.Report) { d.Engines[0].Leave = true }}, []int{0}, rollout.Leave, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := demand(c.engines, "v2", 5, true)
			r := reports(d, "v1")
			for _, change := range c.change {
				change(&d, r)
			}
			now := time.Unix(0, 0)
			state, decisions, progress := rollout.State{}.Next(d, r, now)
			is.Equal(len(decisions), len(c.want))
			for i, index := range c.want {
				is.Equal(decisions[i].Engine.Name, d.Engines[index].Name)
				is.Equal(decisions[i].Order.Kind, c.kind)
				is.Equal(decisions[i].Order.Fence, int64(5))
			}
			is.Equal(progress.Held != "", c.held)
			// No order is repeated before the engines can have reported.
			_, repeated, _ := state.Next(d, r, now.Add(time.Millisecond))
			is.Equal(len(repeated), 0)
		})
	}
}

func TestConflictingModels(t *testing.T) {
	is := is.New(t)
	doc := document.Document{Capacity: document.Capacity{Pools: []document.Pool{{Name: "pool", Kind: document.EnginePool}, {Name: "idle", Kind: document.EnginePool}}}}
	doc.Models.Models = []document.Model{{Name: "a", Pool: "pool", Version: "v1"}, {Name: "b", Pool: "pool", Version: "v2"}}
	demands := rollout.Demands(doc, 1)
	is.Equal(len(demands), 1)
	is.True(demands[0].Conflict != "")
}

func TestServing(t *testing.T) {
	cases := []struct {
		name          string
		from          string
		engines       int
		before, after int
		// minNew and maxNew bound how many of 1000 requests use the new version.
		minNew, maxNew int
	}{
		{"no previous version", "", 9, 5, 4, 1000, 1000},
		{"no engine has loaded yet", "v1", 9, 9, 0, 0, 0},
		{"no engine has the previous version", "v1", 9, 0, 9, 1000, 1000},
		{"in proportion, without engines that may be loading by now", "v1", 9, 7, 2, 330, 470},
		{"all other engines may be loading by now", "v1", 9, 4, 5, 1000, 1000},
		{"a small pool", "v1", 3, 2, 1, 1000, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			count := map[string]int{"v1": c.before, "v2": c.after}
			pool := document.Pool{Upstreams: make([]document.Upstream, c.engines)}
			inForce := 0
			for i := range 1000 {
				m := document.Model{Version: "v2", From: c.from}
				if rollout.Serving(m, pool, fmt.Sprint(i), func(v string) int { return count[v] }) == "v2" {
					inForce++
				}
			}
			is.True(inForce >= c.minNew && inForce <= c.maxNew)
		})
	}
}
