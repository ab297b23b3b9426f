package standin

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// admit waits for a slot and tells whether it got one before the request was
// cancelled.
func (e *Engine) admit(ctx context.Context, r run, stop context.CancelFunc) bool {
	e.mu.Lock()
	e.queued++
	e.journal.load(e.running, e.queued)
	e.cancelled[r.attempt] = stop
	e.mu.Unlock()
	admitted := e.slots.enter(ctx, r.priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	if admitted {
		e.running++
	} else {
		delete(e.cancelled, r.attempt)
	}
	e.journal.load(e.running, e.queued)
	return admitted
}

// release gives the slot back.
func (e *Engine) release(attempt string, stop context.CancelFunc) {
	stop()
	e.mu.Lock()
	e.running--
	e.journal.load(e.running, e.queued)
	delete(e.cancelled, attempt)
	e.mu.Unlock()
	e.slots.leave()
}

// process reads a prompt piece by piece and returns how many of its tokens
// were cached. Requests share the accelerator between pieces, by priority, so
// that a short prompt does not wait for the whole of a long one. It tells
// whether the prompt was read before the request was cancelled.
func (e *Engine) process(ctx context.Context, scope prefix.Scope, prompt []byte, r run) (cached int, whole bool) {
	pieces := prefix.Pieces(scope, prompt)
	e.mu.Lock()
	cache := e.cache
	hits := cache.use(pieces)
	e.counts.Requests++
	e.counts.PromptTokens += prefix.Tokens(len(prompt))
	e.counts.CachedTokens += hits * prefix.PieceTokens
	e.mu.Unlock()
	cached = hits * prefix.PieceTokens
	for missing := prefix.Tokens(len(prompt)) - cached; missing > 0; missing -= prefix.PieceTokens {
		if !e.compute(ctx, min(missing, prefix.PieceTokens), r) {
			return cached, false
		}
		if hits < len(pieces) {
			hits++
			e.store(cache, pieces[:hits])
		}
	}
	return cached, true
}

// compute takes the accelerator for the time of as many tokens.
func (e *Engine) compute(ctx context.Context, tokens int, r run) bool {
	if !e.prefill.enter(ctx, r.priority) {
		return false
	}
	defer e.prefill.leave()
	e.mu.Lock()
	seconds := float64(tokens) / e.options.PrefillTokensPerSecond * max(e.faults.SlowFactor, 1)
	e.mu.Unlock()
	return e.rest(ctx, time.Duration(seconds*float64(time.Second)))
}

// store keeps pieces unless the cache was emptied since.
func (e *Engine) store(cache *pieceCache, pieces []prefix.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache == cache {
		cache.keep(pieces)
	}
}

// tokenTime returns the time of the next token: each other request of the
// batch makes it longer.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := 1 + e.options.BatchShare*float64(e.running-1)
	return time.Duration(e.options.TokenMillis * batch * max(e.faults.SlowFactor, 1) * float64(time.Millisecond))
}

// rest waits, and as long as the engine is frozen. It tells whether the wait
// ended before the context.
func (e *Engine) rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
	}
	return e.awaitThaw(ctx)
}

// awaitThaw waits as long as the engine is frozen.
func (e *Engine) awaitThaw(ctx context.Context) bool {
	e.mu.Lock()
	thawed := e.thawed
	e.mu.Unlock()
	if thawed == nil {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-thawed:
		return true
	}
}

// whenThawed holds a call back as long as the engine is frozen.
func (e *Engine) whenThawed(c fiber.Ctx) error {
	e.awaitThaw(context.Background())
	return c.Next()
}

// freeze begins or ends a freeze. The caller holds mu.
func (e *Engine) freeze(frozen bool) {
	switch {
	case frozen && e.thawed == nil:
		e.thawed = make(chan struct{})
	case !frozen && e.thawed != nil:
		close(e.thawed)
		e.thawed = nil
	}
}
