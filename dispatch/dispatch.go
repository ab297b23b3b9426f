// Package dispatch carries a request from admission to its outcome. What
// happens next is decided by package attempt and, for what must not be
// repeated, by package claim; this package does their I/O.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/attempt"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

const (
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
	client     *upstream.Client
	engines    engines
	admit      admitter
	claims     claims
	leaving    func(upstream string) bool
	crashes    crashes
	limits     attempt.Limits
	background conc.WaitGroup
	// stopping ends with Stop.
	stopping context.Context
	stop     context.CancelFunc
	// mu guards budget.
	mu     sync.Mutex
	budget attempt.RetryBudget
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

// crashes knows the requests that crash engines.
type crashes interface {
	// Admit returns a function to call at the request's end, or why the
	// request is refused.
	Admit(ctx context.Context, attempt string, f quarantine.Fingerprint) (release func(), refused *request.Failure)
	// Lost records an engine that was lost in the first tokens of an
	// attempt, and tells whether the request is condemned.
	Lost(l quarantine.Loss) (condemned bool)
	// Answered records that a request was answered whole.
	Answered(attempt string, f quarantine.Fingerprint)
}

// Options is what a dispatcher needs.
type Options struct {
	Client  *upstream.Client
	Engines engines
	Admit   admitter
	Claims  claims
	// Leaving tells which upstreams get no new work.
	Leaving func(upstream string) bool
	// Crashes knows the requests that crash engines; nil suspects none.
	Crashes crashes
}

// New returns a dispatcher.
func New(o Options) *Dispatcher {
	if o.Crashes == nil {
		o.Crashes = unsuspecting{}
	}
	stopping, stop := context.WithCancel(context.Background())
	return &Dispatcher{
		crashes: o.Crashes, stopping: stopping, stop: stop,
		client: o.Client, engines: o.Engines, admit: o.Admit, claims: o.Claims, leaving: o.Leaving,
		limits: attempt.DefaultLimits(), budget: attempt.DefaultRetryBudget(),
	}
}

// Complete streams a completion into the sink and returns nil once the
// answer is whole.
func (d *Dispatcher) Complete(ctx context.Context, doc document.Document, r request.Request, sink Sink) *request.Failure {
	c := newCompletion(d, doc, r, sink)
	done, refused := d.admitSuspect(ctx, r.ID, c.fingerprint)
	if refused != nil {
		return c.refuse(ctx, refused)
	}
	defer done()
	release, refused := d.admit.Admit(doc, r)
	if refused != nil {
		return c.refuse(ctx, refused)
	}
	defer release()
	d.count()
	return c.run(ctx)
}

// admitSuspect asks for the verdict on a request; a stop ends the wait for it.
func (d *Dispatcher) admitSuspect(ctx context.Context, attempt string, f quarantine.Fingerprint) (release func(), refused *request.Failure) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(d.stopping, cancel)()
	return d.crashes.Admit(ctx, attempt, f)
}

// Stop ends the completions that still run, each with an explicit failure
// that tells its caller to go on at another host.
func (d *Dispatcher) Stop() { d.stop() }

// count adds a request to the retry budget.
func (d *Dispatcher) count() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget = d.budget.WithRequest(time.Now())
}

// repeat takes a repeat from the retry budget.
func (d *Dispatcher) repeat() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var granted bool
	d.budget, granted = d.budget.WithRepeat(time.Now())
	return granted
}

// cancel tells an engine in the background to stop an attempt, so that no
// caller waits for it.
func (d *Dispatcher) cancel(address, id string) {
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = d.client.Cancel(ctx, address, id)
	})
}

// unsuspecting knows of no crashes.
type unsuspecting struct{}

// Admit admits every request.
func (unsuspecting) Admit(context.Context, string, quarantine.Fingerprint) (func(), *request.Failure) {
	return func() {}, nil
}

// Lost condemns no request.
func (unsuspecting) Lost(quarantine.Loss) bool { return false }

// Answered records nothing.
func (unsuspecting) Answered(string, quarantine.Fingerprint) {}

// failed returns the final answer to a call that no upstream finished.
func failed(sent bool) *request.Failure {
	if sent {
		return request.Refuse(request.UpstreamFailed, "no upstream finished the request").WithOutcome(request.Unknown).WithRetryAfter(retryAfter)
	}
	return request.Refuse(request.NoUpstream, "no upstream can take the request now").WithRetryAfter(retryAfter)
}
