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
	// beliefLimit bounds the pieces believed of one engine.
	beliefLimit = 4096
	// retryDelay is the time that a router takes to send a request again.
	retryDelay = 50 * time.Millisecond
	// joinTime is how long an engine counts as just joined.
	joinTime = 2 * time.Second
)

// report is one load report.
type report struct {
	routing.Report

	alive bool
}

// keeper is what the keeper of one engine knows.
type keeper struct {
	run    *run
	belief *cacheindex.Index
	report report
	source cacheindex.Source
	joined time.Duration
}

func (k *keeper) take(s cacheindex.Source, e cacheindex.Event) {
	if s == k.source {
		k.belief.Apply(s, []cacheindex.Event{e}, k.run.clock.now)
	}
}

// load takes a load report.
func (k *keeper) load(s cacheindex.Source, r report) {
	k.report = r
	if s != k.source {
		k.source, k.joined = s, k.run.clock.now
		k.belief.Reset(s, k.run.clock.now)
	}
}

// router is one host with its own view.
type router struct {
	run  *run
	heat *routing.Demand
	view *routing.SendHistory
	turn uint64
	dead map[int]time.Duration
	gate *admission.State
}

func newRouter(r *run) *router {
	n := &router{run: r}
	n.restart()
	return n
}

// restart forgets everything.
func (n *router) restart() {
	n.heat = routing.NewDemand(n.run.scenario.Routers)
	n.view, n.dead, n.turn = routing.NewSendHistory(), map[int]time.Duration{}, 0
	n.gate = admission.NewState()
}

// retry sends a request again after a failure.
func (n *router) retry(j *job) {
	n.run.clock.after(retryDelay, func() { n.route(j) })
}

// route chooses an engine and sends the request there.
func (n *router) route(j *job) {
	n.turn++
	q := routing.Query{
		Ring: n.run.ring, Levels: j.Levels, Random: j.Draw, RequestCount: n.turn,
		Usable: func(e int) bool { return n.usable(j, e) },
	}
	if n.run.policy.Copies {
		q.Copies = n.heat.Copies(j.Levels, n.run.clock.now)
	}
	candidates := n.run.policy.Shortlist(q)
	for i := range candidates {
		n.look(j, &candidates[i])
	}
	chosen := n.run.policy.Choose(j.Tokens, candidates)
	if chosen < 0 {
		j.outcome.Failed = true
		return
	}
	n.send(j, candidates[chosen])
}

// usable tells whether an engine can take the request as far as is known.
func (n *router) usable(j *job, e int) bool {
	if slices.Contains(j.tried, e) || n.run.clock.now < n.dead[e] {
		return false
	}
	if n.run.policy.Oracle {
		return n.run.engines[e].alive
	}
	return n.run.keepers[e].report.alive
}

// look fills in what is known of an engine.
func (n *router) look(j *job, c *routing.Candidate) {
	if n.run.policy.Oracle {
		n.lookTrue(j, c)
		return
	}
	k := n.run.keepers[c.Engine]
	now := n.run.clock.now
	name := n.run.ring.Name(c.Engine)
	c.CachedTokens = k.belief.Depth(j.Pieces, now) * prefix.PieceTokens
	if n.run.policy.Corrects {
		c.CachedTokens = max(c.CachedTokens, n.view.CachedTokens(name, j.Levels, now))
	}
	c.Completeness = k.belief.Completeness(now)
	c.Wait, c.Load = n.view.Wait(name, k.report.Report)
	c.WarmingUp = k.joined > 0 && now-k.joined < joinTime
	if n.run.policy.imports() {
		c.ImportTokens = n.run.store.depth(j.Pieces[c.CachedTokens/prefix.PieceTokens:]) * prefix.PieceTokens
	}
}

// lookTrue fills in what holds in truth.
func (n *router) lookTrue(j *job, c *routing.Candidate) {
	e := n.run.engines[c.Engine]
	depth := e.cache.depth(j.Pieces)
	c.CachedTokens, c.Completeness = depth*prefix.PieceTokens, 1
	c.Load = len(e.queue) + len(e.running)
	c.Wait = e.wait(j.Class.Priority)
	if n.run.policy.imports() {
		c.ImportTokens = n.run.store.depth(j.Pieces[depth:]) * prefix.PieceTokens
	}
}

// send gives a request to an engine.
func (n *router) send(j *job, c routing.Candidate) {
	e := n.run.engines[c.Engine]
	j.tried = append(j.tried, c.Engine)
	if !e.alive {
		n.dead[c.Engine] = n.run.clock.now + time.Second
		n.retry(j)
		return
	}
	j.service = n.run.model.Speed.Prefill(max(j.Tokens-routing.ExpectedCached(c), 0))
	j.outcome.Predicted = c.CachedTokens
	n.heat.Add(j.Levels, j.service, n.run.clock.now)
	n.view.RecordSend(n.run.ring.Name(c.Engine), j.Levels, j.service, n.run.clock.now)
	e.take(j)
}

// answered learns from the engine's own word.
func (n *router) answered(j *job, e *engine) {
	took := n.run.model.Speed.Prefill(j.outcome.Prefilled)
	n.view.RecordPrefill(took)
	k := n.run.keepers[e.number]
	if n.run.policy.Corrects {
		k.belief.Correct(e.source(), j.Pieces, j.outcome.Hit/prefix.PieceTokens, n.run.clock.now)
	}
}
