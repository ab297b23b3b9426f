package experiment

import (
	"github.com/kumquathoist/kumquathoist/routing"
)

// Policies returns the policies of the comparison, the oracle last.
func Policies(m Model, weight float64) []Policy {
	cost := routing.Cost{Speed: m.Speed, WasteWeight: weight}
	every := cost
	every.AllEngines = true
	base := []Policy{
		{Name: "round robin", Policy: routing.RoundRobin{}},
		{Name: "least loaded", Policy: routing.LeastLoaded{}},
		{Name: "affinity", Policy: routing.Affinity{}},
		{Name: "affinity by level", Policy: routing.Affinity{Nested: true}},
		{Name: "index", Policy: routing.Index{}},
		{Name: "index with affinity", Policy: routing.Index{Fallback: true}},
		{Name: "cost", Policy: cost, Corrects: true},

		{Name: "oracle", Policy: every, Oracle: true},
	}
	all := make([]Policy, 0, 2*len(base))
	for _, p := range base {
		copied := p
		copied.Copies, copied.Name = true, p.Name+" + copies"
		if p.Corrects {
			daemon := copied
			daemon.NoImport, daemon.Name = true, p.Name+" + copies, no import"
			all = append(all, p, daemon, copied)
			continue
		}
		all = append(all, p, copied)
	}
	return all
}

// Chosen returns the policy that won the comparison.
func Chosen(m Model, weight float64) Policy {
	all := Policies(m, weight)
	return all[len(all)-3]
}
