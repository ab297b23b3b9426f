package forward

import (
	"context"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

const (
	// waitDivisor divides the route's objective to get how long a request
	// waits for a usable upstream before it is refused; callers lose nothing
	// by a wait of that length.
	waitDivisor = 8
	// pollInterval is the time between two polls for a usable upstream.
	pollInterval = 15 * time.Millisecond
	// oldWeightsFullCredit is how long answers of older weights keep their full
	// value after newer weights became the target, oldWeightsLoss the share of
	// the value that they lose then (the users' rules).
	oldWeightsFullCredit = 1500 * time.Millisecond
	oldWeightsLoss       = 0.2
	// plainValue is the value of a request without a prompt.
	plainValue = 1.0
	// answerBytes is the size of a plain answer, tokenBytes the size of one
	// token in a stream (the users' sheets).
	answerBytes = 800
	tokenBytes  = 60
	// liveHostsLifetime is how long the list of hosts that share limits is reused.
	liveHostsLifetime = 200 * time.Millisecond
	// maxUnsampled is the largest number of upstreams that are all compared.
	// Of more, only those that hold cached parts, the parts' owner and a random
	// sample are compared. Otherwise hosts with equally old load reports would
	// all choose the same upstream.
	maxUnsampled = 12
	// sampleSize is the size of that sample.
	sampleSize = 4
)

// upstream is an upstream that could run the request.
type upstream struct {
	discovery.Entry

	state health.State
	hash  loadreport.EngineHash
	// load is the load of all hosts at the upstream.
	load      loadreport.Load
	weights   int64
	valueLoss float64
	// replaced is set if there are newer target weights.
	replaced bool
}

// isLimited reports whether the upstream named a limit.
func (u upstream) isLimited(now clock.Instant) bool {
	_, _, limited := u.state.Limit(now)
	return limited
}

// schedule chooses an upstream, and waits a little if none is usable. It
// returns false if none becomes usable or the request is refused.
func (h *handler) schedule(ctx context.Context) (target, bool) {
	giveUp := clock.Now().Add(h.route.Objective / waitDivisor)
	for {
		if t, ok, settled := h.place(); settled {
			return t, ok
		}
		if h.isPausedUntil(giveUp) || !clock.Now().Before(giveUp) {
			return target{}, false
		}
		select {
		case <-ctx.Done():
			return target{}, false
		case <-time.After(pollInterval):
		}
	}
}

// place chooses an upstream that is usable now. It reports whether the choice is settled:
// whether there is one, or the request is refused.
func (h *handler) place() (t target, ok, settled bool) {
	h.snapshot = h.Replica.State()
	if h.isQuarantined() || h.isUnresumable() {
		return target{}, false, true
	}
	upstreams, mustRelay := h.reachable()
	if mustRelay {
		t, ok = h.relayTarget()
		return t, ok, true
	}
	if len(upstreams) > 0 {
		if t, ok = h.choose(upstreams); !ok || h.take(t.id) {
			return t, ok, true
		}
	}
	return target{}, false, false
}

// reachable returns the upstreams to which this host can send the request now, or
// reports that it must pass the request on to another host. While upstreams accept no
// new connections, only those with an idle one can be reached.
func (h *handler) reachable() (upstreams []upstream, mustRelay bool) {
	connectedOnly := h.Reachability.ConnectionsFail(h.service.Name)
	upstreams = h.usable(h.snapshot, h.service, h.call.Prompt.Model, func(e discovery.Entry) bool {
		return h.tried[e.ID] || !h.mayRun(e) || connectedOnly && !h.Sender.HasIdle(e.Address)
	})
	if answering := h.withoutSilent(upstreams); len(answering) > 0 || h.needsAnswering {
		upstreams = answering
	}
	return upstreams, h.Reachability.Isolated(h.service.Name) || connectedOnly && len(upstreams) == 0
}

// withoutSilent returns the upstreams that are not known to be silent.
func (r *Router) withoutSilent(upstreams []upstream) []upstream {
	silent := r.Liveness.Silent()
	if silent == nil {
		return upstreams
	}
	return slices.DeleteFunc(slices.Clone(upstreams), func(u upstream) bool { return silent[u.ID] })
}

// isPausedUntil reports whether all upstreams want no request of this host until after
// an instant, and sets the refusal if so.
func (h *handler) isPausedUntil(giveUp clock.Instant) bool {
	wait, reason := h.allPaused()
	if reason == "" || h.mayHaveRun() || !giveUp.Before(clock.Now().Add(wait)) {
		return false
	}
	if reason == call.Limited {
		wait = h.returnAfter(wait)
	}
	h.refusal = call.Refuse(reason).WithRetryAfter(wait)
	return true
}

// take counts a request to an upstream, if the upstream still accepts it: other
// requests of this host may have used up what it accepts.
func (h *handler) take(id string) (ok bool) {
	now := clock.Now()
	h.Tracker.Update(id, func(s health.State) health.State {
		if ok = s.Usable(now); ok {
			s.Status = s.Status.WithSend(now)
		}
		return s
	})
	return ok
}

// takeRegardless counts a request that goes to an upstream in any case.
func (h *handler) takeRegardless(id string) {
	now := clock.Now()
	h.Tracker.Update(id, func(s health.State) health.State {
		s.Status = s.Status.WithSend(now)
		return s
	})
}

// allPaused returns a reason if all upstreams of the service that aren't leaving
// are in a Retry-After pause or at their limits, and how long it takes until the
// first of them accepts a request again.
func (h *handler) allPaused() (wait time.Duration, reason call.Reason) {
	now := clock.Now()
	for _, e := range h.snapshot.Upstreams.Service(h.service.Name) {
		s := h.Tracker.Observe(e.ID, e.StartTime, now)
		if e.Leaving || s.Leaving(now) || !h.mayRun(e) {
			continue
		}
		left := s.RetryAfter(now)
		if left == 0 {
			return 0, ""
		}
		if reason != "" && left >= wait {
			continue
		}
		wait, reason = left, call.Resting
		if _, _, limited := s.Limit(now); limited {
			reason = call.Limited
		}
	}
	return wait, reason
}

// mayHaveRun reports whether an upstream may have run the request.
func (h *handler) mayHaveRun() bool {
	return h.retryState.MaybeExecuted > 0 || h.stage == retrybudget.Streaming
}

// returnAfter returns when a caller should come back for which no upstream has a
// request left, given the time until the first has one.
func (h *handler) returnAfter(wait time.Duration) time.Duration {
	perSecond := 0.0
	for _, e := range h.snapshot.Upstreams.Service(h.service.Name) {
		perSecond += h.Tracker.State(e.ID).Part()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.returns[h.service.Name], wait = h.returns[h.service.Name].With(wait, perSecond, clock.Now())
	return wait
}

// limitSharers returns the hosts that share limits. It lists them once for all the
// upstreams whose parts are due at about the same time.
func (r *Router) limitSharers(now clock.Instant) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.liveHosts == nil || now.Sub(r.liveHostsAt) >= liveHostsLifetime {
		r.liveHosts, r.liveHostsAt = r.LiveHosts(), now
	}
	return r.liveHosts
}

// withPart returns an upstream's state with this host's part of its limit.
func (r *Router) withPart(id string, state health.State, now clock.Instant) health.State {
	perSecond, _, _ := state.Limit(now)
	part := availability.PartOf(id, perSecond, r.Host, r.limitSharers(now))
	r.Tracker.Update(id, func(s health.State) health.State {
		s.Status = s.WithPart(part, now)
		state = s
		return s
	})
	return state
}

// usable returns the upstreams of a service that may be sent a request now. If
// model is not "", they have weights of it that may answer.
func (r *Router) usable(snapshot replica.State, service catalog.Service, model string, exclude func(discovery.Entry) bool) []upstream {
	now := clock.Now()
	var found []upstream
	for _, e := range snapshot.Upstreams.Service(service.Name) {
		state := r.Tracker.Observe(e.ID, e.StartTime, now)
		if state.NeedsPart(now) {
			state = r.withPart(e.ID, state, now)
		}
		if e.Leaving || exclude(e) || !state.Usable(now) {
			continue
		}
		u := upstream{Entry: e, state: state, hash: loadreport.HashEngine(e.ID)}
		if model != "" && !r.resolveWeights(snapshot, model, &u, now) {
			continue
		}
		u.load = state.Load.Plus(r.LoadReports.RemoteLoad(u.hash))
		if state.Brittle(now) && !availability.HasRoom(e.Slots, state.Load.Running, u.load.Running, r.Hosts()) {
			continue
		}
		found = append(found, u)
	}
	assumeAverageLoad(found, r.LoadReports.MaxStaleness(), now)
	return found
}

// resolveWeights sets the weights version of an engine and reports whether it
// may still answer.
func (r *Router) resolveWeights(snapshot replica.State, model string, u *upstream, now clock.Instant) bool {
	u.weights = max(u.Weights[model], u.state.Weights, u.state.AssumedWeights)
	if u.weights == 0 {
		return false
	}
	history, ok := snapshot.WeightsHistory(model)
	since, replaced := history.ReplacedSince(u.weights)
	if !ok || !replaced {
		return true
	}
	u.replaced = true
	age := now.Sub(since)
	if age > oldWeightsFullCredit {
		u.valueLoss = oldWeightsLoss
	}
	return age < r.OldWeightsGrace
}

// choose returns the target with the least cost, or false if the request is
// refused because no upstream can answer it in time.
func (h *handler) choose(upstreams []upstream) (target, bool) {
	now := clock.Now()
	requirements, shared := h.requirements(now)
	upstreams = h.spareLimited(upstreams, now)
	locations := h.locate(upstreams, shared, now)
	upstreams = h.sample(upstreams, locations, now)
	rank := h.rank(requirements)
	candidates := h.candidates(upstreams, locations, rank, now)
	i := allocation.Choose(candidates, requirements, h.call.ID)
	if probe := slices.IndexFunc(upstreams, func(u upstream) bool { return u.state.LimitProbeDue(now) }); probe >= 0 {
		return h.newTarget(upstreams[probe], candidates[probe], requirements, rank, locations), true
	}
	if h.call.Prompt.Model == "" {
		return h.newTarget(upstreams[i], candidates[i], requirements, -1, locations), true
	}
	last, j := allocation.ChooseLast(candidates, requirements, h.call.ID)
	switch mode, retryAfter := allocation.ChooseMode(candidates[i], last, requirements, h.callerEventTimeout()); {
	case mode == allocation.Refused && !h.mayHaveRun():
		h.refusal = call.Refuse(call.Overloaded).WithRetryAfter(retryAfter)
		event.CallOverloaded.Info("Request", h.call.ID, "ExpectedMillis", allocation.ExpectedFirstEvent(last, requirements).Milliseconds(), "Waiting", last.Waiting, "Candidates", len(upstreams), "PatienceMillis", h.callerEventTimeout().Milliseconds(), "RetryAfter", retryAfter)
		return target{}, false
	case mode != allocation.OnTime:
		return h.newTarget(upstreams[j], last, requirements, allocation.DeferredRank, locations), true
	}
	return h.newTarget(upstreams[i], candidates[i], requirements, rank, locations), true
}

// spareLimited returns the upstreams without those whose limit is left to longer
// prompts, if there are any others. A limit counts requests, whatever their size:
// the longest relieve the other upstreams most.
func (h *handler) spareLimited(upstreams []upstream, now clock.Instant) []upstream {
	h.mu.Lock()
	isLong := float64(h.call.Prompt.Input) >= float64(h.meanInput[h.service.Name])
	h.mu.Unlock()
	if isLong || !slices.ContainsFunc(upstreams, func(u upstream) bool { return !u.isLimited(now) }) {
		return upstreams
	}
	return slices.DeleteFunc(upstreams, func(u upstream) bool {
		return !u.state.HasSpareRequests(now) && !u.state.LimitProbeDue(now)
	})
}

// candidates returns the upstreams as the cost model sees them.
func (h *handler) candidates(upstreams []upstream, locations []cacheLocations, rank int, now clock.Instant) []allocation.Candidate {
	candidates := make([]allocation.Candidate, len(upstreams))
	for i, u := range upstreams {
		loc, _ := locationsFor(locations, u.weights)
		candidates[i] = allocation.Candidate{
			ID: u.ID, Running: u.load.Running, QueuedAhead: u.load.QueuedAhead(rank), Waiting: u.load.QueuedAhead(loadreport.Ranks), Slots: u.Slots, Connected: h.Sender.HasIdle(u.Address),
			SameDomain: u.FailureDomain == h.FailureDomain, Cached: loc.tokensAt(u.ID), Fetchable: loc.fetchableTokens(), Owner: u.ID == loc.owner, Limited: u.isLimited(now),
			FailureRate: u.state.FailureRate(now), Lag: u.state.Lag(now), Loss: u.valueLoss, WeightsOutdated: u.replaced,
		}
	}
	return candidates
}

// newTarget returns the chosen upstream with the send parameters.
func (h *handler) newTarget(u upstream, c allocation.Candidate, requirements allocation.Requirements, rank int, locations []cacheLocations) target {
	loc, _ := locationsFor(locations, u.weights)
	t := target{id: u.ID, address: u.Address, software: u.Software, prefill: max(0, requirements.Input-c.Cached), rank: max(rank, 0)}
	t.send = call.UpstreamRequest{Call: h.call, Instance: u.ID, Account: h.account.Name, Priority: rank}
	if h.call.Prompt.Model != "" {
		t.send.Weights = u.weights
		t.group = h.group(u.weights)
		t.send.Salt = t.group.Salt(u.weights, h.account.Name)
		t.send.FetchFrom = loc.fetchSource(u, requirements.Shared)
		if loc.storedTokens < requirements.Shared && allocation.ShouldStore(requirements.Input, requirements.Shared) {
			t.send.SaveTo = loc.storeAddress
		}
	}
	if h.call.Prompt.Model != "" && rank != allocation.DeferredRank {
		// A deferred request waits for all that come after it, too.
		t.wait = allocation.UncorrectedWait(c, requirements)
	}
	h.mu.Lock()
	h.sentTokens.Add(t.prefill, clock.Now())
	h.mu.Unlock()
	event.CallScheduled.Info("Request", h.call.ID, "Service", h.service.Name, "Upstream", u.ID, "Cost", allocation.Cost(c, requirements), "Rank", rank,
		"Held", c.Cached, "Elsewhere", c.Fetchable, "Shared", requirements.Shared, "Part", loc.lastPart, "FetchFrom", t.send.FetchFrom, "Weights", u.weights, "Salt", t.send.Salt, "Software", u.Software, "Running", u.load.Running, "Ahead", c.QueuedAhead, "Waiting", c.Waiting,
		"Catalog", h.snapshot.Catalog.Version, "AgeMillis", h.Replica.Staleness().Milliseconds())
	return t
}

// requirements returns what the request requires of an upstream, and the
// shared parts of its prompt.
func (h *handler) requirements(now clock.Instant) (allocation.Requirements, []call.Part) {
	prompt := h.call.Prompt
	n := allocation.Requirements{Objective: h.route.Objective, Elapsed: now.Sub(h.call.Arrived), Value: plainValue, Input: prompt.Input, Output: prompt.MaxOutput, Bytes: len(h.call.Body) + answerBytes, Begun: h.software != ""}
	if prompt.Model == "" {
		return n, nil
	}
	n.Bytes += tokenBytes * n.Output
	n.Value = allocation.Value(n.Input, n.Output)
	shared := prompt.Shared()
	for _, p := range shared {
		n.Shared += p.Tokens
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	n.Pace = h.paces[h.service.Name]
	return n, shared
}

// sample returns the upstreams to compare.
func (h *handler) sample(upstreams []upstream, locations []cacheLocations, now clock.Instant) []upstream {
	if len(upstreams) <= maxUnsampled {
		return upstreams
	}
	weighted := make([]allocation.WeightedCandidate, len(upstreams))
	for i, u := range upstreams {
		weighted[i] = allocation.WeightedCandidate{Waiting: u.load.QueuedAhead(loadreport.Ranks), SameDomain: u.FailureDomain == h.FailureDomain}
	}
	h.mu.Lock()
	arriving := float64(h.Hosts()) * h.sentTokens.Within(h.LoadReports.MaxStaleness(), now)
	h.mu.Unlock()
	indices := allocation.Draw(weighted, arriving, sampleSize, h.spread)
	chosen := make([]upstream, 0, 2*maxUnsampled)
	for i, u := range upstreams {
		loc, _ := locationsFor(locations, u.weights)
		if loc.tokensAt(u.ID) > 0 || u.ID == loc.owner || slices.Contains(indices, i) {
			chosen = append(chosen, u)
		}
	}
	if len(chosen) == 0 {
		return upstreams
	}
	return chosen
}

// assumeAverageLoad gives upstreams that were first seen just now at least the
// average load. The load of the other hosts there is not known yet, so every
// host would choose them.
func assumeAverageLoad(upstreams []upstream, maxStaleness time.Duration, now clock.Instant) {
	var sum loadreport.Load
	for _, u := range upstreams {
		sum = sum.Plus(u.load)
	}
	average := sum.DividedBy(len(upstreams))
	for i, u := range upstreams {
		if now.Sub(u.state.FirstSeen()) < maxStaleness {
			upstreams[i].load = u.load.AtLeast(average)
		}
	}
}

// rank returns the rank of the request at an engine.
func (h *handler) rank(r allocation.Requirements) int {
	p := h.route.Priority
	if h.account.Priority != nil {
		p = *h.account.Priority
	}
	return allocation.Rank(p, r)
}

// callerEventTimeout returns how long the caller still waits for the next
// event, at most until the deadline.
func (h *handler) callerEventTimeout() time.Duration {
	if h.route.Kind != catalog.Stream {
		return h.timeLeft()
	}
	return min(h.timeLeft(), h.route.EventTimeout()-clock.Now().Sub(h.call.Arrived))
}
