package forward

import (
	"context"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/replica"
)

const (
	// waitShare is the part of the objective that a request waits for an
	// upstream before it is refused: one in so many, up to where callers lose
	// nothing.
	waitShare = 8
	// lookInterval is the time between two looks for an upstream.
	lookInterval = 15 * time.Millisecond
	// oldWeightsFree is how long after newer weights were named answers of
	// older ones keep their credit, oldWeightsLoss what they lose then (the
	// users' rules).
	oldWeightsFree = 1500 * time.Millisecond
	oldWeightsLoss = 0.2
	// maxPriority is the last priority that is told apart from later ones; the
	// last rank is that of deferred requests.
	maxPriority = allocation.Deferred/2 - 1
	// longRead is from how many prompt tokens on a request goes behind shorter
	// ones of the same priority: engines read as many between two tokens.
	longRead = 4096
	// plainWorth is what a request without a prompt earns.
	plainWorth = 1.0
	// answerBytes is the size of a plain answer, tokenBytes that of a token's
	// share of a stream (the users' sheets).
	answerBytes = 800
	tokenBytes  = 60
	// fewSites is how many upstreams are all weighed. Of more, as many are
	// drawn beside those that hold cached parts, so that hosts whose news are
	// equally old do not all choose the same.
	fewSites = 12
	// draws is how many of them are drawn.
	draws = 4
)

// site is an upstream that could run the request.
type site struct {
	discovery.Entry

	state health.State
	short loadreport.Engine
	// load is what all hosts have there.
	load    loadreport.Load
	weights int64
	loss    float64
	// replaced tells that newer weights are named.
	replaced bool
}

