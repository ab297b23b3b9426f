package engine

import (
	"context"
	"slices"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/routing"
)

// Choice is the engine for one attempt and what the choice relies on.
type Choice struct {
	Upstream document.Upstream
	// Incarnation is what the engine must still be for the choice to hold;
	// empty when the choice relies on nothing cached.
	Incarnation string
	// CachedTokens is how much of the prompt the engine is believed to hold.
	CachedTokens int
}

// Report is what an engine answered an attempt with.
type Report struct {
	// Answered tells that the engine began an answer.
	Answered             bool
	Incarnation, Weights string
	// CachedTokens is how much of the prompt the engine had cached.
	CachedTokens int
}

// Choose returns an engine of the pool that was not tried, or false when
// none can take the request.
func (t *Tracker) Choose(_ context.Context, pool document.Pool, model document.Model, r request.Request, tried []string) (Choice, bool) {
	key := prefix.Scope{Account: r.Account, Model: r.Model, Weights: model.Version}.Root()
	for _, level := range r.Levels[:max(len(r.Levels)-1, 0)] {
		key = key.Next(level)
	}
	var usable []document.Upstream
	var candidates []routing.Candidate
	for _, u := range pool.Upstreams {
		s := t.Status(u.Name)
		if !s.serves(model.Version) || t.leaving(u.Name) || slices.Contains(tried, u.Name) {
			continue
		}
		usable = append(usable, u)
		candidates = append(candidates, routing.Candidate{Name: u.Name, Load: max(s.Running+s.Queued, s.Sent)})
	}
	i := routing.Choose(key, candidates)
	if i < 0 {
		return Choice{}, false
	}
	return Choice{Upstream: usable[i]}, true
}

// Started counts an attempt until the returned function is called.
func (t *Tracker) Started(c Choice) (ended func(Report)) {
	t.add(c.Upstream.Name, 1)
	return func(Report) { t.add(c.Upstream.Name, -1) }
}
