package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// modelName is the model of all engines, serviceName their service.
const (
	modelName   = "m0"
	serviceName = "matcher-models"
)

// partKey identifies a cached part, as engines find it: by salt, part and model.
type partKey struct{ salt, part string }

// engine is a sound model engine with one model: it streams events, reports, takes
// orders and caches the parts of prompts.
type engine struct {
	*trial

	id, address, zone string
	// events is the number of events of a stream.
	events int
	// onLoaded, if set, is called when the engine has loaded weights.
	onLoaded func(*engine)

	server *http.Server
	born   int64
	// mu guards the fields below.
	mu sync.Mutex
	// pace is the time between two events.
	pace time.Duration
	// slowFactor is by how much events take longer.
	slowFactor float64
	// makers holds the account whose request made each cached part.
	makers map[partKey]string
	reused []reuse
	// weights is the loaded version, accepted counts the accepted orders, and loading
	// is set while one is carried out.
	weights, accepted int64
	loading           bool
	orders            []order
	heartbeat         int
	// begun holds the requests that the engine began to run.
	begun map[string]bool
	// slots is the number of requests that run at a time, 0 for any; running counts
	// them. Further requests wait.
	slots, running int
	// starts holds when requests began, and on which weights.
	starts []start
}

// start is the begin of a run.
type start struct {
	attempt string
	weights int64
	at      time.Time
}

// pollTime is the time between two looks at an engine's state.
const pollTime = 2 * time.Millisecond

// loadTime is how long an engine loads weights.
const loadTime = 300 * time.Millisecond

// order is an order that reached an engine.
type order struct {
	engine string
	at     time.Time
	Holder string `json:"holder"`
	Token  int64  `json:"fencing_token"`
	// Version is the weights version to load, Expected the number of orders that the
	// engine must have accepted before.
	Version  int64  `json:"version"`
	Expected *int64 `json:"expected"`
}

// reuse is a use of a cached part by a request of another account.
type reuse struct{ attempt, account, maker, salt, part string }

// newEngine starts an engine on a free port.
func newEngine(t *trial, number, events int, pace time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		trial: t, id: fmt.Sprintf("i-%02d", number), address: listener.Addr().String(), zone: domains[number%len(domains)], events: events, pace: pace,
		born: time.Now().UnixMilli(), slowFactor: 1, makers: map[partKey]string{}, weights: 1, begun: map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /kv-events", e.cacheEvents)
	mux.HandleFunc("POST /kv-move", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

func (e *engine) close() { _ = e.server.Close() }

// entry returns the engine's next entry in the store.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeat++
	return map[string]any{
		"service": serviceName, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.entrySlots(), "state": "ready", "cold_remaining_ms": 0, "seq": e.heartbeat, "born": e.born,
		"stage": "unified", "models": e.models(),
	}
}

// entrySlots returns the number of slots in the entry. The caller holds mu.
func (e *engine) entrySlots() int {
	if e.slots == 0 {
		return 64
	}
	return e.slots
}

// started returns the runs that have begun.
func (e *engine) started() []start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]start{}, e.starts...)
}

// models returns the models as reports and entries hold them. The caller holds mu.
func (e *engine) models() []map[string]any {
	return []map[string]any{{"name": modelName, "version": e.weights, "adapters": []any{}}}
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, map[string]any{"stage": "unified", "models": e.models(), "busy": e.loading, "seq": e.accepted, "queued": 0, "running": e.running, "kv_used": 0, "kv_total": 225338, "handles": 0, "born": e.born})
}

// order takes an order to load weights.
func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	o := order{engine: e.id, at: time.Now()}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if instance := r.Header.Get("X-Expect-Instance"); instance != "" && instance != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	status := http.StatusAccepted
	switch {
	case e.weights >= o.Version:
		status = http.StatusOK
	case e.loading, o.Expected != nil && *o.Expected != e.accepted:
		status = http.StatusConflict
	default:
		e.accepted++
		e.loading = true
		go e.load(o.Version)
	}
	e.logf("engine %s: order of %s, token %d, for version %d: %d", e.id, o.Holder, o.Token, o.Version, status)
	w.WriteHeader(status)
}

