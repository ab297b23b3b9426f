package standin

import (
	"net/http"
	"time"
)

// defaultSlots is the number of requests that an engine runs at a time.
const defaultSlots = 64

// PlatformRun is an engine's work on one request.
type PlatformRun struct {
	// Number counts the engine's runs, Request is the caller's attempt ID.
	Number  int
	Request string
	// Moved means that the run goes on from memory that another engine sent, and
	// Memory names it.
	Moved  bool   `json:",omitempty"`
	Memory string `json:",omitempty"`
	// Ended is zero while the run goes on.
	Began, Ended time.Time
}

// beginRun records the beginning of a run; the returned function records its end.
func (e *PlatformEngine) beginRun(request *http.Request) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	observe := e.observeRun
	if observe == nil {
		return func() {}
	}
	e.runCount++
	r := PlatformRun{Number: e.runCount, Request: request.Header.Get("X-Attempt-Id"), Moved: request.Header.Get("Kv-From") != "", Memory: request.Header.Get("Kv-From"), Began: time.Now()}
	observe(r)
	return func() {
		r.Ended = time.Now()
		observe(r)
	}
}

// awaitPrefill waits for the time to the first event, and reports whether the request
// has not been given up meanwhile.
func (e *PlatformEngine) awaitPrefill(r *http.Request) bool {
	e.mu.Lock()
	prefill := e.prefill
	e.mu.Unlock()
	if prefill == 0 {
		return true
	}
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(prefill):
		return true
	}
}
