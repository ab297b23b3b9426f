package storenode

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/isolation"
)

// nonReaderDelay is the time that hosts which don't read the store leave to the others,
// since they hear later of what was recorded.
const nonReaderDelay = 3 * time.Second

// recordGroups records in the store which accounts share cached parts, until the context
// ends.
func (n *Node) recordGroups(ctx context.Context) {
	missing := func() map[string]isolation.History { return n.syncer.State().UnrecordedGroups() }
	delay := func() time.Duration {
		if n.readsStore() {
			return 0
		}
		return nonReaderDelay
	}
	recordMissing(ctx, missing, delay, func(ctx context.Context, model string, groups isolation.History) {
		if err := n.store.PutGroups(ctx, model, groups); err != nil {
			event.GroupsNotRecorded.Error(err, "Model", model)
		}
	})
}
