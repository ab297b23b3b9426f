package experiment

import (
	"fmt"
	"io"
	"time"
)

const (
	// capacityShare is the on-time share at which a pool counts as at its
	// capacity without admission.
	capacityShare = 0.95
	// capacitySteps is how many halvings find the capacity.
	capacitySteps = 7
	// capacityLeast and capacityMost bound the search, as scales of the rate.
	capacityLeast, capacityMost = 0.5, 8.0
)

// capacity returns the greatest scale of the rate at which most requests end
// in time without admission.
func (o Options) capacity(m Model, s Scenario) float64 {
	least, most := capacityLeast, capacityMost
	for range capacitySteps {
		o.Scale = (least + most) / 2
		runs := o.measure(m, []Policy{Chosen(m, o.Profile.WasteWeight)}, s)[0]
		if SpreadOf(runs, func(r Summary) float64 { return r.OnTime }).Mean >= capacityShare {
			least = o.Scale
		} else {
			most = o.Scale
		}
	}
	return least
}

// Pressure writes the table of admission below and above the capacity.
func Pressure(w io.Writer, o Options) {
	m, s := DefaultModel(), DefaultScenario()
	s.Span, s.To = 40*time.Second, 40*time.Second
	capacity := o.capacity(m, s)
	fmt.Fprintf(w, "capacity: %.1f requests/s\n\n", capacity*o.Profile.Rate)
	t := newTable(w, "load", "admission", "on time %", "goodput /s (least-most)", "worst account %", "worst small account %", "refused %", "p95 ms", "p99 ms")
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		o.Scale = capacity * load
		for _, on := range []bool{false, true} {
			s.Admission = on
			runs := o.measure(m, []Policy{Chosen(m, o.Profile.WasteWeight)}, s)[0]
			goodput := SpreadOf(runs, func(r Summary) float64 { return r.Goodput })
			t.cells(fmt.Sprintf("%.1f", load), map[bool]string{true: "yes", false: "no"}[on],
				percent(runs, func(r Summary) float64 { return r.OnTime }),
				fmt.Sprintf("%.1f (%.1f-%.1f)", goodput.Mean, goodput.Least, goodput.Most),
				percent(runs, func(r Summary) float64 { return r.WorstAccount }),
				percent(runs, func(r Summary) float64 { return r.SmallAccounts }),
				percent(runs, func(r Summary) float64 { return r.Refused }),
				number(runs, func(r Summary) float64 { return r.P95 }),
				number(runs, func(r Summary) float64 { return r.P99 }))
		}
	}
	t.flush()
}
