// Package experiment compares policies of routing and admission on recorded
// arrivals. It is a focused measurement: one fake engine model in virtual
// time, and several routers that each have their own view.
package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/routing"
	"github.com/kumquathoist/kumquathoist/workload"
)

// Model is the fake engine's size and speed.
type Model struct {
	// Speed holds the costs of reading and importing prompts.
	Speed routing.Speed
	// TokenTime is the time between two tokens of an answer.
	TokenTime time.Duration
	// Slots is how many answers run side by side.
	Slots int
	// CachePieces is how many pieces an engine keeps.
	CachePieces int
	// StorePieces is how many pieces the kept store holds.
	StorePieces int
}

// DefaultModel returns the engine model of the tables.
func DefaultModel() Model {
	return Model{
		Speed:     routing.Speed{PrefillRate: 40_000, ImportRate: 160_000, ImportDelay: 10 * time.Millisecond},
		TokenTime: 15 * time.Millisecond, Slots: 32, CachePieces: 96, StorePieces: 2048,
	}
}

// Policy is one way of choosing engines.
type Policy struct {
	routing.Policy

	Name string
	// Copies gives hot prefixes more copies and imports from the kept store.
	Copies bool
	// NoImport leaves out the kept store: copies are made by recomputing.
	NoImport bool
	// Oracle sees the true caches and queues.
	Oracle bool
	// Corrects learns from the reuse that engines report.
	Corrects bool
}

// imports tells whether engines import from the kept store.
func (p Policy) imports() bool { return p.Copies && !p.NoImport }

// Scenario is what happens during a run.
type Scenario struct {
	Name string
	// Routers is the number of routers that share the arrivals.
	Routers int
	// Span is the length of the run; what arrives before From isn't counted.
	Span, From, To time.Duration
	// LoadLag is the age of a load report when it arrives.
	LoadLag time.Duration
	// EventLag and EventLoss make cache events late and lossy.
	EventLag  time.Duration
	EventLoss float64
	// RestartAt restarts all routers at once; 0 means never.
	RestartAt time.Duration
	// CrashAt crashes the first engine, which comes back after CrashTime.
	CrashAt, CrashTime time.Duration
	// JoinAt is when the last engine joins the pool; 0 means at the start.
	JoinAt time.Duration
	// Admission refuses requests by deadline and fair share.
	Admission bool
}

// DefaultScenario returns the steady scenario of the tables.
func DefaultScenario() Scenario {
	return Scenario{
		Name: "steady", Routers: 6, Span: 60 * time.Second, From: 15 * time.Second, To: 60 * time.Second,
		LoadLag: 500 * time.Millisecond, EventLag: 300 * time.Millisecond, EventLoss: 0.01,
	}
}

// Outcome is what became of one request.
type Outcome struct {
	workload.Arrival

	// Hit, Imported, Prefilled and Wasted are tokens of the prompt.
	Hit, Imported, Prefilled, Wasted int
	// Predicted is how many tokens were believed to be cached.
	Predicted int
	// FirstToken and Done are times since the arrival; 0 when it never came.
	FirstToken, Done time.Duration
	// Failed tells that no engine took the request.
	Failed bool
	// Refused tells that admission refused the request.
	Refused bool
}

// reportInterval is the time between two load reports.
const reportInterval = 500 * time.Millisecond

// run is one run of a policy through a scenario.
type run struct {
	clock    clock
	model    Model
	policy   Policy
	scenario Scenario
	random   *rand.Rand
	ring     *routing.Ring
	engines  []*engine
	keepers  []*keeper
	routers  []*router
	store    *cache
	order    int
	busy     time.Duration
	seen     map[prefix.Key]int
}

// Run runs a policy over recorded arrivals and returns what became of each,
// in the order of the arrivals.
func Run(m Model, p Policy, s Scenario, engines int, arrivals []workload.Arrival, seed uint64) []Outcome {
	r := &run{
		model: m, policy: p, scenario: s, random: rand.New(rand.NewPCG(seed, 1)), seen: map[prefix.Key]int{},
		store: newCache(m.StorePieces, func(prefix.Key, bool) {}),
	}
	names := make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%d", i+1)
		r.keepers = append(r.keepers, &keeper{run: r, belief: cacheindex.New(beliefLimit, 0)})
		r.engines = append(r.engines, newEngine(r, i))
		r.keepers[i].load(r.engines[i].source(), report{alive: true})
	}
	r.ring = routing.NewRing(names)
	for range s.Routers {
		r.routers = append(r.routers, newRouter(r))
	}
	outcomes := make([]Outcome, len(arrivals))
	for i, a := range arrivals {
		outcomes[i].Arrival = a
		r.clock.at(a.At, func() { r.arrive(a, &outcomes[i]) })
	}
	r.plan()
	r.clock.run(s.Span + time.Minute)
	return outcomes
}

