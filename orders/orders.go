// Package orders sends the orders of package rollout to the engines of the
// pools that this host owns.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
	// checkInterval is the time between two checks of the pools.
	checkInterval = 300 * time.Millisecond
	// maxQueried bounds the engines of a pool that are queried at each check;
	// the reports of others may be older.
	maxQueried = 6
	// reportTimeout bounds the wait for an engine's report.
	reportTimeout = 500 * time.Millisecond
	// sendTimeout bounds the sending of one order, including the confirmation of
	// its fencing number.
	sendTimeout = time.Second
)

// engineClient queries engines and sends orders to them.
type engineClient interface {
	Load(ctx context.Context, address string) (upstream.Load, error)
	Order(ctx context.Context, address string, o rollout.Order) error
}

// statusCache holds the last known status of engines.
type statusCache interface {
	// Refresh requests new statuses for later calls of Status.
	Refresh(names []string)
	Status(name string) engine.Status
}

// hostDirectory lists the entry hosts.
type hostDirectory interface {
	Entries() []registry.Host
}

// Options configures a Sender.
type Options struct {
	// Host is the name of this host.
	Host      string
	Directory hostDirectory
	Engines   engineClient
	Statuses  statusCache
	// Demands returns the document's demand for every pool.
	Demands func() []rollout.Demand
	// ConfirmFence returns an error unless the log confirms that the fencing
	// number is that of the newest document.
	ConfirmFence func(ctx context.Context, fence int64) error
}

// Sender sends the orders for the pools that this host owns.
type Sender struct {
	Options

	// states maps the pools that this host owns to their rollout state; only
	// the sender's own goroutine uses it.
	states map[string]rollout.State
}

// New starts a sender that runs until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Sender {
	s := &Sender{Options: o, states: map[string]rollout.State{}}
	wait.Go(func() { clock.Every(ctx, checkInterval, s.sendDue) })
	return s
}

// Progress returns the progress of every pool, as known to this host.
func (s *Sender) Progress() []rollout.Progress {
	var all []rollout.Progress
	for _, d := range s.Demands() {
		all = append(all, d.Progress(s.cachedReports(d)))
	}
	return all
}

// cachedReports returns the reports that the owners of the engines last received.
func (s *Sender) cachedReports(d rollout.Demand) map[string]rollout.Report {
	names := make([]string, len(d.Engines))
	for i, e := range d.Engines {
		names[i] = e.Name
	}
	s.Statuses.Refresh(names)
	reports := map[string]rollout.Report{}
	for _, e := range d.Engines {
		status := s.Statuses.Status(e.Name)
		reports[e.Name] = toReport(status.Load, status.Reachable)
	}
	return reports
}

func toReport(l upstream.Load, reachable bool) rollout.Report {
	return rollout.Report{
		Reachable: reachable, Version: l.Version, Adapters: l.Adapters, Role: l.Role,
		Loading: l.Loading, Leaving: l.Leaving, Fence: l.Fence,
	}
}

// sendDue sends the orders that are due. It reads the time before the
// document, so that a pause at any later step makes the decisions expire.
func (s *Sender) sendDue(ctx context.Context) {
	now := time.Now()
	var hosts []string
	for _, h := range s.Directory.Entries() {
		hosts = append(hosts, h.Name)
	}
	for _, d := range s.Demands() {
		if placement.Owner("pool/"+d.Pool, hosts) != s.Host {
			delete(s.states, d.Pool)
			continue
		}
		reports := s.cachedReports(d)
		if d.Progress(reports).Waiting == 0 {
			continue
		}
		state, decisions, _ := s.states[d.Pool].Next(d, s.queryReports(ctx, d, reports), now)
		s.states[d.Pool] = state
		var wait conc.WaitGroup
		for _, decision := range decisions {
			wait.Go(func() { s.send(ctx, decision) })
		}
		wait.Wait()
	}
}

// queryReports queries the engines that are next to load, and returns their
// reports with the last known ones of the others.
func (s *Sender) queryReports(ctx context.Context, d rollout.Demand, reports map[string]rollout.Report) map[string]rollout.Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	// mu guards reports.
	var mu sync.Mutex
	var wait conc.WaitGroup
	for _, e := range d.Unfinished(reports, maxQueried) {
		wait.Go(func() {
			load, err := s.Engines.Load(ctx, e.Address)
			mu.Lock()
			defer mu.Unlock()
			reports[e.Name] = toReport(load, err == nil)
		})
	}
	wait.Wait()
	return reports
}

// send sends an order unless its decision has expired. For an engine that does
// not check the fencing number, the log must confirm the document first.
func (s *Sender) send(ctx context.Context, d rollout.Decision) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if !d.Engine.ChecksFence {
		if err := s.ConfirmFence(ctx, d.Order.Fence); err != nil {
			event.OrderDropped.Error(err, "Engine", d.Engine.Name, "Fence", d.Order.Fence)
			return
		}
	}
	if d.Expired(time.Now()) {
		event.OrderDropped.Error(trace.LimitExceeded("the decision is too old"), "Engine", d.Engine.Name, "Fence", d.Order.Fence)
		return
	}
	if err := s.Engines.Order(ctx, d.Engine.Address, d.Order); err != nil {
		event.OrderFailed.Error(err, "Engine", d.Engine.Name, "Kind", d.Order.Kind, "Fence", d.Order.Fence)
		return
	}
	event.OrderSent.Info("Engine", d.Engine.Name, "Kind", d.Order.Kind, "Version", d.Order.Version, "Fence", d.Order.Fence)
}
