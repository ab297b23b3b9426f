package resumption_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/resumption"
	"github.com/kumquathoist/kumquathoist/software"
)

const awaitTimeout = 30 * time.Second

// fakeStore keeps what ledgers write.
type fakeStore struct {
	mu       sync.Mutex
	down     bool
	batches  []software.Batch
	versions map[string]software.Versions
	reads    int
}

var errDown = errors.New("the store is down")

func (s *fakeStore) Era() int64 { return 0 }

func (s *fakeStore) PutVersions(_ context.Context, service string, v software.Versions) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	s.versions[service] = v
	return nil
}

func (s *fakeStore) PutStreams(_ context.Context, batches []software.Batch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return errDown
	}
	s.batches = append(s.batches, batches...)
	return nil
}

func (s *fakeStore) Streams(_ context.Context, from int64) (resumption.StoredStreams, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return resumption.StoredStreams{}, errDown
	}
	return resumption.StoredStreams{Batches: s.batches[max(from, 0):], Next: int64(len(s.batches))}, nil
}

func (s *fakeStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// fakeReplica has a state that tests set.
type fakeReplica struct {
	mu    sync.Mutex
	state replica.State
	store *fakeStore
	// hidden is how many more reads don't show the recorded versions yet.
	hidden int
	reads  int
}

func (r *fakeReplica) State() replica.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	state := r.state
	r.reads++
	if r.hidden > 0 {
		r.hidden--
		return state
	}
	d := replica.Delta{Topic: replica.Software, Position: 1, Full: true}
	v, ok := r.store.versions["models"]
	if ok {
		d.Records = []replica.Record{{Key: "models", Value: []byte("v")}}
	}
	state, _ = state.Merge(d, func(replica.Topic, string, []byte) (replica.Decoded, error) {
		return replica.Decoded{Software: &v}, nil
	}, replica.Times{})
	return state
}

func (r *fakeReplica) Changed() <-chan struct{} { return nil }

func (r *fakeReplica) CatchUp(context.Context, clock.Instant) bool { return true }

// serve sets the software versions of the service's upstreams.
func (r *fakeReplica) serve(versions ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Catalog = catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "models"}}, nil, nil)
	r.state.Upstreams = discovery.Set{}
	for _, v := range versions {
		r.state.Upstreams = r.state.Upstreams.With(discovery.Entry{ID: v, Service: "models", Software: v})
	}
}

// newLedger starts a ledger of a host that records versions.
func newLedger(t *testing.T, host string, r *fakeReplica) *resumption.Ledger {
	return start(t, host, r, true)
}

// newReader starts a ledger of a host that doesn't.
func newReader(t *testing.T, host string, r *fakeReplica) *resumption.Ledger {
	return start(t, host, r, false)
}

func start(t *testing.T, host string, r *fakeReplica, writesVersions bool) *resumption.Ledger {
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	return resumption.New(ctx, &wait, resumption.Options{
		Host: host, Store: r.store, Replica: r, WritesVersions: func() bool { return writesVersions }, Hosts: func() int { return 2 }, Metrics: tally.NoopScope,
	})
}

