package experiment

import (
	"fmt"
	"io"
	"time"
)

// CacheEventTable writes the table of routing with delayed and lost cache
// events.
func CacheEventTable(w io.Writer, o Options) {
	m, s := DefaultModel(), DefaultScenario()
	policy := ChosenPolicy(m, o.Profile.WasteWeight)
	t := newTable(w, "loss %", "lag s", "hit %", "false hits %", "missed hits %", "waste %", "p95 ms", "p99 ms")
	for _, loss := range []float64{0, 0.01, 0.1, 0.5} {
		for _, lag := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
			s.EventLoss, s.EventLag = loss, lag
			runs := o.measure(m, []Policy{policy}, s)[0]
			t.cells(fmt.Sprintf("%.0f", 100*loss), fmt.Sprintf("%.1f", lag.Seconds()),
				percent(runs, func(r Summary) float64 { return r.Hit }),
				percent(runs, func(r Summary) float64 { return r.FalseHits }),
				percent(runs, func(r Summary) float64 { return r.MissedHits }),
				percent(runs, func(r Summary) float64 { return r.Waste }),
				integer(runs, func(r Summary) float64 { return r.P95 }),
				integer(runs, func(r Summary) float64 { return r.P99 }))
		}
	}
	t.flush()
}

// weightSteps is the number of steps between WasteWeight 0 and 1.
const weightSteps = 8

// Point holds the runs with one setting of WasteWeight.
type Point struct {
	Weight float64
	Runs   []Summary
}

// SweepWasteWeight runs the chosen policy with WasteWeight from 0 to 1.
func SweepWasteWeight(o Options) []Point {
	m := DefaultModel()
	var policies []Policy
	var points []Point
	for i := range weightSteps + 1 {
		weight := float64(i) / weightSteps
		policies = append(policies, ChosenPolicy(m, weight))
		points = append(points, Point{Weight: weight})
	}
	for i, runs := range o.measure(m, policies, DefaultScenario()) {
		points[i].Runs = runs
	}
	return points
}

// WasteWeightTable writes the table of a sweep over WasteWeight.
func WasteWeightTable(w io.Writer, points []Point) {
	t := newTable(w, "WasteWeight", "hit %", "prefilled %", "waste %", "p50 ms", "p95 ms", "p99 ms")
	for _, p := range points {
		t.cells(fmt.Sprintf("%.3f", p.Weight),
			percent(p.Runs, func(r Summary) float64 { return r.Hit }),
			percent(p.Runs, func(r Summary) float64 { return 1 - r.Hit - r.Imported }),
			fmt.Sprintf("%.2f", 100*SpreadOf(p.Runs, func(r Summary) float64 { return r.Waste }).Mean),
			integer(p.Runs, func(r Summary) float64 { return r.P50 }),
			integer(p.Runs, func(r Summary) float64 { return r.P95 }),
			integer(p.Runs, func(r Summary) float64 { return r.P99 }))
	}
	t.flush()
}
