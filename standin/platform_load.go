package standin

import "time"

// loadPollInterval is the time between two checks whether an engine's requests have
// ended.
const loadPollInterval = 5 * time.Millisecond

// LoadTakes sets how long the engine loads weights, by default no time. Streams that run
// there end first, unless the order says otherwise.
func (e *PlatformEngine) LoadTakes(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadTime = d
}

// RejectedWhileLoading returns how many requests arrived while the engine executed an
// order.
func (e *PlatformEngine) RejectedWhileLoading() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejectedWhileLoading
}

// OrdersWhileLoading returns how many orders arrived while the engine executed one.
func (e *PlatformEngine) OrdersWhileLoading() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ordersWhileLoading
}

// Loading reports whether the engine executes an order.
func (e *PlatformEngine) Loading() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loading
}

// The modes in which an order treats the streams that run.
const (
	// waitMode has them finish first; it is that of orders without a mode.
	waitMode = "wait"
	// truncateMode breaks them off.
	truncateMode = "truncate"
	// retainMode has them go on with the new weights.
	retainMode = "retain"
)

// load executes an accepted order. The caller holds mu.
func (e *PlatformEngine) load(version int64, mode string) {
	if mode == truncateMode {
		for id, stop := range e.running {
			close(stop)
			delete(e.running, id)
		}
	}
	if e.loadTime == 0 && (e.working == 0 || mode == retainMode) {
		e.finishLoad(version)
		return
	}
	e.loading = true
	go func() {
		for mode != retainMode && e.works() {
			time.Sleep(loadPollInterval)
		}
		e.mu.Lock()
		d := e.loadTime
		e.mu.Unlock()
		time.Sleep(d)
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = false
		e.finishLoad(version)
	}()
}

// finishLoad sets the new weights. What the engine has stored is dropped: its cache, and the
// memory of runs that have stopped. The caller holds mu.
func (e *PlatformEngine) finishLoad(version int64) {
	e.weights = version
	clear(e.memoryHandles)
	clear(e.keptMemory)
	for p := range e.cached {
		e.recordEvent("-", p, 0)
	}
}

// work records that the engine works on a request; the returned function records the end.
func (e *PlatformEngine) work() (end func()) {
	add := func(n int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.working += n
	}
	add(1)
	return func() { add(-1) }
}

// works reports whether the engine works on any request.
func (e *PlatformEngine) works() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.working > 0
}
