package cmd

import (
	"context"

	"github.com/kumquathoist/kumquathoist/node"
	"github.com/kumquathoist/kumquathoist/settings"
)

// runCommand runs the daemon.
type runCommand struct {
	Settings string `required:"" type:"existingfile" help:"The settings file (YAML)."`
}

// Help tells where the daemon's secrets come from.
func (runCommand) Help() string {
	return "The settings say where the host stands, where it listens, where the platform's log and host list are, and where the secrets are read from. SIGTERM or SIGINT begins a planned stop."
}

// Run starts the daemon and carries out a planned stop on the first signal.
func (c *runCommand) Run(ctx context.Context) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	n, err := node.New(context.WithoutCancel(ctx), s)
	if err != nil {
		return err
	}
	stopped := context.AfterFunc(ctx, n.Stop)
	defer stopped()
	n.Wait()
	return nil
}
