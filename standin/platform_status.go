package standin

import "net/http"

// SignalLeavingToRequests makes all further answers to requests say that the
// engine is leaving.
func (e *PlatformEngine) SignalLeavingToRequests() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingToRequests = true
}

// SignalLeavingToControlCalls makes all further answers to control calls say
// that the engine is leaving.
func (e *PlatformEngine) SignalLeavingToControlCalls() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingToControlCalls = true
}

// NameLimit makes all further answers name a limit of requests a second; "" ends
// that.
func (e *PlatformEngine) NameLimit(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = text
}

// setLimit adds the header of the limit to an answer. The caller holds mu.
func (e *PlatformEngine) setLimit(w http.ResponseWriter) {
	if e.limit != "" {
		w.Header().Set("Server-Limit", e.limit)
	}
}

// controlCall wraps the handler of a control call and adds the headers by which
// the engine signals that it is leaving or limited.
func (e *PlatformEngine) controlCall(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		if e.leavingToControlCalls {
			w.Header().Set("Server-Leaving", "1")
		}
		e.setLimit(w)
		e.setBrittle(w)
		e.mu.Unlock()
		h(w, r)
	}
}
