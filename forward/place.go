package forward

import (
	"context"
	"strconv"
	"time"

	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/pulse"
	"github.com/kumquathoist/kumquathoist/roster"
)

const (
	// patience is the part of the objective that a request waits for an
	// upstream before it is refused; callers lose nothing up to there.
	patience = 8
	// lookInterval is the time between two looks for an upstream.
	lookInterval = 15 * time.Millisecond
	// oldWeightsFree is how long after newer weights were named answers of
	// older ones keep their credit, oldWeightsLoss what they lose then (the
	// users' rules).
	oldWeightsFree = 1500 * time.Millisecond
	oldWeightsLoss = 0.2
	// maxPriority is the last rank of a request at an engine.
	maxPriority = 9
	// plainWorth is what a request without a prompt earns.
	plainWorth = 1.0
	// leastCell is how many engines of a cell are enough for its requests.
	leastCell = 3
	// answerBytes is the size of a plain answer, tokenBytes that of a token's
	// share of a stream (the users' sheets).
	answerBytes = 800
	tokenBytes  = 60
	// fewSites is how many upstreams are all weighed. Of more, as many are
	// drawn beside those that hold cached parts, so that hosts whose news are
	// equally old do not all choose the same.
	fewSites = 12
)

// site is an upstream that could run the request.
type site struct {
	roster.Entry

	state health.State
	short pulse.Engine
	// load is what all hosts have there.
	load    pulse.Load
	weights int64
	loss    float64
}

// place chooses an upstream, waiting a little if there is none.
func (d *run) place(ctx context.Context) (target, bool) {
	until := clock.Now().Add(d.route.Objective / patience)
	for {
		d.book = d.Knowledge.Book()
		if sites := d.sites(); len(sites) > 0 {
			return d.choose(sites), true
		}
		if !clock.Now().Before(until) {
			return target{}, false
		}
		select {
		case <-ctx.Done():
			return target{}, false
		case <-time.After(lookInterval):
		}
	}
}

// sites returns the upstreams that may be sent the request now. In a system
// of cells the engines of other failure domains are left to the hosts there
// as long as there are enough in this one.
func (d *run) sites() []site {
	now := clock.Now()
	cells := d.call.Prompt.Model != "" && d.Cells()
	var found, outside []site
	for _, e := range d.book.Roster.Service(d.service.Name) {
		state := d.Board.State(e.ID)
		if e.Leaving || d.tried[e.ID] || !state.Usable(now) {
			continue
		}
		s := site{Entry: e, state: state, short: pulse.Short(e.ID)}
		if d.call.Prompt.Model != "" && !d.weigh(&s, now) {
			continue
		}
		s.load = state.Load.Plus(d.Pulses.Elsewhere(s.short))
		if cells && e.FailureDomain != d.FailureDomain {
			outside = append(outside, s)
		} else {
			found = append(found, s)
		}
	}
	if len(found) < leastCell {
		found = append(found, outside...)
	}
	return found
}

// weigh finds out which weights an engine has and whether they may answer.
func (d *run) weigh(s *site, now clock.Instant) bool {
	s.weights = max(s.Weights[d.call.Prompt.Model], s.state.Weights)
	if s.weights == 0 {
		return false
	}
	named, ok := d.book.Weights(d.call.Prompt.Model)
	since, replaced := named.Replaced(s.weights)
	if !ok || !replaced {
		return true
	}
	age := now.Sub(since)
	if age > oldWeightsFree {
		s.loss = oldWeightsLoss
	}
	return age < d.OldWeights
}

// salt keeps parts apart that were made by other weights or for accounts that
// share nothing.
func (d *run) salt(weights int64) string {
	salt := "w" + strconv.FormatInt(weights, 10)
	if d.account.Isolated {
		salt += "/" + d.account.Name
	}
	return salt
}

// choose returns the target with the least cost.
func (d *run) choose(sites []site) target {
	now := clock.Now()
	need := allocation.Need{Objective: d.route.Objective, Elapsed: now.Sub(d.call.Arrived), Worth: plainWorth, Input: d.call.Prompt.Input, Output: d.call.Prompt.MostOutput, Bytes: len(d.call.Body) + answerBytes}
	parts := d.parts(sites, &need, now)
	sites = d.drawn(sites, parts, need.Home)
	rank := d.priority()
	candidates := make([]allocation.Candidate, len(sites))
	for i, s := range sites {
		candidates[i] = allocation.Candidate{
			ID: s.ID, Running: s.load.Running, Ahead: s.load.Ahead(rank), Waiting: s.load.Ahead(pulse.Ranks), Slots: s.Slots, Connected: d.Sender.Idle(s.Address),
			Near: s.FailureDomain == d.FailureDomain, Held: parts.held[s.ID],
			Failing: s.state.Failing(now), Lag: s.state.Lag(now), Loss: s.loss,
		}
	}
	i := allocation.Choose(candidates, need, d.call.ID)
	s := sites[i]
	t := target{id: s.ID, address: s.Address, prefill: max(0, need.Input-candidates[i].Held), rank: rank}
	t.send = call.Send{Call: d.call, Instance: s.ID, Account: d.account.Name, Priority: -1}
	if d.call.Prompt.Model != "" {
		t.send.Priority = rank
		t.send.Weights = s.weights
		t.send.Salt = d.salt(s.weights)
		t.send.FetchFrom = parts.source(s, need.Shared, d.partStore())
		if need.Elsewhere < need.Shared {
			// Nobody is known to hold all; others will want them.
			t.send.SaveTo = d.partStore()
		}
	}
	event.CallPlaced.Info("Request", d.call.ID, "Service", d.service.Name, "Upstream", s.ID, "Cost", allocation.Cost(candidates[i], need), "Candidates", len(sites),
		"Held", candidates[i].Held, "Shared", need.Shared, "FetchFrom", t.send.FetchFrom, "Weights", s.weights, "Running", s.load.Running, "Ahead", candidates[i].Ahead, "Waiting", candidates[i].Waiting,
		"Catalog", d.book.Catalog.Version, "AgeMillis", d.Knowledge.Age().Milliseconds())
	return t
}

