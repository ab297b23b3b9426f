// Package admission decides whether a request may start now. The decision is
// pure; Gate is the shell around it.
package admission

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
)

// Estimate is what is expected of a prompt that is sent now.
type Estimate struct {
	// Wait is the time until an engine begins the prompt, and Service the
	// time that it takes to read it.
	Wait, Service time.Duration
}

// estimator knows the engines.
type estimator interface {
	// Estimate returns what is expected of a request for a model, or false
	// when nothing is known.
	Estimate(doc document.Document, r request.Request) (Estimate, bool)
}

// limiter holds further limits of accounts, such as rates.
type limiter interface {
	// Admit returns a function to call at the request's end, or why the
	// request is refused.
	Admit(doc document.Document, r request.Request) (release func(), refused *request.Failure)
}

// Options is what a gate needs; without an estimator it refuses nothing.
type Options struct {
	Estimator estimator
	// Limiter is asked first, if there is one.
	Limiter limiter
	Metrics tally.Scope
}

// Gate admits requests.
type Gate struct {
	Options

	start time.Time
	// mu guards state.
	mu    sync.Mutex
	state *State
}

// New returns a gate.
func New(o Options) *Gate {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return &Gate{Options: o, start: time.Now(), state: NewState()}
}

// Admit returns a function to call at the request's end, or why the request
// is refused.
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

// decide refuses completions that can't be done in time or that are beyond
// their account's share of a full pool.
func (g *Gate) decide(doc document.Document, r request.Request) *request.Failure {
	if r.Kind != request.Completion || g.Estimator == nil {
		return nil
	}
	estimate, ok := g.Estimator.Estimate(doc, r)
	if !ok {
		return nil
	}
	ask := Ask{
		Account: r.Account, Weight: weight(doc, r.Account), Priority: r.Priority,
		Remaining: r.Remaining, Wait: estimate.Wait, Service: estimate.Service,
	}
	g.mu.Lock()
	verdict := g.state.Decide(ask, time.Since(g.start))
	g.mu.Unlock()
	if verdict.Admitted {
		return nil
	}
	g.Metrics.Tagged(map[string]string{"reason": verdict.Reason.String()}).Counter("admission_refusals").Inc(1)
	return request.Refuse(request.DeadlineTooNear, messages[verdict.Reason]).WithRetryAfter(verdict.RetryAfter)
}

// messages tells people why a request was refused.
var messages = map[Reason]string{
	Deadline: "the answer can't be whole before the deadline",
	Share:    "the engines are full and the account uses more than its share",
	Full:     "the engines are full",
}

// String returns a word for metrics.
func (r Reason) String() string {
	return map[Reason]string{Deadline: "deadline", Share: "share", Full: "full"}[r]
}

// weight returns the account's fair share relative to others.
func weight(doc document.Document, account string) int {
	for _, a := range doc.Accounts.Accounts {
		if a.Name == account {
			return max(a.Weight, 1)
		}
	}
	return 1
}
