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
	// snapshotKey is the key that orders snapshot writers by rendezvous hashing.
	snapshotKey = "configuration snapshot"
	// snapshotInterval is the mean interval between checks whether a snapshot is
	// due.
	snapshotInterval = 500 * time.Millisecond
	// minDelayStep and maxDelayStep limit how much longer each writer waits than
	// the previous one.
	minDelayStep = 2 * time.Second
	maxDelayStep = time.Minute
	// delayStepShare is the additional wait of each writer as a fraction of the
	// log's retention.
	delayStepShare = 0.05
)

// SnapshotDelay returns how long a snapshot has to be due before this host
// writes it. The first host in rendezvous order writes immediately, each other
// one only if the hosts before it did not.
func SnapshotDelay(self string, members []string, retention time.Duration) time.Duration {
	step := time.Duration(delayStepShare * float64(retention))
	step = min(max(step, minDelayStep), maxDelayStep)
	rank := slices.Index(placement.Rank(snapshotKey, members), self)
	return time.Duration(max(rank, 0)) * step
}

// writeSnapshots writes a snapshot whenever one has been due for this host's
// SnapshotDelay.
func (s *Syncer) writeSnapshots(ctx context.Context) {
	var due time.Time
	for ctx.Err() == nil {
		sleep(ctx, jitter(snapshotInterval))
		state, ok := s.snapshotDue()
		switch {
		case !ok:
			due = time.Time{}
			continue
		case due.IsZero():
			due = time.Now()
		}
		var names []string
		for _, m := range s.Members() {
			names = append(names, m.Name)
		}
		if time.Since(due) < SnapshotDelay(s.Host, names, s.Retention) {
			continue
		}
		s.writeSnapshot(ctx, state)
		// Leaves time to read the snapshot back before the next check.
		sleep(ctx, minDelayStep)
		due = time.Time{}
	}
}

// snapshotDue returns the state and whether a snapshot of it is due. It returns
// false while this host can't use the log.
func (s *Syncer) snapshotDue() (document.State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastPageAt.IsZero() || s.logDown || s.logGap || s.logReset {
		return document.State{}, false
	}
	return s.replica.State, s.replica.SnapshotDue(document.Retention{
		Millis: s.Retention.Milliseconds(), Share: s.SnapshotShare, First: s.lastPage.First,
		NowMillis: s.lastPage.NowMillis + time.Since(s.lastPageAt).Milliseconds(),
	})
}

// writeSnapshot appends a snapshot of a state.
func (s *Syncer) writeSnapshot(ctx context.Context, state document.State) {
	raw, err := document.EncodeSnapshot(state.Snapshot(s.Host))
	if err != nil {
		event.SnapshotFailed.Error(err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := s.Log.Append(ctx, registry.ConfigurationStream, raw); err != nil {
		event.SnapshotFailed.Error(err, "Covers", state.Position())
		return
	}
	s.Metrics.Counter("configuration_snapshots").Inc(1)
	event.SnapshotWritten.Info("Covers", state.Position(), "Bytes", len(raw))
}
