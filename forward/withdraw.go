package forward

import (
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// withdrawLook is the time between two looks at the weights of a request
	// that waits at an engine.
	withdrawLook = 150 * time.Millisecond
	// withdrawGrace is how much longer a request may wait at older weights than
	// others are sent there: the rest of the margin is for the look and the way
	// to the engine.
	withdrawGrace = 300 * time.Millisecond
)

// withdraw ends a try that has not begun to answer once its weights may no
// longer answer. It returns a function that ends the watch.
func (d *run) withdraw(a *attempt) (stop func()) {
	if a.send.Weights == 0 {
		return func() {}
	}
	var stopped atomic.Bool
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(withdrawLook, func() {
		<-ready
		if stopped.Load() {
			return // the timer was set again while the watch ended
		}
		named, _ := d.Knowledge.State().WeightsHistory(a.send.Prompt.Model)
		since, replaced := named.ReplacedSince(a.send.Weights)
		age := clock.Now().Sub(since)
		if !replaced || age < d.OldWeights+withdrawGrace {
			timer.Reset(withdrawLook)
			return
		}
		event.RunWithdrawn.Info("Request", d.call.ID, "Upstream", a.id, "Weights", a.send.Weights, "Named", named.Version, "AgeMillis", age.Milliseconds())
		d.Metrics.Counter("requests_withdrawn").Inc(1)
		a.late.Store(true)
		a.cancel()
	})
	close(ready)
	return func() {
		stopped.Store(true)
		timer.Stop()
	}
}