// drawn returns the upstreams to weigh.
func (d *run) drawn(sites []site, parts cachedParts, home string) []site {
	if len(sites) <= fewSites {
		return sites
	}
	chosen := make([]site, 0, 2*fewSites)
	for i, s := range sites {
		// Sites are in a fixed order: a step through them from a random place
		// draws without preference.
		away := (i + len(sites) - int(d.spread%uint64(len(sites)))) % len(sites)
		if parts.held[s.ID] > 0 || s.ID == home || away*fewSites%len(sites) < fewSites {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// partStore returns the address of the store of cached parts, or "".
func (d *run) partStore() string {
	stores := d.book.Catalog.PartStores()
	if len(stores) == 0 {
		return ""
	}
	return stores[0].Address
}

// priority returns the rank of the request at an engine.
func (d *run) priority() int {
	p := d.route.Priority
	if d.account.Priority != nil {
		p = *d.account.Priority
	}
	return min(max(p, 0), maxPriority)
}

// cachedParts tells where the shared parts of the prompt are believed to be.
type cachedParts struct {
	// held counts the shared tokens that engines hold.
	held map[string]int
	// sources maps weights to engines to fetch from, the best first.
	sources map[int64][]site
}

// source returns where an engine should fetch parts from that it lacks, or "".
func (p cachedParts) source(s site, shared int, store string) string {
	if shared == 0 || p.held[s.ID] >= shared {
		return ""
	}
	for _, from := range p.sources[s.weights] {
		if from.ID != s.ID && p.held[from.ID] > p.held[s.ID] {
			return from.Address
		}
	}
	return store
}

// parts finds out where the shared parts are and which engine is their home.
func (d *run) parts(sites []site, need *allocation.Need, now clock.Instant) cachedParts {
	found := cachedParts{held: map[string]int{}, sources: map[int64][]site{}}
	shared := d.call.Prompt.Shared()
	if d.call.Prompt.Model == "" || len(shared) == 0 {
		return found
	}
	need.Bytes += tokenBytes * need.Output
	need.Worth = allocation.Worth(need.Input, need.Output)
	for _, p := range shared {
		need.Shared += p.Tokens
	}
	byShort := make(map[pulse.Engine]site, len(sites))
	newest := int64(0)
	for _, s := range sites {
		byShort[s.short] = s
		newest = max(newest, s.weights)
	}
	chains := cachemap.Chains(d.salt(newest), shared)
	d.mu.Lock()
	defer d.mu.Unlock()
	tokens := need.Shared
	for i := len(chains) - 1; i >= 0; i-- {
		for _, holder := range d.cached.Holders(chains[i], now) {
			if s, ok := byShort[holder]; ok && s.weights == newest && found.held[s.ID] == 0 {
				found.held[s.ID] = tokens
				found.sources[newest] = append(found.sources[newest], s)
				need.Elsewhere = max(need.Elsewhere, tokens)
			}
		}
		tokens -= shared[i].Tokens
	}
	need.Home = homeOf(strconv.FormatUint(uint64(chains[len(chains)-1]), 16), sites, newest)
	return found
}

// homeOf returns the engine that should read parts that nobody holds.
func homeOf(key string, sites []site, weights int64) string {
	best, bestScore := "", uint64(0)
	for _, s := range sites {
		if score := placement.Score(key, s.ID); s.weights == weights && (best == "" || score > bestScore) {
			best, bestScore = s.ID, score
		}
	}
	return best
}

// saw notes that an engine that has begun to answer holds the parts.
func (d *run) saw(a *attempt) {
	shared := d.call.Prompt.Shared()
	if a.send.Weights == 0 || len(shared) == 0 {
		return
	}
	chains, short := cachemap.Chains(a.send.Salt, shared), pulse.Short(a.id)
	for _, c := range chains {
		d.Pulses.Saw(pulse.Sighting{Engine: short, Chain: uint64(c)})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cached.Saw(short, chains, clock.Now())
}
