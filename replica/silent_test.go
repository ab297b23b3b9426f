package replica_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/replica"
)

// hangingStore doesn't answer reads of the upstreams' entries after the first list
// of them. It sends how long each of these reads would wait.
type hangingStore struct {
	*fakeStore

	limits chan time.Duration
}

func (s hangingStore) Read(ctx context.Context, t replica.Topic, from int64, wait time.Duration) (replica.Delta, error) {
	if t != replica.Upstreams {
		return s.fakeStore.Read(ctx, t, from, wait)
	}
	limit, _ := ctx.Deadline()
	select {
	case s.limits <- time.Until(limit):
	default:
	}
	<-ctx.Done()
	return replica.Delta{}, ctx.Err()
}

// relayingPeers answer pulls with the records of another host.
type relayingPeers struct{ host *replica.Syncer }

func (p relayingPeers) Pull(_ context.Context, positions []int64) (replica.Reply, error) {
	return p.host.Answer(positions), nil
}

// minDrain is the shortest time after which upstreams that announced their leaving
// must get no more requests.
const minDrain = 2 * time.Second

// TestSilentReadOfEntriesHidesNoLeavingUpstream lets the reads of a host hang that
// reads the store for another one. It must give them up before leaving upstreams
// are overdue, and the other host must not take its entries for current.
func TestSilentReadOfEntriesHidesNoLeavingUpstream(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{}
	store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1")}
	store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1"), record("b", 1, "e1.1")}
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	hanging := hangingStore{store, make(chan time.Duration, 1)}
	reader := replica.NewSyncer(ctx, &wait, replica.Options{Store: hanging, Peers: fakePeers{false}, Decode: decode, ReadsStore: func() bool { return true }})
	limit := <-hanging.limits
	is.True(limit < minDrain) // the read is given up in time
	other := replica.NewSyncer(ctx, &wait, replica.Options{Store: store, Peers: relayingPeers{reader}, Decode: decode, ReadsStore: func() bool { return false }})
	await := func(condition func() bool) {
		for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline)) // the condition becomes true
		}
	}
	await(func() bool { return other.Ready() && other.Fresh() })
	time.Sleep(time.Second) // lets reads in progress finish
	store.set(func() {
		store.logs[replica.Upstreams] = append(store.logs[replica.Upstreams], record("a", 2, ""))
	})
	await(func() bool { return other.State().Position(replica.Upstreams) == 3 })
}
