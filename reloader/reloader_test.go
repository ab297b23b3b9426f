package reloader_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/lease"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/reloader"
	"github.com/kumquathoist/kumquathoist/replica"
)

var errSilent = errors.New("no answer")

// fakeEngine is an engine that loads weights 2 for loadTime after an order.
type fakeEngine struct {
	mu       sync.Mutex
	loadTime time.Duration
	// busyUntil is the end of the order that is executed, weights are set then.
	busyUntil, silentFrom   time.Time
	weights, next, accepted int64
	orders, disturbed       int
	// If staleAfter is set, the first poll so long after busyFrom gets a report from before
	// the order.
	busyFrom   time.Time
	staleAfter time.Duration
}

// PollReport implements the reloader's engine client.
func (e *fakeEngine) PollReport(ctx context.Context, address, instance string) (reloader.Report, error) {
	e.mu.Lock()
	isStale := e.staleAfter > 0 && !e.busyFrom.IsZero() && time.Since(e.busyFrom) > e.staleAfter
	if isStale {
		e.staleAfter = 0
	}
	e.mu.Unlock()
	if isStale {
		return reloader.Report{Weights: map[string]int64{"m": 1}}, nil
	}
	return e.Report(ctx, address, instance)
}

// Report implements the reloader's engine client.
func (e *fakeEngine) Report(context.Context, string, string) (reloader.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.silentFrom.IsZero() && time.Now().After(e.silentFrom) {
		return reloader.Report{}, errSilent
	}
	busy := time.Now().Before(e.busyUntil)
	if !busy && e.next > 0 {
		e.weights, e.next = e.next, 0
	}
	return reloader.Report{Weights: map[string]int64{"m": e.weights}, Busy: busy, Orders: e.accepted}, nil
}

// Order implements the reloader's engine client.
func (e *fakeEngine) Order(_ context.Context, _ string, o reloader.Order) (bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.busyUntil) {
		e.disturbed++
		return false, nil
	}
	e.orders++
	e.accepted++
	e.next, e.busyFrom = o.Weights, time.Now()
	e.busyUntil = e.busyFrom.Add(e.loadTime)
	return true, nil
}

// fakeLog is a log of claims that only one host appends to.
type fakeLog struct{}

func (fakeLog) Claims(context.Context, int64) (lease.Log, error) { return lease.Log{End: 1}, nil }

func (fakeLog) Claim(context.Context, lease.Claim, int64) (bool, error) { return true, nil }

// stateWithTarget returns a replica in which engine "e" has weights 1 and the target is 2.
func stateWithTarget() replica.State {
	decode := func(t replica.Topic, key string, _ []byte) (replica.Decoded, error) {
		switch {
		case t == replica.Upstreams:
			return replica.Decoded{Entry: &discovery.Entry{ID: "e", Service: "models", Address: "a", Weights: map[string]int64{"m": 1}}}, nil
		case key == "config":
			c := catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "models", Engine: &catalog.Engine{Models: []string{"m"}}}}, nil, nil)
			return replica.Decoded{Catalog: &c}, nil
		}
		return replica.Decoded{Weights: &replica.TargetWeights{Model: "m", Version: 2}}, nil
	}
	now := clock.Now()
	s, _ := replica.State{}.Merge(replica.Delta{Topic: replica.Operator, Position: 2, Records: []replica.Record{{Key: "config", Value: []byte("c")}, {Key: "weights", Offset: 1, Value: []byte("w")}}}, decode, replica.Times{WeightsKnown: now, Now: now})
	s, _ = s.Merge(replica.Delta{Topic: replica.Upstreams, Position: 1, Records: []replica.Record{{Key: "e", Value: []byte("e")}}}, decode, replica.Times{Now: now})
	return s
}

