// Package experiment compares routing and admission policies on recorded
// arrivals. It simulates one fake engine model in virtual time, and several
// routers that each have their own view of the engines.
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

// Model describes the capacity and speed of the fake engine.
type Model struct {
	// Speed holds the costs of prefilling and importing prompts.
	Speed routing.Speed
	// TokenTime is the time between two tokens of an answer.
	TokenTime time.Duration
	// Slots is the number of answers that an engine decodes concurrently.
	Slots int
	// CachePieces is the cache size of an engine.
	CachePieces int
	// StorePieces is the size of the kept store.
	StorePieces int
}

// DefaultModel returns the engine model that the tables use.
func DefaultModel() Model {
	return Model{
		Speed:     routing.Speed{PrefillRate: 40_000, ImportRate: 160_000, ImportDelay: 10 * time.Millisecond},
		TokenTime: 15 * time.Millisecond, Slots: 32, CachePieces: 96, StorePieces: 2048,
	}
}

// Policy is a routing policy and its use of copies and feedback.
type Policy struct {
	routing.Policy

	Name string
	// Copies spreads hot prefixes over more engines and imports them from the
	// kept store.
	Copies bool
	// NoImport disables the kept store: copies are made by recomputation.
	NoImport bool
	// Oracle uses the true caches and queues instead of estimates.
	Oracle bool
	// UsesReportedReuse corrects the cache index by the reuse that engines
	// report.
	UsesReportedReuse bool
}

// importsFromStore reports whether engines import from the kept store.
func (p Policy) importsFromStore() bool { return p.Copies && !p.NoImport }

// Scenario describes the conditions and disturbances of a run.
type Scenario struct {
	Name string
	// Routers is the number of routers that share the arrivals.
	Routers int
	// Span is the length of the run; only arrivals in [From, To) are counted.
	Span, From, To time.Duration
	// LoadLag is the age of a load report when it arrives.
	LoadLag time.Duration
	// EventLag is the delay of cache events, and EventLoss the share that is
	// lost.
	EventLag  time.Duration
	EventLoss float64
	// RestartAt is when all routers restart at the same time; 0 means never.
	RestartAt time.Duration
	// CrashAt is when the first engine crashes, 0 means never. The engine
	// restarts after CrashTime.
	CrashAt, CrashTime time.Duration
	// JoinAt is when the last engine joins the pool; 0 means at the start.
	JoinAt time.Duration
	// Admission enables refusals by deadline and fair share.
	Admission bool
}

// DefaultScenario returns the undisturbed scenario of the tables.
func DefaultScenario() Scenario {
	return Scenario{
		Name: "steady", Routers: 6, Span: 60 * time.Second, From: 15 * time.Second, To: 60 * time.Second,
		LoadLag: 500 * time.Millisecond, EventLag: 300 * time.Millisecond, EventLoss: 0.01,
	}
}

// Outcome is the result of one request.
type Outcome struct {
	workload.Arrival

	// Hit, Imported, Prefilled and Wasted are numbers of prompt tokens.
	Hit, Imported, Prefilled, Wasted int
	// Predicted is the number of prompt tokens that were assumed cached.
	Predicted int
	// FirstToken and Done are times since the arrival; 0 means never.
	FirstToken, Done time.Duration
	// Failed means that no engine was available for the request.
	Failed bool
	// Refused means that admission refused the request.
	Refused bool
}

// reportInterval is the time between two load reports of an engine.
const reportInterval = 500 * time.Millisecond

// simulation is one run of a policy in a scenario.
type simulation struct {
	clock       clock
	model       Model
	policy      Policy
	scenario    Scenario
	random      *rand.Rand
	ring        *routing.Ring
	engines     []*engine
	owners      []*engineOwner
	routers     []*router
	store       *cache
	queued      int
	prefillTime time.Duration
	useCounts   map[prefix.Key]int
}

// Run runs a policy on recorded arrivals and returns their outcomes in the same
// order.
func Run(m Model, p Policy, s Scenario, engines int, arrivals []workload.Arrival, seed uint64) []Outcome {
	sim := &simulation{
		model: m, policy: p, scenario: s, random: rand.New(rand.NewPCG(seed, 1)), useCounts: map[prefix.Key]int{},
		store: newCache(m.StorePieces, func(prefix.Key, bool) {}),
	}
	names := make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%d", i+1)
		sim.owners = append(sim.owners, &engineOwner{sim: sim, index: cacheindex.New(maxIndexPieces, 0)})
		sim.engines = append(sim.engines, newEngine(sim, i))
		sim.owners[i].receiveReport(sim.engines[i].source(), loadReport{alive: true})
	}
	sim.ring = routing.NewRing(names)
	for range s.Routers {
		sim.routers = append(sim.routers, newRouter(sim))
	}
	outcomes := make([]Outcome, len(arrivals))
	for i, a := range arrivals {
		outcomes[i].Arrival = a
		sim.clock.at(a.At, func() { sim.arrive(a, &outcomes[i]) })
	}
	sim.scheduleEvents()
	sim.clock.runUntil(s.Span + time.Minute)
	return outcomes
}

