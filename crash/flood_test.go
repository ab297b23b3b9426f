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

// counter takes records and counts the calls.
type counter struct {
	mu      sync.Mutex
	calls   int
	records map[string]bool
}

func (c *counter) Send(_ context.Context, _ string, records []quarantine.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	for _, r := range records {
		c.records[r.ID] = true
	}
	return nil
}

// TestLostEngineWithManyRequests records what a lost engine does to hundreds
// of requests. The first record goes at once; the others don't make a call
// each to every host.
func TestLostEngineWithManyRequests(t *testing.T) {
	is := is.New(t)
	const requests, peers = 300, 5
	c := &counter{records: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Sender: c, Peers: func() []string { return make([]string, peers) }})
	for i := range requests {
		f := quarantine.Fingerprint(fmt.Sprint("f", i))
		g.Lost(quarantine.Loss{Attempt: fmt.Sprint("r", i), Fingerprint: f, Engine: "engine", Sent: time.Now()})
	}
	told := func() (int, int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.records), c.calls
	}
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		records, calls := told()
		is.True(calls < requests*peers/4) // far from one call for each record and host
		if records > requests/8 {
			break
		}
		is.True(time.Now().Before(deadline)) // they are shared
	}
}
