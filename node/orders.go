package node

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/orders"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/revision"
	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// startOrders makes this host one of those that keep pools of engines.
func (n *Node) startOrders(ctx context.Context, log *registry.Log, directory *host.Directory, client *upstream.Client, engines *engine.Tracker, revisions *revision.Syncer) *orders.Sender {
	return orders.New(ctx, &n.wait, orders.Options{
		Host: n.settings.Host.Name, Directory: directory, Engines: client, Statuses: engines,
		Demands: func() []rollout.Demand {
			state := revisions.State()
			return rollout.Demands(state.Document, fence(state))
		},
		ConfirmFence: func(ctx context.Context, number int64) error {
			page, err := log.Read(ctx, registry.ConfigurationStream, revisions.State().Document.Position+1, 0)
			if err == nil && (len(page.Records) > 0 || fence(revisions.State()) != number) {
				err = trace.CompareFailed("the log holds a newer configuration")
			}
			return trace.Wrap(err, "confirming the configuration")
		},
	})
}

// fence returns the fencing number of a document's orders: the newest
// revision of the sections that orders follow from.
func fence(s document.State) int64 {
	return max(s.Revision(document.CapacitySection), s.Revision(document.ModelsSection))
}
