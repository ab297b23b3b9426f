// Package reloader brings engines to the weights that operators name. The
// decisions are those of packages lease and reload.
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
	// lookInterval is the time between two looks at what is to be done.
	lookInterval = 100 * time.Millisecond
	// tellInterval is how long news of ended loads are gathered.
	tellInterval = 50 * time.Millisecond
	// reportInterval is the time between two looks at an engine that loads.
	reportInterval = 100 * time.Millisecond
	// callTimeout bounds one call to the log, reportTimeout one to an engine.
	callTimeout   = 800 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// loadTimeout is how long an engine may take from the order to the new
	// weights: its requests end first.
	loadTimeout = 4 * time.Second
	// orderTimeout bounds one order; engines answer within milliseconds.
	orderTimeout = 250 * time.Millisecond
	// lostAfter is how long after an order without an answer an engine that
	// shows no sign of it has not taken it; its reports are that old.
	lostAfter = 500 * time.Millisecond
	// drainTime is how long after other hosts were told an engine is ordered,
	// so that what is on its way there has begun.
	drainTime = 150 * time.Millisecond
	// steerAway is how long other hosts send nothing to an engine that is to
	// load, unless they hear of its end.
	steerAway = loadTimeout
	// restAfterFailure is how long an engine is left alone that did not take
	// an order.
	restAfterFailure = 500 * time.Millisecond
)

// Report is what an engine says of itself.
type Report struct {
	// Weights maps models to the number that is loaded.
	Weights map[string]int64
	// Busy tells that an order is being carried out.
	Busy bool
	// Orders counts the orders that it has accepted.
	Orders int64
}

// Order is an order to load weights.
type Order struct {
	// Instance is the id of the engine that is meant.
	Instance string
	Model    string
	Weights  int64
	Holder   string
	Fence    int64
	// Expected is the count of orders after which it may be carried out.
	Expected int64
}

// engines speaks to engines.
type engines interface {
	Report(ctx context.Context, address, instance string) (Report, error)
	// Order returns whether the engine took the order; an error means that
	// it may have.
	Order(ctx context.Context, address string, o Order) (accepted bool, err error)
}

// claims is the log of claims.
type claims interface {
	// Claims returns the claims from an offset on, and the end of the log.
	Claims(ctx context.Context, from int64) ([]lease.Claim, int64, error)
	// Claim appends a claim if the log ends at an offset.
	Claim(ctx context.Context, c lease.Claim, end int64) (ok bool, err error)
}

// Notice tells other hosts what this one does.
type Notice struct {
	Claim  lease.Claim
	Offset int64
	// Loaded maps engines to the weights that they have now.
	Loaded map[string]int64
	// Freed are engines that were not reloaded after all.
	Freed []string
}

// with returns a notice of what became of two sets of orders.
func (n Notice) with(more Notice) Notice {
	loaded := maps.Clone(n.Loaded)
	if loaded == nil {
		loaded = map[string]int64{}
	}
	maps.Copy(loaded, more.Loaded)
	return Notice{Loaded: loaded, Freed: slices.Concat(n.Freed, more.Freed)}
}

// Options is what an overseer needs.
type Options struct {
	// Self names this host.
	Self    string
	Engines engines
	Claims  claims
	Board   *health.Board
	Book    func() replica.State
	// Load returns what all hosts have at an engine.
	Load func(engine string) loadreport.Load
	// Active tells whether this host may act now.
	Active func() bool
	// Hosts names the hosts that may order engines, the first choice first.
	Hosts func() []string
	// Tell sends a notice to all other hosts.
	Tell func(Notice)
	// Forgot is told of an engine that has dropped its cache, Clear of one
	// that is to load, so that what runs there can go on elsewhere.
	Forgot, Clear func(engine string)
	// Lease is how long after one host's order another host may order.
	Lease time.Duration
}

// Overseer acts for one host.
type Overseer struct {
	Options

	// mu guards the fields below.
	mu     sync.Mutex
	ledger lease.Ledger
	// out are the engines that this host has claimed and when, rest those that
	// it leaves alone until a time.
	out, rest map[string]clock.Instant
	// news are notices that are told together.
	news Notice
	wait *conc.WaitGroup
}

// New returns an overseer that acts until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Overseer {
	v := &Overseer{Options: o, out: map[string]clock.Instant{}, rest: map[string]clock.Instant{}, wait: wait}
	wait.Go(func() { clock.Every(ctx, lookInterval, v.look) })
	wait.Go(func() { clock.Every(ctx, tellInterval, func(context.Context) { v.tellNews() }) })
	return v
}

