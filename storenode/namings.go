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
	// namingInterval is the time between two checks for target weights that the store
	// should tell of.
	namingInterval = 200 * time.Millisecond
	// maxNamingDelay bounds the random time that a reader of the store leaves to the
	// others before it records one.
	maxNamingDelay = 400 * time.Millisecond
	// maxRecordedNamings bounds the versions of a record; the oldest are left out.
	maxRecordedNamings = 4
)

// recordNamings records in the store since when target weights are set, until the
// context ends. All hosts may be restarted at once, and then none has seen it.
func (n *Node) recordNamings(ctx context.Context) {
	clock.Every(ctx, namingInterval, func(ctx context.Context) {
		if !n.readsStore() || len(n.unrecordedNamings()) == 0 {
			return
		}
		clock.Pause(ctx, time.Duration(rand.Int64N(int64(maxNamingDelay))))
		for model, namings := range n.unrecordedNamings() {
			storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			err := n.store.PutNamings(storeCtx, model, namings[:min(len(namings), maxRecordedNamings)])
			cancel()
			if err != nil {
				event.NamingNotRecorded.Error(err, "Model", model, "Number", namings[0].Version)
			}
		}
	})
}

// unrecordedNamings returns what this host knows of target weights since the newest of
// which the store tells nothing.
func (n *Node) unrecordedNamings() map[string][]replica.Naming {
	state := n.syncer.State()
	found := state.Namings(clock.Now())
	for model, namings := range found {
		if state.IsRecorded(model, namings[0].Version) {
			delete(found, model)
		}
	}
	return found
}
