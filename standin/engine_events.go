package standin

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// retainedEvents limits the cache events that an engine retains.
const retainedEvents = 4096

// retainedLoads limits the past loads retained for delayed reports.
const retainedLoads = 512

// cacheEvent is one change of the cache.
type cacheEvent struct {
	seq    uint64
	change string
	at     time.Time
}

// pastLoad is the load at a point in time.
type pastLoad struct {
	at              time.Time
	running, queued int
}

// reportHistory holds the cache events and loads that an engine reports with
// delay and gaps.
type reportHistory struct {
	seq    uint64
	events []cacheEvent
	loads  []pastLoad
	random *rand.Rand
}

func newReportHistory(seed uint64) *reportHistory {
	return &reportHistory{random: rand.New(rand.NewPCG(seed, 1))}
}

// recordChange records a change of the cache, or loses it with probability
// loss. A lost change leaves a gap in the sequence.
func (j *reportHistory) recordChange(k prefix.Key, evicted bool, loss float64) {
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

// recordLoad records the current load.
func (j *reportHistory) recordLoad(running, queued int) {
	j.loads = append(j.loads, pastLoad{time.Now(), running, queued})
	if len(j.loads) > retainedLoads {
		j.loads = j.loads[len(j.loads)-retainedLoads:]
	}
}

// loadAt returns the load at a point in time.
func (j *reportHistory) loadAt(at time.Time) pastLoad {
	for i := len(j.loads) - 1; i >= 0; i-- {
		if !j.loads[i].at.After(at) {
			return j.loads[i]
		}
	}
	return pastLoad{}
}

// eventRuns returns the events after a sequence number up to a time, in runs
// without gaps.
func (j *reportHistory) eventRuns(after uint64, until time.Time) []upstream.EventRun {
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

// reportedLoad returns the load as the engine reports it. The caller holds mu.
func (e *Engine) reportedLoad() EngineLoad {
	load := EngineLoad{
		Name: e.options.Name, Incarnation: e.incarnation, Version: e.version,
		Running: e.running, Queued: e.queued, Leaving: e.faults.Leaving || e.orders.leaving,
		Loading: e.orders.loading, Fence: e.orders.fence, Role: e.orders.role, Adapters: e.orders.adapters,
	}
	if e.faults.LoadLagMillis > 0 {
		past := e.history.loadAt(time.Now().Add(-time.Duration(e.faults.LoadLagMillis) * time.Millisecond))
		load.Running, load.Queued = past.running, past.queued
	}
	return load
}

// events returns the load and the cache events after a sequence number.
func (e *Engine) events(c fiber.Ctx) error {
	after, err := strconv.ParseUint(c.Query("After", "0"), 10, 64)
	if err != nil {
		return fiber.NewError(fiber.StatusBadRequest, "After is not a number")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	until := time.Now().Add(-time.Duration(e.faults.EventLagMillis) * time.Millisecond)
	return c.JSON(upstream.CacheReport{Load: upstream.Load(e.reportedLoad()), Runs: e.history.eventRuns(after, until)})
}

// emptyCache drops all pieces and the report history, as a restart does. The
// caller holds mu.
func (e *Engine) emptyCache() {
	e.history = newReportHistory(uint64(e.incarnation))
	e.cache = newPieceCache(e.options.CachePieces)
	e.cache.onChange = func(k prefix.Key, evicted bool) { e.history.recordChange(k, evicted, e.faults.EventLoss) }
}

// EngineCounts counts the work of an engine since it was started.
type EngineCounts struct {
	Requests     int
	PromptTokens int
	// CachedTokens is how many of the prompt tokens were cached.
	CachedTokens int
}

// listCounts returns the engine's counts.
func (e *Engine) listCounts(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.counts)
}
