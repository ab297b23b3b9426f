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

// completion runs the state machine of one completion and carries out its
// actions. Only the goroutine that runs it uses its fields; readers of answers
// send to received.
type completion struct {
	*Dispatcher

	pool    document.Pool
	model   document.Model
	request request.Request
	// content identifies the request and its parts to the crash guard.
	content quarantine.Content
	sink    Sink
	random  *rand.Rand
	state   attempt.State
	// pending holds inputs that resulted from actions.
	pending []attempt.Input
	// received carries the inputs that the reader of the current attempt read.
	received chan engineInput
	// chunk is the event of the current input.
	chunk upstream.Chunk
	// attempt is the ID of the current or last attempt; choice is its engine.
	attempt string
	choice  engine.Choice
	// sentAt is when the current attempt was sent.
	sentAt time.Time
	// stopReader stops the reader of the current attempt.
	stopReader context.CancelFunc
	failure    *request.Failure
}

// engineInput is one input from an engine with its event.
type engineInput struct {
	input attempt.Input
	chunk upstream.Chunk
}

func newCompletion(d *Dispatcher, doc document.Document, r request.Request, sink Sink) *completion {
	model, _ := doc.Model(r.Model)
	pool, _ := doc.Pool(model.Pool)
	if r.Version != "" {
		// A resumed answer must come from the same weights throughout.
		model.Version = r.Version
	}
	return &completion{
		Dispatcher: d, pool: pool, model: model, request: r, content: quarantine.ContentOf(r, r.Model, r.Levels[:max(0, len(r.Levels)-1)]...), sink: sink,
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		state:    attempt.Begin(d.limits, r, model.Version, time.Now()),
		received: make(chan engineInput), stopReader: func() {},
	}
}

// refuse ends a request that was not admitted.
func (c *completion) refuse(ctx context.Context, refused *request.Failure) *request.Failure {
	c.step(ctx, attempt.Refused{Failure: refused})
	return c.failure
}

// run feeds inputs to the state machine until the request has ended.
func (c *completion) run(ctx context.Context) *request.Failure {
	defer func() { c.stopReader() }()
	c.step(ctx, attempt.Admitted{})
	timer := time.NewTimer(time.Until(c.state.NextTimer()))
	defer timer.Stop()
	for c.state.Phase() != attempt.Ended {
		timer.Reset(time.Until(c.state.NextTimer()))
		select {
		case r := <-c.received:
			c.chunk = r.chunk
			c.step(ctx, r.input)
		case <-timer.C:
			c.step(ctx, attempt.TimerFired{})
		case <-ctx.Done():
			c.step(ctx, attempt.CallerDisconnected{})
		case <-c.stopping.Done():
			c.step(ctx, attempt.Stopping{})
		}
	}
	return c.failure
}

// step feeds an input to the state machine, executes the resulting actions and
// handles the inputs that result from those.
func (c *completion) step(ctx context.Context, in attempt.Input) {
	c.pending = append(c.pending, in)
	for len(c.pending) > 0 {
		in := c.pending[0]
		c.pending = c.pending[1:]
		c.logFailure(in)
		var actions []attempt.Action
		c.state, actions = attempt.Step(c.state, in, time.Now(), c.random)
		for _, a := range actions {
			c.execute(ctx, a)
		}
	}
}

// logFailure logs a failed attempt that the reader reported.
func (c *completion) logFailure(in attempt.Input) {
	if f, ok := in.(attempt.Failed); ok {
		event.AttemptFailed.Info("Request", c.request.ID, "Attempt", f.Attempt, "Upstream", c.choice.Upstream.Name, "Cause", f.Cause.String(), "Position", c.state.Position())
	}
}

// execute carries out an action and queues the resulting inputs.
func (c *completion) execute(ctx context.Context, a attempt.Action) {
	switch a := a.(type) {
	case attempt.Choose:
		c.pending = append(c.pending, c.choose(ctx, a))
	case attempt.Send:
		c.sentAt = time.Now()
		c.send(a)
	case attempt.Deliver:
		c.pending = append(c.pending, c.deliver())
	case attempt.RequestRetry:
		c.pending = append(c.pending, attempt.RetryDecision{Granted: c.takeRetry()})
	case attempt.ReportLoss:
		if c.crashes.Lost(quarantine.Loss{
			Content: c.content, Attempt: a.Attempt, Engine: a.Upstream, Incarnation: c.choice.Incarnation, Sent: c.sentAt, Events: a.Tokens,
		}) {
			c.pending = append(c.pending, attempt.Quarantined{})
		}
	case attempt.ReportStarted:
		c.crashes.Started(a.Attempt, c.content)
	case attempt.Cancel:
		c.stopReader()
		c.cancel(c.choice.Upstream.Address, a.Attempt)
	case attempt.Finish:
		c.finish(a.Failure)
	}
}

func (c *completion) choose(ctx context.Context, a attempt.Choose) attempt.Input {
	if c.crashes.IsQuarantined(c.request.ID, c.content) {
		return attempt.Quarantined{}
	}
	c.model.Version = a.Weights
	choice, ok := c.engines.Choose(ctx, c.pool, c.model, c.request, a.Tried)
	if !ok {
		return attempt.NoEngineAvailable{}
	}
	c.choice = choice
	return attempt.Chosen{Target: attempt.Target{Upstream: choice.Upstream.Name, Incarnation: choice.Incarnation}}
}

// deliver passes the current event to the sink. It blocks while the caller is
// slow, which applies backpressure to the engine.
func (c *completion) deliver() attempt.Input {
	c.chunk.Weights = c.state.Weights()
	if c.sink(c.chunk) != nil {
		return attempt.CallerDisconnected{}
	}
	return attempt.Delivered{}
}

// finish stores the outcome and sends the end marker of a complete answer to
// the caller.
func (c *completion) finish(f *request.Failure) {
	c.failure = f
	if f == nil {
		// The reader of a complete answer ends by itself.
		c.stopReader = func() {}
		c.crashes.Answered(c.attempt, c.content)
		_ = c.sink(upstream.Chunk{End: true, Weights: c.state.Weights()})
	}
}
