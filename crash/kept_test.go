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
}

func (s *shelf) Crashers(ctx context.Context, from int64, _ time.Duration) ([]quarantine.Record, int64, error) {
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
