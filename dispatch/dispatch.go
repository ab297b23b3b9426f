// Package dispatch carries a request from admission to its outcome: it
// claims, chooses upstreams, streams the answer and goes on elsewhere after
// a failure.
package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
	// maxAttempts bounds the upstreams that one request is sent to.
	maxAttempts = 3
	// retryAfter is when a caller may come back after a refusal.
	retryAfter = time.Second
	// cancelTimeout bounds telling an engine that an attempt was abandoned.
	cancelTimeout = time.Second
)

// Sink takes the events of an answer. An error ends the request: the caller
// has left.
type Sink func(upstream.Chunk) error

// Dispatcher runs requests.
type Dispatcher struct {
	client  *upstream.Client
	engines engines
	admit   admitter
	claims  claims
	leaving func(upstream string) bool
}

// engines chooses the engine of each attempt.
type engines interface {
	// Choose returns an engine of the pool that was not tried, or false when
	// none can take the request.
	Choose(ctx context.Context, pool document.Pool, model document.Model, r request.Request, tried []string) (engine.Choice, bool)
	// Started counts an attempt until the returned function is called with
	// what the engine reported.
	Started(c engine.Choice) (ended func(engine.Report))
}

// admitter decides whether a request may start now.
type admitter interface {
	// Admit returns a function to call at the request's end, or why the
	// request is refused.
	Admit(doc document.Document, r request.Request) (release func(), refused *request.Failure)
}

// Options is what a dispatcher needs.
type Options struct {
	Client  *upstream.Client
	Engines engines
	Admit   admitter
	Claims  claims
	// Leaving tells which upstreams get no new work.
	Leaving func(upstream string) bool
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	return &Dispatcher{client: o.Client, engines: o.Engines, admit: o.Admit, claims: o.Claims, leaving: o.Leaving}
}

// Complete streams a completion into the sink and returns nil once the
// answer is whole.
func (d *Dispatcher) Complete(ctx context.Context, doc document.Document, r request.Request, sink Sink) *request.Failure {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	release, refused := d.admit.Admit(doc, r)
	if refused != nil {
		return refused
	}
	defer release()
	model, _ := doc.Model(r.Model)
	pool, _ := doc.Pool(model.Pool)
	at, sent := r.ResumeAfter, false
	var tried []string
	for range maxAttempts {
		choice, ok := d.engines.Choose(ctx, pool, model, r, tried)
		if !ok {
			break
		}
		tried = append(tried, choice.Upstream.Name)
		last, err := d.attempt(ctx, choice, model, r, at, sink)
		if err == nil {
			return nil
		}
		at = last
		var notStarted *upstream.NotStarted
		sent = sent || !errors.As(err, &notStarted)
		event.AttemptFailed.Error(err, "Request", r.ID, "Upstream", choice.Upstream.Name, "Position", at)
		if ctx.Err() != nil {
			break
		}
	}
	return failed(sent)
}

// failed returns the final answer to a completion that no engine finished.
func failed(sent bool) *request.Failure {
	if sent {
		return request.Refuse(request.UpstreamFailed, "no engine finished the request").WithOutcome(request.Unknown).WithRetryAfter(retryAfter)
	}
	return request.Refuse(request.NoUpstream, "no engine can take the request now").WithRetryAfter(retryAfter)
}

// attempt streams from one engine and returns the position reached.
func (d *Dispatcher) attempt(ctx context.Context, choice engine.Choice, model document.Model, r request.Request, at int, sink Sink) (int, error) {
	var report engine.Report
	ended := d.engines.Started(choice)
	defer func() { ended(report) }()
	call := upstream.Call{
		Address: choice.Upstream.Address, Method: r.Method, Path: r.Path, Body: r.Body,
		Request: r.ID, Attempt: uuid.NewString(), Salt: r.Account, Weights: model.Version,
		ResumeAfter: at, Priority: r.Priority, Remaining: r.Remaining,
	}
	stream, err := d.client.Open(ctx, call)
	if err != nil {
		return at, err
	}
	defer stream.Close()
	report = engine.Report{Answered: true, Incarnation: stream.Incarnation, Weights: stream.Weights, CachedTokens: stream.CachedTokens}
	for {
		chunk, err := stream.Next()
		if err != nil {
			d.abandon(ctx, call)
			return at, err
		}
		if !chunk.End && chunk.Position != at+1 {
			d.abandon(ctx, call)
			return at, errors.New("the engine's stream has a gap")
		}
		if err := sink(chunk); err != nil {
			d.abandon(ctx, call)
			return at, err
		}
		if chunk.End {
			return at, nil
		}
		at = chunk.Position
	}
}

// abandon tells an engine to stop an attempt.
func (d *Dispatcher) abandon(ctx context.Context, call upstream.Call) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	_ = d.client.Cancel(ctx, call.Address, call.Attempt)
}
