package experiment

import (
	"github.com/kumquathoist/kumquathoist/routing"
)

// Policies returns the compared policies; the oracle is last.
func Policies(m Model, weight float64) []Policy {
	cost := routing.Cost{Speed: m.Speed, WasteWeight: weight}
	allEngines := cost
	allEngines.AllEngines = true
	base := []Policy{
		{Name: "round robin", Policy: routing.RoundRobin{}},
		{Name: "least loaded", Policy: routing.LeastLoaded{}},
		{Name: "affinity", Policy: routing.Affinity{}},
		{Name: "affinity by level", Policy: routing.Affinity{Nested: true}},
		{Name: "index", Policy: routing.Index{}},
		{Name: "index with affinity", Policy: routing.Index{Fallback: true}},
		{Name: "cost", Policy: cost, UsesReportedReuse: true},

		{Name: "oracle", Policy: allEngines, Oracle: true},
	}
	all := make([]Policy, 0, 2*len(base))
	for _, p := range base {
		withCopies := p
		withCopies.Copies, withCopies.Name = true, p.Name+" + copies"
		if p.UsesReportedReuse {
			withoutImport := withCopies
			withoutImport.NoImport, withoutImport.Name = true, p.Name+" + copies, no import"
			all = append(all, p, withoutImport, withCopies)
			continue
		}
		all = append(all, p, withCopies)
	}
	return all
}

// ChosenPolicy returns the policy that won the comparison.
func ChosenPolicy(m Model, weight float64) Policy {
	all := Policies(m, weight)
	return all[len(all)-3]
}
