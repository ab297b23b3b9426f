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

// fakeStore answers with what the test puts into it.
type fakeStore struct {
	mu   sync.Mutex
	down bool
	logs [2][]replica.Record
	// reads counts reads of the upstreams' records that failed.
	failed int
	// holds is told of an answer about the operators' records that has no news,
	// which waits for its close then; nil holds none.
	holds chan chan struct{}
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
			if s.holds != nil && t == replica.Operator && int64(len(log)) == from {
				held := make(chan struct{})
				select {
				case s.holds <- held:
					<-held
				default:
				}
			}
			return replica.Delta{Topic: t, Position: int64(len(log)), Records: log[min(from, int64(len(log))):]}, nil
		}
	}
}

// fakePeers know nothing more, but confirm or don't.
type fakePeers struct{ confirm bool }

func (p fakePeers) Pull(context.Context, []int64) (replica.Reply, error) {
	if !p.confirm {
		return replica.Reply{}, errDown
	}
	return replica.Reply{Age: time.Millisecond}, nil
}

// TestRemovalAfterLosingTheStore removes an upstream just as a host reaches
// the store again. If the other hosts had the store all the while, the removal
// is none that an outage caused, and counts at once.
func TestRemovalAfterLosingTheStore(t *testing.T) {
	for name, c := range map[string]struct {
		confirm bool
		want    string
	}{
		"the others had the store": {true, "b@1.1"},
		"nobody had the store":     {false, "a@1.1 b@1.1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeStore{}
			s.logs[replica.Operator] = []replica.Record{record("config", 0, "c1")}
			s.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1"), record("b", 1, "e1.1")}
			ctx, cancel := context.WithCancel(t.Context())
			var wait conc.WaitGroup
			defer wait.Wait()
			defer cancel()
			k := replica.NewKeeper(ctx, &wait, replica.Options{Store: s, Peers: fakePeers{c.confirm}, Decode: decode, Reads: func() bool { return true }})
			await := func(holds func() bool) {
				for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(time.Millisecond) {
					is.True(time.Now().Before(deadline)) // it comes to pass
				}
			}
			await(func() bool { return k.Ready() && ids(k.Book()) == "a@1.1 b@1.1" })
			s.set(func() { s.down = true })
			await(func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.failed > 0 })
			if !c.confirm {
				await(func() bool { return !k.Fresh() })
			}
			s.set(func() {
				s.down = false
				s.logs[replica.Upstreams] = append(s.logs[replica.Upstreams], record("a", 2, ""))
			})
			await(func() bool { return k.Book().Position(replica.Upstreams) == 3 })
			is.Equal(ids(k.Book()), c.want)
		})
	}
}

// tellingPeers know everything from the start.
type tellingPeers struct{ deltas []replica.Delta }

func (p tellingPeers) Pull(context.Context, []int64) (replica.Reply, error) {
	return replica.Reply{Deltas: p.deltas, Age: time.Millisecond}, nil
}

// TestWeightsKnownBeforeTheStart dates weights that were named before a host
// started: it can't know how long ago, whoever tells it.
func TestWeightsKnownBeforeTheStart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	delta := replica.Delta{Topic: replica.Operator, Position: 2, Full: true, Records: []replica.Record{record("config", 0, "c1"), record("version/m", 1, "w2")}}
	k := replica.NewKeeper(ctx, &wait, replica.Options{Store: &fakeStore{down: true}, Peers: tellingPeers{[]replica.Delta{delta}}, Decode: decode, Reads: func() bool { return true }})
	for deadline := time.Now().Add(30 * time.Second); k.Book().Catalog.Version == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // it comes to pass
	}
	named, ok := k.Book().Weights("m")
	is.True(ok)
	is.True(clock.Now().Sub(named.Since) >= 4*time.Second)
}

// switchedPeers confirm until they fall silent.
type switchedPeers struct{ silent *atomic.Bool }

func (p switchedPeers) Pull(context.Context, []int64) (replica.Reply, error) {
	return fakePeers{!p.silent.Load()}.Pull(context.Background(), nil)
}

// TestWeightsNamedWhileTheReadersWereSilent dates weights that were named
// after the hosts that read the store for others had fallen silent: they count
// from when this host last knew all, not from when it asked the store itself.
func TestWeightsNamedWhileTheReadersWereSilent(t *testing.T) {
	for name, outage := range map[string]bool{"at once": false, "after an outage of the store": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeStore{}
			s.logs[replica.Operator] = []replica.Record{record("config", 0, "c1"), record("version/m", 1, "w1")}
			s.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1")}
			ctx, cancel := context.WithCancel(t.Context())
			var wait conc.WaitGroup
			defer wait.Wait()
			defer cancel()
			var silent atomic.Bool
			k := replica.NewKeeper(ctx, &wait, replica.Options{Store: s, Peers: switchedPeers{&silent}, Decode: decode, Reads: func() bool { return false }})
			await := func(holds func() bool) {
				for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(time.Millisecond) {
					is.True(time.Now().Before(deadline)) // it comes to pass
				}
			}
			await(func() bool { return k.Ready() && k.Fresh() })
			if outage {
				s.set(func() { s.down = true })
				silent.Store(true)
				await(func() bool { return !k.Fresh() })
				silent.Store(false)
				await(k.Fresh)
				s.set(func() { s.down = false })
			}
			// What was read last is done with.
			time.Sleep(time.Second)
			silent.Store(true)
			named := clock.Now()
			s.set(func() {
				s.logs[replica.Operator] = append(s.logs[replica.Operator], record("version/m", 2, "w2"))
			})
			await(func() bool { w, _ := k.Book().Weights("m"); return w.Number == 2 })
			w, _ := k.Book().Weights("m")
			is.True(!named.Before(w.Since))
		})
	}
}

// TestAnswersThatWaitedTellNothingOfLater takes an answer of the store without
// news late, as a process does that stood still, after weights were named.
func TestAnswersThatWaitedTellNothingOfLater(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{holds: make(chan chan struct{})}
	s.logs[replica.Operator] = []replica.Record{record("config", 0, "c1"), record("version/m", 1, "w1")}
	s.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1")}
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	k := replica.NewKeeper(ctx, &wait, replica.Options{Store: s, Peers: fakePeers{false}, Decode: decode, Reads: func() bool { return true }})
	held := <-s.holds
	named := clock.Now()
	s.set(func() {
		s.logs[replica.Operator] = append(s.logs[replica.Operator], record("version/m", 2, "w2"))
	})
	time.Sleep(time.Second)
	close(held)
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the weights are heard of
		if w, _ := k.Book().Weights("m"); w.Number == 2 {
			is.True(!named.Before(w.Since))
			return
		}
	}
}
