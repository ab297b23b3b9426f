package cmd

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/local"
)

// localCommand runs everything in one process.
type localCommand struct {
	Routers int `default:"3" help:"How many routers to run."`
	Engines int `default:"3" help:"How many stand-in engines to run."`
}

// Run starts the system, prints how to use it and waits for a signal.
func (c *localCommand) Run(ctx context.Context, o console) error {
	for _, name := range []string{"KUMQUATHOIST_PEER_SECRET", "KUMQUATHOIST_OPERATOR_SECRET"} {
		if os.Getenv(name) == "" {
			if err := os.Setenv(name, "local"); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	system, err := local.New(ctx, local.Options{Routers: c.Routers, Engines: c.Engines})
	if err != nil {
		return err
	}
	fmt.Fprintln(o.out, strings.TrimSpace(local.Greeting(system)))
	<-ctx.Done()
	system.Wait()
	return nil
}
