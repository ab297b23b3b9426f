package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/routing"
)

const (
	// avoidTime is how long this host sends no new requests to an engine that
	// failed, unless no other engine can take them.
	avoidTime = 500 * time.Millisecond
	// prefillRate is the prefill speed in tokens per second.
	prefillRate = 40_000
)

// Choice is the engine chosen for one attempt and the engine state that the
// choice relies on.
type Choice struct {
	Upstream document.Upstream
	// Incarnation is the incarnation that the engine must still have for the
	// choice to be valid. It is empty when the choice relies on no cached part.
	Incarnation string
	// CachedTokens is the number of prompt tokens assumed cached on the engine.
	CachedTokens int

	levels  []prefix.Level
	tokens  int
	prefill time.Duration
}

// Report is an engine's response to an attempt.
type Report struct {
	// Answered reports whether the engine began an answer.
	Answered             bool
	Incarnation, Weights string
	// CachedTokens is the number of prompt tokens that the engine had cached.
	CachedTokens int
}

// pool holds the hash ring of one pool's engines and the names it was built from.
type pool struct {
	names []string
	ring  *routing.Ring
}

// prompt holds the parts of a request that a choice depends on.
type prompt struct {
	levels []prefix.Level
	// pieces holds the last piece of each level.
	pieces  []uint64
	tokens  int
	version string
	tried   []string
}

func newPrompt(model document.Model, r request.Request, tried []string) prompt {
	scope := prefix.Scope{Account: r.Account, Model: r.Model, Weights: model.Version}
	p := prompt{levels: prefix.Levels(scope, r.Levels), version: model.Version, tried: tried}
	for _, l := range p.levels {
		p.pieces = append(p.pieces, uint64(l.Piece))
	}
	size := 0
	for _, part := range r.Levels {
		size += len(part)
	}
	p.tokens = prefix.Tokens(size)
	return p
}

// Choose returns an engine of the pool that is not in tried, or false if none
// can take the request. It queries at most maxQueriedOwners owners. Their
// replies improve the choice but are not required for it.
func (t *Tracker) Choose(ctx context.Context, from document.Pool, model document.Model, r request.Request, tried []string) (Choice, bool) {
	p := newPrompt(model, r, tried)
	policy := routing.Cost{
		Speed:       routing.Speed{PrefillRate: prefillRate},
		WasteWeight: t.Document().Routing.WasteWeight,
	}
	ring := t.ring(from)
	candidates := t.shortlist(policy, ring, p)
	names := make([]string, len(candidates))
	for i, c := range candidates {
		names[i] = ring.Name(c.Engine)
	}
	t.refreshFor(ctx, names, p.pieces)
	if chosen, ok := t.choose(policy, ring, p, candidates); ok {
		return withUpstream(chosen, from), true
	}
	chosen, ok := t.choose(policy, ring, p, t.allUsable(ring, p))
	return withUpstream(chosen, from), ok
}

// refreshFor queries at most maxQueriedOwners owners for one request.
func (t *Tracker) refreshFor(ctx context.Context, names []string, pieces []uint64) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	t.refresh(ctx, names, pieces, maxQueriedOwners)
}

// withUpstream returns the choice with its upstream's full configuration.
func withUpstream(c Choice, from document.Pool) Choice {
	i := slices.IndexFunc(from.Upstreams, func(u document.Upstream) bool { return u.Name == c.Upstream.Name })
	if i >= 0 {
		c.Upstream = from.Upstreams[i]
	}
	return c
}

// ring returns the hash ring of the pool's engines. It is rebuilt only when the
// pool's engines change.
func (t *Tracker) ring(from document.Pool) *routing.Ring {
	t.mu.Lock()
	defer t.mu.Unlock()
	cached := t.rings[from.Name]
	unchanged := cached.ring != nil && len(cached.names) == len(from.Upstreams)
	for i := 0; unchanged && i < len(cached.names); i++ {
		unchanged = cached.names[i] == from.Upstreams[i].Name
	}
	if unchanged {
		return cached.ring
	}
	names := make([]string, len(from.Upstreams))
	for i, u := range from.Upstreams {
		names[i] = u.Name
	}
	cached = pool{names: names, ring: routing.NewRing(names)}
	t.rings[from.Name] = cached
	return cached.ring
}

// shortlist returns the engines to evaluate.
func (t *Tracker) shortlist(policy routing.Policy, ring *routing.Ring, p prompt) []routing.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requestCount++
	now := t.now()
	return policy.Shortlist(routing.Query{
		Ring: ring, Levels: p.levels, Copies: t.demand.Copies(p.levels, now), Random: rand.Uint64(), RequestCount: t.requestCount,
		Usable: func(e int) bool {
			name := ring.Name(e)
			return now >= t.avoidUntil[name] && t.usableLocked(name, p)
		},
	})
}

