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

// countingSender collects records and counts the calls.
type countingSender struct {
	mu      sync.Mutex
	calls   int
	records map[string]bool
	// sent, if set, receives the records of each call.
	sent chan []quarantine.Record
}

func (s *countingSender) Send(_ context.Context, _ string, records []quarantine.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for _, r := range records {
		s.records[r.ID] = true
	}
	if s.sent != nil {
		s.sent <- records
	}
	return nil
}

// TestSecondLossIsSharedAtOnce loses two engines with one request, with a loss of
// another request between them.
func TestSecondLossIsSharedAtOnce(t *testing.T) {
	is := is.New(t)
	s := &countingSender{records: map[string]bool{}, sent: make(chan []quarantine.Record, 8)}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Sender: s, Peers: func() []string { return make([]string, 1) }, BatchDelay: time.Hour})
	lose := func(f quarantine.Fingerprint, engine string) {
		g.Lost(quarantine.Loss{Content: quarantine.Content{Request: f}, Attempt: string(f), Engine: engine, Sent: time.Now()})
	}
	lose("crasher", "a")
	is.Equal(len(<-s.sent), 1)
	lose("crasher", "b")
	is.Equal((<-s.sent)[0].Losses, 2)
}

// TestLostEngineWithManyRequests loses an engine that runs hundreds of
// requests. The first record is sent immediately; the others are batched
// instead of causing one call for each record and host.
func TestLostEngineWithManyRequests(t *testing.T) {
	is := is.New(t)
	const requests, peers = 300, 5
	s := &countingSender{records: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Sender: s, Peers: func() []string { return make([]string, peers) }})
	for i := range requests {
		f := quarantine.Fingerprint(fmt.Sprint("f", i))
		g.Lost(quarantine.Loss{Content: quarantine.Content{Request: f}, Attempt: fmt.Sprint("r", i), Engine: "engine", Sent: time.Now()})
	}
	counts := func() (int, int) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.records), s.calls
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		records, calls := counts()
		is.True(calls < requests*peers/4) // far from one call for each record and host
		if records > requests/8 {
			break
		}
		is.True(time.Now().Before(deadline)) // the other records are shared too
	}
}
