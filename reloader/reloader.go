// Package reloader makes engines load the target weights that operators set.
// Packages lease and reload make the decisions.
package reloader

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/lease"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/reload"
	"github.com/kumquathoist/kumquathoist/replica"
)

const (
	// checkInterval is the time between two checks for engines to order.
	checkInterval = 100 * time.Millisecond
	// batchInterval is how long updates about ended loads are batched.
	batchInterval = 50 * time.Millisecond
	// reportPollInterval is the time between two status queries of an engine
	// that loads.
	reportPollInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the log, reportTimeout one status query of
	// an engine.
	callTimeout   = 800 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// loadTimeout is how long an engine may take from the order until it serves
	// the new weights; its requests end first.
	loadTimeout = 4 * time.Second
	// orderTimeout bounds one order; engines answer within milliseconds.
	orderTimeout = 250 * time.Millisecond
	// lostTimeout is how long after an unanswered order the engine counts as not
	// having received it if its reports still don't show it. Reports are up to
	// this old.
	lostTimeout = 500 * time.Millisecond
	// inFlightDelay is the time between the update to the other hosts and the
	// order to the engine, so that requests on their way there have started.
	inFlightDelay = 150 * time.Millisecond
	// excludeTime is how long an engine that is about to load is excluded from
	// selection, unless an update about the end of the load arrives earlier.
	excludeTime = loadTimeout
	// failureBackoff is how long an engine that did not accept an order gets
	// no further one.
	failureBackoff = 500 * time.Millisecond
)

// Report is an engine's status report.
type Report struct {
	// Weights maps models to the loaded weights version.
	Weights map[string]int64
	// Busy reports whether an order is being executed.
	Busy bool
	// Orders counts the orders that the engine has accepted.
	Orders int64
}

// Order is an order to load weights.
type Order struct {
	// Instance is the id of the engine.
	Instance string
	Model    string
	Weights  int64
	Holder   string
	Fence    int64
	// Expected is the order count that the engine must have to accept the
	// order.
	Expected int64
}

// engineClient calls engines.
type engineClient interface {
	Report(ctx context.Context, address, instance string) (Report, error)
	// Order reports whether the engine accepted the order; after an error it
	// may or may not have.
	Order(ctx context.Context, address string, o Order) (accepted bool, err error)
}

// claimLog is the log of claims.
type claimLog interface {
	// Claims returns the claims from an offset on, or all if the log has lost
	// claims since that offset was read.
	Claims(ctx context.Context, from int64) (lease.Log, error)
	// Claim appends a claim if the log ends at the offset.
	Claim(ctx context.Context, c lease.Claim, end int64) (ok bool, err error)
}

// Update informs other hosts of this host's claims and the results of its
// orders.
type Update struct {
	Claim  lease.Claim
	Offset int64
	// Loaded maps engines to the weights version that they have now.
	Loaded map[string]int64
	// Freed lists engines that were claimed but did not load.
	Freed []string
}

// merge returns an update with the results of both.
func (u Update) merge(other Update) Update {
	loaded := maps.Clone(u.Loaded)
	if loaded == nil {
		loaded = map[string]int64{}
	}
	maps.Copy(loaded, other.Loaded)
	return Update{Loaded: loaded, Freed: slices.Concat(u.Freed, other.Freed)}
}

// Options configures a Controller.
type Options struct {
	// Self is the name of this host.
	Self    string
	Engines engineClient
	Claims  claimLog
	Health  *health.Tracker
	Replica func() replica.State
	// Load returns the load of all hosts at an engine.
	Load func(engine string) loadreport.Load
	// Active reports whether this host may act now.
	Active func() bool
	// Hosts returns the names of the hosts that may order engines, by rank.
	Hosts func() []string
	// Send sends an update to all other hosts.
	Send func(Update)
	// CacheDropped is called for an engine that has dropped its cache, Evacuate
	// for one that is about to load, so that its requests move to others.
	CacheDropped, Evacuate func(engine string)
	// Lease is how long after one host's order another host must not order the
	// same engine.
	Lease time.Duration
}

// Controller reloads engines on behalf of one host.
type Controller struct {
	Options

	// mu guards the fields below.
	mu     sync.Mutex
	leases lease.State
	// claimed maps the engines that this host has claimed to the time of the
	// claim, backoffUntil those in backoff to its end.
	claimed, backoffUntil map[string]clock.Instant
	// pending is the update that is sent with the next batch.
	pending Update
	wait    *conc.WaitGroup
}

// New starts a controller that runs until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Controller {
	c := &Controller{Options: o, claimed: map[string]clock.Instant{}, backoffUntil: map[string]clock.Instant{}, wait: wait}
	wait.Go(func() { clock.Every(ctx, checkInterval, c.check) })
	wait.Go(func() { clock.Every(ctx, batchInterval, func(context.Context) { c.flush() }) })
	return c
}

