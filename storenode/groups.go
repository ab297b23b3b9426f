package storenode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// groupsInterval is the time between two checks for groups that the store should
	// tell.
	groupsInterval = 200 * time.Millisecond
	// maxGroupsDelay bounds the random time that a host leaves to the others before it
	// records groups. Hosts that don't read the store leave nonReaderDelay more, since
	// they hear later of what was recorded.
	maxGroupsDelay = 400 * time.Millisecond
	nonReaderDelay = 3 * time.Second
)

// recordGroups records in the store which accounts share cached parts, until the context
// ends.
func (n *Node) recordGroups(ctx context.Context) {
	clock.Every(ctx, groupsInterval, func(ctx context.Context) {
		if len(n.syncer.State().UnrecordedGroups()) == 0 {
			return
		}
		delay := time.Duration(rand.Int64N(int64(maxGroupsDelay)))
		if !n.readsStore() {
			delay += nonReaderDelay
		}
		clock.Pause(ctx, delay)
		for model, groups := range n.syncer.State().UnrecordedGroups() {
			storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			err := n.store.PutGroups(storeCtx, model, groups)
			cancel()
			if err != nil {
				event.GroupsNotRecorded.Error(err, "Model", model)
			}
		}
	})
}
