package gateway

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/kumquathoist/kumquathoist/clock"
)

// State is how far a request has come that has no whole answer yet.
type State string

// The states of requests. A stream is answered from its head on.
const (
	Arriving  State = "Arriving"
	Running   State = "Running"
	Streaming State = "Streaming"
)

// Unanswered is a request that was read in part at least and has no whole answer yet.
type Unanswered struct {
	// Request is its ID, which is empty until it has arrived, Caller the address it comes from.
	Request, Caller string
	State           State
	// Age is the time since its first byte.
	Age time.Duration
}

// entry is the unanswered request of a connection.
type entry struct {
	request string
	state   State
	since   clock.Instant
}

// requestTable holds the requests without a whole answer by their connections.
type requestTable struct {
	// mu guards entries.
	mu      sync.Mutex
	entries map[net.Conn]entry
}

// recordState follows the states of connections: one is active from the first byte of a
// request until its answer has been written.
func (t *requestTable) recordState(c net.Conn, s fasthttp.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch s {
	case fasthttp.StateActive:
		t.entries[c] = entry{state: Arriving, since: clock.Now()}
	case fasthttp.StateIdle, fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(t.entries, c)
	}
}

// reach records the state that the request of a connection has reached.
func (t *requestTable) reach(c fiber.Ctx, s State) {
	conn, id := c.RequestCtx().Conn(), c.GetRespHeader(RequestIDHeader)
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[conn]; ok {
		e.request, e.state = id, s
		t.entries[conn] = e
	}
}

// count returns the number of requests without a whole answer.
func (t *requestTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// list returns the requests without a whole answer, the oldest one first.
func (t *requestTable) list() []Unanswered {
	t.mu.Lock()
	entries := maps.Clone(t.entries)
	t.mu.Unlock()
	now := clock.Now()
	list := make([]Unanswered, 0, len(entries))
	for c, e := range entries {
		list = append(list, Unanswered{Request: e.request, Caller: c.RemoteAddr().String(), State: e.state, Age: now.Sub(e.since)})
	}
	slices.SortFunc(list, func(a, b Unanswered) int { return cmp.Compare(b.Age, a.Age) })
	return list
}
