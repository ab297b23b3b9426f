// Package storenode puts the router daemon together on a host of a platform that
// keeps configuration, upstreams and hosts in a store.
package storenode

import (
	"context"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

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
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/peersync"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/reloader"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/retrybudget"
	"github.com/kumquathoist/kumquathoist/settings"
)

const (
	// memoryShare is the part of the host's memory that the Go runtime may
	// use; the rest is for stacks, sockets and what it does not count.
	memoryShare = 0.55
	// heldShare is the part of it that answers may take while they come in;
	// callers, caches and beliefs need the rest.
	heldShare = 0.1
	// weightsMargin is how long before the operators' bound no request is
	// sent to older weights, since it may wait there.
	weightsMargin = 700 * time.Millisecond
	// addressTTL is how long callers may keep addresses; some keep them three
	// times as long, and a stopping host has to outlive that.
	addressTTL = time.Second
	// quietAfterStart is how long a new process orders no engine.
	quietAfterStart = time.Second
	// callersShare is the part of the descriptors that callers may use: one in
	// so many. Upstreams, peers and the store need the rest.
	callersShare = 2
	// forgetInterval is the time between two cleanings of old beliefs.
	forgetInterval = time.Minute
)

// orderersKey is what the hosts that order engines are ranked by.
const orderersKey = "engine orders"

// Site is a running daemon.
type Site struct {
	settings  settings.Settings
	store     *platform.Store
	directory *host.Directory
	keeper    *replica.Syncer
	// told is the keeper for those that run before it starts.
	told     atomic.Pointer[replica.Syncer]
	relay    *peersync.Syncer
	board    *health.Tracker
	router   *forward.Router
	overseer *reloader.Controller
	pulses   *loadreport.Exchanger
	door     *platform.Door
	hosts    *hostList
	started  clock.Instant

	wait     conc.WaitGroup
	cancel   context.CancelFunc
	stopOnce sync.Once
	stop     chan struct{}
}

// New starts a daemon. It ends when the context ends or after a planned stop.
func New(ctx context.Context, s settings.Settings) (*Site, error) {
	secret, err := s.Secrets.Peers.Read()
	if err != nil {
		return nil, trace.Wrap(err, "reading the peers' secret")
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(s.Machine.MemoryMB) * (1 << 20)))
	ctx, cancel := context.WithCancel(ctx)
	n := &Site{
		settings: s, cancel: cancel, stop: make(chan struct{}), started: clock.Now(),
		store: platform.NewStore(s.Platform.Store), board: health.NewTracker(),
	}
	if err := n.start(ctx, peer.Credentials{Secret: secret}); err != nil {
		cancel()
		n.wait.Wait()
		return nil, err
	}
	return n, nil
}

