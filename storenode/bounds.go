package storenode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/replica"
)

const (
	// boundInterval is the time between two checks for target weights that the store
	// should tell of.
	boundInterval = 200 * time.Millisecond
	// maxBoundDelay bounds the random time that a reader of the store leaves to the
	// others before it records one.
	maxBoundDelay = 400 * time.Millisecond
	// maxRecordedBounds bounds the versions of a record; the oldest are left out.
	maxRecordedBounds = 4
)

// recordBounds records in the store since when target weights are set, until the
// context ends. All hosts may be restarted at once, and then none has seen it.
func (n *Node) recordBounds(ctx context.Context) {
	clock.Every(ctx, boundInterval, func(ctx context.Context) {
		if !n.readsStore() || len(n.unrecordedBounds()) == 0 {
			return
		}
		clock.Pause(ctx, time.Duration(rand.Int64N(int64(maxBoundDelay))))
		for model, bounds := range n.unrecordedBounds() {
			storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			err := n.store.PutBounds(storeCtx, model, bounds[:min(len(bounds), maxRecordedBounds)])
			cancel()
			if err != nil {
				event.NamingNotRecorded.Error(err, "Model", model, "After", bounds[0].After)
			}
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
