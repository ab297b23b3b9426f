package node

import (
	"context"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// startEngines tracks the engines that this host owns and serves their statuses
// to the other hosts.
func (n *Node) startEngines(ctx context.Context, pool *peer.Pool, client *upstream.Client, directory *host.Directory, leaving func(string) bool, current func() document.Document, metrics tally.Scope) (*engine.Tracker, error) {
	tracker := engine.NewTracker(ctx, &n.wait, engine.Options{
		Host: n.settings.Host.Name, Reporter: client, PeerQuerier: engine.PeerClient{Pool: pool},
		Document: current, Entries: directory.Entries, Leaving: leaving, Metrics: metrics,
	})
	return tracker, peerpb.DRPCRegisterEngines(n.peers, tracker)
}
