package storenode

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/replica"
)

// maxRecordedBounds bounds the versions of a record; the oldest are left out.
const maxRecordedBounds = 4

// recordBounds records in the store since when target weights are set, until the context
// ends. Only hosts that read the store do.
func (n *Node) recordBounds(ctx context.Context) {
	missing := func() map[string][]replica.Bound {
		if !n.readsStore() {
			return nil
		}
		return n.unrecordedBounds()
	}
	recordMissing(ctx, missing, func() time.Duration { return 0 }, func(ctx context.Context, model string, bounds []replica.Bound) {
		if err := n.store.PutBounds(ctx, model, bounds[:min(len(bounds), maxRecordedBounds)]); err != nil {
			event.NamingNotRecorded.Error(err, "Model", model, "After", bounds[0].After)
		}
	})
}

// unrecordedBounds returns what this host knows of when target weights were set, as far as
// the store does not tell the newest of it.
func (n *Node) unrecordedBounds() map[string][]replica.Bound {
	state := n.syncer.State()
	found := state.Bounds(clock.Now())
	for model, bounds := range found {
		if state.IsRecorded(model, bounds[0].After) {
			delete(found, model)
		}
	}
	return found
}