// allUsable returns every engine that can take the request, including those
// that failed recently.
func (t *Tracker) allUsable(ring *routing.Ring, p prompt) []routing.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []routing.Candidate
	for e := range ring.Len() {
		if t.usableLocked(ring.Name(e), p) {
			candidates = append(candidates, routing.Candidate{Engine: e})
		}
	}
	return candidates
}

// usableLocked reports whether an engine can take the request. An engine of
// unknown state counts as usable, since the call itself specifies the weights
// version that must answer. The caller holds mu.
func (t *Tracker) usableLocked(name string, p prompt) bool {
	if slices.Contains(p.tried, name) || t.Leaving(name) {
		return false
	}
	s := t.stateLocked(name, p.pieces)
	if !s.known {
		return true
	}
	return s.reachable && !s.leaving && !s.loading && s.version == p.version
}

// choose returns the best candidate that can take the request.
func (t *Tracker) choose(policy routing.Cost, ring *routing.Ring, p prompt, candidates []routing.Candidate) (Choice, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var usable []routing.Candidate
	for _, c := range candidates {
		name := ring.Name(c.Engine)
		if !t.usableLocked(name, p) {
			continue
		}
		s := t.stateLocked(name, p.pieces)
		if s.cachedLevels > 0 && s.cachedLevels <= len(p.levels) {
			c.CachedTokens = p.levels[s.cachedLevels-1].Tokens
		}
		if t.syncIncarnationLocked(name, s) {
			c.CachedTokens = max(c.CachedTokens, t.history.CachedTokens(name, p.levels, now))
		}
		c.Wait, c.Load = t.history.Wait(name, s.report)
		c.Completeness, c.WarmingUp = s.completeness, s.warmingUp
		usable = append(usable, c)
	}
	i := policy.Choose(p.tokens, usable)
	if i < 0 {
		return Choice{}, false
	}
	chosen := usable[i]
	choice := Choice{
		Upstream: document.Upstream{Name: ring.Name(chosen.Engine)}, CachedTokens: chosen.CachedTokens,
		levels: p.levels, tokens: p.tokens,
		prefill: policy.Speed.Prefill(max(p.tokens-routing.ExpectedCached(chosen), 0)),
	}
	if choice.CachedTokens > 0 {
		choice.Incarnation = t.incarnations[choice.Upstream.Name]
	}
	return choice, true
}

// syncIncarnationLocked drops the send history of an earlier incarnation of an
// engine and reports whether the current incarnation is known. The caller
// holds mu.
func (t *Tracker) syncIncarnationLocked(name string, s engineState) bool {
	if s.known && s.reachable {
		t.setIncarnationLocked(name, strconv.FormatInt(s.incarnation, 10))
	}
	return t.incarnations[name] != ""
}

// setIncarnationLocked sets an engine's incarnation and drops the send history
// when it changes. The caller holds mu.
func (t *Tracker) setIncarnationLocked(name, incarnation string) {
	if t.incarnations[name] == incarnation {
		return
	}
	t.incarnations[name] = incarnation
	t.history.Forget(name)
}

// Started records an attempt as in flight until the returned function is called.
func (t *Tracker) Started(c Choice) (ended func(Report)) {
	name := c.Upstream.Name
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.inFlight[name]++
	t.history.RecordSend(name, c.levels, c.prefill, now)
	t.demand.Add(c.levels, c.prefill, now)
	return func(r Report) { t.recordEnd(c, r, now) }
}

// recordEnd updates the state of an engine from its response to an attempt.
func (t *Tracker) recordEnd(c Choice, r Report, sentAt time.Duration) {
	name := c.Upstream.Name
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.RecordEnd(name, sentAt)
	if t.inFlight[name]--; t.inFlight[name] <= 0 {
		delete(t.inFlight, name)
	}
	if !r.Answered || c.Incarnation != "" && r.Incarnation != c.Incarnation {
		// The engine failed or has another incarnation: drop its state.
		delete(t.remoteStates, name)
		t.history.Forget(name)
	}
	if !r.Answered {
		t.avoidUntil[name] = t.now() + avoidTime
		return
	}
	if r.Incarnation != "" && r.Incarnation != t.incarnations[name] {
		t.incarnations[name] = r.Incarnation
		t.history.Forget(name)
		t.history.RecordSend(name, c.levels, 0, t.now())
	}
	delete(t.avoidUntil, name)
	t.history.RecordPrefill(routing.Speed{PrefillRate: prefillRate}.Prefill(max(c.tokens-r.CachedTokens, 0)))
	t.Metrics.Counter("predicted_tokens").Inc(int64(c.CachedTokens))
	t.Metrics.Counter("cached_tokens").Inc(int64(r.CachedTokens))
	t.Metrics.Counter("prompt_tokens").Inc(int64(c.tokens))
}