// arrive admits and routes a request at one of the routers.
func (r *run) arrive(a workload.Arrival, o *Outcome) {
	n := r.routers[a.Draw%uint64(len(r.routers))]
	if r.scenario.Admission && !n.admit(a) {
		o.Refused = true
		return
	}
	n.route(&job{Arrival: a, router: n, outcome: o})
}

// admit asks the router's gate.
func (n *router) admit(a workload.Arrival) bool {
	best := time.Duration(-1)
	for e, k := range n.run.keepers {
		if !k.report.alive {
			continue
		}
		wait, _ := n.view.Wait(n.run.ring.Name(e), k.report.Report)
		if best < 0 || wait < best {
			best = wait
		}
	}
	ask := admission.Request{
		Account: fmt.Sprint(a.Account), Weight: 1, Priority: a.Class.Priority, Remaining: a.Class.Deadline,
		Wait: max(best, 0), Service: n.view.MeanPrefill(), Answer: time.Duration(a.Class.AnswerTokens) * n.run.model.TokenTime,
	}
	return n.gate.Decide(ask, n.run.clock.now).Admitted
}

// plan schedules the load reports and the failures.
func (r *run) plan() {
	for _, e := range r.engines {
		// Engines report at different times of the interval.
		offset := reportInterval * time.Duration(e.number) / time.Duration(len(r.engines))
		r.clock.at(offset, func() { r.report(e) })
	}
	s := r.scenario
	if s.RestartAt > 0 {
		r.clock.at(s.RestartAt, r.restartRouters)
	}
	if s.CrashAt > 0 {
		r.clock.at(s.CrashAt, r.engines[0].crash)
		r.clock.at(s.CrashAt+s.CrashTime, r.engines[0].start)
	}
	if s.JoinAt > 0 {
		last := r.engines[len(r.engines)-1]
		last.crash()
		r.keepers[last.number].report.alive = false
		r.clock.at(s.JoinAt, last.start)
	}
}

// report sends a load report, and the next one later.
func (r *run) report(e *engine) {
	load, source := report{routing.Report{At: r.clock.now, Queued: len(e.queue), Running: len(e.running)}, e.alive}, e.source()
	if e.reading != nil {
		load.Running++
	}
	r.clock.after(r.scenario.LoadLag, func() { r.keepers[e.number].load(source, load) })
	if r.clock.now < r.scenario.Span {
		r.clock.after(reportInterval, func() { r.report(e) })
	}
}

// restartRouters restarts every router, and with them the keepers. A new
// keeper knows no load, and reads the events that its engine has retained.
func (r *run) restartRouters() {
	for _, n := range r.routers {
		n.restart()
	}
	for i, k := range r.keepers {
		k.belief = cacheindex.New(beliefLimit, r.clock.now)
		k.belief.Reset(k.source, r.clock.now)
		k.report = report{alive: true}
		e := r.engines[i]
		r.clock.after(r.scenario.EventLag, func() { k.belief.Apply(e.source(), e.retained, r.clock.now) })
	}
}

// heldElsewhere returns how many of the pieces some live engine or the kept
// store holds.
func (r *run) heldElsewhere(pieces []prefix.Key) int {
	held := 0
	for _, k := range pieces {
		if r.holds(k) {
			held++
		}
	}
	return held
}

// holds tells whether any live engine or the kept store holds a piece.
func (r *run) holds(k prefix.Key) bool {
	if r.policy.imports() && r.store.has(k) {
		return true
	}
	for _, e := range r.engines {
		if e.alive && e.cache.has(k) {
			return true
		}
	}
	return false
}

// export puts pieces that were used twice into the kept store.
func (r *run) export(j *job) {
	if !r.policy.imports() {
		return
	}
	for i := len(j.Pieces) - 1; i >= 0; i-- {
		k := j.Pieces[i]
		if r.seen[k]++; r.seen[k] >= 2 {
			r.store.touch(k)
		}
	}
}
