package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/attempt"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// completion drives the decisions of one completion. Only the goroutine that
// runs it uses its fields; readers of answers post to received.
type completion struct {
	*Dispatcher

	pool    document.Pool
	model   document.Model
	request request.Request
	// fingerprint identifies what the request asks for.
	fingerprint quarantine.Fingerprint
	sink        Sink
	random      *rand.Rand
	state       attempt.State
	// pending holds inputs that came of actions.
	pending []attempt.Input
	// received gets what the reader of the current attempt read.
	received chan received
	// chunk is the event that the current input stands for.
	chunk upstream.Chunk
	// attempt identifies the current or last attempt, choice is its engine.
	attempt string
	choice  engine.Choice
	// sent is when the engine was sent the current attempt.
	sent time.Time
	// abandon ends the reader of the current attempt.
	abandon context.CancelFunc
	failure *request.Failure
}

// received is one input from an engine with the event that it stands for.
type received struct {
	input attempt.Input
	chunk upstream.Chunk
}

func newCompletion(d *Dispatcher, doc document.Document, r request.Request, sink Sink) *completion {
	model, _ := doc.Model(r.Model)
	pool, _ := doc.Pool(model.Pool)
	if r.Version != "" {
		// A resumed answer stays one answer only with the same weights.
		model.Version = r.Version
	}
	return &completion{
		Dispatcher: d, pool: pool, model: model, request: r, fingerprint: quarantine.FingerprintOf(r), sink: sink,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		state:    attempt.Begin(d.limits, r, model.Version, time.Now()),
		received: make(chan received), abandon: func() {},
	}
}

// refuse ends a request that was not admitted.
func (c *completion) refuse(ctx context.Context, refused *request.Failure) *request.Failure {
	c.step(ctx, attempt.Refused{Failure: refused})
	return c.failure
}

// run feeds inputs to the decisions until the request has ended.
func (c *completion) run(ctx context.Context) *request.Failure {
	defer func() { c.abandon() }()
	c.step(ctx, attempt.Admitted{})
	timer := time.NewTimer(time.Until(c.state.Wake()))
	defer timer.Stop()
	for c.state.Phase() != attempt.Ended {
		timer.Reset(time.Until(c.state.Wake()))
		select {
		case r := <-c.received:
			c.chunk = r.chunk
			c.step(ctx, r.input)
		case <-timer.C:
			c.step(ctx, attempt.Woken{})
		case <-ctx.Done():
			c.step(ctx, attempt.CallerLeft{})
		case <-c.stopping.Done():
			c.step(ctx, attempt.Stopping{})
		}
	}
	return c.failure
}

// step decides on an input and carries out the actions, and the inputs that
// come of them.
func (c *completion) step(ctx context.Context, in attempt.Input) {
	c.pending = append(c.pending, in)
	for len(c.pending) > 0 {
		in := c.pending[0]
		c.pending = c.pending[1:]
		c.logFailure(in)
		var actions []attempt.Action
		c.state, actions = attempt.Step(c.state, in, time.Now(), c.random)
		for _, a := range actions {
			c.carryOut(ctx, a)
		}
	}
}

// logFailure reports an attempt that its reader saw fail.
func (c *completion) logFailure(in attempt.Input) {
	if f, ok := in.(attempt.Failed); ok {
		event.AttemptFailed.Info("Request", c.request.ID, "Attempt", f.Attempt, "Upstream", c.choice.Upstream.Name, "Cause", f.Cause.String(), "Position", c.state.Position())
	}
}

// carryOut does what an action says and adds the inputs that come of it.
func (c *completion) carryOut(ctx context.Context, a attempt.Action) {
	switch a := a.(type) {
	case attempt.Choose:
		c.pending = append(c.pending, c.choose(ctx, a))
	case attempt.Send:
		c.sent = time.Now()
		c.send(a)
	case attempt.Deliver:
		c.pending = append(c.pending, c.deliver())
	case attempt.AskBudget:
		c.pending = append(c.pending, attempt.Budget{Granted: c.repeat()})
	case attempt.Lost:
		if c.crashes.Lost(quarantine.Loss{
			Attempt: a.Attempt, Fingerprint: c.fingerprint, Engine: a.Upstream, Incarnation: c.choice.Incarnation, Sent: c.sent,
		}) {
			c.pending = append(c.pending, attempt.Condemned{})
		}
	case attempt.Cancel:
		c.abandon()
		c.cancel(c.choice.Upstream.Address, a.Attempt)
	case attempt.Finish:
		c.finish(a.Failure)
	}
}

func (c *completion) choose(ctx context.Context, a attempt.Choose) attempt.Input {
	c.model.Version = a.Weights
	choice, ok := c.engines.Choose(ctx, c.pool, c.model, c.request, a.Tried)
	if !ok {
		return attempt.NoneUsable{}
	}
	c.choice = choice
	return attempt.Chosen{Target: attempt.Target{Upstream: choice.Upstream.Name, Incarnation: choice.Incarnation}}
}

// deliver hands the current event to the caller's side. It blocks while the
// caller is slow, so that nothing more is read from the engine.
func (c *completion) deliver() attempt.Input {
	c.chunk.Weights = c.state.Weights()
	if c.sink(c.chunk) != nil {
		return attempt.CallerLeft{}
	}
	return attempt.Delivered{}
}

// finish keeps the outcome; a whole answer's end marker goes to the caller.
func (c *completion) finish(f *request.Failure) {
	c.failure = f
	if f == nil {
		// The reader of a whole answer ends by itself.
		c.abandon = func() {}
		c.crashes.Answered(c.attempt, c.fingerprint)
		_ = c.sink(upstream.Chunk{End: true, Weights: c.state.Weights()})
	}
}
