package replica_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/replica"
)

// forgetfulStore leaves the first record of a topic out of its first list.
type forgetfulStore struct {
	*fakeStore

	topic  replica.Topic
	listed atomic.Bool
}

func (s *forgetfulStore) Newest(ctx context.Context, t replica.Topic) (replica.Delta, error) {
	d, err := s.fakeStore.Newest(ctx, t)
	if t == s.topic && err == nil && s.listed.CompareAndSwap(false, true) {
		d.Records = slices.Clone(d.Records)[1:]
	}
	return d, err
}

// startSyncer starts a syncer that ends with the test.
func startSyncer(t *testing.T, o replica.Options) *replica.Syncer {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wait conc.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	o.Decode = decode
	return replica.NewSyncer(ctx, &wait, o)
}

func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// TestDifferingReplicaIsListedAgain lets a host miss an upstream that another host at
// the same position knows.
func TestDifferingReplicaIsListedAgain(t *testing.T) {
	store := &fakeStore{}
	store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1")}
	store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1"), record("b", 1, "e1.1")}
	other := startSyncer(t, replica.Options{Store: store, Peers: fakePeers{false}, ReadsStore: func() bool { return true }})
	await(t, "the other host is ready", func() bool { return upstreamIDs(other.State()) == "a@1.1 b@1.1" })
	host := startSyncer(t, replica.Options{Store: &forgetfulStore{fakeStore: store, topic: replica.Upstreams}, Peers: relayingPeers{other}, ReadsStore: func() bool { return false }})
	await(t, "the host knows both upstreams", func() bool { return upstreamIDs(host.State()) == "a@1.1 b@1.1" })
}

// olderPeers answer as programs did that sent no digests: their deltas end at their
// position, but leave a removal out. They confirm all that they say.
type olderPeers struct{ asked atomic.Int64 }

func (p *olderPeers) Pull(_ context.Context, positions []int64) (replica.Reply, error) {
	p.asked.Add(1)
	r := replica.Reply{}
	if positions[replica.Upstreams] == 2 {
		r.Deltas = []replica.Delta{upstreams(4, false, record("c", 3, "e1.1"))}
	}
	return r, nil
}

// TestOlderHostsHideNoRemovals runs a host beside hosts of an older program. It must
// use what they tell, and learn from the store what they leave out.
func TestOlderHostsHideNoRemovals(t *testing.T) {
	store := &fakeStore{}
	store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1")}
	store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1"), record("b", 1, "e1.1")}
	peers := &olderPeers{}
	host := startSyncer(t, replica.Options{Store: store, Peers: peers, ReadsStore: func() bool { return false }})
	await(t, "the host uses what older hosts tell", func() bool { return upstreamIDs(host.State()) == "a@1.1 b@1.1 c@1.1" })
	store.set(func() {
		store.logs[replica.Upstreams] = append(store.logs[replica.Upstreams], record("a", 2, ""), record("c", 3, "e1.1"))
	})
	await(t, "the host knows of the removal", func() bool { return upstreamIDs(host.State()) == "b@1.1 c@1.1" })
	await(t, "they were asked again", func() bool { return peers.asked.Load() > 1 })
}

// readingStore counts the reads of the upstreams' entries in progress.
type readingStore struct {
	*fakeStore

	reads atomic.Int64
}

func (s *readingStore) Read(ctx context.Context, t replica.Topic, from int64, wait time.Duration) (replica.Delta, error) {
	if t == replica.Upstreams {
		s.reads.Add(1)
		defer s.reads.Add(-1)
	}
	return s.fakeStore.Read(ctx, t, from, wait)
}

// watchingPeers confirm nothing. They count the pulls during which the host reads the
// upstreams' entries, and all.
type watchingPeers struct {
	store       *readingStore
	during, all atomic.Int64
}

func (p *watchingPeers) Pull(context.Context, []int64) (replica.Reply, error) {
	if p.store.reads.Load() > 0 {
		p.during.Add(1)
	}
	p.all.Add(1)
	return replica.Reply{}, errDown
}

// TestHostWithoutConfirmationFollowsTheStore checks that a host that others tell
// nothing keeps reading the store, so that it learns of departures in time.
func TestHostWithoutConfirmationFollowsTheStore(t *testing.T) {
	is := is.New(t)
	store := &readingStore{fakeStore: &fakeStore{}}
	store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1")}
	store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1")}
	peers := &watchingPeers{store: store}
	startSyncer(t, replica.Options{Store: store, Peers: peers, ReadsStore: func() bool { return false }})
	await(t, "others were asked", func() bool { return peers.all.Load() >= 20 })
	t.Logf("during %d of %d pulls the host read the entries", peers.during.Load(), peers.all.Load())
	is.True(2*peers.during.Load() > peers.all.Load())
}
