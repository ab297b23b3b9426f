package crash_test

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/quarantine"
)

// fakeStore is a store in memory whose first writes may fail.
type fakeStore struct {
	mu      sync.Mutex
	fails   int
	records map[quarantine.Fingerprint]quarantine.Record
	dropped int
	// allowRead blocks reads until it is closed; nil doesn't block.
	allowRead chan struct{}
	// restored makes a waiting read return all records, as after the store came
	// back from an older copy.
	restored chan struct{}
	// allowWritten blocks a write after it took effect until it receives; nil
	// doesn't block.
	allowWritten chan struct{}
}

func (s *fakeStore) Crashers(ctx context.Context, from int64, _ time.Duration) (crash.StoredRecords, error) {
	if s.allowRead != nil {
		select {
		case <-s.allowRead:
		case <-ctx.Done():
		}
	}
	if from >= 0 {
		select {
		case <-s.restored:
		case <-ctx.Done():
			return crash.StoredRecords{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []quarantine.Record
	for _, r := range s.records {
		records = append(records, r)
	}
	return crash.StoredRecords{Records: records, Next: 1, Complete: true}, nil
}

func (s *fakeStore) PersistCrasher(_ context.Context, r quarantine.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails > 0 {
		s.fails--
		return context.DeadlineExceeded
	}
	s.records[r.Fingerprint] = r
	if s.allowWritten != nil {
		s.mu.Unlock()
		<-s.allowWritten
		s.mu.Lock()
	}
	return nil
}

func (s *fakeStore) RemoveCrasher(_ context.Context, f quarantine.Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, f)
	s.dropped++
	return nil
}

func (s *fakeStore) has(f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.records[f]
	return ok
}

// hasRecord reports whether the record of a request has at least the given
// losses and the given verdict.
func (s *fakeStore) hasRecord(f quarantine.Fingerprint, losses int, quarantined bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[f]
	return r.Losses >= losses && r.Quarantined == quarantined
}

func (s *fakeStore) drops() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// TestPersistedRecords persists the record of a quarantined request although
// the first write fails, removes it once the request is answered, and removes
// expired records.
func TestPersistedRecords(t *testing.T) {
	is := is.New(t)
	old := quarantine.Record{ID: "old", Fingerprint: "expired", Engine: "e", At: time.Now().Add(-quarantine.Lifetime), Quarantined: true}
	s := &fakeStore{fails: 1, records: map[quarantine.Fingerprint]quarantine.Record{"expired": old}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	await := func(condition func() bool) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline))
		}
	}
	await(func() bool { return !s.has("expired") })
	for i := range 2 {
		g.Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: fmt.Sprint("a", i), Engine: fmt.Sprint("engine-", i), Sent: time.Now()})
	}
	await(func() bool { return s.has("crasher") })
	g.Answered("b", quarantine.Content{Request: "crasher"})
	await(func() bool { return !s.has("crasher") })
	// An answer to a request without a stored record makes no call.
	g.Lost(quarantine.Loss{Content: quarantine.Content{Request: "suspect"}, Attempt: "c", Engine: "engine-3", Sent: time.Now()})
	g.Answered("c", quarantine.Content{Request: "suspect"})
	is.Equal(s.dropped, 2)
}

// TestAnswersOnOtherHostsRemoveRecords answers a request on another host than
// the one that persisted a record of its losses.
func TestAnswersOnOtherHostsRemoveRecords(t *testing.T) {
	quarantineRead := func(g *crash.Guard) {
		for _, engine := range []string{"a", "b"} {
			g.Lost(quarantine.Loss{Content: quarantine.Content{Request: "read"}, Attempt: engine, Engine: engine, Sent: time.Now()})
		}
	}
	answer := []quarantine.Record{{ID: "answer", Fingerprint: "read", Answered: true, At: time.Now().Add(time.Minute)}}
	for _, test := range []struct {
		name   string
		fails  int
		stored quarantine.Record
		run    func(s *fakeStore, g *crash.Guard)
	}{
		{"received after the write", 0, quarantine.Record{}, func(s *fakeStore, g *crash.Guard) {
			quarantineRead(g)
			for !s.has("read") {
				time.Sleep(time.Millisecond)
			}
			g.Merge(answer)
		}},
		{"received before the write", 1, quarantine.Record{}, func(_ *fakeStore, g *crash.Guard) {
			quarantineRead(g)
			g.Merge(answer)
		}},
		{"read from the store by a host that answered it", 0, quarantine.Record{ID: "other/1", Fingerprint: "read", Engine: "b", Losses: 2, Quarantined: true, At: time.Now()}, func(_ *fakeStore, g *crash.Guard) {
			g.Answered("attempt", quarantine.Content{Request: "read"})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := &fakeStore{fails: test.fails, records: map[quarantine.Fingerprint]quarantine.Record{}, allowRead: make(chan struct{})}
			if test.stored.ID != "" {
				s.records[test.stored.Fingerprint] = test.stored
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wait conc.WaitGroup
			defer wait.Wait()
			defer cancel()
			g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
			test.run(s, g)
			close(s.allowRead)
			for deadline := time.Now().Add(30 * time.Second); s.drops() == 0 || s.has("read"); time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(deadline))
			}
		})
	}
}