// Heard takes a notice of another host.
func (v *Overseer) Heard(n Notice) {
	now := clock.Now()
	if len(n.Claim.Upstreams) > 0 {
		n.Claim.Offset = n.Offset
		event.WarrantHeard.Info("Holder", n.Claim.Holder, "Upstreams", n.Claim.Upstreams, "Offset", n.Offset)
		v.mu.Lock()
		v.ledger = v.ledger.With(n.Claim, now)
		v.mu.Unlock()
	}
	v.steer(n, now)
}

// steer changes where requests are sent by a notice.
func (v *Overseer) steer(n Notice, now clock.Instant) {
	for _, id := range n.Claim.Upstreams {
		v.Board.Update(id, func(s health.State) health.State { s.Loading = now.Add(steerAway); return s })
	}
	// Runs must not move to engines that are to load, too.
	for _, id := range n.Claim.Upstreams {
		v.Clear(id)
	}
	for id, number := range n.Loaded {
		v.Board.Update(id, func(s health.State) health.State { return s.WithLoaded(number, now) })
		v.Forgot(id)
	}
	for _, id := range n.Freed {
		v.Board.Update(id, func(s health.State) health.State { s.Loading = 0; return s })
	}
}

// look orders the engines whose turn it is.
func (v *Overseer) look(ctx context.Context) {
	if !v.Active() {
		return
	}
	book := v.Book()
	for model, services := range book.Catalog.ServicesByModel() {
		named, ok := book.WeightsHistory(model)
		if !ok {
			continue
		}
		var all []discovery.Entry
		for _, s := range services {
			all = append(all, book.Upstreams.Service(s)...)
		}
		v.bring(ctx, model, named, all)
	}
}

// bring takes one step to bring engines to the named weights.
func (v *Overseer) bring(ctx context.Context, model string, named replica.WeightsHistory, all []discovery.Entry) {
	now := clock.Now()
	next, position := v.next(model, named, all, now)
	if len(next) == 0 {
		return
	}
	if position == 0 {
		// What the log holds must be known before anything is claimed.
		v.catchUp(ctx)
		next, position = v.next(model, named, all, clock.Now())
		if len(next) == 0 {
			return
		}
	}
	v.claim(ctx, model, named, all, next, position)
}

// next returns the engines to order now and the log's position.
func (v *Overseer) next(model string, named replica.WeightsHistory, all []discovery.Entry, now clock.Instant) ([]string, int64) {
	rank := slices.Index(v.Hosts(), v.Self)
	v.mu.Lock()
	defer v.mu.Unlock()
	turn := rank >= 0 && reload.Turn(rank, now.Sub(named.Since), now.Sub(v.ledger.Heard))
	pool := make([]reload.Engine, 0, len(all))
	for _, e := range all {
		s := v.Board.State(e.ID)
		if s.Gone || e.Leaving || s.Leaving(now) {
			continue
		}
		since, out := v.out[e.ID]
		pool = append(pool, reload.Engine{
			ID: e.ID, Weights: max(e.Weights[model], s.Weights), Out: out, Since: since, Running: v.Load(e.ID).Running,
			Free: !now.Before(v.rest[e.ID]) && v.ledger.Free(e.ID, v.Self, v.Lease, now), Held: v.ledger.Held(e.ID, v.Self, v.Lease, now),
		})
	}
	return reload.Next(pool, named.Version, turn, now), v.ledger.Position
}

// catchUp reads the claims that this host does not know.
func (v *Overseer) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.mu.Lock()
	from := v.ledger.Position
	v.mu.Unlock()
	claims, end, err := v.Claims.Claims(ctx, from)
	if err != nil {
		event.WarrantMissed.Error(err, "Position", from)
		return
	}
	now := clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range claims {
		v.ledger = v.ledger.With(c, now)
	}
	v.ledger = v.ledger.WithPosition(end)
}

// claim takes the right to order engines and orders them.
func (v *Overseer) claim(ctx context.Context, model string, named replica.WeightsHistory, all []discovery.Entry, ids []string, end int64) {
	c := lease.Claim{Holder: v.Self, Upstreams: ids, Offset: end}
	sent := clock.Now()
	appendCtx, cancel := context.WithTimeout(ctx, callTimeout)
	ok, err := v.Claims.Claim(appendCtx, c, end)
	cancel()
	if err != nil || !ok {
		if err != nil {
			event.WarrantMissed.Error(err, "Upstreams", ids, "Position", end)
		} else {
			event.WarrantMissed.Info("Upstreams", ids, "Position", end)
		}
		v.catchUp(ctx)
		return
	}
	event.WarrantTaken.Info("Upstreams", ids, "Fence", end+1, "Model", model, "Weights", named.Version, "SinceMillis", sent.Sub(named.Since).Milliseconds())
	n := Notice{Claim: c, Offset: end}
	v.steer(n, sent)
	v.Tell(n)
	v.mu.Lock()
	v.ledger = v.ledger.With(c, sent).WithPosition(end + 1)
	for _, id := range ids {
		v.out[id] = sent
	}
	v.mu.Unlock()
	for _, e := range all {
		if slices.Contains(ids, e.ID) {
			v.wait.Go(func() { v.load(ctx, e, model, named.Version, end+1, sent) })
		}
	}
}

