package cmd

import (
	"context"
	"fmt"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/local"
)

// localCommand runs routers and stand-ins in one process.
type localCommand struct {
	Routers int    `default:"3" help:"How many routers to run."`
	Engines int    `default:"3" help:"How many stand-in engines to run."`
	Log     bool   `help:"Print the log lines of the routers."`
	Sample  string `enum:",halvorsen,hviezdna-kupola" default:"" help:"Run a sample deployment instead: halvorsen or hviezdna-kupola."`
}

// Run starts the system, prints how to use it and waits for a signal.
func (c *localCommand) Run(ctx context.Context, o console) error {
	if !c.Log {
		event.Discard()
	}
	system, err := local.New(ctx, local.Options{Routers: c.Routers, Engines: c.Engines, Sample: c.Sample})
	if err != nil {
		return err
	}
	fmt.Fprint(o.out, local.Greeting(system))
	<-ctx.Done()
	system.Wait()
	return nil
}