// Receive handles an update of another host.
func (c *Controller) Receive(u Update) {
	now := clock.Now()
	if len(u.Claim.Upstreams) > 0 {
		u.Claim.Offset = u.Offset
		event.LeaseHeldElsewhere.Info("Holder", u.Claim.Holder, "Upstreams", u.Claim.Upstreams, "Offset", u.Offset)
		c.mu.Lock()
		c.leases = c.leases.With(u.Claim, now)
		c.mu.Unlock()
	}
	c.apply(u, now)
}

// apply updates the health state of the engines in an update.
func (c *Controller) apply(u Update, now clock.Instant) {
	for _, id := range u.Claim.Upstreams {
		c.Health.Update(id, func(s health.State) health.State { s.LoadingUntil = now.Add(excludeTime); return s })
	}
	// Evacuate only after all are excluded: requests must not move to another
	// engine that is about to load.
	for _, id := range u.Claim.Upstreams {
		c.Evacuate(id)
	}
	for id, version := range u.Loaded {
		c.Health.Update(id, func(s health.State) health.State { return s.WithLoaded(version, now) })
		c.CacheDropped(id)
	}
	for _, id := range u.Freed {
		c.Health.Update(id, func(s health.State) health.State { s.LoadingUntil = 0; return s })
	}
}

// check orders the engines of every model that are due to load.
func (c *Controller) check(ctx context.Context) {
	if !c.Active() {
		return
	}
	state := c.Replica()
	for model, services := range state.Catalog.ServicesByModel() {
		target, ok := state.WeightsHistory(model)
		if !ok {
			continue
		}
		var all []discovery.Entry
		for _, s := range services {
			all = append(all, state.Upstreams.Service(s)...)
		}
		c.reloadNext(ctx, model, target, all)
	}
}

// reloadNext orders the next engines to load the target weights.
func (c *Controller) reloadNext(ctx context.Context, model string, target replica.WeightsHistory, all []discovery.Entry) {
	now := clock.Now()
	next, position := c.nextEngines(model, target, all, now)
	if len(next) == 0 {
		return
	}
	if position == 0 {
		// The log must be read before the first claim.
		c.catchUp(ctx)
		next, position = c.nextEngines(model, target, all, clock.Now())
		if len(next) == 0 {
			return
		}
	}
	c.claimAndOrder(ctx, model, target, all, next, position)
}

// nextEngines returns the engines to order now and the position up to which
// the log has been read.
func (c *Controller) nextEngines(model string, target replica.WeightsHistory, all []discovery.Entry, now clock.Instant) ([]string, int64) {
	rank := slices.Index(c.Hosts(), c.Self)
	c.mu.Lock()
	defer c.mu.Unlock()
	mayAct := rank >= 0 && reload.MayAct(rank, now.Sub(target.Since), now.Sub(c.leases.LastReceived))
	pool := make([]reload.Engine, 0, len(all))
	for _, e := range all {
		s := c.Health.State(e.ID)
		if s.AddressReused || e.Leaving || s.Leaving(now) {
			continue
		}
		since, out := c.claimed[e.ID]
		pool = append(pool, reload.Engine{
			ID: e.ID, Weights: max(e.Weights[model], s.Weights), OutOfService: out, OutSince: since, Running: c.Load(e.ID).Running,
			MayOrder: !now.Before(c.backoffUntil[e.ID]) && c.leases.MayClaim(e.ID, c.Self, c.Lease, now), Exclusive: c.leases.HeldBy(e.ID, c.Self, c.Lease, now),
		})
	}
	return reload.Next(pool, target.Version, mayAct, now), c.leases.Position
}

// catchUp reads the claims that this host has not read yet.
func (c *Controller) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.mu.Lock()
	from := c.leases.Position
	c.mu.Unlock()
	log, err := c.Claims.Claims(ctx, from)
	if err != nil {
		event.LeaseNotAcquired.Error(err, "Position", from)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leases = c.leases.WithLog(log, clock.Now())
}

// claimAndOrder claims engines and orders them to load.
func (c *Controller) claimAndOrder(ctx context.Context, model string, target replica.WeightsHistory, all []discovery.Entry, ids []string, end int64) {
	claim := lease.Claim{Holder: c.Self, Upstreams: ids, Offset: end}
	sent := clock.Now()
	appendCtx, cancel := context.WithTimeout(ctx, callTimeout)
	ok, err := c.Claims.Claim(appendCtx, claim, end)
	cancel()
	if err != nil || !ok {
		if err != nil {
			event.LeaseNotAcquired.Error(err, "Upstreams", ids, "Position", end)
		} else {
			event.LeaseNotAcquired.Info("Upstreams", ids, "Position", end)
		}
		c.catchUp(ctx)
		return
	}
	event.LeaseAcquired.Info("Upstreams", ids, "Fence", end+1, "Model", model, "Weights", target.Version, "SinceMillis", sent.Sub(target.Since).Milliseconds())
	u := Update{Claim: claim, Offset: end}
	c.apply(u, sent)
	c.Send(u)
	c.mu.Lock()
	c.leases = c.leases.With(claim, sent).WithPosition(end + 1)
	for _, id := range ids {
		c.claimed[id] = sent
	}
	c.mu.Unlock()
	for _, e := range all {
		if slices.Contains(ids, e.ID) {
			c.wait.Go(func() { c.loadEngine(ctx, e, model, target.Version, end+1, sent) })
		}
	}
}

