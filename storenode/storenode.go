// Package storenode assembles the router daemon for a host of a platform whose
// configuration, upstreams and hosts are recorded in a store.
package storenode

import (
	"context"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/address"
	"github.com/kumquathoist/kumquathoist/cachefeed"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/forward"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/liveness"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peersync"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/plannedstop"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/reachability"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/reloader"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/resumption"
	"github.com/kumquathoist/kumquathoist/retrybudget"
	"github.com/kumquathoist/kumquathoist/settings"
)

const (
	// answerShare is the share of the host's memory for whole answers that are read or not
	// yet taken; caches and the cache index need the rest.
	answerShare = 0.1
	// weightsMargin is how long before the operators' limit this host stops
	// sending requests to engines with older weights, since they may queue there.
	weightsMargin = 700 * time.Millisecond
	// addressTTL is how long callers may cache addresses. Some cache them three
	// times as long, and a stopping host has to serve until then.
	addressTTL = time.Second
	// startupOrderDelay is how long a new process sends no orders to engines.
	startupOrderDelay = time.Second
	// expireInterval is the interval between removals of expired health state.
	expireInterval = time.Minute
)

// orderersRankKey is the key by which hosts are ranked for sending orders to
// engines.
const orderersRankKey = "engine orders"

// Node is a running daemon.
type Node struct {
	settings  settings.Settings
	store     *platform.Store
	directory *host.Directory
	syncer    *replica.Syncer
	// syncerPointer is the syncer for callbacks that may run before it is set.
	syncerPointer atomic.Pointer[replica.Syncer]
	// monitorPointer is the monitor of connections to upstreams, likewise.
	monitorPointer atomic.Pointer[reachability.Monitor]
	peerSync       *peersync.Syncer
	tracker        *health.Tracker
	router         *forward.Router
	reloader       *reloader.Controller
	loadReports    *loadreport.Exchanger
	credits        credits
	server         *platform.Server
	hosts          *hostList
	// upstreamDialer opens connections to upstreams, also those for requests that
	// are passed on to other hosts.
	upstreamDialer dialer
	started        clock.Instant

	wait     conc.WaitGroup
	cancel   context.CancelFunc
	stopOnce sync.Once
	stop     chan struct{}
	// stopRequested is when the stop was requested at the earliest. It is set before stop
	// is closed.
	stopRequested clock.Instant
	standstill    standstill
	// plan is that of the planned stop; nil if there is none.
	plan atomic.Pointer[plannedstop.Plan]
	// ending is set when a planned stop is about to end the process.
	ending atomic.Bool
}

// dialer opens connections.
type dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// New starts a daemon. It ends when the context ends or after a planned stop.
func New(ctx context.Context, s settings.Settings) (*Node, error) {
	return newNode(ctx, s, http1.NewDialer())
}

// newNode starts a daemon that opens connections to upstreams with a dialer.
func newNode(ctx context.Context, s settings.Settings, upstreams dialer) (*Node, error) {
	secret, err := s.Secrets.Peers.Read()
	if err != nil {
		return nil, trace.Wrap(err, "reading the peers' secret")
	}
	ctx, cancel := context.WithCancel(ctx)
	n := &Node{
		settings: s, cancel: cancel, stop: make(chan struct{}), started: clock.Now(),
		store: platform.NewStore(s.Platform.Store), tracker: health.NewTracker(), upstreamDialer: upstreams,
	}
	debug.SetMemoryLimit(s.Machine.Allotment(platform.MaxHeadBytes).RuntimeBytes)
	if err := n.start(ctx, peer.Credentials{Secret: secret}); err != nil {
		cancel()
		n.wait.Wait()
		return nil, err
	}
	return n, nil
}

// memory returns a share of the host's memory in bytes.
func (n *Node) memory(share float64) int64 {
	return int64(share * float64(n.settings.Machine.MemoryMB) * (1 << 20))
}

