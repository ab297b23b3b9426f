package engine

import (
	"context"
	"strconv"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/routing"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
	// maxIndexedPieces bounds the cache index of one engine.
	maxIndexedPieces = 65_536
	// warmUpTime is how long an engine counts as warming up after a restart.
	warmUpTime = 2 * time.Second
	// pollWorkers bounds the concurrent polls.
	pollWorkers = 64
)

// ownedEngine is the state of an engine that this host owns.
type ownedEngine struct {
	index       *cacheindex.Index
	load        upstream.Load
	reportedAt  time.Duration
	restartedAt time.Duration
	polled      bool
	reachable   bool
}

// poll polls every engine that this host owns once and drops the engines that
// it no longer owns.
func (t *Tracker) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	owned := map[string]bool{}
	slots := make(chan struct{}, pollWorkers)
	var wait conc.WaitGroup
	for _, p := range t.Document().Capacity.Pools {
		if p.Kind != document.EnginePool {
			continue
		}
		for _, u := range p.Upstreams {
			if !t.Owns(u.Name) {
				continue
			}
			owned[u.Name] = true
			after := t.lastSeq(u.Name)
			slots <- struct{}{}
			wait.Go(func() {
				defer func() { <-slots }()
				report, err := t.Reporter.Events(ctx, u.Address, after)
				t.recordReport(u.Name, report, err)
			})
		}
	}
	wait.Wait()
	t.dropUnowned(owned)
}

// lastSeq returns the number of the last cache event read from an engine. It
// adds the engine if this host did not own it before.
func (t *Tracker) lastSeq(name string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.owned[name]
	if !ok {
		e = &ownedEngine{index: cacheindex.New(maxIndexedPieces, t.now())}
		t.owned[name] = e
	}
	return e.index.Seq()
}

// recordReport applies the result of one poll.
func (t *Tracker) recordReport(name string, r upstream.CacheReport, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.owned[name], t.now()
	if err != nil {
		if e.reachable {
			event.EngineUnreachable.Error(err, "Engine", name)
		}
		e.reachable, e.polled = false, true
		return
	}
	source := cacheindex.Source{Incarnation: r.Incarnation, Weights: r.Version}
	if e.load.Incarnation != 0 && e.load.Incarnation != r.Incarnation {
		event.EngineRestarted.Info("Engine", name, "Incarnation", r.Incarnation)
		e.restartedAt = now
	}
	t.setIncarnationLocked(name, strconv.FormatInt(r.Incarnation, 10))
	e.index.Apply(source, r.CacheEvents(), now)
	e.index.Expire(now)
	e.load, e.reportedAt, e.polled, e.reachable = r.Load, now-reportLag, true, true
}

// dropUnowned drops the engines that this host no longer owns.
func (t *Tracker) dropUnowned(owned map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.owned {
		if !owned[name] {
			delete(t.owned, name)
		}
	}
}

// state returns the engine's state for a prompt, given the last piece of each
// of its levels.
func (e *ownedEngine) state(pieces []uint64, now time.Duration) engineState {
	s := engineState{
		known: e.polled, reachable: e.reachable, leaving: e.load.Leaving, loading: e.load.Loading,
		incarnation: e.load.Incarnation, version: e.load.Version,
		fence: e.load.Fence, role: e.load.Role, adapters: e.load.Adapters,
		report:       routing.Report{At: e.reportedAt, Queued: e.load.Queued, Running: e.load.Running},
		completeness: e.index.Completeness(now), warmingUp: e.restartedAt > 0 && now-e.restartedAt < warmUpTime, takenAt: now,
	}
	s.cachedLevels = countCachedLevels(e.index, pieces, now)
	return s
}