// loadEngine orders one engine to load weights and waits for the result.
func (c *Controller) loadEngine(ctx context.Context, e discovery.Entry, model string, version, fence int64, claimed clock.Instant) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	outcome := c.orderLoad(ctx, e, model, version, fence, claimed)
	succeeded := outcome == loaded
	event.LoadEnded.Info("Upstream", e.ID, "Weights", version, "Fence", fence, "Outcome", string(outcome), "Millis", clock.Now().Sub(claimed).Milliseconds())
	u := Update{Freed: []string{e.ID}}
	if succeeded {
		u = Update{Loaded: map[string]int64{e.ID: version}}
	}
	now := clock.Now()
	c.apply(u, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.claimed, e.ID)
	if !succeeded && outcome != lost && outcome != windowOver {
		c.backoffUntil[e.ID] = now.Add(failureBackoff)
	}
	c.pending = c.pending.merge(u)
}

// flush sends the results of orders since the last batch.
func (c *Controller) flush() {
	c.mu.Lock()
	u := c.pending
	c.pending = Update{}
	c.mu.Unlock()
	if len(u.Loaded) == 0 && len(u.Freed) == 0 {
		return
	}
	c.Send(u)
}

// result is how an order ended.
type result string

const (
	loaded     result = "Loaded"
	noReport   result = "NoReport"
	busy       result = "Busy"
	windowOver result = "WindowOver"
	refused    result = "Refused"
	lost       result = "Lost"
	unfinished result = "Unfinished"
)

// orderLoad orders an engine to load weights and follows its reports. An
// unanswered order is retried immediately: both expect the same order count, so
// at most one takes effect.
func (c *Controller) orderLoad(ctx context.Context, e discovery.Entry, model string, version, fence int64, claimed clock.Instant) result {
	clock.Pause(ctx, inFlightDelay)
	before, err := c.queryReport(ctx, e)
	if err != nil {
		return noReport
	}
	for unanswered := false; ctx.Err() == nil; {
		switch {
		case before.Weights[model] >= version:
			return loaded
		case before.Busy:
			return busy
		case clock.Now().Sub(claimed) > lease.Window && unanswered:
			return c.awaitWeights(ctx, e, model, version, before.Orders, false)
		case clock.Now().Sub(claimed) > lease.Window:
			return windowOver
		}
		accepted, err := c.sendOrder(ctx, e, Order{Instance: e.ID, Model: model, Weights: version, Holder: c.Self, Fence: fence, Expected: before.Orders})
		switch {
		case err == nil && (accepted || unanswered):
			return c.awaitWeights(ctx, e, model, version, before.Orders, accepted)
		case err != nil:
			unanswered = true
			continue
		}
		// Reports lag a little: the previous one may not have shown another order
		// that the engine had accepted.
		clock.Pause(ctx, reportPollInterval)
		after, err := c.queryReport(ctx, e)
		if err != nil || after.Orders == before.Orders {
			return refused
		}
		before = after
	}
	return unfinished
}

// sendOrder sends an order once.
func (c *Controller) sendOrder(ctx context.Context, e discovery.Entry, o Order) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	accepted, err = c.Engines.Order(ctx, e.Address, o)
	event.LoadOrdered.Info("Upstream", e.ID, "Model", o.Model, "Weights", o.Weights, "Fence", o.Fence, "Expected", o.Expected, "Accepted", accepted, "Answered", err == nil)
	return accepted, err
}

// awaitWeights waits until an engine has loaded the weights. The engine may
// have executed the order even if accepted is false.
func (c *Controller) awaitWeights(ctx context.Context, e discovery.Entry, model string, version, orders int64, accepted bool) result {
	sent := clock.Now()
	for ctx.Err() == nil {
		clock.Pause(ctx, reportPollInterval)
		r, err := c.queryReport(ctx, e)
		switch {
		case err == nil && r.Weights[model] >= version:
			return loaded
		case err == nil && !accepted && r.Orders == orders && !r.Busy && clock.Now().Sub(sent) > lostTimeout:
			return lost
		}
	}
	return unfinished
}

// queryReport queries an engine's status report.
func (c *Controller) queryReport(ctx context.Context, e discovery.Entry) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.Engines.Report(ctx, e.Address, e.ID)
}
