// Package engine follows the engines of every pool: their load, incarnation
// and weights.
package engine

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
	// pollInterval is the time between two load reports of an engine.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds the wait for one report.
	pollTimeout = time.Second
)

// reporter asks engines for their load.
type reporter interface {
	Load(ctx context.Context, address string) (upstream.Load, error)
}

// Status is what this host knows of one engine.
type Status struct {
	upstream.Load

	// Reachable tells that the last report came.
	Reachable bool
	// Sent counts requests that this host sent and that have not ended.
	Sent int
}

// Tracker follows engines.
type Tracker struct {
	reporter reporter
	current  func() document.Document
	leaving  func(engine string) bool
	// mu guards statuses.
	mu       sync.Mutex
	statuses map[string]Status
}

// NewTracker follows the engines of the current document until the context
// ends. The function leaving tells which engines get no new work.
func NewTracker(ctx context.Context, wait *conc.WaitGroup, r reporter, current func() document.Document, leaving func(engine string) bool) *Tracker {
	t := &Tracker{reporter: r, current: current, leaving: leaving, statuses: map[string]Status{}}
	wait.Go(func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			t.poll(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return t
}

// poll asks every engine once.
func (t *Tracker) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var wait conc.WaitGroup
	defer wait.Wait()
	for _, p := range t.current().Capacity.Pools {
		if p.Kind != document.EnginePool {
			continue
		}
		for _, u := range p.Upstreams {
			wait.Go(func() {
				load, err := t.reporter.Load(ctx, u.Address)
				t.note(u.Name, load, err)
			})
		}
	}
}

// note keeps one report.
func (t *Tracker) note(name string, load upstream.Load, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.statuses[name]
	if err != nil {
		if before.Reachable {
			event.EngineUnreachable.Error(err, "Engine", name)
		}
		before.Reachable = false
		t.statuses[name] = before
		return
	}
	if before.Incarnation != 0 && before.Incarnation != load.Incarnation {
		event.EngineRestarted.Info("Engine", name, "Incarnation", load.Incarnation)
	}
	t.statuses[name] = Status{Load: load, Reachable: true, Sent: before.Sent}
}

// Status returns what is known of an engine.
func (t *Tracker) Status(name string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statuses[name]
}

// add counts requests that this host sent to an engine.
func (t *Tracker) add(name string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.statuses[name]
	s.Sent += n
	t.statuses[name] = s
}