// load orders one engine to load weights and waits for the end.
func (v *Overseer) load(ctx context.Context, e discovery.Entry, model string, number, fence int64, claimed clock.Instant) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	outcome := v.order(ctx, e, model, number, fence, claimed)
	has := outcome == loaded
	event.LoadEnded.Info("Upstream", e.ID, "Weights", number, "Fence", fence, "Outcome", string(outcome), "Millis", clock.Now().Sub(claimed).Milliseconds())
	n := Notice{Freed: []string{e.ID}}
	if has {
		n = Notice{Loaded: map[string]int64{e.ID: number}}
	}
	now := clock.Now()
	v.steer(n, now)
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.out, e.ID)
	if !has && outcome != lost && outcome != tooLate {
		v.rest[e.ID] = now.Add(restAfterFailure)
	}
	v.news = v.news.with(n)
}

// tellNews tells what became of orders since the last time.
func (v *Overseer) tellNews() {
	v.mu.Lock()
	n := v.news
	v.news = Notice{}
	v.mu.Unlock()
	if len(n.Loaded) == 0 && len(n.Freed) == 0 {
		return
	}
	v.Tell(n)
}

// result is how an order ended.
type result string

const (
	loaded     result = "Loaded"
	silent     result = "NoReport"
	busy       result = "Busy"
	tooLate    result = "WindowOver"
	refused    result = "Refused"
	lost       result = "Lost"
	unfinished result = "Unfinished"
)

// order has an engine load weights and follows its reports. An order without
// an answer is sent again at once: both expect the same count of orders before
// them, so that at most one takes effect.
func (v *Overseer) order(ctx context.Context, e discovery.Entry, model string, number, fence int64, claimed clock.Instant) result {
	clock.Pause(ctx, drainTime)
	before, err := v.report(ctx, e)
	if err != nil {
		return silent
	}
	for unanswered := false; ctx.Err() == nil; {
		switch {
		case before.Weights[model] >= number:
			return loaded
		case before.Busy:
			return busy
		case clock.Now().Sub(claimed) > lease.Window && unanswered:
			return v.follow(ctx, e, model, number, before.Orders, false)
		case clock.Now().Sub(claimed) > lease.Window:
			return tooLate
		}
		accepted, err := v.send(ctx, e, Order{Instance: e.ID, Model: model, Weights: number, Holder: v.Self, Fence: fence, Expected: before.Orders})
		switch {
		case err == nil && (accepted || unanswered):
			return v.follow(ctx, e, model, number, before.Orders, accepted)
		case err != nil:
			unanswered = true
			continue
		}
		// Reports are a little old: the engine may have counted another order.
		clock.Pause(ctx, reportInterval)
		again, err := v.report(ctx, e)
		if err != nil || again.Orders == before.Orders {
			return refused
		}
		before = again
	}
	return unfinished
}

// send sends an order once.
func (v *Overseer) send(ctx context.Context, e discovery.Entry, o Order) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	accepted, err = v.Engines.Order(ctx, e.Address, o)
	event.LoadOrdered.Info("Upstream", e.ID, "Model", o.Model, "Weights", o.Weights, "Fence", o.Fence, "Expected", o.Expected, "Accepted", accepted, "Answered", err == nil)
	return accepted, err
}

// follow waits for an engine to have weights. An order that was not accepted
// may have been taken all the same.
func (v *Overseer) follow(ctx context.Context, e discovery.Entry, model string, number, orders int64, accepted bool) result {
	sent := clock.Now()
	for ctx.Err() == nil {
		clock.Pause(ctx, reportInterval)
		r, err := v.report(ctx, e)
		switch {
		case err == nil && r.Weights[model] >= number:
			return loaded
		case err == nil && !accepted && r.Orders == orders && !r.Busy && clock.Now().Sub(sent) > lostAfter:
			return lost
		}
	}
	return unfinished
}

// report asks an engine how it is.
func (v *Overseer) report(ctx context.Context, e discovery.Entry) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return v.Engines.Report(ctx, e.Address, e.ID)
}
