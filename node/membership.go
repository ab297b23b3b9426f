package node

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/revision"
)

// startMembership makes this host exchange heartbeats with others.
func (n *Node) startMembership(ctx context.Context, pool *peer.Pool, revisions *revision.Syncer) (*host.Directory, error) {
	place := n.settings.Host
	n.directory = host.NewDirectory(ctx, &n.wait, host.Options{
		Self: membership.Identity{Name: place.Name, FailureDomain: place.FailureDomain, Region: place.Region},
		List: registry.NewHostList(n.settings.Platform.HostList),
		Pool: pool, OnHeartbeat: revisions.ReceivePosition,
		Status: func() membership.Tick {
			return membership.Tick{Load: n.load(revisions.Ready()), Position: revisions.State().Document.Position}
		},
	})
	err := peerpb.DRPCRegisterMemberships(n.peers, n.directory)
	return n.directory, trace.Wrap(err, "registering the memberships service")
}

// load returns this host's level of load.
func (n *Node) load(ready bool) int32 {
	open := n.open.Load()
	if !ready || open == nil {
		return membership.MaxLoad
	}
	busy := int64(max(1, n.settings.Limits.BusyRequests))
	return int32(min(membership.MaxLoad, (*open)()*2/busy))
}
