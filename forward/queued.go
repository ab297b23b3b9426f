package forward

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// queuedCheckInterval is the time between two checks of a request that is
	// queued at an engine.
	queuedCheckInterval = 150 * time.Millisecond
	// queuedGrace is how long a request may stay queued at an engine with older
	// weights after no new requests are sent there. New requests stop some time
	// before the operators' limit; the rest of that time covers the check
	// interval and the network delay to the engine.
	queuedGrace = 300 * time.Millisecond
	// isolationGrace is how long a request may stay queued at an engine after an account
	// with which it must not share parts became isolated.
	isolationGrace = time.Second
)

// withdrawQueued cancels an attempt that has no answer yet once its weights may no
// longer answer, its account may no longer use the parts that it would, or its request is
// quarantined. It returns a function that stops the checks.
func (h *handler) withdrawQueued(a *attempt) (stop func()) {
	if a.send.Weights == 0 {
		return func() {}
	}
	var stopped atomic.Bool
	var separateSince clock.Instant
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(queuedCheckInterval, func() {
		<-ready
		if stopped.Load() {
			return // the timer was reset while the checks were being stopped
		}
		if !h.hasOldWeights(a.target) && !h.hasForeignParts(a, &separateSince) && !h.Guard.IsQuarantined(h.call.ID, h.content) {
			timer.Reset(queuedCheckInterval)
			return
		}
		if a.abandon() {
			h.Metrics.Counter("requests_withdrawn").Inc(1)
		}
	})
	close(ready)
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}

// hasOldWeights reports whether the weights of a target were replaced too long ago to
// answer.
func (h *handler) hasOldWeights(t target) bool {
	if h.timeToBegin(t) > 0 {
		return false
	}
	history, _ := h.Replica.State().WeightsHistory(t.send.Prompt.Model)
	since, _ := history.ReplacedSince(t.send.Weights)
	event.StaleRequestCancelled.Info("Request", h.call.ID, "Upstream", t.id, "Weights", t.send.Weights, "Named", history.Version, "AgeMillis", clock.Now().Sub(since).Milliseconds())
	return true
}

// timeToBegin returns how long a request that was sent to a target may still begin there,
// given the target's weights.
func (h *handler) timeToBegin(t target) time.Duration {
	history, _ := h.Replica.State().WeightsHistory(t.send.Prompt.Model)
	since, replaced := history.ReplacedSince(t.send.Weights)
	if !replaced {
		return math.MaxInt64
	}
	return h.OldWeightsGrace + queuedGrace - clock.Now().Sub(since)
}

// hasForeignParts reports whether an attempt may begin with parts of an account that has
// been isolated for too long. It keeps in since when that was first seen.
func (h *handler) hasForeignParts(a *attempt, since *clock.Instant) bool {
	now := clock.Now()
	isolated := h.Replica.State().Catalog.Isolated()
	switch {
	case a.group.MayUse(h.account.Name, isolated):
		*since = 0
		return false
	case *since == 0:
		*since = now
	}
	age := now.Sub(*since)
	if age < isolationGrace {
		return false
	}
	event.SeparatedRequestCancelled.Info("Request", h.call.ID, "Upstream", a.id, "Salt", a.send.Salt, "AgeMillis", age.Milliseconds())
	return true
}
