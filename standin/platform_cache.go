package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// platformEvent is a change of an engine's cache.
type platformEvent struct {
	number     int64
	change     string
	salt, part string
	tokens     int
}

// cachePart identifies a cached part by salt and part ID.
type cachePart struct{ salt, part string }

// cacheParts caches the parts of a request and sends them to the part store
// that the request's headers specify, if any. The caller holds mu.
func (e *PlatformEngine) cacheParts(h http.Header) {
	salt := h.Get("X-Cache-Salt")
	for part := range strings.SplitSeq(h.Get("X-Prompt-Prefix"), ",") {
		id, size, ok := strings.Cut(part, ":")
		if !ok || e.cached[cachePart{salt, id}] {
			continue
		}
		tokens, _ := strconv.Atoi(size)
		e.recordEvent("+", cachePart{salt, id}, tokens)
	}
	if to := h.Get("X-Kv-Save"); to != "" {
		header := h.Clone()
		header.Del("X-Kv-Save")
		go func() {
			req, err := http.NewRequest(http.MethodPost, "http://"+to+"/keep", nil)
			if err != nil {
				return
			}
			req.Header = header
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
}

// recordEvent applies and records a change of a part. The caller holds mu.
func (e *PlatformEngine) recordEvent(change string, p cachePart, tokens int) {
	if change == "+" {
		e.cached[p] = true
	} else {
		delete(e.cached, p)
	}
	e.events = append(e.events, platformEvent{int64(len(e.events) + 1), change, p.salt, p.part, tokens})
	close(e.eventAdded)
	e.eventAdded = make(chan struct{})
}

// saveParts answers POST /keep: it caches parts that another engine saves here.
func (e *PlatformEngine) saveParts(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cacheParts(r.Header)
}

// Drop evicts a part under every salt.
func (e *PlatformEngine) Drop(part string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p := range e.cached {
		if p.part == part {
			e.recordEvent("-", p, 0)
		}
	}
}

// Holds reports whether a part is cached under any salt.
func (e *PlatformEngine) Holds(part string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p := range e.cached {
		if p.part == part {
			return true
		}
	}
	return false
}

// cacheEvents answers GET /kv-events.
func (e *PlatformEngine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		added, events := e.eventAdded, e.events[min(since, len(e.events)):]
		next := len(e.events)
		e.mu.Unlock()
		if len(events) > 0 || wait == 0 {
			e.writeEvents(w, events, next)
			return
		}
		select {
		case <-added:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (e *PlatformEngine) writeEvents(w http.ResponseWriter, events []platformEvent, next int) {
	rows := make([]any, 0, len(events))
	for _, v := range events {
		rows = append(rows, []any{v.number, v.change, v.salt, v.part, v.tokens, e.Model})
	}
	platformJSON(w, http.StatusOK, map[string]any{"boot_epoch": e.startMillis, "next_token": next, "lost": false, "events": rows})
}

// Pace sets the interval between the events of later streams.
func (e *PlatformEngine) Pace(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.eventInterval = d
}

// writeEvent writes one event of a stream.
func (e *PlatformEngine) writeEvent(w io.Writer, i int) {
	if e.MarksEvents {
		fmt.Fprintf(w, ": %s\n", e.Software)
	}
	fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
}
