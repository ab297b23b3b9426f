// Package dispatch runs requests from admission to their outcome. It performs
// the I/O for the decisions of package attempt and, for requests that are not
// idempotent, of package claim.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/attempt"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
	// retryAfter is the Retry-After of a refusal.
	retryAfter = time.Second
	// cancelTimeout limits the call that cancels an attempt at an engine.
	cancelTimeout = time.Second
)

// Sink receives the events of an answer. An error means that the caller has
// disconnected and ends the request.
type Sink func(upstream.Chunk) error

// Dispatcher runs requests.
type Dispatcher struct {
	client     *upstream.Client
	engines    engines
	admit      admitter
	claims     claims
	leaving    func(upstream string) bool
	crashes    crashGuard
	limits     attempt.Limits
	background conc.WaitGroup
	// stopping is cancelled by Stop.
	stopping context.Context
	stop     context.CancelFunc
	// mu guards budget.
	mu     sync.Mutex
	budget attempt.RetryBudget
}

// engines chooses the engine of each attempt.
type engines interface {
	// Choose returns an engine of the pool that was not tried, or false if none
	// can accept the request.
	Choose(ctx context.Context, pool document.Pool, model document.Model, r request.Request, tried []string) (engine.Choice, bool)
	// Started counts an attempt as in flight until the returned function is
	// called with the engine's report.
	Started(c engine.Choice) (ended func(engine.Report))
}

// admitter decides whether a request may start now.
type admitter interface {
	// Admit returns a function to call at the request's end, or why the
	// request is refused.
	Admit(doc document.Document, r request.Request) (release func(), refused *request.Failure)
}

// crashGuard detects requests that crash engines.
type crashGuard interface {
	// Admit returns a function to call at the request's end, or why the
	// request is refused.
	Admit(ctx context.Context, attempt string, c quarantine.Content) (release func(), refused *request.Failure)
	// IsQuarantined reports whether the request is quarantined now.
	IsQuarantined(attempt string, c quarantine.Content) bool
	// Lost records an engine that was lost during the first tokens of an
	// attempt, and reports whether the request is quarantined.
	Lost(l quarantine.Loss) (quarantined bool)
	// Started records that an engine got past the first tokens of an attempt.
	Started(attempt string, c quarantine.Content)
	// Answered records that a request received a complete answer.
	Answered(attempt string, c quarantine.Content)
}

// Options configures a dispatcher.
type Options struct {
	Client  *upstream.Client
	Engines engines
	Admit   admitter
	Claims  claims
	// Leaving reports whether an upstream must get no new requests.
	Leaving func(upstream string) bool
	// Crashes detects requests that crash engines; nil disables the detection.
	Crashes crashGuard
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	if o.Crashes == nil {
		o.Crashes = noCrashGuard{}
	}
	stopping, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		crashes: o.Crashes, stopping: stopping, stop: stop,
		client: o.Client, engines: o.Engines, admit: o.Admit, claims: o.Claims, leaving: o.Leaving,
		limits: attempt.DefaultLimits(), budget: attempt.DefaultRetryBudget(),
	}
}

// Complete streams a completion into the sink and returns nil once the answer
// is complete.
func (d *Dispatcher) Complete(ctx context.Context, doc document.Document, r request.Request, sink Sink) *request.Failure {
	c := newCompletion(d, doc, r, sink)
	done, refused := d.awaitCrashGuard(ctx, r.ID, c.content)
	if refused != nil {
		return c.refuse(ctx, refused)
	}
	defer done()
	release, refused := d.admit.Admit(doc, r)
	if refused != nil {
		return c.refuse(ctx, refused)
	}
	defer release()
	d.countRequest()
	return c.run(ctx)
}

// awaitCrashGuard waits until the crash guard admits or refuses a request. Stop
// ends the wait.
func (d *Dispatcher) awaitCrashGuard(ctx context.Context, requestID string, c quarantine.Content) (release func(), refused *request.Failure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.stopping, cancel)()
	return d.crashes.Admit(ctx, requestID, c)
}

// Stop ends the running completions, each with an explicit failure that tells
// its caller to resume at another host.
func (d *Dispatcher) Stop() { d.stop() }

// countRequest adds a request to the retry budget.
func (d *Dispatcher) countRequest() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget = d.budget.WithRequest(time.Now())
}

// takeRetry takes a retry from the retry budget and reports whether it was
// granted.
func (d *Dispatcher) takeRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var granted bool
	d.budget, granted = d.budget.WithRetry(time.Now())
	return granted
}

// cancel asks an engine to stop an attempt. It runs in the background so that
// no caller waits for it.
func (d *Dispatcher) cancel(address, id string) {
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := d.client.Cancel(ctx, address, id); err != nil {
			event.CancelFailed.Error(err, "Attempt", id)
		}
	})
}

// noCrashGuard admits every request and records nothing.
type noCrashGuard struct{}

// Admit admits every request.
func (noCrashGuard) Admit(context.Context, string, quarantine.Content) (func(), *request.Failure) {
	return func() {}, nil
}

// Lost quarantines no request.
func (noCrashGuard) Lost(quarantine.Loss) bool { return false }

// IsQuarantined quarantines no request.
func (noCrashGuard) IsQuarantined(string, quarantine.Content) bool { return false }

// Started records nothing.
func (noCrashGuard) Started(string, quarantine.Content) {}

// Answered records nothing.
func (noCrashGuard) Answered(string, quarantine.Content) {}

// unfinishedFailure returns the failure of a call that no upstream finished.
func unfinishedFailure(sent bool) *request.Failure {
	if sent {
		return request.Refuse(request.UpstreamFailed, "no upstream finished the request").WithOutcome(request.Unknown).WithRetryAfter(retryAfter)
	}
	return request.Refuse(request.NoUpstream, "no upstream can take the request now").WithRetryAfter(retryAfter)
}
