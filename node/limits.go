package node

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/limiter"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/revision"
)

// startLimits enforces the accounts' limits on this host and makes it the
// coordinator of some accounts.
func (n *Node) startLimits(ctx context.Context, pool *peer.Pool, directory *host.Directory, revisions *revision.Syncer) (*limiter.Limiter, error) {
	l := limiter.New(ctx, &n.wait, limiter.Options{
		Host: n.settings.Host.Name, Directory: directory, Peers: pool,
		Document: func() document.Document { return revisions.State().Document },
	})
	err := peerpb.DRPCRegisterAccounts(n.peers, l)
	return l, trace.Wrap(err, "registering the accounts service")
}
