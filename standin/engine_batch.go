package standin

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// admit waits for a slot and reports whether it got one before the request was
// cancelled.
func (e *Engine) admit(ctx context.Context, r completion, stop context.CancelFunc) bool {
	e.mu.Lock()
	e.queued++
	e.history.recordLoad(e.running, e.queued)
	e.cancelFuncs[r.attempt] = stop
	e.mu.Unlock()
	admitted := e.slots.acquire(ctx, r.priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
	if admitted {
		e.running++
	} else {
		delete(e.cancelFuncs, r.attempt)
	}
	e.history.recordLoad(e.running, e.queued)
	return admitted
}

// release returns the slot of a request.
func (e *Engine) release(attempt string, stop context.CancelFunc) {
	stop()
	e.mu.Lock()
	e.running--
	e.history.recordLoad(e.running, e.queued)
	delete(e.cancelFuncs, attempt)
	e.mu.Unlock()
	e.slots.release()
}

// process prefills a prompt piece by piece. It returns how many of its tokens
// were cached and whether it finished before the request was cancelled.
// Between pieces, the accelerator goes to the request with the highest
// priority, so that a short prompt does not wait for all of a long one.
func (e *Engine) process(ctx context.Context, scope prefix.Scope, prompt []byte, r completion) (cached int, completed bool) {
	pieces := prefix.Pieces(scope, prompt)
	e.mu.Lock()
	cache := e.cache
	hits := cache.lookup(pieces)
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
			e.storePieces(cache, pieces[:hits])
		}
	}
	return cached, true
}

// compute occupies the accelerator for the prefill time of the tokens. It
// reports whether it finished before the context ended.
func (e *Engine) compute(ctx context.Context, tokens int, r completion) bool {
	if !e.prefill.acquire(ctx, r.priority) {
		return false
	}
	defer e.prefill.release()
	e.mu.Lock()
	seconds := float64(tokens) / e.options.PrefillTokensPerSecond * max(e.faults.SlowFactor, 1)
	e.mu.Unlock()
	return e.sleep(ctx, time.Duration(seconds*float64(time.Second)))
}

// storePieces caches pieces unless the cache was emptied in the meantime.
func (e *Engine) storePieces(cache *pieceCache, pieces []prefix.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cache == cache {
		cache.add(pieces)
	}
}

// tokenTime returns the time that the next token takes: every other request in
// the batch makes it longer.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch := 1 + e.options.BatchShare*float64(e.running-1)
	return time.Duration(e.options.TokenMillis * batch * max(e.faults.SlowFactor, 1) * float64(time.Millisecond))
}

// sleep waits for d, and on until the engine is no longer frozen. It reports
// whether it finished before the context ended.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
	}
	return e.awaitUnfrozen(ctx)
}

// awaitUnfrozen waits while the engine is frozen. It reports whether it
// finished before the context ended.
func (e *Engine) awaitUnfrozen(ctx context.Context) bool {
	e.mu.Lock()
	unfrozen := e.unfrozen
	e.mu.Unlock()
	if unfrozen == nil {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-unfrozen:
		return true
	}
}

// holdWhileFrozen delays a call while the engine is frozen.
func (e *Engine) holdWhileFrozen(c fiber.Ctx) error {
	e.awaitUnfrozen(context.Background())
	return c.Next()
}

// freeze starts or ends a freeze. The caller holds mu.
func (e *Engine) freeze(frozen bool) {
	switch {
	case frozen && e.unfrozen == nil:
		e.unfrozen = make(chan struct{})
	case !frozen && e.unfrozen != nil:
		close(e.unfrozen)
		e.unfrozen = nil
	}
}
