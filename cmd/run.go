package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/node"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/storenode"
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
	// A signal that comes before the settings are in use must not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	logs, stopLogs := context.WithCancel(context.WithoutCancel(ctx))
	var wait conc.WaitGroup
	defer wait.Wait()
	defer stopLogs()
	event.WriteTo(logs, &wait, os.Stdout)
	event.Starting.Info("File", c.Settings)
	wait.Go(func() { c.reload(logs, hangups) })
	if s.Platform.Store != "" {
		return c.runSite(ctx, s)
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

// runSite starts the daemon on a platform with a store.
func (c *runCommand) runSite(ctx context.Context, s settings.Settings) error {
	n, err := storenode.New(context.WithoutCancel(ctx), s)
	if err != nil {
		return err
	}
	stopped := context.AfterFunc(ctx, n.Stop)
	defer stopped()
	n.Wait()
	return nil
}

// reload reads the settings again on each hangup until the context ends. A
// file that can't be used changes nothing.
func (c *runCommand) reload(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := settings.Load(c.Settings); err != nil {
			event.ReloadFailed.Error(err, "File", c.Settings)
			continue
		}
		event.Reloaded.Info("File", c.Settings)
	}
}
