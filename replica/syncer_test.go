package replica_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/replica"
)

// fakeStore returns the records that the test adds.
type fakeStore struct {
	mu   sync.Mutex
	down bool
	logs [3][]replica.Record
	// failed counts failed reads of the Upstreams topic.
	failed int
	// held receives a channel for an empty result of the Operator topic, which is
	// held back until the channel is closed; nil holds back no results.
	held chan chan struct{}
}

var errDown = errors.New("the store is down")

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *fakeStore) Newest(ctx context.Context, t replica.Topic) (replica.Delta, error) {
	d, err := s.Read(ctx, t, 0, 0)
	d.Full = true
	return d, err
}

func (s *fakeStore) Read(ctx context.Context, t replica.Topic, from int64, wait time.Duration) (replica.Delta, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		down, log := s.down, s.logs[t]
		if down && t == replica.Upstreams {
			s.failed++
		}
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return replica.Delta{}, ctx.Err()
		case down:
			return replica.Delta{}, errDown
		case int64(len(log)) > from, time.Now().After(end):
			if s.held != nil && t == replica.Operator && int64(len(log)) == from {
				release := make(chan struct{})
				select {
				case s.held <- release:
					<-release
				default:
				}
			}
			return replica.Delta{Topic: t, Position: int64(len(log)), Records: log[min(from, int64(len(log))):]}, nil
		}
	}
}

// emptyDigests are those of a host without records.
var emptyDigests = make([]replica.Digest, len(replica.Topics()))

// fakePeers send no records; they confirm the state or fail.
type fakePeers struct{ confirm bool }

func (p fakePeers) Pull(context.Context, []int64) (replica.Reply, error) {
	if !p.confirm {
		return replica.Reply{}, errDown
	}
	return replica.Reply{Age: time.Millisecond, Digests: emptyDigests}, nil
}

// TestRemovalAfterStoreFailure removes an upstream just as a host reaches the
// store again. If the other hosts could read the store all the time, no outage
// caused the removal, and it takes effect immediately.
func TestRemovalAfterStoreFailure(t *testing.T) {
	for name, c := range map[string]struct {
		confirm bool
		want    string
	}{
		"other hosts read the store": {true, "b@1.1"},
		"no host reads the store":    {false, "a@1.1 b@1.1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{}
			store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1")}
			store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1"), record("b", 1, "e1.1")}
			ctx, cancel := context.WithCancel(t.Context())
			var wait conc.WaitGroup
			defer wait.Wait()
			defer cancel()
			syncer := replica.NewSyncer(ctx, &wait, replica.Options{Store: store, Peers: fakePeers{c.confirm}, Decode: decode, ReadsStore: func() bool { return true }})
			await := func(condition func() bool) {
				for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
					is.True(time.Now().Before(deadline)) // the condition becomes true
				}
			}
			await(func() bool { return syncer.Ready() && upstreamIDs(syncer.State()) == "a@1.1 b@1.1" })
			store.set(func() { store.down = true })
			await(func() bool { store.mu.Lock(); defer store.mu.Unlock(); return store.failed > 0 })
			if !c.confirm {
				await(func() bool { return !syncer.Fresh() })
			}
			store.set(func() {
				store.down = false
				store.logs[replica.Upstreams] = append(store.logs[replica.Upstreams], record("a", 2, ""))
			})
			await(func() bool { return syncer.State().Position(replica.Upstreams) == 3 })
			is.Equal(upstreamIDs(syncer.State()), c.want)
		})
	}
}

// replyingPeers send all records from the start.
type replyingPeers struct{ deltas []replica.Delta }

func (p replyingPeers) Pull(context.Context, []int64) (replica.Reply, error) {
	return replica.Reply{Deltas: p.deltas, Age: time.Millisecond, Digests: emptyDigests}, nil
}

// TestWeightsSetBeforeStart checks that target weights set before a host started
// count as old: the host can't know when they were set, from whatever source it
// receives them.
func TestWeightsSetBeforeStart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	delta := replica.Delta{Topic: replica.Operator, Position: 2, Full: true, Records: []replica.Record{record("config", 0, "c1"), record("version/m", 1, "w2")}}
	syncer := replica.NewSyncer(ctx, &wait, replica.Options{Store: &fakeStore{down: true}, Peers: replyingPeers{[]replica.Delta{delta}}, Decode: decode, ReadsStore: func() bool { return true }})
	for deadline := time.Now().Add(30 * time.Second); syncer.State().Catalog.Version == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the condition becomes true
	}
	history, ok := syncer.State().WeightsHistory("m")
	is.True(ok)
	is.True(clock.Now().Sub(history.Since) >= 4*time.Second)
}

// silenceablePeers confirm the state until they are silenced.
type silenceablePeers struct{ silent *atomic.Bool }

func (p silenceablePeers) Pull(context.Context, []int64) (replica.Reply, error) {
	return fakePeers{!p.silent.Load()}.Pull(context.Background(), nil)
}

// TestWeightsSetWhileReadersAreSilent sets target weights after the hosts that
// read the store for others have become silent: the weights count from when this
// host last had a complete state, not from when it reads the store itself.
func TestWeightsSetWhileReadersAreSilent(t *testing.T) {
	for name, outage := range map[string]bool{"without an outage of the store": false, "after an outage of the store": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{}
			store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1"), record("version/m", 1, "w1")}
			store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1")}
			ctx, cancel := context.WithCancel(t.Context())
			var wait conc.WaitGroup
			defer wait.Wait()
			defer cancel()
			var silent atomic.Bool
			syncer := replica.NewSyncer(ctx, &wait, replica.Options{Store: store, Peers: silenceablePeers{&silent}, Decode: decode, ReadsStore: func() bool { return false }})
			await := func(condition func() bool) {
				for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
					is.True(time.Now().Before(deadline)) // the condition becomes true
				}
			}
			await(func() bool { return syncer.Ready() && syncer.Fresh() })
			if outage {
				store.set(func() { store.down = true })
				silent.Store(true)
				await(func() bool { return !syncer.Fresh() })
				silent.Store(false)
				await(syncer.Fresh)
				store.set(func() { store.down = false })
			}
			// Lets reads in progress finish.
			time.Sleep(time.Second)
			silent.Store(true)
			setAt := clock.Now()
			store.set(func() {
				store.logs[replica.Operator] = append(store.logs[replica.Operator], record("version/m", 2, "w2"))
			})
			await(func() bool { w, _ := syncer.State().WeightsHistory("m"); return w.Version == 2 })
			w, _ := syncer.State().WeightsHistory("m")
			is.True(!setAt.Before(w.Since))
		})
	}
}

// TestDelayedResultConfirmsNothingLater handles an empty result of the store late,
// as a suspended process does, after target weights were set: the result must not
// confirm that the state was complete after they were set.
func TestDelayedResultConfirmsNothingLater(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{held: make(chan chan struct{})}
	store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1"), record("version/m", 1, "w1")}
	store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1")}
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	syncer := replica.NewSyncer(ctx, &wait, replica.Options{Store: store, Peers: fakePeers{false}, Decode: decode, ReadsStore: func() bool { return true }})
	release := <-store.held
	setAt := clock.Now()
	store.set(func() {
		store.logs[replica.Operator] = append(store.logs[replica.Operator], record("version/m", 2, "w2"))
	})
	time.Sleep(time.Second)
	close(release)
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the new weights arrive
		if w, _ := syncer.State().WeightsHistory("m"); w.Version == 2 {
			is.True(!setAt.Before(w.Since))
			return
		}
	}
}
