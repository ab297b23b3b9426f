package experiment

import (
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/workload"
)

// job is one request in flight.
type job struct {
	workload.Arrival

	router       *router
	triedEngines []int
	queueOrder   int
	prefillTime  time.Duration
	outcome      *Outcome
}

// engine is the fake engine: it prefills one prompt at a time, by priority,
// decodes answers concurrently in slots, and caches a limited number of pieces.
type engine struct {
	number       int
	sim          *simulation
	alive        bool
	incarnation  int64
	cache        *cache
	queue        []*job
	prefilling   *job
	prefillUntil time.Duration
	running      []*job
	seq          uint64
	startedAt    time.Duration
	// retained holds the last published events, which an owner that has just
	// started replays.
	retained []cacheindex.Event
}

// retainedEvents is the maximum number of events that an engine retains.
const retainedEvents = 512

func newEngine(sim *simulation, number int) *engine {
	e := &engine{number: number, sim: sim}
	e.startIncarnation()
	return e
}

// startIncarnation starts a new incarnation with an empty cache.
func (e *engine) startIncarnation() {
	e.alive, e.startedAt, e.seq = true, e.sim.clock.now, 0
	e.incarnation++
	e.retained = nil
	incarnation := e.incarnation
	e.cache = newCache(e.sim.model.CachePieces, func(k prefix.Key, evicted bool) {
		if incarnation == e.incarnation {
			e.publish(k, evicted)
		}
	})
}

// publish sends a cache event to the engine's owner, delayed and possibly
// lost.
func (e *engine) publish(k prefix.Key, evicted bool) {
	e.seq++
	if e.sim.random.Float64() < e.sim.scenario.EventLoss {
		return
	}
	event := cacheindex.Event{Seq: e.seq, Key: k, Evicted: evicted}
	e.retained = append(e.retained, event)
	if len(e.retained) > retainedEvents {
		e.retained = e.retained[1:]
	}
	source := e.source()
	e.sim.clock.after(e.sim.scenario.EventLag, func() { e.sim.owners[e.number].receiveEvent(source, event) })
}

func (e *engine) source() cacheindex.Source {
	return cacheindex.Source{Incarnation: e.incarnation, Weights: "v1"}
}

// crash fails every request; the routers retry them on other engines.
func (e *engine) crash() {
	failed := slices.Concat(e.queue, e.running)
	if e.prefilling != nil {
		failed = append(failed, e.prefilling)
	}
	e.alive, e.queue, e.running, e.prefilling = false, nil, nil, nil
	e.incarnation++
	for _, j := range failed {
		j.router.retry(j)
	}
}

// enqueue queues a request.
func (e *engine) enqueue(j *job) {
	e.sim.queued++
	j.queueOrder = e.sim.queued
	e.queue = append(e.queue, j)
	e.startNext()
}

// startNext starts the prefill of the queued request with the highest
// priority.
func (e *engine) startNext() {
	if e.prefilling != nil || len(e.queue) == 0 || len(e.running) >= e.sim.model.Slots {
		return
	}
	best := 0
	for i, j := range e.queue {
		b := e.queue[best]
		if j.Class.Priority > b.Class.Priority || j.Class.Priority == b.Class.Priority && j.queueOrder < b.queueOrder {
			best = i
		}
	}
	j := e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	e.prefill(j)
}

// prefill processes the uncached part of a prompt.
func (e *engine) prefill(j *job) {
	hits := e.cache.depth(j.Pieces)
	imported := e.importable(j.Pieces, hits)
	o := j.outcome
	o.Hit, o.Imported = hits*prefix.PieceTokens, imported*prefix.PieceTokens
	o.Prefilled = j.Tokens - o.Hit - o.Imported
	o.Wasted = e.sim.countHeld(j.Pieces[hits+imported:]) * prefix.PieceTokens
	duration := e.sim.model.Speed.Prefill(o.Prefilled)
	if imported > 0 {
		duration += e.sim.model.Speed.Import(o.Imported)
	}
	e.prefilling, e.prefillUntil = j, e.sim.clock.now+duration
	incarnation := e.incarnation
	e.sim.prefillTime += duration
	e.sim.clock.after(duration, func() {
		if incarnation == e.incarnation {
			e.decode(j)
		}
	})
}

// importable returns the number of pieces after the cached ones that are worth
// importing from the kept store.
func (e *engine) importable(pieces []prefix.Key, hits int) int {
	if !e.sim.policy.importsFromStore() {
		return 0
	}
	n := e.sim.store.depth(pieces[hits:])
	if !e.sim.model.Speed.ImportPays(n * prefix.PieceTokens) {
		return 0
	}
	return n
}

// decode emits the first token and generates the answer in a slot.
func (e *engine) decode(j *job) {
	e.prefilling = nil
	e.cache.touchAll(j.Pieces)
	e.sim.export(j)
	j.outcome.FirstToken = e.sim.clock.now + e.sim.model.TokenTime - j.At
	e.running = append(e.running, j)
	j.router.recordAnswer(j, e)
	incarnation := e.incarnation
	e.sim.clock.after(time.Duration(j.Class.AnswerTokens)*e.sim.model.TokenTime, func() {
		if incarnation != e.incarnation {
			return
		}
		e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
		j.outcome.Done = e.sim.clock.now - j.At
		e.startNext()
	})
	e.startNext()
}

// queueWait returns the true time until a request of the given priority would
// be prefilled.
func (e *engine) queueWait(priority int) time.Duration {
	wait := max(e.prefillUntil-e.sim.clock.now, 0)
	if e.prefilling == nil {
		wait = 0
	}
	for _, j := range e.queue {
		if j.Class.Priority >= priority {
			missing := j.Tokens - e.cache.depth(j.Pieces)*prefix.PieceTokens
			wait += e.sim.model.Speed.Prefill(missing)
		}
	}
	return wait
}