// start makes the parts in the order of their needs.
func (n *Site) start(ctx context.Context, credentials peer.Credentials) error {
	scope, handler := startMetrics(ctx, &n.wait)
	server, err := peer.NewServer(n.settings.Listen.Peers, credentials)
	if err != nil {
		return err
	}
	pool := peer.NewPool(credentials)
	n.startPeers(ctx, pool)
	guard := crash.NewGuard(ctx, &n.wait, crash.Options{Peers: n.others, Sender: crash.NewPeerSender(pool), Store: n.store, Metrics: scope})
	connections := http1.NewPool(platform.Wire{})
	n.wait.Go(func() { connections.Sweep(ctx) })
	bounds := n.settings.Bounds
	engines := platform.NewEngines(func(instance string, w call.SelfReport) { n.router.RecordStatus(instance, w, "") })
	n.router = forward.New(forward.Options{
		Replica: n.keeper, Sender: connections, Encoder: platform.Wire{}, Guard: guard, Tracker: n.board, LoadReports: sightings{n},
		Migrator: engines, Background: &n.wait,
		Hosts:           func() int { return max(len(n.directory.Hosts()), len(n.settings.Platform.Seeds)) },
		FailureDomain:   n.settings.Host.FailureDomain,
		RetryLimits:     retrybudget.Limits{Ratio: bounds.RepeatRatio, Window: bounds.RetryWindow(), Slack: bounds.RepeatSlack},
		OldWeightsGrace: bounds.OldWeightsGrace() - weightsMargin, MaxBufferedBytes: int64(heldShare * float64(n.settings.Machine.MemoryMB) * (1 << 20)), Metrics: scope,
	})
	if n.pulses, err = loadreport.NewExchanger(ctx, &n.wait, loadreport.Options{
		Listen: n.settings.Listen.Pulses, Port: uint16(n.settings.Listen.AnnouncedPulsesPort), Host: n.settings.Host.Name, FailureDomain: n.settings.Host.FailureDomain, Peers: n.pulsePeers,
		Loads: n.board.Loads, NotifyObserved: n.router.AddCachedPart, NotifyEvicted: func(s loadreport.CachedPart) { n.router.RemoveCachedPart(s) }, NotifyNotListening: n.engineDown, NotifyLoaded: n.engineLoaded, NotifyLeaving: n.engineLeaving,
	}); err != nil {
		return err
	}
	cachefeed.Follow(ctx, &n.wait, cachefeed.Options{Client: engines, Sources: n.caches, OnCached: n.partHeld, OnEvicted: n.partDropped, OnReset: n.cacheLost})
	n.overseer = reloader.New(ctx, &n.wait, reloader.Options{
		Load: func(id string) loadreport.Load {
			return n.board.State(id).Load.Plus(n.pulses.RemoteLoad(loadreport.HashEngine(id)))
		},
		Self: n.settings.Host.Name, Engines: engines, Claims: n.store, Health: n.board, Replica: n.keeper.State,
		Active: n.mayOrder, Hosts: n.orderers, Send: n.relay.Tell, CacheDropped: n.router.RemoveCachedParts, Evacuate: n.router.Evacuate, Lease: bounds.Lease(),
	})
	for _, register := range []func() error{
		func() error { return peerpb.DRPCRegisterMemberships(server, n.directory) },
		func() error { return peersync.Register(server, n.relay) },
		func() error { return crash.Register(server, guard) },
	} {
		if err := register(); err != nil {
			return trace.Wrap(err, "registering a service for peers")
		}
	}
	n.wait.Go(func() {
		defer pool.Close()
		if err := server.Serve(ctx); err != nil && ctx.Err() == nil {
			event.ListenerFailed.Error(err, "Address", n.settings.Listen.Peers)
		}
	})
	n.door, err = platform.NewDoor(ctx, &n.wait, platform.Options{
		Callers: n.settings.Listen.Callers, Addresses: n.settings.Listen.Addresses, Readiness: n.settings.Listen.Readiness, Scrapes: n.settings.Listen.Metrics,
		Router: n.router, Ready: n.keeper.Ready, Hosts: n.near, Connections: n.settings.Machine.Descriptors / callersShare, AddressTTL: addressTTL,
		BodyLimit: func() int { return n.keeper.State().Catalog.Limits.BodyBytes }, Metrics: handler,
	})
	if err != nil {
		return err
	}
	n.directory.Announce(n.settings.Listen.Callers, n.settings.Listen.PeersAddress())
	n.wait.Go(func() { n.announce(ctx) })
	n.wait.Go(func() { n.report(ctx, scope, connections) })
	n.wait.Go(func() { n.forget(ctx) })
	n.wait.Go(func() { n.finish(ctx) })
	event.Listening.Info("Host", n.settings.Host.Name, "Callers", n.settings.Listen.Callers, "Peers", n.settings.Listen.Peers)
	return nil
}

// startPeers makes this host know the others and what they know.
func (n *Site) startPeers(ctx context.Context, pool *peer.Pool) {
	place := n.settings.Host
	n.hosts = &hostList{store: n.store, learnt: func() []registry.Host { return n.relay.LearnedHosts() }}
	n.relay = peersync.New(ctx, &n.wait, peersync.Options{
		Pool: pool, Others: n.others, Seeds: slices.DeleteFunc(slices.Clone(n.settings.Platform.Seeds), func(a string) bool { return a == n.settings.Listen.PeersAddress() }),
		Answer:        func(positions []int64) replica.Reply { return n.keeper.Answer(positions) },
		Hosts:         func() []registry.Host { return n.directory.Entries() },
		ReceiveUpdate: func(notice reloader.Update) { n.overseer.Receive(notice) },
		Readers:       n.readers,
	})
	n.directory = host.NewDirectory(ctx, &n.wait, host.Options{
		Self: membership.Identity{Name: place.Name, FailureDomain: place.FailureDomain, Region: place.Region},
		List: n.hosts, Pool: pool,
		Status: func() membership.Tick {
			if k := n.told.Load(); k == nil || !k.Ready() {
				return membership.Tick{Load: membership.MaxLoad}
			}
			return membership.Tick{}
		},
	})
	n.keeper = replica.NewSyncer(ctx, &n.wait, replica.Options{Store: n.store, Peers: n.relay, Decode: platform.Decode, ReadsStore: n.reads})
	n.told.Store(n.keeper)
}

