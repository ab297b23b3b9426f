package storenode

import (
	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/cachefeed"
	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/placement"
)

// cacheSources returns the engines and part stores whose cache events this host
// follows for all hosts. Each of them is followed by one host, in its own failure
// domain if there is a host.
func (n *Node) cacheSources() []cachefeed.Source {
	var hosts []placement.Location
	for _, h := range n.directory.Entries() {
		hosts = append(hosts, placement.Location{Name: h.Name, FailureDomain: h.FailureDomain, Region: h.Region})
	}
	var found []cachefeed.Source
	add := func(s cachefeed.Source, failureDomain string) {
		location := placement.Location{Name: s.Name, FailureDomain: failureDomain, Region: n.settings.Host.Region}
		if placement.OwnerNear(s.Name, location, hosts) == n.settings.Host.Name {
			found = append(found, s)
		}
	}
	state := n.syncer.State()
	for _, s := range state.Catalog.Services() {
		switch {
		case s.PartStore != nil:
			add(cachefeed.Source{Name: s.PartStore.Address, Address: s.PartStore.Address}, s.PartStore.FailureDomain)
		case s.Engine != nil:
			for _, e := range state.Upstreams.Service(s.Name) {
				add(cachefeed.Source{Name: e.ID, Address: e.Address, Instance: e.ID}, e.FailureDomain)
			}
		}
	}
	return found
}

// cachedPart returns a part as it is sent to other hosts.
func cachedPart(s cachefeed.Source, salt, part string) loadreport.CachedPart {
	return loadreport.CachedPart{Engine: loadreport.HashEngine(s.Name), Part: uint64(cachemap.KeyOf(salt, part))}
}

// partCached reports to all hosts that a part was added to a part store. Parts
// that engines cache are reported by the hosts that sent them the requests.
func (n *Node) partCached(source cachefeed.Source, salt, part string) {
	if source.Instance != "" {
		return
	}
	p := cachedPart(source, salt, part)
	n.router.AddCachedPart(p)
	n.loadReports.NotifyObserved(p)
}

// partEvicted reports the eviction of a part to all hosts if the cache index had
// it.
func (n *Node) partEvicted(source cachefeed.Source, salt, part string) {
	if p := cachedPart(source, salt, part); n.router.RemoveCachedPart(p) {
		n.loadReports.NotifyEvicted(p)
	}
}

// cacheReset reports to all hosts that the cache of an engine or a part store is
// empty.
func (n *Node) cacheReset(source cachefeed.Source) {
	p := loadreport.CachedPart{Engine: loadreport.HashEngine(source.Name), Part: loadreport.AllParts}
	n.router.RemoveCachedPart(p)
	n.loadReports.NotifyEvicted(p)
}

// engineNotListening marks an engine as unreachable after another host found
// nothing listening at its address.
func (n *Node) engineNotListening(e loadreport.EngineHash) {
	now := clock.Now()
	n.updateEngine(e, func(id string, s health.State) health.State {
		if s.Usable(now) {
			event.UpstreamReportedUnreachable.Info("Upstream", id)
		}
		return s.WithUnreachable(now)
	})
}

// engineLoaded records an engine's weights as another host reported them.
func (n *Node) engineLoaded(l loadreport.LoadedWeights) {
	n.updateEngine(l.Engine, func(_ string, s health.State) health.State { return s.WithWeights(int64(l.Version)) })
}

// engineLeaving marks an upstream as leaving after another host reported it.
func (n *Node) engineLeaving(l loadreport.Leaving) {
	now := clock.Now()
	for _, s := range n.syncer.State().Catalog.Services() {
		n.updateUpstream(s, l.Engine, func(id string, s health.State) health.State {
			if s.Incarnation != 0 && l.Incarnation != 0 && uint64(s.Incarnation) != l.Incarnation {
				return s // another incarnation
			}
			if !s.Leaving(now) {
				event.UpstreamLeaving.Info("Upstream", id, "Source", availability.Peer)
			}
			s.Status = s.WithLeaving(availability.Peer, now)
			return s
		})
	}
}

// engineLimited records the limit of an upstream, or its end, as another host
// reported it.
func (n *Node) engineLimited(l loadreport.Limit) {
	for _, s := range n.syncer.State().Catalog.Services() {
		for _, e := range n.syncer.State().Upstreams.Service(s.Name) {
			known := n.tracker.State(e.ID).Incarnation
			if loadreport.HashEngine(e.ID) == l.Engine && (known == 0 || l.Incarnation == 0 || uint64(known) == l.Incarnation) {
				n.router.SetRemoteLimit(e.ID, l)
			}
		}
	}
}

// updateEngine changes the health state of the engine with a hash.
func (n *Node) updateEngine(hash loadreport.EngineHash, change func(id string, s health.State) health.State) {
	for _, s := range n.syncer.State().Catalog.Services() {
		if s.Engine != nil {
			n.updateUpstream(s, hash, change)
		}
	}
}

// updateUpstream changes the health state of a service's upstream with a hash.
func (n *Node) updateUpstream(service catalog.Service, hash loadreport.EngineHash, change func(id string, s health.State) health.State) {
	for _, e := range n.syncer.State().Upstreams.Service(service.Name) {
		if loadreport.HashEngine(e.ID) == hash {
			n.tracker.Update(e.ID, func(s health.State) health.State { return change(e.ID, s) })
		}
	}
}
