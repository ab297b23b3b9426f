// Package engine follows the engines of every pool and chooses among them.
//
// Each engine has one keeper among the hosts, which every host computes from
// the same host list. The keeper alone polls the engine's load and cache
// events. The other hosts ask keepers for the few engines that a request may
// be sent to, and choose without them when they don't answer in time.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/routing"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
	// pollInterval is the time between two reports of an engine.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds the wait for one report.
	pollTimeout = time.Second
	// reportLag is how old an engine's load report is when it comes.
	reportLag = 500 * time.Millisecond
)

// reporter asks engines for their load and cache events.
type reporter interface {
	Events(ctx context.Context, address string, after uint64) (upstream.CacheReport, error)
}

// asker asks other hosts for the engines that they keep.
type asker interface {
	Look(ctx context.Context, address string, r *peerpb.LookRequest) (*peerpb.LookReply, error)
}

// Options is what a tracker needs.
type Options struct {
	// Host names this host.
	Host string
	// Reporter asks engines.
	Reporter reporter
	// Asker asks keepers.
	Asker asker
	// Document returns the configuration in force.
	Document func() document.Document
	// Entries returns the live entry hosts.
	Entries func() []registry.Host
	// Leaving tells which engines get no new work.
	Leaving func(engine string) bool
	Metrics tally.Scope
}

// Status is what this host knows of one engine.
type Status struct {
	upstream.Load

	// Reachable tells that the last report came.
	Reachable bool
	// Known tells that this host keeps the engine or that its keeper answered.
	Known bool
	// Sent counts requests that this host sent and that have not ended.
	Sent int
}

// Tracker follows engines.
type Tracker struct {
	Options

	start time.Time
	// mu guards the fields below. No call is made while it is held.
	mu sync.Mutex
	// kept holds the engines that this host keeps.
	kept map[string]*kept
	// looks holds what keepers answered.
	looks map[string]look
	// avoided tells until when an engine that failed gets no new work.
	avoided map[string]time.Duration
	// incarnations holds the last known incarnation of each engine, as the
	// engine writes it.
	incarnations map[string]string
	sent         map[string]int
	rings        map[string]pool
	view         *routing.SendHistory
	heat         *routing.Demand
	turn         uint64
	// hosts is the host list as it was last read, names its names, and
	// keepers the keepers that follow from it.
	hosts   []registry.Host
	names   []string
	keepers map[string]registry.Host
}

// NewTracker follows the engines that this host keeps until the context ends.
func NewTracker(ctx context.Context, wait *conc.WaitGroup, o Options) *Tracker {
	t := &Tracker{
		Options: o, start: time.Now(),
		kept: map[string]*kept{}, looks: map[string]look{}, avoided: map[string]time.Duration{},
		incarnations: map[string]string{}, sent: map[string]int{}, rings: map[string]pool{}, view: routing.NewSendHistory(), heat: routing.NewDemand(1),
	}
	wait.Go(func() {
		look := func(ctx context.Context) {
			t.readHosts()
			t.poll(ctx)
		}
		look(ctx)
		clock.Every(ctx, pollInterval, look)
	})
	return t
}

// now returns the time since the tracker's start by the monotonic clock.
func (t *Tracker) now() time.Duration { return time.Since(t.start) }

// keeper returns the host that keeps an engine. Hosts with another view of
// the host list may answer otherwise: then two hosts poll the engine, and
// each host asks the one that it takes for the keeper. The answer is computed
// once for each reading of the host list.
func (t *Tracker) keeper(engine string) (registry.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if keeper, ok := t.keepers[engine]; ok {
		return keeper, true
	}
	owner := placement.Owner(engine, t.names)
	for _, h := range t.hosts {
		if h.Name == owner {
			t.keepers[engine] = h
			return h, true
		}
	}
	return registry.Host{}, false
}

// readHosts reads the host list.
func (t *Tracker) readHosts() {
	hosts := t.Entries()
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts, t.names = hosts, names
	t.keepers = map[string]registry.Host{}
	t.heat.SetHosts(len(hosts))
}

// Keeps tells whether this host keeps an engine.
func (t *Tracker) Keeps(engine string) bool {
	keeper, ok := t.keeper(engine)
	return ok && keeper.Name == t.Host
}

// Status returns what is known of an engine. It asks the engine's keeper
// unless this host keeps the engine or has asked lately.
func (t *Tracker) Status(name string) Status {
	t.refreshWithin(askTimeout, []string{name})
	return t.status(name)
}

// Refresh asks the keepers of engines for what is not known or too old, for
// calls of Status that follow.
func (t *Tracker) Refresh(names []string) { t.refreshWithin(statusTimeout, names) }

// refreshWithin asks every keeper of some engines.
func (t *Tracker) refreshWithin(most time.Duration, names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	t.refresh(ctx, names, nil, len(names))
}

// status returns what is known of an engine without asking.
func (t *Tracker) status(name string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lookLocked(name, nil)
	return Status{
		Load: upstream.Load{
			Name: name, Incarnation: l.incarnation, Version: l.version,
			Running: l.report.Running, Queued: l.report.Queued, Leaving: l.leaving, Loading: l.loading,
			Fence: l.fence, Role: l.role, Adapters: l.adapters,
		},
		Reachable: l.reachable, Known: l.known, Sent: t.sent[name],
	}
}
