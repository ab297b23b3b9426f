package main

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/experiment"
	"github.com/kumquathoist/kumquathoist/workload"
)

// experimentCommand reproduces the tables of docs/MEASUREMENTS.md.
type experimentCommand struct {
	Table string  `arg:"" enum:"steady,shift,restart,crash,join,belief,weights,admission,curve" help:"Which table: steady, shift, restart, crash, join, belief, weights, admission or curve."`
	User  string  `default:"halvorsen" enum:"halvorsen,kupola" help:"Whose arrivals: halvorsen or kupola."`
	Seed  uint64  `default:"1" help:"The first seed."`
	Seeds int     `default:"5" help:"How many seeds, counted up from the first."`
	Scale float64 `default:"1" help:"Multiplies the rate of the arrivals."`
	Out   string  `default:"docs/waste-weight.png" help:"Where the curve is written."`
}

// Run writes the table to the standard output.
func (c *experimentCommand) Run() error {
	o := experiment.Options{Profile: c.profile(), Scale: c.Scale}
	for i := range c.Seeds {
		o.Seeds = append(o.Seeds, c.Seed+uint64(i))
	}
	fmt.Printf("%s, %s, seeds %d to %d, scale %g\n\n", o.Profile.Name, c.Table, c.Seed, c.Seed+uint64(c.Seeds)-1, c.Scale)
	start := time.Now()
	defer func() { fmt.Fprintf(os.Stderr, "took %s\n", time.Since(start).Round(time.Millisecond)) }()
	switch c.Table {
	case "belief":
		experiment.CacheEventTable(os.Stdout, o)
	case "weights":
		experiment.WasteWeightTable(os.Stdout, experiment.SweepWasteWeight(o))
	case "admission":
		experiment.AdmissionTable(os.Stdout, o)
	case "curve":
		return c.curve(o)
	default:
		scenario, o := experiment.NamedScenario(c.Table, o)
		experiment.PolicyTable(os.Stdout, o, scenario)
	}
	return nil
}

// curve draws the trade-off of both users.
func (c *experimentCommand) curve(o experiment.Options) error {
	var curves []experiment.Curve
	for _, p := range []workload.Profile{workload.Halvorsen(), workload.HviezdnaKupola()} {
		o.Profile = p
		curves = append(curves, experiment.Curve{Name: p.Name, Points: experiment.SweepWasteWeight(o)})
	}
	return trace.Wrap(experiment.WriteCurves(c.Out, curves))
}

func (c *experimentCommand) profile() workload.Profile {
	if c.User == "kupola" {
		return workload.HviezdnaKupola()
	}
	return workload.Halvorsen()
}
