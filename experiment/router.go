package experiment

import (
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/routing"
)

const (
	// maxIndexPieces is the maximum number of pieces in the cache index of one
	// engine.
	maxIndexPieces = 4096
	// retryDelay is the time before a router retries a request.
	retryDelay = 50 * time.Millisecond
	// warmUpTime is how long a new engine counts as warming up.
	warmUpTime = 2 * time.Second
)

// loadReport is an engine's load and whether it is alive.
type loadReport struct {
	routing.Report

	alive bool
}

// engineOwner is the state of the host that owns an engine: its cache index and
// its last load report.
type engineOwner struct {
	sim       *simulation
	index     *cacheindex.Index
	report    loadReport
	source    cacheindex.Source
	firstSeen time.Duration
}

func (o *engineOwner) receiveEvent(s cacheindex.Source, e cacheindex.Event) {
	if s == o.source {
		o.index.Apply(s, []cacheindex.Event{e}, o.sim.clock.now)
	}
}

// receiveReport stores a load report and resets the index for a new incarnation.
func (o *engineOwner) receiveReport(s cacheindex.Source, r loadReport) {
	o.report = r
	if s != o.source {
		o.source, o.firstSeen = s, o.sim.clock.now
		o.index.Reset(s, o.sim.clock.now)
	}
}

// router is one host with its own view of the engines.
type router struct {
	sim          *simulation
	demand       *routing.Demand
	history      *routing.SendHistory
	requestCount uint64
	avoidUntil   map[int]time.Duration
	admission    *admission.State
}

func newRouter(sim *simulation) *router {
	r := &router{sim: sim}
	r.restart()
	return r
}

// restart clears all state.
func (r *router) restart() {
	r.demand = routing.NewDemand(r.sim.scenario.Routers)
	r.history, r.avoidUntil, r.requestCount = routing.NewSendHistory(), map[int]time.Duration{}, 0
	r.admission = admission.NewState()
}

// retry routes a request again after a failure.
func (r *router) retry(j *job) {
	r.sim.clock.after(retryDelay, func() { r.route(j) })
}

// route chooses an engine and sends the request there.
func (r *router) route(j *job) {
	r.requestCount++
	q := routing.Query{
		Ring: r.sim.ring, Levels: j.Levels, Random: j.Random, RequestCount: r.requestCount,
		Usable: func(e int) bool { return r.usable(j, e) },
	}
	if r.sim.policy.Copies {
		q.Copies = r.demand.Copies(j.Levels, r.sim.clock.now)
	}
	candidates := r.sim.policy.Shortlist(q)
	for i := range candidates {
		r.fillEstimates(j, &candidates[i])
	}
	chosen := r.sim.policy.Choose(j.Tokens, candidates)
	if chosen < 0 {
		j.outcome.Failed = true
		return
	}
	r.send(j, candidates[chosen])
}

// usable reports whether the router considers an engine available for the
// request.
func (r *router) usable(j *job, e int) bool {
	if slices.Contains(j.triedEngines, e) || r.sim.clock.now < r.avoidUntil[e] {
		return false
	}
	if r.sim.policy.Oracle {
		return r.sim.engines[e].alive
	}
	return r.sim.owners[e].report.alive
}

// fillEstimates sets the router's estimates for an engine.
func (r *router) fillEstimates(j *job, c *routing.Candidate) {
	if r.sim.policy.Oracle {
		r.fillTrueState(j, c)
		return
	}
	o := r.sim.owners[c.Engine]
	now := r.sim.clock.now
	name := r.sim.ring.Name(c.Engine)
	c.CachedTokens = o.index.Depth(j.Pieces, now) * prefix.PieceTokens
	if r.sim.policy.UsesReportedReuse {
		c.CachedTokens = max(c.CachedTokens, r.history.CachedTokens(name, j.Levels, now))
	}
	c.Completeness = o.index.Completeness(now)
	c.Wait, c.Load = r.history.Wait(name, o.report.Report)
	c.WarmingUp = o.firstSeen > 0 && now-o.firstSeen < warmUpTime
	if r.sim.policy.importsFromStore() {
		c.ImportTokens = r.sim.store.depth(j.Pieces[c.CachedTokens/prefix.PieceTokens:]) * prefix.PieceTokens
	}
}

// fillTrueState sets the true state of an engine, for the oracle.
func (r *router) fillTrueState(j *job, c *routing.Candidate) {
	e := r.sim.engines[c.Engine]
	depth := e.cache.depth(j.Pieces)
	c.CachedTokens, c.Completeness = depth*prefix.PieceTokens, 1
	c.Load = len(e.queue) + len(e.running)
	c.Wait = e.queueWait(j.Class.Priority)
	if r.sim.policy.importsFromStore() {
		c.ImportTokens = r.sim.store.depth(j.Pieces[depth:]) * prefix.PieceTokens
	}
}

// send sends a request to an engine.
func (r *router) send(j *job, c routing.Candidate) {
	e := r.sim.engines[c.Engine]
	j.triedEngines = append(j.triedEngines, c.Engine)
	if !e.alive {
		r.avoidUntil[c.Engine] = r.sim.clock.now + time.Second
		r.retry(j)
		return
	}
	j.prefillTime = r.sim.model.Speed.Prefill(max(j.Tokens-routing.ExpectedCached(c), 0))
	j.outcome.Predicted = c.CachedTokens
	r.demand.Add(j.Levels, j.prefillTime, r.sim.clock.now)
	r.history.RecordSend(r.sim.ring.Name(c.Engine), j.Levels, j.prefillTime, r.sim.clock.now)
	e.enqueue(j)
}

// recordAnswer updates the estimates from the cache reuse that the engine
// reported.
func (r *router) recordAnswer(j *job, e *engine) {
	duration := r.sim.model.Speed.Prefill(j.outcome.Prefilled)
	r.history.RecordPrefill(duration)
	o := r.sim.owners[e.number]
	if r.sim.policy.UsesReportedReuse {
		o.index.Correct(e.source(), j.Pieces, j.outcome.Hit/prefix.PieceTokens, r.sim.clock.now)
	}
}
