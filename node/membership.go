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

// startMembership exchanges heartbeats with the other hosts.
func (n *Node) startMembership(ctx context.Context, pool *peer.Pool, revisions *revision.Syncer) (*host.Directory, error) {
	self := n.settings.Host
	n.directory = host.NewDirectory(ctx, &n.wait, host.Options{
		Self: membership.Identity{Name: self.Name, FailureDomain: self.FailureDomain, Region: self.Region},
		List: registry.NewHostList(n.settings.Platform.HostList),
		Pool: pool, OnHeartbeat: revisions.ReceivePosition,
		Status: func() membership.Tick {
			return membership.Tick{Load: n.loadLevel(revisions.Ready()), Position: revisions.State().Document.Position}
		},
	})
	err := peerpb.DRPCRegisterMemberships(n.peers, n.directory)
	return n.directory, trace.Wrap(err, "registering the memberships service")
}

// loadLevel returns this host's load level for heartbeats.
func (n *Node) loadLevel(ready bool) int32 {
	countOpen := n.openRequests.Load()
	if !ready || countOpen == nil {
		return membership.MaxLoad
	}
	busy := int64(max(1, n.settings.Limits.BusyRequests))
	return int32(min(membership.MaxLoad, (*countOpen)()*2/busy))
}