// start creates the components in the order of their dependencies.
func (n *Node) start(ctx context.Context, credentials peer.Credentials) error {
	scope, handler := startMetrics(ctx, &n.wait)
	peerServer, err := peer.NewServer(n.settings.Listen.Peers, credentials)
	if err != nil {
		return err
	}
	pool := peer.NewPool(credentials)
	n.startPeers(ctx, pool)
	guard := crash.NewGuard(ctx, &n.wait, crash.Options{Self: n.settings.Listen.PeersAddress(), Peers: n.peerAddresses, Sender: crash.NewPeerSender(pool), Store: n.store, Metrics: scope})
	connections := http1.NewPool(platform.Wire{}, n.upstreamDialer)
	n.wait.Go(func() { connections.Sweep(ctx) })
	monitor := n.newMonitor(ctx, connections, scope)
	answers := ingress.NewAnswers(n.memory(answerShare))
	bounds := n.settings.Bounds
	engines := platform.NewEngines(ctx, func(instance string, r call.SelfReport) { n.router.RecordStatus(instance, r, "") })
	n.router = forward.New(forward.Options{
		Limits: lateCredits{n}, Replica: n.syncer, Sender: connections, Encoder: platform.Wire{}, Guard: guard, Origins: n.newLedger(ctx, scope), Reachability: monitor, Relays: n.newRelays(ctx, credentials.Secret), Tracker: n.tracker, LoadReports: lateExchanger{n},
		Migrator: engines, Liveness: liveness.NewMonitor(ctx, &n.wait, engines), Background: &n.wait, Lifetime: ctx, Stop: n.stopPlan,
		Hosts:           func() int { return max(len(n.directory.Hosts()), len(n.settings.Platform.Seeds)) },
		Host:            n.settings.Host.Name,
		LiveHosts:       n.liveHosts,
		FailureDomain:   n.settings.Host.FailureDomain,
		RetryLimits:     retrybudget.Limits{Ratio: bounds.RepeatRatio, Window: bounds.RetryWindow(), Slack: bounds.RepeatSlack},
		OldWeightsGrace: bounds.OldWeightsGrace() - weightsMargin, Answers: answers, MaxRequestBytes: n.settings.Machine.Allotment(platform.MaxHeadBytes).Bytes, Metrics: scope,
	})
	if n.loadReports, err = loadreport.NewExchanger(ctx, &n.wait, loadreport.Options{
		Listen: n.settings.Listen.Pulses, Port: uint16(n.settings.Listen.AnnouncedPulsesPort), Host: n.settings.Host.Name, FailureDomain: n.settings.Host.FailureDomain, Peers: n.loadReportPeers,
		Loads: n.tracker.Loads, NotifyObserved: n.router.AddCachedPart, NotifyEvicted: func(s loadreport.CachedPart) { n.router.RemoveCachedPart(s) }, NotifyNotListening: n.engineNotListening, NotifyLoaded: n.engineLoaded, NotifyLeaving: n.engineLeaving, NotifyLimit: n.engineLimited,
	}); err != nil {
		return err
	}
	n.startCredits(ctx, pool, scope)
	cachefeed.Follow(ctx, &n.wait, cachefeed.Options{Client: engines, Sources: n.cacheSources, OnCached: n.partCached, OnEvicted: n.partEvicted, OnReset: n.cacheReset})
	n.reloader = reloader.New(ctx, &n.wait, reloader.Options{
		Load: func(id string) loadreport.Load {
			return n.tracker.State(id).Load.Plus(n.loadReports.RemoteLoad(loadreport.HashEngine(id)))
		},
		Self: n.settings.Host.Name, Engines: engines, Claims: n.store, Health: n.tracker, Replica: n.syncer.State,
		Active: n.mayOrder, Hosts: n.orderers, Send: n.peerSync.Tell, CacheDropped: n.router.RemoveCachedParts, Evacuate: n.router.Evacuate, Lease: bounds.Lease(), Within: bounds.OldWeightsGrace(), Expiry: bounds.OldWeightsGrace() - weightsMargin,
	})
	if err := n.registerPeerServices(peerServer, guard); err != nil {
		return err
	}
	n.wait.Go(func() {
		defer pool.Close()
		if err := peerServer.Serve(ctx); err != nil && ctx.Err() == nil {
			event.ListenerFailed.Error(err, "Address", n.settings.Listen.Peers)
		}
	})
	if n.server, err = n.newServer(ctx, credentials.Secret, answers, scope, handler); err != nil {
		return err
	}
	n.directory.Announce(n.settings.Listen.Callers, n.settings.Listen.PeersAddress())
	for _, run := range []func(context.Context){n.standstill.watch, n.announce, n.expireHealth, n.recordBounds, n.recordGroups, func(ctx context.Context) { n.shutDown(ctx, scope) }} {
		n.wait.Go(func() { run(ctx) })
	}
	n.wait.Go(func() { n.updateGauges(ctx, scope, connections) })
	n.wait.Go(func() { n.withdrawFromLeaving(ctx, connections) })
	event.Listening.Info("Host", n.settings.Host.Name, "Callers", n.settings.Listen.Callers, "Peers", n.settings.Listen.Peers)
	return nil
}

