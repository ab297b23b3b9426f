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

// caches returns the engines and stores of parts that this host listens to
// for all: one host does so for each of them, in its failure domain if there
// is one.
func (n *Site) caches() []cachefeed.Source {
	var hosts []placement.Location
	for _, h := range n.directory.Entries() {
		hosts = append(hosts, placement.Location{Name: h.Name, FailureDomain: h.FailureDomain, Region: h.Region})
	}
	var found []cachefeed.Source
	add := func(s cachefeed.Source, failureDomain string) {
		place := placement.Location{Name: s.Name, FailureDomain: failureDomain, Region: n.settings.Host.Region}
		if placement.OwnerNear(s.Name, place, hosts) == n.settings.Host.Name {
			found = append(found, s)
		}
	}
	book := n.keeper.State()
	for _, s := range book.Catalog.Services() {
		switch {
		case s.PartStore != nil:
			add(cachefeed.Source{Name: s.PartStore.Address, Address: s.PartStore.Address}, s.PartStore.FailureDomain)
		case s.Engine != nil:
			for _, e := range book.Upstreams.Service(s.Name) {
				add(cachefeed.Source{Name: e.ID, Address: e.Address, Instance: e.ID}, e.FailureDomain)
			}
		}
	}
	return found
}

// sighting returns what is told of a part.
func sighting(s cachefeed.Source, salt, part string) loadreport.CachedPart {
	return loadreport.CachedPart{Engine: loadreport.HashEngine(s.Name), Part: uint64(cachemap.KeyOf(salt, part))}
}

// partHeld tells all hosts of a part that a store has got. What engines have
// read is told by the hosts that sent it to them.
func (n *Site) partHeld(source cachefeed.Source, salt, part string) {
	if source.Instance != "" {
		return
	}
	s := sighting(source, salt, part)
	n.router.AddCachedPart(s)
	n.pulses.NotifyObserved(s)
}

// partDropped tells all hosts of a part that was believed to be held.
func (n *Site) partDropped(source cachefeed.Source, salt, part string) {
	if s := sighting(source, salt, part); n.router.RemoveCachedPart(s) {
		n.pulses.NotifyEvicted(s)
	}
}

// cacheLost tells all hosts of an engine or a store whose cache is empty.
func (n *Site) cacheLost(source cachefeed.Source) {
	s := loadreport.CachedPart{Engine: loadreport.HashEngine(source.Name), Part: loadreport.AllParts}
	n.router.RemoveCachedPart(s)
	n.pulses.NotifyEvicted(s)
}

// engineDown leaves an engine alone that another host found gone.
func (n *Site) engineDown(down loadreport.EngineHash) {
	now := clock.Now()
	n.updateEngine(down, func(id string, s health.State) health.State {
		if s.Usable(now) {
			event.UpstreamReportedUnreachable.Info("Upstream", id)
		}
		return s.WithUnreachable(now)
	})
}

// engineLoaded takes the weights that another host found an engine to have.
func (n *Site) engineLoaded(l loadreport.LoadedWeights) {
	n.updateEngine(l.Engine, func(_ string, s health.State) health.State { return s.WithWeights(int64(l.Version)) })
}

// engineLeaving sends nothing more to an upstream that told another host that
// it leaves.
func (n *Site) engineLeaving(l loadreport.Leaving) {
	now := clock.Now()
	for _, s := range n.keeper.State().Catalog.Services() {
		n.updateOf(s, l.Engine, func(id string, s health.State) health.State {
			if s.Incarnation != 0 && l.Incarnation != 0 && uint64(s.Incarnation) != l.Incarnation {
				return s // another start of it
			}
			if !s.Leaving(now) {
				event.UpstreamLeaving.Info("Upstream", id, "Source", availability.Peer)
			}
			s.Status = s.WithLeaving(availability.Peer, now)
			return s
		})
	}
}

// updateEngine changes what is known of an engine by its short name.
func (n *Site) updateEngine(short loadreport.EngineHash, change func(id string, s health.State) health.State) {
	for _, s := range n.keeper.State().Catalog.Services() {
		if s.Engine != nil {
			n.updateOf(s, short, change)
		}
	}
}

// updateOf does so for an upstream of a service.
func (n *Site) updateOf(service catalog.Service, short loadreport.EngineHash, change func(id string, s health.State) health.State) {
	for _, e := range n.keeper.State().Upstreams.Service(service.Name) {
		if loadreport.HashEngine(e.ID) == short {
			n.board.Update(e.ID, func(s health.State) health.State { return change(e.ID, s) })
		}
	}
}
