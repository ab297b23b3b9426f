package node

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/revision"
)

// entrySource lists the entry hosts.
type entrySource struct{ *host.Directory }

// startConfiguration syncs the configuration and serves it to other hosts. No
// other host is known to it until membership has started.
func (n *Node) startConfiguration(ctx context.Context, log *registry.Log, pool *peer.Pool, metrics tally.Scope) (*revision.Syncer, error) {
	syncer := revision.New(ctx, &n.wait, revision.Options{
		Host: n.settings.Host.Name, Log: log, Metrics: metrics,
		Members: func() []registry.Host {
			if source := n.entries.Load(); source != nil {
				return source.Entries()
			}
			return nil
		},
		Peers:     revision.Client{Pool: pool, Address: n.Peers},
		Retention: n.settings.Configuration.LogRetention(), SnapshotShare: n.settings.Configuration.SnapshotShare,
	})
	err := peerpb.DRPCRegisterDocuments(n.peers, revision.Service{Syncer: syncer, Context: ctx})
	return syncer, trace.Wrap(err, "registering the documents service")
}