// newMonitor starts the monitor of this host's connections to upstreams.
func (n *Node) newMonitor(ctx context.Context, connections *http1.Pool, scope tally.Scope) *reachability.Monitor {
	monitor := reachability.NewMonitor(ctx, &n.wait, reachability.Options{
		Prober: connections, Addresses: n.upstreamAddresses, Metrics: scope,
		OnRefused: func(upstream string) { n.loadReports.NotifyNotListening(loadreport.HashEngine(upstream)) },
	})
	n.monitorPointer.Store(monitor)
	return monitor
}

// newLedger starts the ledger of the software versions that began streams.
func (n *Node) newLedger(ctx context.Context, scope tally.Scope) *resumption.Ledger {
	return resumption.New(ctx, &n.wait, resumption.Options{
		Host: n.settings.Host.Name, Store: n.store, Replica: n.syncer, WritesVersions: n.readsStore, Hosts: n.countHosts, Metrics: scope,
	})
}

// startPeers starts the host directory and the replica of the store, which are
// both synchronized with the other hosts.
func (n *Node) startPeers(ctx context.Context, pool *peer.Pool) {
	self := n.settings.Host
	n.hosts = &hostList{store: n.store, learned: func() []registry.Host { return n.peerSync.LearnedHosts() }}
	n.peerSync = peersync.New(ctx, &n.wait, peersync.Options{
		Pool: pool, Others: n.peerAddresses, Seeds: slices.DeleteFunc(slices.Clone(n.settings.Platform.Seeds), func(a string) bool { return a == n.settings.Listen.PeersAddress() }),
		Answer:        func(positions []int64) replica.Reply { return n.syncer.Answer(positions) },
		Hosts:         func() []registry.Host { return n.directory.Entries() },
		ReceiveUpdate: func(u reloader.Update) { n.reloader.Receive(u) },
		Readers:       n.readers,
	})
	n.directory = host.NewDirectory(ctx, &n.wait, host.Options{
		Self: membership.Identity{Name: self.Name, FailureDomain: self.FailureDomain, Region: self.Region},
		List: n.hosts, Pool: pool,
		Status: func() membership.Tick {
			if s := n.syncerPointer.Load(); s == nil || !s.Ready() {
				return membership.Tick{Load: membership.MaxLoad}
			}
			if n.isCutOff() {
				return membership.Tick{Load: membership.MaxLoad, Urgent: true}
			}
			return membership.Tick{Urgent: true}
		},
	})
	n.syncer = replica.NewSyncer(ctx, &n.wait, replica.Options{Store: n.store, Peers: n.peerSync, Decode: platform.Decode, ReadsStore: n.readsStore, Connected: n.isConnected, Hosts: n.countHosts, OldWeightsGrace: n.settings.Bounds.OldWeightsGrace()})
	n.syncerPointer.Store(n.syncer)
}

// upstreamAddresses returns the addresses of a service's known upstreams.
func (n *Node) upstreamAddresses(service string) []string {
	var found []string
	for _, e := range n.syncer.State().Upstreams.Service(service) {
		found = append(found, e.Address)
	}
	return found
}