// TestQuarantineFromSeveralHostsIsPersisted quarantines requests by losses on
// several hosts, none of which would be persisted alone. A host that recorded
// one of the losses persists the verdict; a host that only received them
// doesn't.
func TestQuarantineFromSeveralHostsIsPersisted(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{records: map[quarantine.Fingerprint]quarantine.Record{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	receive := func(f quarantine.Fingerprint) {
		var records []quarantine.Record
		for _, engine := range []string{"b", "c", "d", "e"} {
			records = append(records, quarantine.Record{ID: string(f) + engine, Fingerprint: f, Engine: engine, At: time.Now(), Losses: 2})
		}
		g.Merge(records)
	}
	receive("others alone")
	lose := func(f quarantine.Fingerprint, engine string) {
		g.Lost(quarantine.Loss{Content: quarantine.Content{Request: f}, Attempt: "attempt", Engine: engine, Sent: time.Now()})
	}
	awaitRecord := func(f quarantine.Fingerprint, losses int, quarantined bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !s.hasRecord(f, losses, quarantined); time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline))
		}
	}
	lose("once", "a")
	is.True(!s.has("once"))
	receive("once")
	awaitRecord("once", 4, true)
	// Three losses while another engine is lost are persisted but don't
	// quarantine the request.
	lose("other", "z")
	for _, engine := range []string{"x", "y", "w"} {
		lose("thrice", engine)
	}
	awaitRecord("thrice", 3, false)
	receive("thrice")
	awaitRecord("thrice", 4, true)
	is.True(!s.has("others alone"))
}

// TestStartedHostWaitsForStoredVerdicts admits a quarantined request before the
// store has answered.
func TestStartedHostWaitsForStoredVerdicts(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{allowRead: make(chan struct{}), records: map[quarantine.Fingerprint]quarantine.Record{
		"crasher": {ID: "1", Fingerprint: "crasher", Engine: "e", Losses: 4, Quarantined: true, At: time.Now()},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	admitted := make(chan bool)
	go func() { admitted <- admits(g, "crasher") }()
	close(s.allowRead)
	is.True(!<-admitted)
}

// TestVerdictsAreWrittenAgainAfterRestore has the store come back from a copy that
// lacks a verdict and still has one that was cleared.
func TestVerdictsAreWrittenAgainAfterRestore(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{records: map[quarantine.Fingerprint]quarantine.Record{}, restored: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	lose := func(f quarantine.Fingerprint) {
		for _, engine := range []string{"a", "b", "c", "d"} {
			g.Lost(quarantine.Loss{Content: quarantine.Content{Request: f}, Attempt: "x", Engine: string(f) + engine, Sent: time.Now()})
		}
	}
	lose("cleared")
	await(t, func() bool { return s.has("cleared") })
	s.mu.Lock()
	copied := maps.Clone(s.records)
	s.mu.Unlock()
	g.Answered("y", quarantine.Content{Request: "cleared"})
	await(t, func() bool { return !s.has("cleared") })
	lose("crasher")
	await(t, func() bool { return s.has("crasher") })
	s.mu.Lock()
	s.records = copied
	s.mu.Unlock()
	s.restored <- struct{}{}
	await(t, func() bool { return s.has("crasher") && !s.has("cleared") })
	is.True(!admits(g, "crasher"))
	is.True(admits(g, "cleared"))
}

// TestVerdictLostDuringItsWriteIsWrittenAgain has the store come back from an older
// copy after it took a verdict and before it confirmed that.
func TestVerdictLostDuringItsWriteIsWrittenAgain(t *testing.T) {
	s := &fakeStore{records: map[quarantine.Fingerprint]quarantine.Record{}, restored: make(chan struct{}), allowWritten: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	for _, engine := range []string{"a", "b"} {
		g.Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: "x", Engine: engine, Sent: time.Now()})
	}
	await(t, func() bool { return s.has("crasher") })
	s.mu.Lock()
	s.records = map[quarantine.Fingerprint]quarantine.Record{}
	s.mu.Unlock()
	for range 2 {
		s.restored <- struct{}{} // the second is received after the first was handled
	}
	close(s.allowWritten)
	await(t, func() bool { return s.has("crasher") })
}
