package standin

import (
	"net/http"
	"strings"
)

// PlatformCrashPoint is how much of its answer a request that ends its engine
// still gets.
type PlatformCrashPoint int

// The points.
const (
	// BeforeHead ends the engine before the answer.
	BeforeHead PlatformCrashPoint = iota + 1
	// AfterHead ends it after the head of a stream.
	AfterHead
	// AfterEvent ends it after the first event of a stream.
	AfterEvent
)

type platformCrash struct {
	marker string
	point  PlatformCrashPoint
	ended  func()
}

// CrashOn makes the first request whose path holds a marker end the engine
// with all that runs there; ended is called then, not before the connections
// are closed.
func (e *PlatformEngine) CrashOn(marker string, point PlatformCrashPoint, ended func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = &platformCrash{marker: marker, point: point, ended: ended}
}

// crashNow ends the engine if the request does that at this point.
func (e *PlatformEngine) crashNow(w http.ResponseWriter, r *http.Request, point PlatformCrashPoint) {
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
	go c.ended()
	panic(http.ErrAbortHandler)
}