// place chooses an upstream, waiting a little if there is none. It returns
// false if there is none, or if the request is refused.
func (d *run) place(ctx context.Context) (target, bool) {
	until := clock.Now().Add(d.route.Objective / waitShare)
	for {
		d.book = d.Knowledge.Book()
		if sites := d.usable(d.book, d.service, d.call.Prompt.Model, func(id string) bool { return d.tried[id] }); len(sites) > 0 {
			return d.choose(sites)
		}
		if back, all := d.resting(); all && d.state.Ran == 0 {
			d.refusal = call.Refuse(call.Resting).WithRetryAfter(back)
			return target{}, false
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

// resting tells whether all upstreams of the service that don't leave have
// asked for time, and when the first of them may be sent a request again.
func (d *run) resting() (back time.Duration, all bool) {
	now := clock.Now()
	for _, e := range d.book.Roster.Service(d.service.Name) {
		s := d.Board.Known(e.ID, e.Born, now)
		if e.Leaving || s.Leaving(now) {
			continue
		}
		left := s.Back(now)
		if left == 0 {
			return 0, false
		}
		if !all || left < back {
			back, all = left, true
		}
	}
	return back, all
}

// usable returns the upstreams of a service that may be sent a request now,
// for a model unless that is "".
func (r *Router) usable(book replica.Book, service catalog.Service, model string, except func(id string) bool) []site {
	now := clock.Now()
	var found []site
	for _, e := range book.Roster.Service(service.Name) {
		state := r.Board.Known(e.ID, e.Born, now)
		if e.Leaving || except(e.ID) || !state.Usable(now) {
			continue
		}
		s := site{Entry: e, state: state, short: loadreport.Short(e.ID)}
		if model != "" && !r.weigh(book, model, &s, now) {
			continue
		}
		s.load = state.Load.Plus(r.Pulses.Elsewhere(s.short))
		found = append(found, s)
	}
	settled(found, r.Pulses.Pace(), now)
	return found
}

// weigh finds out which weights an engine has and whether they may answer.
func (r *Router) weigh(book replica.Book, model string, s *site, now clock.Instant) bool {
	s.weights = max(s.Weights[model], s.state.Weights, s.state.Guess)
	if s.weights == 0 {
		return false
	}
	named, ok := book.Weights(model)
	since, replaced := named.Replaced(s.weights)
	if !ok || !replaced {
		return true
	}
	s.replaced = true
	age := now.Sub(since)
	if age > oldWeightsFree {
		s.loss = oldWeightsLoss
	}
	return age < r.OldWeights
}

// choose returns the target with the least cost, or false if the request is
// refused since it can't be answered in time wherever it goes.
func (d *run) choose(sites []site) (target, bool) {
	now := clock.Now()
	need, shared := d.need(now)
	places := d.locate(sites, shared, now)
	sites = d.drawn(sites, places, now)
	rank := d.rank()
	candidates := d.candidates(sites, places, rank, now)
	i := allocation.Choose(candidates, need, d.call.ID)
	if d.call.Prompt.Model == "" {
		return d.target(sites[i], candidates[i], need, -1, places), true
	}
	last, j := allocation.ChooseLast(candidates, need, d.call.ID)
	switch treatment, after := allocation.Treat(candidates[i], last, need, d.patience()); {
	case treatment == allocation.Hopeless && d.state.Ran == 0:
		d.refusal = call.Refuse(call.Overloaded).WithRetryAfter(after)
		event.CallOverloaded.Info("Request", d.call.ID, "ExpectedMillis", allocation.Expected(last, need).Milliseconds(), "Waiting", last.Waiting, "Candidates", len(sites), "PatienceMillis", d.patience().Milliseconds(), "RetryAfter", after)
		return target{}, false
	case treatment != allocation.InTime:
		return d.target(sites[j], last, need, allocation.Deferred, places), true
	}
	return d.target(sites[i], candidates[i], need, rank, places), true
}

// candidates returns what is known of upstreams.
func (d *run) candidates(sites []site, places []whereabouts, rank int, now clock.Instant) []allocation.Candidate {
	candidates := make([]allocation.Candidate, len(sites))
	for i, s := range sites {
		w, _ := under(places, s.weights)
		candidates[i] = allocation.Candidate{
			ID: s.ID, Running: s.load.Running, Ahead: s.load.Ahead(rank), Waiting: s.load.Ahead(loadreport.Ranks), Slots: s.Slots, Connected: d.Sender.Idle(s.Address),
			Near: s.FailureDomain == d.FailureDomain, Held: w.at(s.ID), Elsewhere: w.elsewhere(), Home: s.ID == w.home,
			Failing: s.state.Failing(now), Lag: s.state.Lag(now), Loss: s.loss, Replaced: s.replaced,
		}
	}
	return candidates
}

// target returns the chosen upstream with what it is sent.
func (d *run) target(s site, c allocation.Candidate, need allocation.Need, rank int, places []whereabouts) target {
	w, _ := under(places, s.weights)
	t := target{id: s.ID, address: s.Address, prefill: max(0, need.Input-c.Held), rank: max(rank, 0)}
	t.send = call.UpstreamRequest{Call: d.call, Instance: s.ID, Account: d.account.Name, Priority: rank}
	if d.call.Prompt.Model != "" {
		t.send.Weights = s.weights
		t.send.Salt = d.salt(s.weights)
		t.send.FetchFrom = w.source(s, need.Shared)
		if w.stored < need.Shared && allocation.WorthSaving(need.Input, need.Shared) {
			t.send.SaveTo = w.store
		}
	}
	d.mu.Lock()
	d.sent.Add(t.prefill, clock.Now())
	d.mu.Unlock()
	event.CallPlaced.Info("Request", d.call.ID, "Service", d.service.Name, "Upstream", s.ID, "Cost", allocation.Cost(c, need), "Rank", rank,
		"Held", c.Held, "Elsewhere", c.Elsewhere, "Shared", need.Shared, "Part", w.part, "FetchFrom", t.send.FetchFrom, "Weights", s.weights, "Running", s.load.Running, "Ahead", c.Ahead, "Waiting", c.Waiting,
		"Catalog", d.book.Catalog.Version, "AgeMillis", d.Knowledge.Age().Milliseconds())
	return t
}

// need returns what the request asks of an upstream, and the shared parts of
// its prompt.
func (d *run) need(now clock.Instant) (allocation.Need, []call.Part) {
	prompt := d.call.Prompt
	n := allocation.Need{Objective: d.route.Objective, Elapsed: now.Sub(d.call.Arrived), Worth: plainWorth, Input: prompt.Input, Output: prompt.MaxOutput, Bytes: len(d.call.Body) + answerBytes}
	if prompt.Model == "" {
		return n, nil
	}
	n.Bytes += tokenBytes * n.Output
	n.Worth = allocation.Worth(n.Input, n.Output)
	shared := prompt.Shared()
	for _, p := range shared {
		n.Shared += p.Tokens
	}
	return n, shared
}

// drawn returns the upstreams to weigh.
func (d *run) drawn(sites []site, places []whereabouts, now clock.Instant) []site {
	if len(sites) <= fewSites {
		return sites
	}
	spots := make([]allocation.Spot, len(sites))
	for i, s := range sites {
		spots[i] = allocation.Spot{Waiting: s.load.Ahead(loadreport.Ranks), Near: s.FailureDomain == d.FailureDomain}
	}
	d.mu.Lock()
	arriving := float64(d.Hosts()) * d.sent.Within(d.Pulses.Pace(), now)
	d.mu.Unlock()
	indices := allocation.Draw(spots, arriving, draws, d.spread)
	chosen := make([]site, 0, 2*fewSites)
	for i, s := range sites {
		w, _ := under(places, s.weights)
		if w.at(s.ID) > 0 || s.ID == w.home || slices.Contains(indices, i) {
			chosen = append(chosen, s)
		}
	}
	if len(chosen) == 0 {
		return sites
	}
	return chosen
}

// settled gives upstreams that have only just joined the load of an average
// one: what other hosts send there is not known yet, and all would.
func settled(sites []site, pace time.Duration, now clock.Instant) {
	var sum loadreport.Load
	for _, s := range sites {
		sum = sum.Plus(s.load)
	}
	average := sum.Share(len(sites))
	for i, s := range sites {
		if now.Sub(s.state.Joined()) < pace {
			sites[i].load = s.load.AtLeast(average)
		}
	}
}

// rank returns the rank of the request at an engine: by the operators'
// priority, and within one priority short prompts first.
func (d *run) rank() int {
	p := d.route.Priority
	if d.account.Priority != nil {
		p = *d.account.Priority
	}
	rank := 2 * min(max(p, 0), maxPriority)
	if d.call.Prompt.Input > longRead {
		rank++
	}
	return rank
}

// patience returns how long the caller waits for the next event, at most
// until the deadline.
func (d *run) patience() time.Duration {
	if d.route.Kind != catalog.Stream {
		return d.left()
	}
	return min(d.left(), d.route.Patience()-clock.Now().Sub(d.call.Arrived))
}
