package revision

import (
	"context"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// snapshotKey is what rendezvous hashing orders the snapshot writers by.
	snapshotKey = "configuration snapshot"
	// snapshotInterval is the mean time between two looks at whether a
	// snapshot is due.
	snapshotInterval = 500 * time.Millisecond
	// minTurn and maxTurn bound how long each writer waits for the one before.
	minTurn = 2 * time.Second
	maxTurn = time.Minute
	// turnShare is the part of the log's retention that each writer waits for
	// the one before.
	turnShare = 0.05
)

// Turn returns how long a snapshot has to be due before this host writes it:
// the first in rendezvous order writes at once, each other one only if those
// before it did not.
func Turn(self string, members []string, retention time.Duration) time.Duration {
	step := time.Duration(turnShare * float64(retention))
	step = min(max(step, minTurn), maxTurn)
	rank := slices.Index(placement.Rank(snapshotKey, members), self)
	return time.Duration(max(rank, 0)) * step
}

// snapshots writes snapshots when they are due and it is this host's turn.
func (k *Keeper) snapshots(ctx context.Context) {
	var due time.Time
	for ctx.Err() == nil {
		pause(ctx, jitter(snapshotInterval))
		state, ok := k.snapshotDue()
		switch {
		case !ok:
			due = time.Time{}
			continue
		case due.IsZero():
			due = time.Now()
		}
		var names []string
		for _, m := range k.Members() {
			names = append(names, m.Name)
		}
		if time.Since(due) < Turn(k.Host, names, k.Retention) {
			continue
		}
		k.writeSnapshot(ctx, state)
		// The snapshot is read back before another is due.
		pause(ctx, minTurn)
		due = time.Time{}
	}
}

// snapshotDue tells whether a snapshot is due as far as this host knows.
func (k *Keeper) snapshotDue() (document.State, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.pageAt.IsZero() || k.logDown || k.gap || k.reset {
		return document.State{}, false
	}
	return k.replica.State, k.replica.SnapshotDue(document.Retention{
		Millis: k.Retention.Milliseconds(), Share: k.SnapshotShare, First: k.page.First,
		NowMillis: k.page.NowMillis + time.Since(k.pageAt).Milliseconds(),
	})
}

// writeSnapshot appends a snapshot of a state.
func (k *Keeper) writeSnapshot(ctx context.Context, state document.State) {
	raw, err := document.EncodeSnapshot(state.Snapshot(k.Host))
	if err != nil {
		event.SnapshotFailed.Error(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := k.Log.Append(ctx, registry.ConfigurationStream, raw); err != nil {
		event.SnapshotFailed.Error(err, "Covers", state.Position())
		return
	}
	k.Metrics.Counter("configuration_snapshots").Inc(1)
	event.SnapshotWritten.Info("Covers", state.Position(), "Bytes", len(raw))
}
