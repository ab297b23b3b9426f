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
	// that refused an order.
	reportPollInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the log, reportTimeout one status query of
	// an engine.
	callTimeout   = 800 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// silenceTimeout is how long an engine that executes an order may give no
	// status report before it counts as lost, confirmTimeout how long its reports
	// may not show an order that it accepted.
	silenceTimeout = 2 * time.Second
	confirmTimeout = 4 * time.Second
	// orderTimeout bounds one order; engines answer within milliseconds.
	orderTimeout = 250 * time.Millisecond
	// lostTimeout is how long after an unanswered order the engine counts as not
	// having received it if its reports still don't show it. Reports are up to
	// this old.
	lostTimeout = 500 * time.Millisecond
	// inFlightDelay is the time between the update to the other hosts and the
	// order to the engine, so that requests on their way there have started.
	inFlightDelay = 150 * time.Millisecond
	// renewInterval is the time between two updates about loads that go on.
	renewInterval = time.Second
	// excludeTime is how long an engine that loads is excluded from selection
	// after the last update about its load: some updates may be lost.
	excludeTime = 4 * renewInterval
	// holderTimeout is how long after the last update about a load its engine counts
	// as out of service when other hosts order engines: its holder may stand still.
	holderTimeout = renewInterval + 300*time.Millisecond
	// failureBackoff is how long an engine that did not accept an order gets
	// no further one, silentBackoff the same for one that gives no report: a claim
	// on it takes the place of another engine.
	failureBackoff = 500 * time.Millisecond
	silentBackoff  = 2 * time.Second
)

// Report is an engine's status report.
type Report struct {
	// Weights maps models to the loaded weights version.
	Weights map[string]int64
	// Busy reports whether an order is being executed, Running counts the requests
	// that run.
	Busy    bool
	Running int
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
	// Report returns what the engine reported after the call, PollReport the same or an
	// earlier report of the same process: it costs no new connection.
	Report(ctx context.Context, address, instance string) (Report, error)
	PollReport(ctx context.Context, address, instance string) (Report, error)
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
	// Loading maps engines whose orders are still being executed, according to
	// their own reports, to the weights version that they load. Hosts of earlier
	// programs don't send it.
	Loading map[string]int64 `json:",omitempty"`
	// Learnt is how long loads took, as far as the sender knows.
	Learnt reload.Estimate `json:",omitzero"`
}

// merge returns an update with the results of both.
func (u Update) merge(other Update) Update {
	return Update{Loaded: merged(u.Loaded, other.Loaded), Freed: slices.Concat(u.Freed, other.Freed), Loading: merged(u.Loading, other.Loading)}
}

// merged returns a map with the entries of both.
func merged(a, b map[string]int64) map[string]int64 {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]int64{}
	}
	maps.Copy(all, b)
	return all
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
	// Within is how long the operators give all engines of a pool to load, Expiry how
	// long after newer weights were named hosts send requests to older ones.
	Within, Expiry time.Duration
}

// Controller reloads engines on behalf of one host.
type Controller struct {
	Options

	// mu guards the fields below.
	mu     sync.Mutex
	leases lease.State
	// loads holds the orders of this host in progress by engine, backoffUntil maps
	// the engines in backoff to its end.
	loads        map[string]load
	backoffUntil map[string]clock.Instant
	// learnt is how long the loads took that any host has seen.
	learnt reload.Estimate
	// pending is the update that is sent with the next batch.
	pending Update
	wait    *conc.WaitGroup
}

// New starts a controller that runs until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Controller {
	c := &Controller{Options: o, loads: map[string]load{}, backoffUntil: map[string]clock.Instant{}, wait: wait}
	wait.Go(func() { clock.Every(ctx, checkInterval, c.check) })
	wait.Go(func() { clock.Every(ctx, batchInterval, func(context.Context) { c.flush() }) })
	wait.Go(func() { clock.Every(ctx, renewInterval, func(context.Context) { c.renew() }) })
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
	c.mu.Lock()
	c.learnt = c.learnt.Merge(u.Learnt)
	c.mu.Unlock()
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
	for id, version := range u.Loading {
		c.Health.Update(id, func(s health.State) health.State { return s.WithLoading(version, now.Add(excludeTime)) })
	}
	for id, version := range u.Loaded {
		c.Health.Update(id, func(s health.State) health.State { return s.WithLoaded(version, now) })
		c.CacheDropped(id)
	}
	for _, id := range u.Freed {
		c.Health.Update(id, health.State.WithLoadFailed)
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
		s := c.observeEntry(e, model, now)
		if s.AddressReused || e.Leaving || s.Leaving(now) {
			continue
		}
		order, own := c.loads[e.ID]
		weights := max(e.Weights[model], s.Weights)
		replacedSince, replaced := target.ReplacedSince(weights)
		elsewhere := !own && (now.Before(s.LoadingUntil.Add(holderTimeout-excludeTime)) || c.leases.MayBeOrdered(e.ID, c.Self, now))
		pool = append(pool, reload.Engine{
			ID: e.ID, Weights: weights, Expired: replaced && now.Sub(replacedSince) >= c.Expiry, OutOfService: own || elsewhere, OutSince: order.claimed, Loading: elsewhere || order.idleSince != 0, Running: c.Load(e.ID).Running, Unreachable: s.IsUnreachable(now),
			MayOrder: !now.Before(c.backoffUntil[e.ID]) && c.leases.MayClaim(e.ID, c.Self, c.Lease, now), Exclusive: c.leases.HeldBy(e.ID, c.Self, c.Lease, now),
		})
	}
	plan := reload.Plan{Target: target.Version, MayAct: mayAct, Learnt: c.learnt, Within: c.Within}
	return plan.Next(pool, now), c.leases.Position
}

// observeEntry returns an engine's state after the weights in its entry: the host that
// ordered it may be unable to tell others that it has loaded.
func (c *Controller) observeEntry(e discovery.Entry, model string, now clock.Instant) health.State {
	s := c.Health.State(e.ID)
	if weights := e.Weights[model]; now.Before(s.LoadingUntil) && s.LoadingWeights > 0 && weights >= s.LoadingWeights {
		c.Health.Update(e.ID, func(s health.State) health.State { return s.WithLoaded(weights, now) })
		c.CacheDropped(e.ID)
		s = c.Health.State(e.ID)
	}
	return s
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
	u := Update{Claim: claim, Offset: end, Loading: map[string]int64{}}
	for _, id := range ids {
		u.Loading[id] = target.Version
	}
	c.apply(u, sent)
	c.Send(u)
	c.mu.Lock()
	c.leases = c.leases.With(claim, sent).WithPosition(end + 1)
	for _, id := range ids {
		c.loads[id] = load{claimed: sent, version: target.Version}
	}
	c.mu.Unlock()
	for _, e := range all {
		if slices.Contains(ids, e.ID) {
			c.wait.Go(func() { c.loadEngine(ctx, e, model, target.Version, end+1, sent) })
		}
	}
}
