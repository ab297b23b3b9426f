package reloader

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/lease"
)

// load is one order of this host in progress.
type load struct {
	// version is the weights version that the engine is to load.
	version int64
	// claimed is when the engine was claimed, ordered when the order was sent,
	// idleSince since when no request runs there while the order is executed, and
	// reportedAt when the engine last reported that; zero if they have not happened.
	claimed, ordered, idleSince, reportedAt clock.Instant
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
	silent     result = "Silent"
	unfinished result = "Unfinished"
)

// loadEngine orders one engine to load weights and waits for the result.
func (c *Controller) loadEngine(ctx context.Context, e discovery.Entry, model string, version, fence int64, claimed clock.Instant) {
	outcome := c.orderLoad(ctx, e, model, version, fence, claimed)
	succeeded := outcome == loaded
	now := clock.Now()
	u := Update{Freed: []string{e.ID}}
	if succeeded {
		u = Update{Loaded: map[string]int64{e.ID: version}}
	}
	c.apply(u, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	var drained time.Duration
	if order := c.loads[e.ID]; succeeded && order.ordered != 0 {
		if order.idleSince == 0 {
			order.idleSince = now // it has loaded between two reports
		}
		drained = order.idleSince.Sub(order.ordered)
		c.learnt = c.learnt.With(now.Sub(order.idleSince), drained)
	}
	event.LoadEnded.Info("Upstream", e.ID, "Weights", version, "Fence", fence, "Outcome", string(outcome), "Millis", now.Sub(claimed).Milliseconds(),
		"DrainedMillis", drained.Milliseconds(), "LearntMillis", c.learnt.Load.Milliseconds(), "LearntDrainMillis", c.learnt.Drain.Milliseconds())
	delete(c.loads, e.ID)
	switch outcome {
	case noReport, silent:
		c.backoffUntil[e.ID] = now.Add(silentBackoff)
	case busy, refused, unfinished:
		c.backoffUntil[e.ID] = now.Add(failureBackoff)
	case loaded, lost, windowOver:
	}
	c.pending = c.pending.merge(u)
}

// orderLoad orders an engine to load weights and follows its reports. An
// unanswered order is retried immediately: both expect the same order count, so
// at most one takes effect.
func (c *Controller) orderLoad(ctx context.Context, e discovery.Entry, model string, version, fence int64, claimed clock.Instant) result {
	before, err := c.settledReport(ctx, e)
	if err != nil {
		return noReport
	}
	for unanswered := false; ctx.Err() == nil; {
		switch {
		case before.Weights[model] >= version:
			return loaded
		case before.Busy:
			return c.awaitOtherOrder(ctx, e, model, version)
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
		if err != nil || after.Orders == before.Orders && !after.Busy {
			return refused
		}
		before = after
	}
	return unfinished
}

// settledReport returns an engine's status report once what was in flight to it has started.
// An engine that is silent takes that up only when it wakes.
func (c *Controller) settledReport(ctx context.Context, e discovery.Entry) (Report, error) {
	if _, err := c.queryReport(ctx, e); err != nil {
		return Report{}, err
	}
	clock.Pause(ctx, inFlightDelay)
	return c.queryReport(ctx, e)
}

// sendOrder sends an order once.
func (c *Controller) sendOrder(ctx context.Context, e discovery.Entry, o Order) (accepted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	c.update(e.ID, func(l load) load { l.ordered = clock.Now(); return l })
	accepted, err = c.Engines.Order(ctx, e.Address, o)
	event.LoadOrdered.Info("Upstream", e.ID, "Model", o.Model, "Weights", o.Weights, "Fence", o.Fence, "Expected", o.Expected, "Accepted", accepted, "Answered", err == nil)
	return accepted, err
}

// awaitWeights waits until an engine has loaded the weights, however long that
// takes, as long as its reports show that it executes an order. It may execute
// this one even if accepted is false.
func (c *Controller) awaitWeights(ctx context.Context, e discovery.Entry, model string, version, orders int64, accepted bool) result {
	sent := clock.Now()
	confirmed := lostTimeout
	if accepted {
		confirmed = confirmTimeout
	}
	return c.follow(ctx, e, model, version, func(r Report, now clock.Instant) result {
		switch {
		case r.Busy:
			return ""
		case r.Orders == orders && now.Sub(sent) > confirmed:
			return lost
		case r.Orders != orders && now.Sub(sent) > lostTimeout:
			return unfinished
		}
		return ""
	})
}

// awaitOtherOrder waits until an engine has executed the order that another host
// sent before. Meanwhile it can't be used.
func (c *Controller) awaitOtherOrder(ctx context.Context, e discovery.Entry, model string, version int64) result {
	return c.follow(ctx, e, model, version, func(r Report, _ clock.Instant) result {
		if r.Busy {
			return ""
		}
		return busy
	})
}

// follow polls an engine's status reports until they show the weights, ended
// returns a result, or there are none for some time. A polled report may be an earlier
// one: only weights that it shows are there, whatever else would end the load must be in
// a new report, too.
func (c *Controller) follow(ctx context.Context, e discovery.Entry, model string, version int64, ended func(Report, clock.Instant) result) result {
	reportedAt := clock.Now()
	for ctx.Err() == nil {
		clock.Pause(ctx, c.pollInterval())
		r, err := c.pollReport(ctx, e)
		if err == nil && r.Weights[model] < version && ended(r, clock.Now()) != "" {
			r, err = c.queryReport(ctx, e)
		}
		now := clock.Now()
		switch {
		case err != nil && now.Sub(reportedAt) > silenceTimeout:
			return silent
		case err != nil:
			continue
		case r.Weights[model] >= version:
			return loaded
		}
		reportedAt = now
		c.update(e.ID, func(l load) load { return l.with(r, now) })
		if outcome := ended(r, now); outcome != "" {
			return outcome
		}
	}
	return unfinished
}

// with returns the load after a status report of the engine.
func (l load) with(r Report, now clock.Instant) load {
	l.reportedAt = 0
	if !r.Busy {
		return l
	}
	l.reportedAt = now
	if r.Running == 0 && l.idleSince == 0 {
		l.idleSince = now
	}
	return l
}

// update replaces a load in progress.
func (c *Controller) update(id string, change func(load) load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[id] = change(c.loads[id])
}

// pollInterval returns the time between two status queries of an engine.
func (c *Controller) pollInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.learnt.PollInterval()
}

// queryReport queries an engine's status report.
func (c *Controller) queryReport(ctx context.Context, e discovery.Entry) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.Engines.Report(ctx, e.Address, e.ID)
}

// pollReport queries a status report that may be an earlier one.
func (c *Controller) pollReport(ctx context.Context, e discovery.Entry) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	return c.Engines.PollReport(ctx, e.Address, e.ID)
}

// renew tells all hosts which engines still load according to their reports.
func (c *Controller) renew() {
	now := clock.Now()
	u := Update{Loading: map[string]int64{}}
	c.mu.Lock()
	for id, l := range c.loads {
		if l.reportedAt != 0 && now.Sub(l.reportedAt) < renewInterval {
			u.Loading[id] = l.version
		}
	}
	u.Learnt = c.learnt
	c.mu.Unlock()
	if len(u.Loading) == 0 {
		return
	}
	c.apply(u, now)
	c.Send(u)
}

// flush sends the results of orders since the last batch.
func (c *Controller) flush() {
	c.mu.Lock()
	u := c.pending
	c.pending = Update{}
	u.Learnt = c.learnt
	c.mu.Unlock()
	if len(u.Loaded) == 0 && len(u.Freed) == 0 {
		return
	}
	c.Send(u)
}