// isCutOff reports whether this host reaches no upstream of a service at which other
// hosts have requests. If they have none, the upstreams are down for all.
func (n *Node) isCutOff() bool {
	m := n.monitorPointer.Load()
	if m == nil {
		return false
	}
	for _, service := range m.IsolatedServices() {
		for _, e := range n.syncer.State().Upstreams.Service(service) {
			if n.loadReports.RemoteLoad(loadreport.HashEngine(e.ID)).Running > 0 {
				return true
			}
		}
	}
	return false
}

// peerAddresses returns the peer addresses of the other hosts.
func (n *Node) peerAddresses() []string {
	if n.directory == nil {
		return nil
	}
	var found []string
	for _, h := range n.directory.Peers() {
		if h.Peers != "" {
			found = append(found, h.Peers)
		}
	}
	return found
}

// loadReportPeers returns the other hosts as destinations of load reports.
func (n *Node) loadReportPeers() []loadreport.Peer {
	var peers []loadreport.Peer
	for _, h := range n.directory.Peers() {
		if address, err := netip.ParseAddrPort(h.Peers); err == nil {
			peers = append(peers, loadreport.Peer{Host: loadreport.HashName(h.Name), Domain: loadreport.HashName(h.FailureDomain), IP: address.Addr().String()})
		}
	}
	return peers
}

// lateExchanger passes the router's calls to the load report exchanger, which is
// created after the router.
type lateExchanger struct{ node *Node }

// RemoteLoad returns the other hosts' load at an engine.
func (l lateExchanger) RemoteLoad(e loadreport.EngineHash) loadreport.Load {
	return l.node.loadReports.RemoteLoad(e)
}

// NotifyObserved reports cached parts of an engine to the other hosts.
func (l lateExchanger) NotifyObserved(parts ...loadreport.CachedPart) {
	l.node.loadReports.NotifyObserved(parts...)
}

// FlushSoon sends pending updates to the other hosts early.
func (l lateExchanger) FlushSoon() { l.node.loadReports.FlushSoon() }

// NotifyNotListening reports to the other hosts that nothing listens at an
// engine's address.
func (l lateExchanger) NotifyNotListening(e loadreport.EngineHash) {
	l.node.loadReports.NotifyNotListening(e)
}

// NotifyLoaded reports the weights of an engine to the other hosts.
func (l lateExchanger) NotifyLoaded(w loadreport.LoadedWeights) { l.node.loadReports.NotifyLoaded(w) }

// NotifyLeaving reports to the other hosts that an upstream accepts no more
// requests.
func (l lateExchanger) NotifyLeaving(u loadreport.Leaving) { l.node.loadReports.NotifyLeaving(u) }

// NotifyLimit reports the limit of an upstream, or its end, to the other hosts.
func (l lateExchanger) NotifyLimit(u loadreport.Limit) { l.node.loadReports.NotifyLimit(u) }

// MaxStaleness returns the maximum age of the other hosts' reports.
func (l lateExchanger) MaxStaleness() time.Duration { return l.node.loadReports.MaxStaleness() }

// hostNames returns the names of the hosts that share duties.
func (n *Node) hostNames() []string {
	var names []string
	for _, h := range n.directory.Entries() {
		names = append(names, h.Name)
	}
	return names
}

// countHosts returns the number of known hosts.
func (n *Node) countHosts() int { return len(n.directory.Hosts()) }

// recentHosts returns the names of the other hosts with a recent load report.
func (n *Node) recentHosts() []string {
	self := n.settings.Host.Name
	return slices.DeleteFunc(n.hostNames(), func(name string) bool { return name == self || !n.loadReports.SeenRecently(name) })
}

// isConnected reports whether this host has recent load reports of at least half of
// the others.
func (n *Node) isConnected() bool { return 2*len(n.recentHosts()) >= len(n.directory.Peers()) }

