package storenode

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// keptAddresses is how many times as long as told some callers keep
	// addresses.
	keptAddresses = 3
	// spread is the time for a host's leaving to reach the others.
	spread = time.Second
	// endMargin is how long before the end of the grace time a stop ends what
	// is still open.
	endMargin = 500 * time.Millisecond
	// openInterval is the time between two looks at the open requests.
	openInterval = 20 * time.Millisecond
)

// finish carries out a planned stop: the host is no longer ready and leaves
// the addresses at once, serves whoever still comes as long as callers may have
// kept its address, and ends when nothing is open or the time is over.
func (n *Site) finish(ctx context.Context) {
	defer n.cancel()
	select {
	case <-ctx.Done():
		return
	case <-n.stop:
	}
	began := clock.Now()
	event.Stopping.Info("Host", n.settings.Host.Name, "Open", n.door.Open())
	n.door.Stop()
	n.directory.Leave()
	grace := n.settings.Bounds.Grace() - endMargin
	clock.Pause(ctx, min(grace, keptAddresses*addressTTL))
	n.door.Refuse()
	clock.Pause(ctx, min(grace-keptAddresses*addressTTL, spread))
	for n.door.Open() > 0 && clock.Now().Sub(began) < grace && ctx.Err() == nil {
		clock.Pause(ctx, openInterval)
	}
	open := n.door.Open()
	left, cancel := context.WithTimeout(ctx, max(endMargin/2, grace-clock.Now().Sub(began)))
	defer cancel()
	n.door.Close(left)
	event.Stopped.Info("Host", n.settings.Host.Name, "Cut", open, "Millis", clock.Now().Sub(began).Milliseconds())
}
