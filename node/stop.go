package node

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// leaveSpread is the time for a host's leaving to reach the address
	// answers of the others.
	leaveSpread = time.Second
	// endAllowance bounds the wait for streams to send their last event.
	endAllowance = 3 * time.Second
	// openInterval is the time between two looks at the open requests.
	openInterval = 10 * time.Millisecond
)

// stopper ends the requests that outlast a planned stop.
type stopper interface {
	// Stop ends each running request with an explicit failure.
	Stop()
}

// finish carries out a planned stop: the host leaves the address answers,
// serves until no kept answer names it, waits for its streams, and ends those
// that are longer with an event that tells how to go on at another host.
func (n *Node) finish(ctx context.Context) {
	defer n.cancel()
	defer close(n.stopped)
	select {
	case <-ctx.Done():
		return
	case <-n.stop:
	}
	event.Stopping.Info("Host", n.settings.Host.Name, "Open", n.gateway.OpenRequests())
	n.gateway.MarkStopping()
	n.directory.Leave()
	clock.Pause(ctx, n.settings.Stop.AddressTTL()+leaveSpread)
	n.awaitNoneOpen(ctx, n.settings.Stop.StreamAllowance())
	handed := n.gateway.OpenRequests()
	n.runner.Stop()
	n.awaitNoneOpen(ctx, endAllowance)
	event.Stopped.Info("Host", n.settings.Host.Name, "HandedOver", handed, "Cut", n.gateway.OpenRequests())
}

// awaitNoneOpen returns when no request is open, or after a time.
func (n *Node) awaitNoneOpen(ctx context.Context, most time.Duration) {
	deadline := time.Now().Add(most)
	for n.gateway.OpenRequests() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		clock.Pause(ctx, openInterval)
	}
}