func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// TestFind looks up streams that another host began.
func TestFind(t *testing.T) {
	for _, c := range []struct {
		name string
		// before serve when the stream begins, after when its caller comes back.
		before, after []string
		down          bool
		want          software.Origin
	}{
		{"one version", []string{"a"}, []string{"a"}, false, software.Origin{Version: "a", Known: true, Source: software.OnlyVersion}},
		{"one version, the store is down", []string{"a"}, []string{"a"}, true, software.Origin{Version: "a", Known: true, Source: software.OnlyVersion}},
		{"two versions", []string{"a", "b"}, []string{"a", "b"}, false, software.Origin{Version: "a", Known: true, Source: software.Recorded}},
		{"two versions, the store is down", []string{"a", "b"}, []string{"a", "b"}, true, software.Origin{Source: software.Unreadable}},
		{"the version has left", []string{"a", "b"}, []string{"b"}, false, software.Origin{Version: "a", Known: true, Source: software.Recorded}},
		{"a second version came later", []string{"a"}, []string{"a", "b"}, false, software.Origin{Version: "a", Known: true, Source: software.Recorded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store := &fakeStore{versions: map[string]software.Versions{}}
			r := &fakeReplica{store: store}
			r.serve(c.before...)
			began := newLedger(t, "first", r)
			await(t, "the versions are recorded", func() bool { _, ok := r.State().Software("models"); return ok })
			began.Began(context.Background(), "models", "s1", "a")
			r.serve(c.after...)
			if c.want.Source == software.Recorded || c.want.Source == software.Unreadable {
				await(t, "the stream is recorded", func() bool {
					store.mu.Lock()
					defer store.mu.Unlock()
					return len(store.batches) > 0
				})
			}
			store.set(func() { store.down = c.down })
			found := newLedger(t, "second", r)
			is.Equal(found.Find(context.Background(), "models", "s1"), c.want)
		})
	}
}

// TestUnrecordedStream checks that a stream without a record is not taken for one
// of any version while there are two.
func TestUnrecordedStream(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{versions: map[string]software.Versions{}}
	r := &fakeReplica{store: store}
	r.serve("a", "b")
	l := newLedger(t, "host", r)
	is.Equal(l.Find(context.Background(), "models", "unknown"), software.Origin{Source: software.Unrecorded})
	is.Equal(l.Find(context.Background(), "models", ""), software.Origin{Source: software.Unrecorded})
}

// TestVersionsAreNotReplacedUnread checks that a host that has just started does not
// replace the record of earlier versions before it has read it.
func TestVersionsAreNotReplacedUnread(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{versions: map[string]software.Versions{"models": software.NewVersions(software.Left{Version: "a"})}}
	r := &fakeReplica{store: store, hidden: 1}
	r.serve("b")
	newLedger(t, "host", r)
	await(t, "the host has recorded the new version", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.versions["models"].All()) != 1 || store.versions["models"].Serves("b")
	})
	is.Equal(store.versions["models"].String(), "a (left), b")
}

// TestVersionsArriveDuringFind checks that a host that has just started does not take
// the present version for the only one when the record of earlier versions arrives
// while it looks a stream up.
func TestVersionsArriveDuringFind(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{versions: map[string]software.Versions{"models": software.NewVersions(software.Left{Version: "a"})}}
	r := &fakeReplica{store: store, hidden: 2}
	r.serve("b")
	l := newReader(t, "host", r)
	await(t, "the ledger has read the replica once", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.reads > 0
	})
	is.True(!l.Find(context.Background(), "models", "s1").Known)
}

// TestVersionsAreNotRecordedYet checks that a host without any record of earlier
// versions does not take the present one for the only one.
func TestVersionsAreNotRecordedYet(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{versions: map[string]software.Versions{}, down: true}
	r := &fakeReplica{store: store}
	r.serve("b")
	l := newLedger(t, "host", r)
	is.True(!l.Find(context.Background(), "models", "s1").Known)
}

// TestFirstEventWaitsForItsRecord checks that a stream is in the store before its
// first event is relayed, so that the loss of all hosts right after it does no harm.
func TestFirstEventWaitsForItsRecord(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{versions: map[string]software.Versions{}}
	r := &fakeReplica{store: store}
	r.serve("a", "b")
	l := newLedger(t, "host", r)
	await(t, "the versions are recorded", func() bool { _, ok := r.State().Software("models"); return ok })
	recorded := 0
	for i := range 20 {
		id := fmt.Sprint("s", i)
		l.Began(context.Background(), "models", id, "a")
		store.set(func() {
			for _, b := range store.batches {
				if slices.Contains(b.Streams["a"], id) {
					recorded++
					break
				}
			}
		})
	}
	t.Logf("%d of 20 streams were recorded in time", recorded)
	is.True(recorded >= 10) // a busy machine may need more than the longest wait
}
