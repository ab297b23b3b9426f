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
	// leaveSpread is the time until the other hosts have learned that a host
	// leaves.
	leaveSpread = time.Second
	// orderTime is how long before the end a stopping host sends no more orders.
	orderTime = time.Second
	// writeTime is how long the host waits for the last answers to be written.
	writeTime = 250 * time.Millisecond
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
	plan := plannedstop.NewPlan(n.stopRequested, n.settings.Bounds.Grace())
	event.Stopping.Info("Host", n.settings.Host.Name, "Open", n.server.OpenRequests(), "LateMillis", clock.Now().Sub(n.stopRequested).Milliseconds())
	n.plan.Store(&plan)
	n.server.Stop(plan)
	n.directory.Leave()
	n.credits.Release()
	lastOrder := time.AfterFunc(max(0, plan.Cuts.Add(-orderTime).Sub(clock.Now())), func() { n.ending.Store(true) })
	defer lastOrder.Stop()
	idle := func() bool { return !clock.Now().Before(plan.Refuses.Add(leaveSpread)) && n.server.OpenRequests() == 0 }
	n.settleUntil(ctx, plan.Cuts, idle)
	n.ending.Store(true)
	n.server.EndIdle()
	closed := func() bool { return n.server.OpenConnections() == 0 }
	n.settleUntil(ctx, max(plan.Cuts, clock.Now()).Add(writeTime), closed)
	n.recordStopped(scope)
	n.server.Cut()
}

// stopPlan returns the plan of the planned stop; zero if there is none.
func (n *Node) stopPlan() plannedstop.Plan {
	if p := n.plan.Load(); p != nil {
		return *p
	}
	return plannedstop.Plan{}
}

// settleUntil waits for a condition until an instant, and treats open requests as the
// plan says meanwhile.
func (n *Node) settleUntil(ctx context.Context, until clock.Instant, holds func() bool) {
	for !holds() && ctx.Err() == nil {
		now := clock.Now()
		if !now.Before(until) {
			return
		}
		n.server.Settle(now)
		clock.Pause(ctx, openPollInterval)
	}
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