// arrive admits and routes a request at one of the routers.
func (sim *simulation) arrive(a workload.Arrival, o *Outcome) {
	r := sim.routers[a.Random%uint64(len(sim.routers))]
	if sim.scenario.Admission && !r.admit(a) {
		o.Refused = true
		return
	}
	r.route(&job{Arrival: a, router: r, outcome: o})
}

// admit reports whether the router's admission control accepts the request.
func (r *router) admit(a workload.Arrival) bool {
	best := time.Duration(-1)
	for e, o := range r.sim.owners {
		if !o.report.alive {
			continue
		}
		wait, _ := r.history.Wait(r.sim.ring.Name(e), o.report.Report)
		if best < 0 || wait < best {
			best = wait
		}
	}
	request := admission.Request{
		Account: fmt.Sprint(a.Account), Weight: 1, Priority: a.Class.Priority, Remaining: a.Class.Deadline,
		Wait: max(best, 0), Service: r.history.MeanPrefill(), Answer: time.Duration(a.Class.AnswerTokens) * r.sim.model.TokenTime,
	}
	return r.admission.Decide(request, r.sim.clock.now).Admitted
}

// scheduleEvents schedules the load reports and the disturbances.
func (sim *simulation) scheduleEvents() {
	for _, e := range sim.engines {
		// Spread the reports of the engines over the interval.
		offset := reportInterval * time.Duration(e.number) / time.Duration(len(sim.engines))
		sim.clock.at(offset, func() { sim.sendReport(e) })
	}
	s := sim.scenario
	if s.RestartAt > 0 {
		sim.clock.at(s.RestartAt, sim.restartRouters)
	}
	if s.CrashAt > 0 {
		sim.clock.at(s.CrashAt, sim.engines[0].crash)
		sim.clock.at(s.CrashAt+s.CrashTime, sim.engines[0].startIncarnation)
	}
	if s.JoinAt > 0 {
		last := sim.engines[len(sim.engines)-1]
		last.crash()
		sim.owners[last.number].report.alive = false
		sim.clock.at(s.JoinAt, last.startIncarnation)
	}
}

// sendReport sends a load report and schedules the next one.
func (sim *simulation) sendReport(e *engine) {
	load, source := loadReport{routing.Report{At: sim.clock.now, Queued: len(e.queue), Running: len(e.running)}, e.alive}, e.source()
	if e.prefilling != nil {
		load.Running++
	}
	sim.clock.after(sim.scenario.LoadLag, func() { sim.owners[e.number].receiveReport(source, load) })
	if sim.clock.now < sim.scenario.Span {
		sim.clock.after(reportInterval, func() { sim.sendReport(e) })
	}
}

// restartRouters restarts every router and engine owner. A new owner has no load
// report yet, and replays the events that its engine has retained.
func (sim *simulation) restartRouters() {
	for _, r := range sim.routers {
		r.restart()
	}
	for i, o := range sim.owners {
		o.index = cacheindex.New(maxIndexPieces, sim.clock.now)
		o.index.Reset(o.source, sim.clock.now)
		o.report = loadReport{alive: true}
		e := sim.engines[i]
		sim.clock.after(sim.scenario.EventLag, func() { o.index.Apply(e.source(), e.retained, sim.clock.now) })
	}
}

// countHeld returns the number of pieces that a live engine or the kept store
// holds.
func (sim *simulation) countHeld(pieces []prefix.Key) int {
	held := 0
	for _, k := range pieces {
		if sim.holds(k) {
			held++
		}
	}
	return held
}

// holds reports whether a live engine or the kept store holds a piece.
func (sim *simulation) holds(k prefix.Key) bool {
	if sim.policy.importsFromStore() && sim.store.has(k) {
		return true
	}
	for _, e := range sim.engines {
		if e.alive && e.cache.has(k) {
			return true
		}
	}
	return false
}

// export copies pieces that were used at least twice to the kept store.
func (sim *simulation) export(j *job) {
	if !sim.policy.importsFromStore() {
		return
	}
	for i := len(j.Pieces) - 1; i >= 0; i-- {
		k := j.Pieces[i]
		if sim.useCounts[k]++; sim.useCounts[k] >= 2 {
			sim.store.touch(k)
		}
	}
}
