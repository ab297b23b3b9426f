package experiment

import (
	"fmt"
	"io"
	"time"
)

const (
	// capacityOnTime is the on-time share at which a pool without admission
	// counts as at its capacity.
	capacityOnTime = 0.95
	// capacitySteps is the number of bisections in the search for the capacity.
	capacitySteps = 7
	// minScale and maxScale bound the search, as multiples of the rate.
	minScale, maxScale = 0.5, 8.0
)

// capacity returns the greatest multiple of the rate at which the on-time share
// without admission is at least capacityOnTime.
func (o Options) capacity(m Model, s Scenario) float64 {
	low, high := minScale, maxScale
	for range capacitySteps {
		o.Scale = (low + high) / 2
		runs := o.measure(m, []Policy{ChosenPolicy(m, o.Profile.WasteWeight)}, s)[0]
		if SpreadOf(runs, func(r Summary) float64 { return r.OnTime }).Mean >= capacityOnTime {
			low = o.Scale
		} else {
			high = o.Scale
		}
	}
	return low
}

// AdmissionTable writes the table of admission below and above the capacity.
func AdmissionTable(w io.Writer, o Options) {
	m, s := DefaultModel(), DefaultScenario()
	s.Span, s.To = 40*time.Second, 40*time.Second
	capacity := o.capacity(m, s)
	fmt.Fprintf(w, "capacity: %.1f requests/s\n\n", capacity*o.Profile.Rate)
	t := newTable(w, "load", "admission", "on time %", "goodput /s (least-most)", "worst account %", "worst small account %", "refused %", "p95 ms", "p99 ms")
	for _, load := range []float64{0.5, 0.9, 1.2, 2} {
		o.Scale = capacity * load
		for _, enabled := range []bool{false, true} {
			s.Admission = enabled
			runs := o.measure(m, []Policy{ChosenPolicy(m, o.Profile.WasteWeight)}, s)[0]
			goodput := SpreadOf(runs, func(r Summary) float64 { return r.Goodput })
			t.cells(fmt.Sprintf("%.1f", load), map[bool]string{true: "yes", false: "no"}[enabled],
				percent(runs, func(r Summary) float64 { return r.OnTime }),
				fmt.Sprintf("%.1f (%.1f-%.1f)", goodput.Mean, goodput.Min, goodput.Max),
				percent(runs, func(r Summary) float64 { return r.WorstAccount }),
				percent(runs, func(r Summary) float64 { return r.SmallAccounts }),
				percent(runs, func(r Summary) float64 { return r.Refused }),
				integer(runs, func(r Summary) float64 { return r.P95 }),
				integer(runs, func(r Summary) float64 { return r.P99 }))
		}
	}
	t.flush()
}
