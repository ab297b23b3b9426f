package replica_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/replica"
)

// pausedStore has the process stand still during one read of the Operator topic.
type pausedStore struct {
	*fakeStore

	mu sync.Mutex
	// pause has the next read begin the pause.
	pause bool
	// paused is closed when the pause begins, resume ends it.
	paused, resume chan struct{}
	// after counts the reads after the pause, which fail.
	after atomic.Int64
	// resumed is set after the pause.
	resumed bool
}

func (s *pausedStore) Read(ctx context.Context, t replica.Topic, from int64, wait time.Duration) (replica.Delta, error) {
	if t != replica.Operator {
		return s.fakeStore.Read(ctx, t, from, wait)
	}
	s.mu.Lock()
	pause, resumed := s.pause, s.resumed
	s.pause = false
	s.mu.Unlock()
	switch {
	case pause:
		close(s.paused)
		<-s.resume // the deadline passes, but the process does not run
		s.mu.Lock()
		s.resumed = true
		s.mu.Unlock()
		return replica.Delta{}, context.DeadlineExceeded
	case resumed:
		s.after.Add(1)
		return replica.Delta{}, errDown
	}
	return s.fakeStore.Read(ctx, t, from, wait)
}

// tellingPeers tell of new target weights once the channel is closed.
type tellingPeers struct{ told <-chan struct{} }

func (p tellingPeers) Pull(context.Context, []int64) (replica.Reply, error) {
	select {
	case <-p.told:
		return replica.Reply{Age: -1, EntriesAge: -1, Digests: emptyDigests, Deltas: []replica.Delta{{
			Topic: replica.Operator, Position: 3, Records: []replica.Record{record("version/m", 2, "w2")},
		}}}, nil
	default:
		return replica.Reply{}, errDown
	}
}

// TestWeightsSetDuringAPause sets target weights while the process stands still, for
// longer than a read of the store may take. The read that was in progress fails then, and
// so do the next; that does not tell that the store answered nobody during the pause.
func TestWeightsSetDuringAPause(t *testing.T) {
	is := is.New(t)
	store := &pausedStore{fakeStore: &fakeStore{}, paused: make(chan struct{}), resume: make(chan struct{})}
	store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1"), record("version/m", 1, "w1")}
	store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1")}
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	told := make(chan struct{})
	syncer := replica.NewSyncer(ctx, &wait, replica.Options{Store: store, Peers: tellingPeers{told}, Decode: decode, ReadsStore: func() bool { return true }})
	await := func(condition func() bool) {
		for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline)) // the condition becomes true
		}
	}
	await(func() bool { return syncer.Ready() && syncer.Fresh() })
	store.mu.Lock()
	store.pause = true
	store.mu.Unlock()
	<-store.paused
	setAt := clock.Now()
	time.Sleep(3 * time.Second)
	close(store.resume)
	// The host has handled at least the failures of the first two reads.
	await(func() bool { return store.after.Load() > 1 })
	close(told)
	await(func() bool { w, _ := syncer.State().WeightsHistory("m"); return w.Version == 2 })
	w, _ := syncer.State().WeightsHistory("m")
	is.True(!setAt.Before(w.Since))
}
