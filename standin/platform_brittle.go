package standin

import (
	"net/http"
	"strconv"
	"time"
)

// platformBrittle is the state of a brittle engine.
type platformBrittle struct {
	// limit is the number of rejections a second above which the engine falls over,
	// room the number of requests above which it rejects.
	limit, room int
	running     int
	rejections  []time.Time
}

// BecomeBrittle makes all further answers say that the engine falls over when it
// rejects more than limit requests in a second; it rejects those beyond room.
func (e *PlatformEngine) BecomeBrittle(limit, room int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle = &platformBrittle{limit: limit, room: room}
}

// MostRejections returns the most requests that a brittle engine rejected within a
// second, from a time on.
func (e *PlatformEngine) MostRejections(from time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	for i, first := range e.brittle.rejections {
		if first.Before(from) {
			continue
		}
		count := 0
		for _, at := range e.brittle.rejections[i:] {
			if at.Sub(first) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// setBrittle adds the header of a brittle engine to an answer. The caller holds mu.
func (e *PlatformEngine) setBrittle(w http.ResponseWriter) {
	if e.brittle != nil {
		w.Header().Set("Server-Brittle", strconv.Itoa(e.brittle.limit))
	}
}

// takeRoom reports whether a brittle engine has room for a request, which frees it at
// its end. The caller holds mu.
func (e *PlatformEngine) takeRoom(r *http.Request) bool {
	b := e.brittle
	switch {
	case b == nil:
		return true
	case b.running >= b.room:
		b.rejections = append(b.rejections, time.Now())
		return false
	}
	b.running++
	go func() {
		<-r.Context().Done()
		e.mu.Lock()
		defer e.mu.Unlock()
		b.running--
	}()
	return true
}