// orderers returns the hosts that may send orders to engines, by rank: those with a
// recent load report, and last those that are stopping: during restarts in turn there
// may be no others for many seconds. If this host has received reports from less than
// half of the others, it can't announce its orders to them, so it ranks itself last.
func (n *Node) orderers() []string {
	var working, stopping []string
	peers, self := n.directory.Peers(), n.settings.Host.Name
	for _, h := range peers {
		switch {
		case !n.loadReports.SeenRecently(h.Name):
		case h.State == registry.Leaving:
			stopping = append(stopping, h.Name)
		default:
			working = append(working, h.Name)
		}
	}
	switch {
	case 2*(len(working)+len(stopping)) < len(peers):
		return slices.Concat(working, stopping, []string{self})
	case n.isStopping():
		stopping = append(stopping, self)
	default:
		working = append(working, self)
	}
	return append(placement.Rank(orderersRankKey, working), placement.Rank(orderersRankKey, stopping)...)
}

// readsStore reports whether this host reads the store for the others.
func (n *Node) readsStore() bool {
	return n.directory == nil || slices.Contains(peersync.Readers(n.hostNames()), n.settings.Host.Name)
}

// readers returns the peer addresses of the other hosts that read the store.
func (n *Node) readers() []string {
	names := peersync.Readers(n.hostNames())
	var found []string
	for _, h := range n.directory.Peers() {
		if slices.Contains(names, h.Name) {
			found = append(found, h.Peers)
		}
	}
	return found
}

// mayOrder reports whether this host may send orders to engines now. A stopping host may
// until it is about to end, since an engine that it has claimed is lost to the others for
// some seconds.
func (n *Node) mayOrder() bool {
	return !n.ending.Load() && n.syncer.Ready() && n.syncer.Fresh() && clock.Now().Sub(n.started) > startupOrderDelay
}

// isStopping reports whether a planned stop has begun.
func (n *Node) isStopping() bool {
	select {
	case <-n.stop:
		return true
	default:
		return false
	}
}

// liveHosts returns the names of this host and of those with recent load reports.
func (n *Node) liveHosts() []string {
	return slices.DeleteFunc(n.hostNames(), func(name string) bool { return name != n.settings.Host.Name && !n.loadReports.Alive(name) })
}

// nearbyHosts returns the hosts that a caller should use: this one and those with
// recent load reports. A host that only the store lists may have failed long ago.
func (n *Node) nearbyHosts(region, failureDomain string) []registry.Host {
	hosts := slices.DeleteFunc(slices.Clone(n.directory.Hosts()), func(h membership.Host) bool {
		return h.Name != n.settings.Host.Name && !n.loadReports.Alive(h.Name)
	})
	var found []registry.Host
	for _, h := range address.NearHosts(hosts, address.Caller{Region: region, FailureDomain: failureDomain}) {
		found = append(found, registry.Host{Name: h.Name, Callers: h.Callers})
	}
	return found
}

// announce writes this host's addresses to the store, retrying until it succeeds,
// and again whenever the store has come back from an older copy.
func (n *Node) announce(ctx context.Context) {
	self := registry.Host{
		Name: n.settings.Host.Name, Role: registry.EntryHost, FailureDomain: n.settings.Host.FailureDomain, Region: n.settings.Host.Region,
		State: registry.Live, Callers: n.settings.Listen.Callers, Peers: n.settings.Listen.PeersAddress(),
	}
	for announced := int64(-1); ctx.Err() == nil; clock.Pause(ctx, announceRetryInterval) {
		era := n.store.Era()
		if announced == era {
			continue
		}
		storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.store.Announce(storeCtx, self)
		cancel()
		if err == nil && n.store.Era() == era {
			announced = era
		}
	}
}

// expireHealth removes expired health state until the context ends.
func (n *Node) expireHealth(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, expireInterval)
		n.tracker.Forget(clock.Now())
	}
}

// Wait blocks until the daemon has ended.
func (n *Node) Wait() { n.wait.Wait() }

// Stop begins a planned stop and returns immediately; use Wait to wait for its end.
func (n *Node) Stop() { n.StopSince(clock.Now()) }

// StopSince begins a planned stop that was requested at an instant.
func (n *Node) StopSince(requested clock.Instant) {
	n.stopOnce.Do(func() {
		n.stopRequested = min(requested, n.standstill.earliest(requested))
		close(n.stop)
	})
}
