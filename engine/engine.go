// Package engine tracks the engines of every pool and chooses an engine for
// each request.
//
// Each engine is owned by one host, which every host computes from the same
// host list. Only the owner polls the engine's load and cache events. The
// other hosts query the owners of the few engines that a request may be sent
// to, and choose without their state if they don't reply in time.
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
	// pollInterval is the time between two polls of an engine.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one round of polls.
	pollTimeout = time.Second
	// reportLag is the assumed age of an engine's report when it arrives.
	reportLag = 500 * time.Millisecond
)

// reporter fetches the load and cache events of engines.
type reporter interface {
	Events(ctx context.Context, address string, after uint64) (upstream.CacheReport, error)
}

// peerQuerier queries other hosts for the state of the engines that they own.
type peerQuerier interface {
	Look(ctx context.Context, address string, r *peerpb.LookRequest) (*peerpb.LookReply, error)
}

// Options configures a tracker.
type Options struct {
	// Host is the name of this host.
	Host string
	// Reporter fetches engine reports.
	Reporter reporter
	// PeerQuerier queries the owners of engines.
	PeerQuerier peerQuerier
	// Document returns the current configuration.
	Document func() document.Document
	// Entries returns the live entry hosts.
	Entries func() []registry.Host
	// Leaving reports whether an engine gets no new requests.
	Leaving func(engine string) bool
	Metrics tally.Scope
}

// Status is the state of one engine as known to this host.
type Status struct {
	upstream.Load

	// Reachable reports whether the last poll succeeded.
	Reachable bool
	// Known reports whether this host owns the engine or has a reply from its
	// owner.
	Known bool
	// Sent is the number of requests in flight from this host.
	Sent int
}

// Tracker tracks the state of engines.
type Tracker struct {
	Options

	startTime time.Time
	// mu guards the fields below. It is never held during a remote call.
	mu sync.Mutex
	// owned holds the engines that this host owns.
	owned map[string]*ownedEngine
	// remoteStates caches the states that owners replied with.
	remoteStates map[string]engineState
	// avoidUntil is the time until which a failed engine gets no new requests.
	avoidUntil map[string]time.Duration
	// incarnations holds the last known incarnation of each engine, in the
	// engine's own notation.
	incarnations map[string]string
	inFlight     map[string]int
	rings        map[string]pool
	history      *routing.SendHistory
	demand       *routing.Demand
	requestCount uint64
	// hosts is the host list as last read, hostNames holds its names, and
	// owners caches the owners computed from it.
	hosts     []registry.Host
	hostNames []string
	owners    map[string]registry.Host
}

// NewTracker returns a tracker that polls the engines that this host owns until
// the context ends.
func NewTracker(ctx context.Context, wait *conc.WaitGroup, o Options) *Tracker {
	t := &Tracker{
		Options: o, startTime: time.Now(),
		owned: map[string]*ownedEngine{}, remoteStates: map[string]engineState{}, avoidUntil: map[string]time.Duration{},
		incarnations: map[string]string{}, inFlight: map[string]int{}, rings: map[string]pool{}, history: routing.NewSendHistory(), demand: routing.NewDemand(1),
	}
	wait.Go(func() {
		tick := func(ctx context.Context) {
			t.readHosts()
			t.poll(ctx)
		}
		tick(ctx)
		clock.Every(ctx, pollInterval, tick)
	})
	return t
}

// now returns the time since the tracker's start on the monotonic clock.
func (t *Tracker) now() time.Duration { return time.Since(t.startTime) }

// owner returns the host that owns an engine. Hosts with different host lists
// may compute different owners: then two hosts poll the engine, and each host
// queries the owner that it computed. The result is cached until the host list
// is read again.
func (t *Tracker) owner(engine string) (registry.Host, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if host, ok := t.owners[engine]; ok {
		return host, true
	}
	owner := placement.Owner(engine, t.hostNames)
	for _, h := range t.hosts {
		if h.Name == owner {
			t.owners[engine] = h
			return h, true
		}
	}
	return registry.Host{}, false
}

// readHosts reads the host list and clears the cached owners.
func (t *Tracker) readHosts() {
	hosts := t.Entries()
	names := make([]string, len(hosts))
	for i, h := range hosts {
		names[i] = h.Name
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts, t.hostNames = hosts, names
	t.owners = map[string]registry.Host{}
	t.demand.SetHosts(len(hosts))
}

// Owns reports whether this host owns an engine.
func (t *Tracker) Owns(engine string) bool {
	owner, ok := t.owner(engine)
	return ok && owner.Name == t.Host
}

// Status returns the state of an engine. It queries the engine's owner unless
// this host owns the engine or has a recent reply.
func (t *Tracker) Status(name string) Status {
	t.refreshAll(queryTimeout, []string{name})
	return t.status(name)
}

// Refresh queries the owners of the engines whose state is missing or stale, so
// that later calls of Status need no query.
func (t *Tracker) Refresh(names []string) { t.refreshAll(statusTimeout, names) }

// refreshAll queries the owners of all named engines within the timeout.
func (t *Tracker) refreshAll(timeout time.Duration, names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	t.refresh(ctx, names, nil, len(names))
}

// status returns the known state of an engine without a query.
func (t *Tracker) status(name string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateLocked(name, nil)
	return Status{
		Load: upstream.Load{
			Name: name, Incarnation: s.incarnation, Version: s.version,
			Running: s.report.Running, Queued: s.report.Queued, Leaving: s.leaving, Loading: s.loading,
			Fence: s.fence, Role: s.role, Adapters: s.adapters,
		},
		Reachable: s.reachable, Known: s.known, Sent: t.inFlight[name],
	}
}
