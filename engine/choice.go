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
	// avoidTime is how long an engine that failed gets no new work from this
	// host, unless there is no other.
	avoidTime = 500 * time.Millisecond
	// prefillRate is the speed of reading a prompt, in tokens a second.
	prefillRate = 40_000
)

// Choice is the engine for one attempt and what the choice relies on.
type Choice struct {
	Upstream document.Upstream
	// Incarnation is what the engine must still be for the choice to hold;
	// empty when the choice relies on nothing cached.
	Incarnation string
	// CachedTokens is how much of the prompt the engine is believed to hold.
	CachedTokens int

	levels  []prefix.Level
	tokens  int
	service time.Duration
}

// Report is what an engine answered an attempt with.
type Report struct {
	// Answered tells that the engine began an answer.
	Answered             bool
	Incarnation, Weights string
	// CachedTokens is how much of the prompt the engine had cached.
	CachedTokens int
}

// pool is the ring over the engines of one pool.
type pool struct {
	names []string
	ring  *routing.Ring
}

// prompt is what a choice needs of a request.
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

// Choose returns an engine of the pool that was not tried, or false when
// none can take the request. It asks a few keepers at most; the choice does
// not depend on their answers, which only make it better.
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
	chosen, ok := t.choose(policy, ring, p, t.rest(ring, p))
	return withUpstream(chosen, from), ok
}

// refreshFor asks a few keepers for what a request needs.
func (t *Tracker) refreshFor(ctx context.Context, names []string, pieces []uint64) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	t.refresh(ctx, names, pieces, askedKeepers)
}

// withUpstream fills in the upstream of a choice.
func withUpstream(c Choice, from document.Pool) Choice {
	i := slices.IndexFunc(from.Upstreams, func(u document.Upstream) bool { return u.Name == c.Upstream.Name })
	if i >= 0 {
		c.Upstream = from.Upstreams[i]
	}
	return c
}

// ring returns the ring over the pool's engines.
func (t *Tracker) ring(from document.Pool) *routing.Ring {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.rings[from.Name]
	same := known.ring != nil && len(known.names) == len(from.Upstreams)
	for i := 0; same && i < len(known.names); i++ {
		same = known.names[i] == from.Upstreams[i].Name
	}
	if same {
		return known.ring
	}
	names := make([]string, len(from.Upstreams))
	for i, u := range from.Upstreams {
		names[i] = u.Name
	}
	known = pool{names: names, ring: routing.NewRing(names)}
	t.rings[from.Name] = known
	return known.ring
}

// shortlist returns the engines to look at.
func (t *Tracker) shortlist(policy routing.Policy, ring *routing.Ring, p prompt) []routing.Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn++
	now := t.now()
	return policy.Shortlist(routing.Query{
		Ring: ring, Levels: p.levels, Copies: t.heat.Copies(p.levels, now), Random: rand.Uint64(), RequestCount: t.turn,
		Usable: func(e int) bool {
			name := ring.Name(e)
			return now >= t.avoided[name] && t.usableLocked(name, p)
		},
	})
}

// rest returns every engine that can take the request, also those that
// failed lately.
func (t *Tracker) rest(ring *routing.Ring, p prompt) []routing.Candidate {
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

// usableLocked tells whether an engine can take the request as far as is
// known; the caller holds mu. An engine that nothing is known of can: the
// call itself says which weights it needs.
func (t *Tracker) usableLocked(name string, p prompt) bool {
	if slices.Contains(p.tried, name) || t.Leaving(name) {
		return false
	}
	l := t.lookLocked(name, p.pieces)
	if !l.known {
		return true
	}
	return l.reachable && !l.leaving && !l.loading && l.version == p.version
}

// choose takes the best of the candidates that can take the request.
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
		l := t.lookLocked(name, p.pieces)
		if l.levels > 0 && l.levels <= len(p.levels) {
			c.CachedTokens = p.levels[l.levels-1].Tokens
		}
		if t.confirmLocked(name, l) {
			c.CachedTokens = max(c.CachedTokens, t.view.CachedTokens(name, p.levels, now))
		}
		c.Wait, c.Load = t.view.Wait(name, l.report)
		c.Completeness, c.WarmingUp = l.trust, l.joined
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
		service: policy.Speed.Prefill(max(p.tokens-routing.ExpectedCached(chosen), 0)),
	}
	if choice.CachedTokens > 0 {
		choice.Incarnation = t.incarnations[choice.Upstream.Name]
	}
	return choice, true
}

// confirmLocked forgets what this host sent to an earlier incarnation of an
// engine, and tells whether the incarnation is known; the caller holds mu.
func (t *Tracker) confirmLocked(name string, l look) bool {
	if l.known && l.reachable {
		t.setIncarnationLocked(name, strconv.FormatInt(l.incarnation, 10))
	}
	return t.incarnations[name] != ""
}

// setIncarnationLocked notes which incarnation an engine is; the caller holds
// mu.
func (t *Tracker) setIncarnationLocked(name, incarnation string) {
	if t.incarnations[name] == incarnation {
		return
	}
	t.incarnations[name] = incarnation
	t.view.Forget(name)
}

// Started counts an attempt until the returned function is called.
func (t *Tracker) Started(c Choice) (ended func(Report)) {
	name := c.Upstream.Name
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.sent[name]++
	t.view.RecordSend(name, c.levels, c.service, now)
	t.heat.Add(c.levels, c.service, now)
	return func(r Report) { t.ended(c, r, now) }
}

// ended learns from the engine's own word.
func (t *Tracker) ended(c Choice, r Report, sent time.Duration) {
	name := c.Upstream.Name
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view.RecordEnd(name, sent)
	if t.sent[name]--; t.sent[name] <= 0 {
		delete(t.sent, name)
	}
	if !r.Answered || c.Incarnation != "" && r.Incarnation != c.Incarnation {
		// The engine failed or is another one: nothing is believed of it.
		delete(t.looks, name)
		t.view.Forget(name)
	}
	if !r.Answered {
		t.avoided[name] = t.now() + avoidTime
		return
	}
	if r.Incarnation != "" && r.Incarnation != t.incarnations[name] {
		t.incarnations[name] = r.Incarnation
		t.view.Forget(name)
		t.view.RecordSend(name, c.levels, 0, t.now())
	}
	delete(t.avoided, name)
	t.view.RecordPrefill(routing.Speed{PrefillRate: prefillRate}.Prefill(max(c.tokens-r.CachedTokens, 0)))
	t.Metrics.Counter("predicted_tokens").Inc(int64(c.CachedTokens))
	t.Metrics.Counter("cached_tokens").Inc(int64(r.CachedTokens))
	t.Metrics.Counter("prompt_tokens").Inc(int64(c.tokens))
}