// load loads weights once the requests that run have ended.
func (e *engine) load(version int64) {
	for busy := true; busy; time.Sleep(pollTime) {
		e.mu.Lock()
		busy = e.running > 0
		e.mu.Unlock()
	}
	time.Sleep(loadTime)
	e.mu.Lock()
	e.weights, e.loading = version, false
	clear(e.makers)
	e.mu.Unlock()
	if e.onLoaded != nil {
		e.onLoaded(e)
	}
}

// received returns the orders that reached the engine.
func (e *engine) received() []order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]order{}, e.orders...)
}

// hasLoaded reports whether the engine runs a weights version.
func (e *engine) hasLoaded(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights >= version
}

// cacheEvents answers that nothing is new, after the wait that the call asks for.
func (e *engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	if ms, err := strconv.Atoi(r.Header.Get("Wait-Ms")); err == nil {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(ms) * time.Millisecond):
		}
	}
	writeJSON(w, map[string]any{"boot_epoch": e.born, "next_token": 0, "lost": false, "events": []any{}})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// slow makes events take longer by a factor.
func (e *engine) slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowFactor = factor
}

// interval returns the time until the next event.
func (e *engine) interval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.pace) * e.slowFactor)
}

// serve runs a request and streams its events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	instance, weights := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Expect-Version")
	if instance != "" && instance != e.id || weights != "" && weights != e.version() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.await(r) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.end()
	w.Header().Set("X-Response-Stamp", e.id+"."+id)
	w.Header().Set("X-Weight-Versions", e.version())
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	began := time.Now()
	for i := after + 1; i <= e.events; i++ {
		select {
		case <-r.Context().Done():
			e.logf("engine %s: run of %s broken off by the sender after %d of %d events, %.1f s after it began", e.id, id, i-1, e.events, time.Since(began).Seconds())
			return
		case <-time.After(e.interval()):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil || flush.Flush() != nil {
			e.logf("engine %s: run of %s broken off by the sender after %d of %d events, %.1f s after it began", e.id, id, i, e.events, time.Since(began).Seconds())
			return
		}
	}
	e.logf("engine %s: run of %s complete, %.1f s", e.id, id, time.Since(began).Seconds())
}

// version returns the loaded weights version as text.
func (e *engine) version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strconv.FormatInt(e.weights, 10)
}

// await waits until a request can begin, and begins it. It returns false if the engine
// has accepted an order before, or if the sender has left.
func (e *engine) await(r *http.Request) bool {
	for r.Context().Err() == nil {
		e.mu.Lock()
		loading, begins := e.loading, !e.loading && (e.slots == 0 || e.running < e.slots)
		if begins {
			e.begin(r.Header)
		}
		e.mu.Unlock()
		if begins || loading {
			return begins
		}
		time.Sleep(pollTime)
	}
	return false
}

// end ends the run of a request.
func (e *engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// begin begins to run a request. It uses the cached parts of the prompt and caches the
// others, like an engine with room for all of them. The caller holds mu.
func (e *engine) begin(h http.Header) {
	account, salt := h.Get("X-Tenant"), h.Get("X-Cache-Salt")
	e.running++
	e.begun[h.Get("X-Attempt-Id")] = true
	e.starts = append(e.starts, start{h.Get("X-Attempt-Id"), e.weights, time.Now()})
	for part := range strings.SplitSeq(h.Get("X-Prompt-Prefix"), ",") {
		name, _, ok := strings.Cut(part, ":")
		if !ok {
			continue
		}
		key := partKey{salt, name}
		maker, cached := e.makers[key]
		if !cached {
			e.makers[key] = account
			continue
		}
		if maker != account {
			e.reused = append(e.reused, reuse{h.Get("X-Attempt-Id"), account, maker, salt, name})
		}
	}
}

// hasBegun reports whether the engine began to run a request.
func (e *engine) hasBegun(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun[id]
}

// reuses returns the uses of cached parts by requests of other accounts.
func (e *engine) reuses() []reuse {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]reuse{}, e.reused...)
}