// others returns the peers' addresses of the other hosts.
func (n *Site) others() []string {
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

// pulsePeers returns the other hosts as pulses reach them.
func (n *Site) pulsePeers() []loadreport.Peer {
	var peers []loadreport.Peer
	for _, h := range n.directory.Peers() {
		if address, err := netip.ParseAddrPort(h.Peers); err == nil {
			peers = append(peers, loadreport.Peer{Host: loadreport.HashName(h.Name), Domain: loadreport.HashName(h.FailureDomain), IP: address.Addr().String()})
		}
	}
	return peers
}

// sightings hands the router's news to the pulses, which start after it.
type sightings struct{ site *Site }

// Elsewhere returns what the other hosts have at an engine.
func (s sightings) RemoteLoad(e loadreport.EngineHash) loadreport.Load {
	return s.site.pulses.RemoteLoad(e)
}

// Saw tells of cached parts that an engine holds.
func (s sightings) NotifyObserved(seen ...loadreport.CachedPart) {
	s.site.pulses.NotifyObserved(seen...)
}

// Hurry has other hosts told soon.
func (s sightings) FlushSoon() { s.site.pulses.FlushSoon() }

// Down tells that nobody listens at an engine's address.
func (s sightings) NotifyNotListening(e loadreport.EngineHash) { s.site.pulses.NotifyNotListening(e) }

// Loaded tells which weights an engine has.
func (s sightings) NotifyLoaded(l loadreport.LoadedWeights) { s.site.pulses.NotifyLoaded(l) }

// Leaving tells that an engine takes no more requests.
func (s sightings) NotifyLeaving(l loadreport.Leaving) { s.site.pulses.NotifyLeaving(l) }

// Pace returns how old what other hosts told is at most.
func (s sightings) MaxStaleness() time.Duration { return s.site.pulses.MaxStaleness() }

// names returns the hosts that share duties.
func (n *Site) names() []string {
	var names []string
	for _, h := range n.directory.Entries() {
		names = append(names, h.Name)
	}
	return names
}

// orderers returns the hosts that may order engines: those that were heard of
// just now. A host that hears less than half of the others can't tell them
// what it orders, so it comes last.
func (n *Site) orderers() []string {
	self, all := n.settings.Host.Name, n.names()
	heard := slices.DeleteFunc(all, func(name string) bool { return name == self || !n.pulses.SeenRecently(name) })
	if 2*len(heard) < len(n.directory.Peers()) {
		return append(heard, self)
	}
	return placement.Rank(orderersKey, append(heard, self))
}

// reads tells whether this host reads the store for others.
func (n *Site) reads() bool {
	return n.directory == nil || slices.Contains(peersync.Readers(n.names()), n.settings.Host.Name)
}

// readers returns the peers' addresses of the other hosts that read the store.
func (n *Site) readers() []string {
	names := peersync.Readers(n.names())
	var found []string
	for _, h := range n.directory.Peers() {
		if slices.Contains(names, h.Name) {
			found = append(found, h.Peers)
		}
	}
	return found
}

// mayOrder tells whether this host may order engines now.
func (n *Site) mayOrder() bool {
	select {
	case <-n.stop:
		return false
	default:
	}
	return n.keeper.Ready() && n.keeper.Fresh() && clock.Now().Sub(n.started) > quietAfterStart
}

// near returns the hosts that a caller should use: this one and those that
// were heard of lately. A host that only the store lists may be long gone.
func (n *Site) near(region, failureDomain string) []registry.Host {
	hosts := slices.DeleteFunc(slices.Clone(n.directory.Hosts()), func(h membership.Host) bool {
		return h.Name != n.settings.Host.Name && !n.pulses.Alive(h.Name)
	})
	var found []registry.Host
	for _, h := range address.NearHosts(hosts, address.Caller{Region: region, FailureDomain: failureDomain}) {
		found = append(found, registry.Host{Name: h.Name, Callers: h.Callers})
	}
	return found
}

// announce writes this host's addresses to the store until that succeeds.
func (n *Site) announce(ctx context.Context) {
	self := registry.Host{
		Name: n.settings.Host.Name, Role: registry.EntryHost, FailureDomain: n.settings.Host.FailureDomain, Region: n.settings.Host.Region,
		State: registry.Live, Callers: n.settings.Listen.Callers, Peers: n.settings.Listen.PeersAddress(),
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.store.Announce(call, self)
		cancel()
		if err == nil {
			return
		}
		clock.Pause(ctx, announcePause)
	}
}

// forget drops old beliefs until the context ends.
func (n *Site) forget(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, forgetInterval)
		n.board.Forget(clock.Now())
	}
}

// Wait returns when the daemon has ended.
func (n *Site) Wait() { n.wait.Wait() }

// Stop begins a planned stop. It returns at once; Wait tells when it ended.
func (n *Site) Stop() { n.stopOnce.Do(func() { close(n.stop) }) }
