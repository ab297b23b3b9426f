// Package admission decides whether a request may start now. State makes the
// decision without I/O; Gate adds the clock, locking and metrics.
package admission

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
)

// Estimate holds the expected delays of a prompt that is sent now.
type Estimate struct {
	// Wait is the time until an engine starts the prompt, Service the time
	// that the engine takes to read it.
	Wait, Service time.Duration
}

// estimator estimates delays from the state of the engines.
type estimator interface {
	// Estimate returns the expected delays of a request, or false if there is
	// no estimate.
	Estimate(doc document.Document, r request.Request) (Estimate, bool)
}

// limiter enforces further limits of accounts, such as rates.
type limiter interface {
	// Admit returns a function to call when the request ends, or the failure
	// to answer a refused request with.
	Admit(doc document.Document, r request.Request) (release func(), refused *request.Failure)
}

// Options configures a Gate. Without an Estimator, only the Limiter refuses
// requests.
type Options struct {
	Estimator estimator
	// Limiter is optional and runs before the estimate.
	Limiter limiter
	Metrics tally.Scope
}

// Gate admits or refuses requests. It is safe for concurrent use.
type Gate struct {
	Options

	start time.Time
	// mu guards state.
	mu    sync.Mutex
	state *State
}

// New returns a Gate that has admitted nothing.
func New(o Options) *Gate {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return &Gate{Options: o, start: time.Now(), state: NewState()}
}

// Admit returns a function to call when the request ends, or the failure to
// answer a refused request with.
func (g *Gate) Admit(doc document.Document, r request.Request) (release func(), refused *request.Failure) {
	release = func() {}
	if g.Limiter != nil {
		if release, refused = g.Limiter.Admit(doc, r); refused != nil {
			return nil, refused
		}
	}
	if refused = g.decide(doc, r); refused != nil {
		release()
		return nil, refused
	}
	return release, nil
}

// decide refuses completions that can't finish before their deadline or that
// exceed their account's share of a full pool.
func (g *Gate) decide(doc document.Document, r request.Request) *request.Failure {
	if r.Kind != request.Completion || g.Estimator == nil {
		return nil
	}
	estimate, ok := g.Estimator.Estimate(doc, r)
	if !ok {
		return nil
	}
	candidate := Request{
		Account: r.Account, Weight: accountWeight(doc, r.Account), Priority: r.Priority,
		Remaining: r.Remaining, Wait: estimate.Wait, Service: estimate.Service,
	}
	g.mu.Lock()
	decision := g.state.Decide(candidate, time.Since(g.start))
	g.mu.Unlock()
	if decision.Admitted {
		return nil
	}
	g.Metrics.Tagged(map[string]string{"reason": decision.Reason.String()}).Counter("admission_refusals").Inc(1)
	return request.Refuse(request.DeadlineTooNear, messages[decision.Reason]).WithRetryAfter(decision.RetryAfter)
}

// messages holds the error messages of refusals.
var messages = map[Reason]string{
	Deadline: "the answer can't be whole before the deadline",
	Share:    "the engines are full and the account uses more than its share",
	Full:     "the engines are full",
}

// String returns the value of the metrics tag "reason".
func (r Reason) String() string {
	return map[Reason]string{Deadline: "deadline", Share: "share", Full: "full"}[r]
}

// accountWeight returns the account's weight, or 1 if the document sets none.
func accountWeight(doc document.Document, account string) int {
	for _, a := range doc.Accounts.Accounts {
		if a.Name == account {
			return max(a.Weight, 1)
		}
	}
	return 1
}