// TestController has one host load an engine. It must stay out of use until its own
// report ends that, whoever has ordered it, and must get no order while it executes one. A
// copy of an earlier report must not end it either.
func TestController(t *testing.T) {
	for _, c := range []struct {
		name   string
		engine *fakeEngine
		// loaded tells whether the engine ends with the new weights, orders how many
		// orders of this host it executes, renewed whether others must hear that it still loads.
		loaded  bool
		orders  int
		renewed bool
	}{
		{"a short load", &fakeEngine{weights: 1, loadTime: 200 * time.Millisecond}, true, 1, false},
		{"a load that lasts longer than updates are valid", &fakeEngine{weights: 1, loadTime: 5500 * time.Millisecond}, true, 1, true},
		{"an order of another host, for the same weights", &fakeEngine{weights: 1, next: 2, accepted: 1, busyUntil: time.Now().Add(2 * time.Second)}, true, 0, true},
		{"an order of another host, for the weights before", &fakeEngine{weights: 0, next: 1, accepted: 1, busyUntil: time.Now().Add(2 * time.Second), loadTime: 200 * time.Millisecond}, true, 1, true},
		{"another host's order, with a copy of an earlier report", &fakeEngine{weights: 1, next: 2, accepted: 1, busyFrom: time.Now(), busyUntil: time.Now().Add(2 * time.Second), staleAfter: time.Second}, true, 0, true},
		{"a long load, with a copy of an earlier report", &fakeEngine{weights: 1, loadTime: 5500 * time.Millisecond, staleAfter: 4200 * time.Millisecond}, true, 1, true},
		{"an engine that is lost while it loads", &fakeEngine{weights: 1, loadTime: time.Minute, silentFrom: time.Now().Add(800 * time.Millisecond)}, false, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			var wait conc.WaitGroup
			defer wait.Wait()
			defer cancel()
			tracker, state := health.NewTracker(), stateWithTarget()
			var mu sync.Mutex
			renewed, ended, used, freed := false, false, 0, 0
			reloader.New(ctx, &wait, reloader.Options{
				Self: "host", Engines: c.engine, Claims: fakeLog{}, Health: tracker, Replica: func() replica.State { return state },
				Load: func(string) loadreport.Load { return loadreport.Load{} }, Active: func() bool { return true }, Hosts: func() []string { return []string{"host"} },
				CacheDropped: func(string) {}, Evacuate: func(string) {}, Lease: time.Second, Within: 20 * time.Second, Expiry: 20 * time.Second,
				Send: func(u reloader.Update) {
					mu.Lock()
					defer mu.Unlock()
					c.engine.mu.Lock()
					if len(u.Freed) > 0 && time.Now().Before(c.engine.busyUntil) && c.loaded {
						freed++
					}
					c.engine.mu.Unlock()
					if u.Loading["e"] == 2 && len(u.Claim.Upstreams) == 0 {
						renewed = true
					}
					ended = u.Loaded["e"] == 2 || len(u.Freed) > 0 && !c.loaded
				},
			})
			for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
				usable := tracker.State("e").Usable(clock.Now())
				c.engine.mu.Lock()
				if usable && c.engine.accepted > 0 && c.engine.orders > 0 && time.Now().Before(c.engine.busyUntil) && c.engine.silentFrom.IsZero() {
					used++ // requests could go there
				}
				c.engine.mu.Unlock()
				mu.Lock()
				done := ended
				mu.Unlock()
				if done {
					break
				}
				is.True(time.Now().Before(deadline)) // the load ends
			}
			mu.Lock()
			defer mu.Unlock()
			c.engine.mu.Lock()
			defer c.engine.mu.Unlock()
			is.Equal(used, 0)
			is.Equal(freed, 0)
			is.Equal(c.engine.disturbed, 0)
			is.Equal(c.engine.orders, c.orders)
			is.Equal(c.engine.staleAfter, 0*time.Second) // the copy was sent
			is.True(renewed || !c.renewed)
			is.Equal(c.engine.weights == 2, c.loaded)
		})
	}
}
