package experiment

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"

	"github.com/sourcegraph/conc/pool"

	"github.com/kumquathoist/kumquathoist/workload"
)

// maxParallelRuns is the maximum number of concurrent runs.
const maxParallelRuns = 4

// Options configures the runs behind a table.
type Options struct {
	Profile workload.Profile
	// Seeds holds one seed for each run of a policy.
	Seeds []uint64
	// Scale multiplies the profile's rate.
	Scale float64
}

// measure runs every policy with every seed and returns the summaries of each
// policy.
func (o Options) measure(m Model, policies []Policy, s Scenario) [][]Summary {
	profile := o.Profile.WithRate(o.Profile.Rate * o.Scale)
	results := make([][]Summary, len(policies))
	var mu sync.Mutex
	runs := pool.New().WithMaxGoroutines(maxParallelRuns)
	for i := range policies {
		results[i] = make([]Summary, len(o.Seeds))
	}
	for j, seed := range o.Seeds {
		arrivals := profile.Generate(seed, s.Span)
		for i, p := range policies {
			runs.Go(func() {
				summary := Summarise(Run(m, p, s, profile.Engines, arrivals, seed), s.From, s.To)
				mu.Lock()
				defer mu.Unlock()
				results[i][j] = summary
			})
		}
	}
	runs.Wait()
	return results
}

// PolicyTable writes the table of all policies in one scenario.
func PolicyTable(w io.Writer, o Options, s Scenario) {
	m := DefaultModel()
	policies := Policies(m, o.Profile.WasteWeight)
	results := o.measure(m, policies, s)
	t := newTable(w, "policy", "hit %", "levels %", "imported %", "waste %", "p50 ms", "p95 ms", "p99 ms (least-most)", "on time %")
	for i, p := range policies {
		t.row(p.Name, results[i])
	}
	t.flush()
}

// table writes aligned Markdown rows.
type table struct {
	*tabwriter.Writer
}

func newTable(w io.Writer, columns ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)}
	t.cells(columns...)
	separator := make([]string, len(columns))
	for i := range separator {
		separator[i] = "---"
	}
	t.cells(separator...)
	return t
}

// cells writes one row.
func (t table) cells(cells ...string) {
	for _, c := range cells {
		fmt.Fprintf(t, "| %s\t", c)
	}
	fmt.Fprintln(t, "|")
}

// row writes the row of one policy.
func (t table) row(name string, runs []Summary) {
	level := func(i int) string {
		return fmt.Sprintf("%.0f", 100*SpreadOf(runs, func(s Summary) float64 { return s.Levels[i] }).Mean)
	}
	p99 := SpreadOf(runs, func(s Summary) float64 { return s.P99 })
	t.cells(name,
		percent(runs, func(s Summary) float64 { return s.Hit }),
		level(0)+" / "+level(1)+" / "+level(2),
		percent(runs, func(s Summary) float64 { return s.Imported }),
		percent(runs, func(s Summary) float64 { return s.Waste }),
		integer(runs, func(s Summary) float64 { return s.P50 }),
		integer(runs, func(s Summary) float64 { return s.P95 }),
		fmt.Sprintf("%.0f (%.0f-%.0f)", p99.Mean, p99.Min, p99.Max),
		percent(runs, func(s Summary) float64 { return s.OnTime }),
	)
}

func (t table) flush() { _ = t.Flush() }

func percent(runs []Summary, measure func(Summary) float64) string {
	return fmt.Sprintf("%.1f", 100*SpreadOf(runs, measure).Mean)
}

func integer(runs []Summary, measure func(Summary) float64) string {
	return fmt.Sprintf("%.0f", SpreadOf(runs, measure).Mean)
}
