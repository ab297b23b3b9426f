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
	matches func(r *http.Request) bool
	point   PlatformCrashPoint
	crashed func()
}

// CrashOn makes the first request whose path contains a marker crash the engine
// with all its requests. crashed is called after the connections are closed.
func (e *PlatformEngine) CrashOn(marker string, point PlatformCrashPoint, crashed func()) {
	e.crashIf(func(r *http.Request) bool { return strings.Contains(r.URL.Path, marker) }, point, crashed)
}

// CrashOnPart does the same for the first request whose prompt has a part.
func (e *PlatformEngine) CrashOnPart(part string, point PlatformCrashPoint, crashed func()) {
	e.crashIf(func(r *http.Request) bool { return HasPart(r.Header, part) }, point, crashed)
}

// HasPart reports whether the prompt described by the headers of a request has a
// part.
func HasPart(h http.Header, part string) bool {
	return strings.Contains(","+h.Get("X-Prompt-Prefix"), ","+part+":")
}

func (e *PlatformEngine) crashIf(matches func(r *http.Request) bool, point PlatformCrashPoint, crashed func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = &platformCrash{matches: matches, point: point, crashed: crashed}
}

// crashIfAt crashes the engine if the request triggers a crash at this point.
func (e *PlatformEngine) crashIfAt(w http.ResponseWriter, r *http.Request, point PlatformCrashPoint) {
	e.mu.Lock()
	c := e.crash
	if c == nil || c.point != point || !c.matches(r) {
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
