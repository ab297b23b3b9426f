package standin

import (
	"net/http"
	"strings"
)

// PlatformCrashPoint says how much of its answer a request receives before it
// crashes the engine.
type PlatformCrashPoint int

// The crash points.
const (
	// BeforeHead crashes the engine before the answer.
	BeforeHead PlatformCrashPoint = iota + 1
	// AfterHead crashes it after the response header of a stream.
	AfterHead
	// AfterEvent crashes it after the first event of a stream.
	AfterEvent
)

type platformCrash struct {
	marker  string
	point   PlatformCrashPoint
	crashed func()
}

// CrashOn makes the first request whose path contains a marker crash the engine
// with all its requests. crashed is called after the connections are closed.
func (e *PlatformEngine) CrashOn(marker string, point PlatformCrashPoint, crashed func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = &platformCrash{marker: marker, point: point, crashed: crashed}
}

// crashIfAt crashes the engine if the request triggers a crash at this point.
func (e *PlatformEngine) crashIfAt(w http.ResponseWriter, r *http.Request, point PlatformCrashPoint) {
	e.mu.Lock()
	c := e.crash
	if c == nil || c.point != point || !strings.Contains(r.URL.Path, c.marker) {
		e.mu.Unlock()
		return
	}
	e.crash = nil
	e.mu.Unlock()
	if point == AfterHead {
		_ = http.NewResponseController(w).Flush()
	}
	e.Close()
	go c.crashed()
	panic(http.ErrAbortHandler)
}
