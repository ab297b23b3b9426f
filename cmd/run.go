package cmd

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/node"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/storenode"
)

// runCommand runs the daemon.
type runCommand struct {
	Settings string `required:"" type:"existingfile" help:"The settings file (YAML)."`
}

// Help explains the settings file and the signals.
func (runCommand) Help() string {
	return "The settings hold the host's location, the addresses it listens on, the addresses of the platform's log and host list, and the sources of the secrets. SIGTERM or SIGINT begins a planned stop."
}

// Run starts the daemon and carries out a planned stop on the first signal.
func (c *runCommand) Run(ctx context.Context) error {
	// A SIGHUP that arrives before the settings are loaded must not end the process.
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
		return c.runStoreNode(ctx, s)
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

// runStoreNode runs the daemon on a platform with a store.
func (c *runCommand) runStoreNode(ctx context.Context, s settings.Settings) error {
	var requested atomic.Int64
	recorded := context.AfterFunc(ctx, func() { requested.CompareAndSwap(0, int64(clock.Now())) })
	defer recorded()
	n, err := storenode.New(context.WithoutCancel(ctx), s)
	if err != nil {
		return err
	}
	stopped := context.AfterFunc(ctx, func() {
		requested.CompareAndSwap(0, int64(clock.Now()))
		n.StopSince(clock.Instant(requested.Load()))
	})
	defer stopped()
	n.Wait()
	return nil
}

// reload reads and checks the settings file on each SIGHUP until the context ends
// and logs the result. The daemon continues with the settings that it started
// with.
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
