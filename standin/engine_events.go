package standin

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// retainedEvents bounds the cache events that an engine retains.
const retainedEvents = 4096

// retainedLoads bounds the past loads that a late report is taken from.
const retainedLoads = 512

// cacheEvent is one change of the cache.
type cacheEvent struct {
	seq    uint64
	change string
	at     time.Time
}

// pastLoad is the load at a time.
type pastLoad struct {
	at              time.Time
	running, queued int
}

// journal holds what an engine reports late and with gaps.
type journal struct {
	seq    uint64
	events []cacheEvent
	loads  []pastLoad
	random *rand.Rand
}

func newJournal(seed uint64) *journal {
	return &journal{random: rand.New(rand.NewPCG(seed, 1))}
}

// add notes a change of the cache, and loses a share of them.
func (j *journal) add(k prefix.Key, evicted bool, loss float64) {
	j.seq++
	if j.random.Float64() < loss {
		return
	}
	sign := "+"
	if evicted {
		sign = "-"
	}
	j.events = append(j.events, cacheEvent{j.seq, sign + k.String(), time.Now()})
	if len(j.events) > retainedEvents {
		j.events = j.events[len(j.events)-retainedEvents:]
	}
}

// load notes the load.
func (j *journal) load(running, queued int) {
	j.loads = append(j.loads, pastLoad{time.Now(), running, queued})
	if len(j.loads) > retainedLoads {
		j.loads = j.loads[len(j.loads)-retainedLoads:]
	}
}

// loadAt returns the load as it was at a time.
func (j *journal) loadAt(at time.Time) pastLoad {
	for i := len(j.loads) - 1; i >= 0; i-- {
		if !j.loads[i].at.After(at) {
			return j.loads[i]
		}
	}
	return pastLoad{}
}

// runs returns the events after a number that are old enough to be told.
func (j *journal) runs(after uint64, until time.Time) []upstream.EventRun {
	var runs []upstream.EventRun
	last := uint64(0)
	for _, e := range j.events {
		if e.seq <= after || e.at.After(until) {
			continue
		}
		if len(runs) == 0 || e.seq != last+1 {
			runs = append(runs, upstream.EventRun{First: e.seq})
		}
		run := &runs[len(runs)-1]
		run.Changes = append(run.Changes, e.change)
		last = e.seq
	}
	return runs
}

// reportedLoad returns the load as the engine reports it; the caller holds mu.
func (e *Engine) reportedLoad() EngineLoad {
	load := EngineLoad{
		Name: e.options.Name, Incarnation: e.incarnation, Version: e.version,
		Running: e.running, Queued: e.queued, Leaving: e.faults.Leaving || e.orders.leaving,
		Loading: e.orders.loading, Fence: e.orders.fence, Role: e.orders.role, Adapters: e.orders.adapters,
	}
	if e.faults.LoadLagMillis > 0 {
		past := e.journal.loadAt(time.Now().Add(-time.Duration(e.faults.LoadLagMillis) * time.Millisecond))
		load.Running, load.Queued = past.running, past.queued
	}
	return load
}

// events reports the load and the cache events after a number.
func (e *Engine) events(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("After", "0"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "After is not a number")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	until := time.Now().Add(-time.Duration(e.faults.EventLagMillis) * time.Millisecond)
	return c.JSON(upstream.CacheReport{Load: upstream.Load(e.reportedLoad()), Runs: e.journal.runs(after, until)})
}

// emptyCache drops every piece, as a start does; the caller holds mu.
func (e *Engine) emptyCache() {
	e.journal = newJournal(uint64(e.incarnation))
	e.cache = newPieceCache(e.options.CachePieces)
	e.cache.changed = func(k prefix.Key, evicted bool) { e.journal.add(k, evicted, e.faults.EventLoss) }
}

// EngineCounts is what an engine has done since it was started.
type EngineCounts struct {
	Requests     int
	PromptTokens int
	// CachedTokens is how many of them were cached.
	CachedTokens int
}

// reportCounts tells what the engine has done.
func (e *Engine) reportCounts(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.counts)
}
