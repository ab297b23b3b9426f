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

// startOrders lets this host own engine pools and send orders to their engines.
func (n *Node) startOrders(ctx context.Context, log *registry.Log, directory *host.Directory, client *upstream.Client, engines *engine.Tracker, revisions *revision.Syncer) *orders.Sender {
	return orders.New(ctx, &n.wait, orders.Options{
		Host: n.settings.Host.Name, Directory: directory, Engines: client, Statuses: engines,
		Demands: func() []rollout.Demand {
			state := revisions.State()
			return rollout.Demands(state.Document, fence(state))
		},
		ConfirmFence: func(ctx context.Context, fenceNumber int64) error {
			page, err := log.Read(ctx, registry.ConfigurationStream, revisions.State().Document.Position+1, 0)
			if err == nil && (len(page.Records) > 0 || fence(revisions.State()) != fenceNumber) {
				err = trace.CompareFailed("the log holds a newer configuration")
			}
			return trace.Wrap(err, "confirming the configuration")
		},
	})
}

// fence returns the fencing number of the orders that follow from a
// configuration: the newest revision of the sections that determine orders.
func fence(state document.State) int64 {
	return max(state.Revision(document.CapacitySection), state.Revision(document.ModelsSection))
}
