package storenode

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/plannedstop"
)

const (
	// addressTTLFactor is the factor by which some callers exceed the TTL when
	// they cache addresses.
	addressTTLFactor = 3
	// leaveSpread is the time until the other hosts have learned that a host
	// leaves.
	leaveSpread = time.Second
	// graceMargin is how long before the end of the grace time a stop closes
	// open requests.
	graceMargin = 500 * time.Millisecond
	// orderTime is how long before the end a stopping host sends no more orders.
	orderTime = time.Second
	// openPollInterval is the interval between checks for open requests.
	openPollInterval = 20 * time.Millisecond
)

// shutDown carries out a planned stop: the host immediately becomes not
// ready and is no longer resolved, serves new requests as long as callers may have
// cached its address, and ends when no request is open or the grace time is over.
func (n *Node) shutDown(ctx context.Context, scope tally.Scope) {
	defer n.cancel()
	select {
	case <-ctx.Done():
		return
	case <-n.stop:
	}
	stopTime := clock.Now()
	event.Stopping.Info("Host", n.settings.Host.Name, "Open", n.server.OpenRequests(), "LateMillis", stopTime.Sub(n.stopRequested).Milliseconds())
	grace := n.settings.Bounds.Grace() - graceMargin
	n.server.Stop(stopTime.Add(grace))
	n.directory.Leave()
	lastOrder := time.AfterFunc(max(0, grace-orderTime), func() { n.ending.Store(true) })
	defer lastOrder.Stop()
	clock.Pause(ctx, min(grace, addressTTLFactor*addressTTL))
	n.server.Refuse()
	clock.Pause(ctx, min(grace-addressTTLFactor*addressTTL, leaveSpread))
	for n.server.OpenRequests() > 0 && clock.Now().Sub(stopTime) < grace && ctx.Err() == nil {
		clock.Pause(ctx, openPollInterval)
	}
	n.ending.Store(true)
	closeCtx, cancel := context.WithTimeout(ctx, max(graceMargin/2, grace-clock.Now().Sub(stopTime)))
	defer cancel()
	n.server.Close(closeCtx)
	n.recordStopped(scope)
}

// recordStopped logs and counts the end of a planned stop, and the requests that it cuts.
func (n *Node) recordStopped(scope tally.Scope) {
	counts, cut, byState := n.server.RecordCut(n.stopRequested), 0, []any{}
	for _, s := range plannedstop.States() {
		cut += counts[s]
		byState = append(byState, s.String(), counts[s])
		scope.Tagged(map[string]string{"state": s.String()}).Counter("requests_cut").Inc(int64(counts[s]))
	}
	now := clock.Now()
	event.Stopped.Info(append([]any{"Host", n.settings.Host.Name, "Cut", cut, "Millis", now.Sub(n.stopRequested).Milliseconds()}, byState...)...)
}
