package forward

import (
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// weightsCheckInterval is the time between two checks of the weights of a
	// request that is queued at an engine.
	weightsCheckInterval = 150 * time.Millisecond
	// queuedGrace is how long a request may stay queued at an engine with older
	// weights after no new requests are sent there. New requests stop some time
	// before the operators' limit; the rest of that time covers the check
	// interval and the network delay to the engine.
	queuedGrace = 300 * time.Millisecond
)

// cancelOnOldWeights cancels an attempt that has no answer yet once its weights
// may no longer answer. It returns a function that stops the checks.
func (h *handler) cancelOnOldWeights(a *attempt) (stop func()) {
	if a.send.Weights == 0 {
		return func() {}
	}
	var stopped atomic.Bool
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(weightsCheckInterval, func() {
		<-ready
		if stopped.Load() {
			return // the timer was reset while the checks were being stopped
		}
		history, _ := h.Replica.State().WeightsHistory(a.send.Prompt.Model)
		since, replaced := history.ReplacedSince(a.send.Weights)
		age := clock.Now().Sub(since)
		if !replaced || age < h.OldWeightsGrace+queuedGrace {
			timer.Reset(weightsCheckInterval)
			return
		}
		event.StaleRequestCancelled.Info("Request", h.call.ID, "Upstream", a.id, "Weights", a.send.Weights, "Named", history.Version, "AgeMillis", age.Milliseconds())
		h.Metrics.Counter("requests_withdrawn").Inc(1)
		a.abandoned.Store(true)
		a.cancel()
	})
	close(ready)
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}
