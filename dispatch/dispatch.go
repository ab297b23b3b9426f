// Package dispatch carries a request from admission to its outcome: it
// claims, chooses upstreams, streams the answer and goes on elsewhere after
// a failure.
package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/routing"
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
	engines *engine.Tracker
	claims  claims
	leaving func(upstream string) bool
}

// New returns a dispatcher. The function leaving tells which upstreams get
// no new work.
func New(client *upstream.Client, engines *engine.Tracker, claims claims, leaving func(string) bool) *Dispatcher {
	return &Dispatcher{client: client, engines: engines, claims: claims, leaving: leaving}
}

// Complete streams a completion into the sink and returns nil once the
// answer is whole.
func (d *Dispatcher) Complete(ctx context.Context, doc document.Document, r request.Request, sink Sink) *request.Failure {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	model, _ := doc.Model(r.Model)
	pool, _ := doc.Pool(model.Pool)
	at, sent := r.ResumeAfter, false
	var tried []string
	for range maxAttempts {
		u, ok := d.choose(pool, r, model.Version, tried)
		if !ok {
			break
		}
		tried = append(tried, u.Name)
		last, err := d.attempt(ctx, u, model, r, at, sink)
		if err == nil {
			return nil
		}
		at = last
		var notStarted *upstream.NotStarted
		sent = sent || !errors.As(err, &notStarted)
		event.AttemptFailed.Error(err, "Request", r.ID, "Upstream", u.Name, "Position", at)
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

// choose returns the engine for the next attempt.
func (d *Dispatcher) choose(pool document.Pool, r request.Request, version string, tried []string) (document.Upstream, bool) {
	key := prefix.Scope{Account: r.Account, Model: r.Model, Weights: version}.Root()
	for _, level := range r.Levels[:max(len(r.Levels)-1, 0)] {
		key = key.Next(level)
	}
	var usable []document.Upstream
	var candidates []routing.Candidate
	for _, u := range pool.Upstreams {
		s := d.engines.Status(u.Name)
		if !s.Reachable || s.Leaving || d.leaving(u.Name) || slices.Contains(tried, u.Name) {
			continue
		}
		usable = append(usable, u)
		candidates = append(candidates, routing.Candidate{Name: u.Name, Load: max(s.Running+s.Queued, s.Sent)})
	}
	i := routing.Choose(key, candidates)
	if i < 0 {
		return document.Upstream{}, false
	}
	return usable[i], true
}

// attempt streams from one engine and returns the position reached.
func (d *Dispatcher) attempt(ctx context.Context, u document.Upstream, model document.Model, r request.Request, at int, sink Sink) (int, error) {
	defer d.engines.Started(u.Name)()
	call := upstream.Call{
		Address: u.Address, Method: r.Method, Path: r.Path, Body: r.Body,
		Request: r.ID, Attempt: uuid.NewString(), Salt: r.Account, Weights: model.Version,
		ResumeAfter: at, Priority: r.Priority, Remaining: r.Remaining,
	}
	stream, err := d.client.Open(ctx, call)
	if err != nil {
		return at, err
	}
	defer stream.Close()
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
