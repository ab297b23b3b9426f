package crash_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/quarantine"
)

// shelf is a store that has records, and fails some calls first.
type shelf struct {
	mu      sync.Mutex
	fails   int
	kept    map[quarantine.Fingerprint]quarantine.Record
	dropped int
	// begin lets the first read begin; nil lets it at once.
	begin chan struct{}
}

func (s *shelf) Crashers(ctx context.Context, from int64, _ time.Duration) ([]quarantine.Record, int64, error) {
	if s.begin != nil {
		select {
		case <-s.begin:
		case <-ctx.Done():
		}
	}
	if from >= 0 {
		<-ctx.Done()
		return nil, from, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var records []quarantine.Record
	for _, r := range s.kept {
		records = append(records, r)
	}
	return records, 1, nil
}

func (s *shelf) KeepCrasher(_ context.Context, r quarantine.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fails > 0 {
		s.fails--
		return context.DeadlineExceeded
	}
	s.kept[r.Fingerprint] = r
	return nil
}

func (s *shelf) DropCrasher(_ context.Context, f quarantine.Fingerprint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.kept, f)
	s.dropped++
	return nil
}

func (s *shelf) has(f quarantine.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.kept[f]
	return ok
}

// says tells whether it has a record of so many losses, and its verdict.
func (s *shelf) says(f quarantine.Fingerprint, losses int, condemned bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.kept[f]
	return r.Losses >= losses && r.Condemned == condemned
}

func (s *shelf) drops() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

// TestKeptRecords keeps what condemns although the store fails at first, drops
// it once the request is answered after all, and drops what has expired.
func TestKeptRecords(t *testing.T) {
	is := is.New(t)
	old := quarantine.Record{ID: "old", Fingerprint: "expired", Engine: "e", At: time.Now().Add(-quarantine.Lifetime), Condemned: true}
	s := &shelf{fails: 1, kept: map[quarantine.Fingerprint]quarantine.Record{"expired": old}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	await := func(holds func() bool) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !holds(); time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline))
		}
	}
	await(func() bool { return !s.has("expired") })
	for i := range 2 {
		g.Lost(quarantine.Loss{Attempt: fmt.Sprint("a", i), Fingerprint: "crasher", Engine: fmt.Sprint("engine-", i), Sent: time.Now()})
	}
	await(func() bool { return s.has("crasher") })
	g.Answered("b", "crasher")
	await(func() bool { return !s.has("crasher") })
	// An answer to a request of which the store knows nothing costs no call.
	g.Lost(quarantine.Loss{Attempt: "c", Fingerprint: "suspect", Engine: "engine-3", Sent: time.Now()})
	g.Answered("c", "suspect")
	is.Equal(s.dropped, 2)
}

// TestAnswersElsewhereDropKeptRecords answers requests on other hosts than the
// one that had the store keep a record of their losses.
func TestAnswersElsewhereDropKeptRecords(t *testing.T) {
	condemn := func(g *crash.Guard) {
		for _, engine := range []string{"a", "b"} {
			g.Lost(quarantine.Loss{Attempt: engine, Fingerprint: "read", Engine: engine, Sent: time.Now()})
		}
	}
	answer := []quarantine.Record{{ID: "answer", Fingerprint: "read", Answered: true, At: time.Now().Add(time.Minute)}}
	for _, test := range []struct {
		name  string
		fails int
		kept  quarantine.Record
		play  func(s *shelf, g *crash.Guard)
	}{
		{"heard after the write", 0, quarantine.Record{}, func(s *shelf, g *crash.Guard) {
			condemn(g)
			for !s.has("read") {
				time.Sleep(time.Millisecond)
			}
			g.Merge(answer)
		}},
		{"heard before the write", 1, quarantine.Record{}, func(_ *shelf, g *crash.Guard) {
			condemn(g)
			g.Merge(answer)
		}},
		{"read from the store by a host that has answered", 0, quarantine.Record{ID: "other/1", Fingerprint: "read", Engine: "b", Losses: 2, Condemned: true, At: time.Now()}, func(_ *shelf, g *crash.Guard) {
			g.Answered("attempt", "read")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := &shelf{fails: test.fails, kept: map[quarantine.Fingerprint]quarantine.Record{}, begin: make(chan struct{})}
			if test.kept.ID != "" {
				s.kept[test.kept.Fingerprint] = test.kept
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wait conc.WaitGroup
			defer wait.Wait()
			defer cancel()
			g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
			test.play(s, g)
			close(s.begin)
			for deadline := time.Now().Add(30 * time.Second); s.drops() == 0 || s.has("read"); time.Sleep(time.Millisecond) {
				is.True(time.Now().Before(deadline))
			}
		})
	}
}

// TestVerdictsFromLossesOfSeveralHostsAreKept condemns requests by losses of
// which none alone is kept. A host that saw one of them has the store keep the
// verdict; one that only heard of them leaves that to those.
func TestVerdictsFromLossesOfSeveralHostsAreKept(t *testing.T) {
	is := is.New(t)
	s := &shelf{kept: map[quarantine.Fingerprint]quarantine.Record{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	heard := func(f quarantine.Fingerprint) {
		var records []quarantine.Record
		for _, engine := range []string{"b", "c", "d", "e"} {
			records = append(records, quarantine.Record{ID: string(f) + engine, Fingerprint: f, Engine: engine, At: time.Now(), Losses: 2})
		}
		g.Merge(records)
	}
	heard("others alone")
	lose := func(f quarantine.Fingerprint, engine string) {
		g.Lost(quarantine.Loss{Attempt: "attempt", Fingerprint: f, Engine: engine, Sent: time.Now()})
	}
	keeps := func(f quarantine.Fingerprint, losses int, condemned bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !s.says(f, losses, condemned); time.Sleep(time.Millisecond) {
			is.True(time.Now().Before(deadline))
		}
	}
	lose("once", "a")
	is.True(!s.has("once"))
	heard("once")
	keeps("once", 4, true)
	// Three losses, while another engine is lost, are kept but don't condemn.
	lose("other", "z")
	for _, engine := range []string{"x", "y", "w"} {
		lose("thrice", engine)
	}
	keeps("thrice", 3, false)
	heard("thrice")
	keeps("thrice", 4, true)
	is.True(!s.has("others alone"))
}
