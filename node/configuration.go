package node

import (
	"context"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/revision"
	"github.com/kumquathoist/kumquathoist/settings"
)

// startConfiguration follows the configuration and answers other hosts that
// ask for it.
func (n *Node) startConfiguration(ctx context.Context, log *platform.Log, directory *host.Directory, metrics tally.Scope, secret settings.Secret) (*revision.Keeper, error) {
	pool := peer.NewPool(secret)
	n.wait.Go(func() {
		<-ctx.Done()
		pool.Close()
	})
	keeper := revision.New(ctx, &n.wait, revision.Options{
		Host: n.settings.Host.Name, Log: log, Members: directory.Entries, Metrics: metrics,
		Peers:     revision.Client{Pool: pool, Address: n.Peers},
		Retention: n.settings.Configuration.LogRetention(), SnapshotShare: n.settings.Configuration.SnapshotShare,
	})
	err := peerpb.DRPCRegisterDocuments(n.peers, revision.Service{Keeper: keeper, Context: ctx})
	return keeper, trace.Wrap(err, "registering the documents service")
}
