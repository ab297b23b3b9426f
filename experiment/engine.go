package experiment

import (
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/workload"
)

// job is one request on its way.
type job struct {
	workload.Arrival

	router  *router
	tried   []int
	order   int
	service time.Duration
	outcome *Outcome
}

// engine is the fake engine: one prompt is read at a time, by priority;
// answers run side by side in slots; pieces are kept in a limited cache.
type engine struct {
	number      int
	run         *run
	alive       bool
	incarnation int64
	cache       *cache
	queue       []*job
	reading     *job
	readUntil   time.Duration
	running     []*job
	seq         uint64
	joined      time.Duration
	// retained holds the last events that were published, for a keeper that
	// has just started.
	retained []cacheindex.Event
}

// retainedEvents bounds the events that an engine retains.
const retainedEvents = 512

func newEngine(r *run, number int) *engine {
	e := &engine{number: number, run: r}
	e.start()
	return e
}

// start begins a new incarnation with an empty cache.
func (e *engine) start() {
	e.alive, e.joined, e.seq = true, e.run.clock.now, 0
	e.incarnation++
	e.retained = nil
	incarnation := e.incarnation
	e.cache = newCache(e.run.model.CachePieces, func(k prefix.Key, evicted bool) {
		if incarnation == e.incarnation {
			e.publish(k, evicted)
		}
	})
}

// publish sends a cache event to the engine's keeper, late and maybe not at
// all.
func (e *engine) publish(k prefix.Key, evicted bool) {
	e.seq++
	if e.run.random.Float64() < e.run.scenario.EventLoss {
		return
	}
	event := cacheindex.Event{Seq: e.seq, Key: k, Evicted: evicted}
	e.retained = append(e.retained, event)
	if len(e.retained) > retainedEvents {
		e.retained = e.retained[1:]
	}
	source := e.source()
	e.run.clock.after(e.run.scenario.EventLag, func() { e.run.keepers[e.number].take(source, event) })
}

func (e *engine) source() cacheindex.Source {
	return cacheindex.Source{Incarnation: e.incarnation, Weights: "v1"}
}

// crash ends every request; the routers send them elsewhere.
func (e *engine) crash() {
	lost := slices.Concat(e.queue, e.running)
	if e.reading != nil {
		lost = append(lost, e.reading)
	}
	e.alive, e.queue, e.running, e.reading = false, nil, nil, nil
	e.incarnation++
	for _, j := range lost {
		j.router.retry(j)
	}
}

// take queues a request.
func (e *engine) take(j *job) {
	e.run.order++
	j.order = e.run.order
	e.queue = append(e.queue, j)
	e.next()
}

// next begins to read the most urgent prompt.
func (e *engine) next() {
	if e.reading != nil || len(e.queue) == 0 || len(e.running) >= e.run.model.Slots {
		return
	}
	best := 0
	for i, j := range e.queue {
		b := e.queue[best]
		if j.Class.Priority > b.Class.Priority || j.Class.Priority == b.Class.Priority && j.order < b.order {
			best = i
		}
	}
	j := e.queue[best]
	e.queue = slices.Delete(e.queue, best, best+1)
	e.read(j)
}

// read processes the part of a prompt that is not cached.
func (e *engine) read(j *job) {
	hits := e.cache.depth(j.Pieces)
	imported := e.importable(j.Pieces, hits)
	o := j.outcome
	o.Hit, o.Imported = hits*prefix.PieceTokens, imported*prefix.PieceTokens
	o.Prefilled = j.Tokens - o.Hit - o.Imported
	o.Wasted = e.run.heldElsewhere(j.Pieces[hits+imported:]) * prefix.PieceTokens
	took := e.run.model.Speed.Prefill(o.Prefilled)
	if imported > 0 {
		took += e.run.model.Speed.Import(o.Imported)
	}
	e.reading, e.readUntil = j, e.run.clock.now+took
	incarnation := e.incarnation
	e.run.busy += took
	e.run.clock.after(took, func() {
		if incarnation == e.incarnation {
			e.decode(j)
		}
	})
}

// importable returns how many pieces after the cached ones are worth
// importing from the kept store.
func (e *engine) importable(pieces []prefix.Key, hits int) int {
	if !e.run.policy.imports() {
		return 0
	}
	n := e.run.store.depth(pieces[hits:])
	if !e.run.model.Speed.ImportPays(n * prefix.PieceTokens) {
		return 0
	}
	return n
}

// decode gives the first token and runs the answer in a slot.
func (e *engine) decode(j *job) {
	e.reading = nil
	e.cache.use(j.Pieces)
	e.run.export(j)
	j.outcome.FirstToken = e.run.clock.now + e.run.model.TokenTime - j.At
	e.running = append(e.running, j)
	j.router.answered(j, e)
	incarnation := e.incarnation
	e.run.clock.after(time.Duration(j.Class.AnswerTokens)*e.run.model.TokenTime, func() {
		if incarnation != e.incarnation {
			return
		}
		e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
		j.outcome.Done = e.run.clock.now - j.At
		e.next()
	})
	e.next()
}

// wait returns the true time until a request of a priority would be read.
func (e *engine) wait(priority int) time.Duration {
	wait := max(e.readUntil-e.run.clock.now, 0)
	if e.reading == nil {
		wait = 0
	}
	for _, j := range e.queue {
		if j.Class.Priority >= priority {
			missing := j.Tokens - e.cache.depth(j.Pieces)*prefix.PieceTokens
			wait += e.run.model.Speed.Prefill(missing)
		}
	}
	return wait
}
