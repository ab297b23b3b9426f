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
	// maxBelieved bounds the pieces believed of one engine.
	maxBelieved = 65_536
	// joinTime is how long an engine counts as just joined.
	joinTime = 2 * time.Second
	// pollWorkers bounds the reports that are awaited at once.
	pollWorkers = 64
)

// kept is what the keeper knows of one engine.
type kept struct {
	belief    *cacheindex.Index
	load      upstream.Load
	at        time.Duration
	joined    time.Duration
	reported  bool
	reachable bool
}

// poll asks every engine that this host keeps once, and forgets those that
// it keeps no more.
func (t *Tracker) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	keeps := map[string]bool{}
	work := make(chan struct{}, pollWorkers)
	var wait conc.WaitGroup
	for _, p := range t.Document().Capacity.Pools {
		if p.Kind != document.EnginePool {
			continue
		}
		for _, u := range p.Upstreams {
			if !t.Keeps(u.Name) {
				continue
			}
			keeps[u.Name] = true
			after := t.after(u.Name)
			work <- struct{}{}
			wait.Go(func() {
				defer func() { <-work }()
				report, err := t.Reporter.Events(ctx, u.Address, after)
				t.note(u.Name, report, err)
			})
		}
	}
	wait.Wait()
	t.forget(keeps)
}

// after returns the number of the last event of an engine that was read.
func (t *Tracker) after(name string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.kept[name]
	if !ok {
		k = &kept{belief: cacheindex.New(maxBelieved, t.now())}
		t.kept[name] = k
	}
	return k.belief.Seq()
}

// note keeps one report.
func (t *Tracker) note(name string, r upstream.CacheReport, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, now := t.kept[name], t.now()
	if err != nil {
		if k.reachable {
			event.EngineUnreachable.Error(err, "Engine", name)
		}
		k.reachable, k.reported = false, true
		return
	}
	source := cacheindex.Source{Incarnation: r.Incarnation, Weights: r.Version}
	if k.load.Incarnation != 0 && k.load.Incarnation != r.Incarnation {
		event.EngineRestarted.Info("Engine", name, "Incarnation", r.Incarnation)
		k.joined = now
	}
	t.setIncarnationLocked(name, strconv.FormatInt(r.Incarnation, 10))
	k.belief.Apply(source, r.CacheEvents(), now)
	k.belief.Expire(now)
	k.load, k.at, k.reported, k.reachable = r.Load, now-reportLag, true, true
}

// forget drops the engines that this host keeps no more.
func (t *Tracker) forget(keeps map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.kept {
		if !keeps[name] {
			delete(t.kept, name)
		}
	}
}

// look returns what the keeper knows for a prompt with these pieces at the
// ends of its levels.
func (k *kept) look(pieces []uint64, now time.Duration) look {
	l := look{
		known: k.reported, reachable: k.reachable, leaving: k.load.Leaving, loading: k.load.Loading,
		incarnation: k.load.Incarnation, version: k.load.Version,
		fence: k.load.Fence, role: k.load.Role, adapters: k.load.Adapters,
		report: routing.Report{At: k.at, Queued: k.load.Queued, Running: k.load.Running},
		trust:  k.belief.Completeness(now), joined: k.joined > 0 && now-k.joined < joinTime, at: now,
	}
	l.levels = levelsHeld(k.belief, pieces, now)
	return l
}
