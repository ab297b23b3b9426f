package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/soak"
)

// soakCommand runs the soak test with consecutive seeds.
type soakCommand struct {
	Program  string        `required:"" type:"existingfile" help:"The daemon's program; build it with -race to find races too."`
	Older    string        `type:"existingfile" help:"An earlier program: hosts begin with it and are replaced one after the other; the other way round with an odd seed."`
	Seed     uint64        `default:"0" help:"The first seed; 0 takes one from the clock."`
	Seeds    int           `default:"1" help:"How many seeds to run, each one more than the last."`
	Span     time.Duration `default:"20s" help:"How long callers send requests."`
	Hosts    int           `default:"4" help:"How many hosts, each a process."`
	Engines  int           `default:"5" help:"How many engines."`
	Services int           `default:"2" help:"How many plain services."`
	Callers  int           `default:"16" help:"How many callers at a time."`
	// EngineProcesses are needed for engines that signals silence.
	EngineProcesses bool   `help:"Run engines and plain services as processes of their own, which fall silent while the configuration changes."`
	Stops           bool   `help:"Stop hosts in series instead, beside engines that refuse, fall silent and load new weights; implies engine-processes."`
	RefusalCopies   bool   `default:"true" negatable:"" help:"Have upstreams send copies of their refusals, too."`
	Keep            string `help:"A folder for the hosts' output of runs that broke a promise."`
}

// Run runs the seeds and returns an error if a promise was broken.
func (c *soakCommand) Run(ctx context.Context) error {
	if c.Seed == 0 {
		c.Seed = uint64(time.Now().Unix())
	}
	engineProgram := ""
	if c.EngineProcesses || c.Stops {
		var err error
		if engineProgram, err = os.Executable(); err != nil {
			return trace.Wrap(err, "looking for the engines' program")
		}
	}
	wrong := 0
	for i := range c.Seeds {
		o := soak.Options{Program: c.Program, Older: c.Older, Seed: c.Seed + uint64(i), Span: c.Span, Hosts: c.Hosts, Engines: c.Engines, Services: c.Services, Callers: c.Callers, EngineProgram: engineProgram, Stops: c.Stops, RefusalCopies: c.RefusalCopies}
		if c.Keep != "" {
			o.OutputDir = filepath.Join(c.Keep, fmt.Sprint("seed-", o.Seed))
			if err := os.MkdirAll(o.OutputDir, 0o700); err != nil {
				return trace.Wrap(err)
			}
		}
		report, err := soak.Run(ctx, o)
		if err != nil {
			return trace.Wrap(err, "seed %d", o.Seed)
		}
		fmt.Printf("seed %d: %d faults, %d calls, %d answered, %d stops, %d broken promises\n", o.Seed, report.Faults, report.Calls, report.Answered, report.Stops, len(report.Violations))
		for _, text := range report.Violations {
			fmt.Println("  " + text)
		}
		wrong += len(report.Violations)
	}
	if wrong > 0 {
		return trace.CompareFailed("%d promises were broken", wrong)
	}
	return nil
}
