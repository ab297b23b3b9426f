package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// PlatformEngine stands in for an engine or a plain service of the users'
// platform.
type PlatformEngine struct {
	// ID identifies this incarnation. Model is "" for a plain service.
	ID, Service, Zone, Model string
	// Advertised, if set, replaces the engine's own IP:port in its entry.
	Advertised string
	// Software is the version of the engine's software. MarksEvents puts it into a
	// comment in front of each event.
	Software string
	// Slots is the number of requests that it runs at a time, according to its entry.
	Slots       int
	MarksEvents bool

	server      *http.Server
	listener    net.Listener
	startMillis int64
	// copies is the fault of refusals that are sent more than once, sentCopies counts
	// the copies.
	copies     atomic.Pointer[RefusalCopies]
	sentCopies atomic.Int64
	// mu guards the fields below.
	mu      sync.Mutex
	weights int64
	// accepted counts accepted orders.
	accepted        int64
	heartbeat       int64
	leaving         bool
	fault           PlatformFault
	remainingFaults int
	executions      map[string]int
	requestHeaders  []http.Header
	// arrivals match requestHeaders; Arrivals adds the fields from the headers.
	arrivals  []PlatformArrival
	orders    []PlatformOrder
	abandoned int
	// cached holds the cached parts and events their changes. eventAdded closes
	// when an event is added.
	cached     map[cachePart]bool
	events     []platformEvent
	eventAdded chan struct{}
	// running maps the attempt ID of each running stream to a channel that stops
	// it when it is migrated. memoryHandles holds the handles of runs that can
	// resume here, keptMemory those of runs that stopped here and can resume here or
	// at the engine that got the copy.
	running                   map[string]chan struct{}
	memoryHandles, keptMemory map[string]bool
	// movedTo maps the handles of runs that moved to the addresses of their targets.
	movedTo map[string]string
	// moves counts the runs that stopped to move, received the copies from other
	// engines; moveTime is how long a copy takes.
	moves, received int
	moveTime        time.Duration
	resumed         int
	eventInterval   time.Duration
	// prefill is the time to the first event or a plain answer, eventCount the number
	// of events of a stream; 0 means eventsPerStream.
	prefill    time.Duration
	eventCount int
	// working counts the requests that were admitted and have not ended.
	working int
	// runCount counts the runs, observeRun is called when one begins and ends,
	// observeRefusal when a request is refused.
	runCount       int
	observeRun     func(PlatformRun)
	observeRefusal func(PlatformArrival)
	// crash, if set, is the crash that a request triggers.
	crash *platformCrash
	// retryAfter is the Retry-After text with which requests are rejected until
	// rejectUntil.
	retryAfter  string
	rejectUntil time.Time
	// leavingToRequests and leavingToControlCalls report whether the answers to
	// requests and to control calls say that the engine is leaving.
	leavingToRequests, leavingToControlCalls bool
	// resumedAnswer, if set, replaces the answers to resumed streams.
	resumedAnswer string
	// limit is the text with which all answers name the engine's limit, or "".
	limit string
	// brittle is set if the engine falls over after a few rejections.
	brittle *platformBrittle
	// loadTime is how long a load of weights takes, loading is set while an order is
	// executed.
	loadTime time.Duration
	loading  bool
	// rejectedWhileLoading and ordersWhileLoading count what arrived meanwhile.
	rejectedWhileLoading, ordersWhileLoading int
}

// NewPlatformEngine starts an engine with weights version 1.
func NewPlatformEngine(id, service, zone, model string) (*PlatformEngine, error) {
	return NewPlatformEngineAt("127.0.0.1:0", id, service, zone, model)
}

// NewPlatformEngineAt starts an engine with weights version 1 at an address,
// which may be that of a crashed engine.
func NewPlatformEngineAt(address, id, service, zone, model string) (*PlatformEngine, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &PlatformEngine{ID: id, Service: service, Zone: zone, Model: model, Software: "v1", Slots: defaultSlots, listener: listener, weights: 1, startMillis: time.Now().UnixMilli(), executions: map[string]int{},
		cached: map[cachePart]bool{}, eventAdded: make(chan struct{}), running: map[string]chan struct{}{}, memoryHandles: map[string]bool{}, keptMemory: map[string]bool{}, movedTo: map[string]string{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.controlCall(e.report))
	mux.HandleFunc("POST /order", e.controlCall(e.order))
	mux.HandleFunc("GET /kv-events", e.controlCall(e.cacheEvents))
	mux.HandleFunc("POST /kv-move", e.controlCall(e.move))
	mux.HandleFunc("POST /keep", e.saveParts)
	mux.HandleFunc("POST /memory", e.receiveMemory)
	mux.HandleFunc("DELETE /kv-handle/{id}", e.controlCall(e.freeMemory))
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: e.copyRefusals(mux), ConnContext: withConn}
	go func() { _ = e.server.Serve(copyingListener{listener, e}) }()
	return e, nil
}

// Address returns the engine's IP:port.
func (e *PlatformEngine) Address() string { return e.listener.Addr().String() }

// Close crashes the engine.
func (e *PlatformEngine) Close() { _ = e.server.Close() }

// Fail applies a fault to the given number of requests.
func (e *PlatformEngine) Fail(f PlatformFault, times int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.remainingFaults = f, times
}

// Load sets the engine's weights version without an order.
func (e *PlatformEngine) Load(number int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = number
}

// Leave makes later entries say that the engine is draining.
func (e *PlatformEngine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// RejectWithRetryAfter rejects requests for the duration d with the given
// Retry-After text.
func (e *PlatformEngine) RejectWithRetryAfter(text string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter, e.rejectUntil = text, time.Now().Add(d)
}

// Ran returns how often each request was executed, by attempt ID.
func (e *PlatformEngine) Ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[string]int{}
	for id, n := range e.executions {
		all[id] = n
	}
	return all
}

// Seen returns the headers of the requests that reached the engine.
func (e *PlatformEngine) Seen() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header{}, e.requestHeaders...)
}

// Weights returns the loaded weights version.
func (e *PlatformEngine) Weights() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// PlatformOrder is an order that the engine received.
type PlatformOrder struct {
	Fence  int64
	Holder string
	At     time.Time
	// Accepted means that the engine carried it out.
	Accepted bool
}

// Orders returns the orders that the engine received.
func (e *PlatformEngine) Orders() []PlatformOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]PlatformOrder{}, e.orders...)
}

// Entry returns the engine's entry for the store, with the next heartbeat.
func (e *PlatformEngine) Entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeat++
	state, address := "ready", e.Advertised
	if e.leaving {
		state = "draining"
	}
	if address == "" {
		address = e.Address()
	}
	entry := map[string]any{
		"service": e.Service, "address": address, "zone": e.Zone, "version": e.Software, "slots": e.Slots, "state": state,
		"cold_remaining_ms": 0, "seq": e.heartbeat, "born": e.startMillis,
	}
	if e.Model != "" {
		entry["stage"], entry["models"] = "unified", e.models()
	}
	return entry
}

func (e *PlatformEngine) models() []map[string]any {
	return []map[string]any{{"name": e.Model, "version": e.weights, "adapters": []any{}}}
}

func (e *PlatformEngine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	platformJSON(w, http.StatusOK, map[string]any{"stage": "unified", "models": e.models(), "busy": e.loading, "running": len(e.running), "seq": e.accepted, "born": e.startMillis})
}

func (e *PlatformEngine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version      int64  `json:"version"`
		Holder       string `json:"holder"`
		FencingToken int64  `json:"fencing_token"`
		Expected     *int64 `json:"expected"`
		SwitchMode   string `json:"switch_mode"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if instance := r.Header.Get("X-Expect-Instance"); instance != "" && instance != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, PlatformOrder{Fence: o.FencingToken, Holder: o.Holder, At: time.Now()})
	if e.loading {
		e.ordersWhileLoading++
	}
	if e.loading || o.Expected != nil && *o.Expected != e.accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if o.SwitchMode == "" {
		o.SwitchMode = waitMode
	}
	e.accepted++
	e.orders[len(e.orders)-1].Accepted = true
	e.load(o.Version, o.SwitchMode)
	if e.takeFault(LostOrderFault) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// takeFault reports whether the current fault is f and still applies, and
// counts it as applied. The caller holds mu.
func (e *PlatformEngine) takeFault(f PlatformFault) bool {
	if e.fault != f || e.remainingFaults == 0 {
		return false
	}
	e.remainingFaults--
	return true
}

// reject reports whether it answered a request instead of having it executed.
// Otherwise the caller executes the request.
func (e *PlatformEngine) reject(w http.ResponseWriter, r *http.Request) bool {
	status := 0
	instance, version := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Expect-Version")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestHeaders = append(e.requestHeaders, r.Header.Clone())
	arrival := PlatformArrival{At: time.Now(), Leaving: e.leavingToRequests}
	defer func() {
		arrival.Refusal = status
		e.arrivals = append(e.arrivals, arrival)
		if e.observeRefusal != nil && status != 0 {
			e.observeRefusal(PlatformArrival{ID: r.Header.Get("X-Attempt-Id"), At: arrival.At, Refusal: status})
		}
	}()
	if e.leavingToRequests {
		w.Header().Set("Server-Leaving", "1")
	}
	e.setLimit(w)
	e.setBrittle(w)
	switch {
	case instance != "" && instance != e.ID:
		arrival.IsMisdirected = true
		status = http.StatusMisdirectedRequest
	case time.Now().Before(e.rejectUntil):
		w.Header().Set("Retry-After", e.retryAfter)
		if seconds, err := strconv.ParseFloat(e.retryAfter, 64); err == nil {
			arrival.RetryAfter = time.Duration(seconds * float64(time.Second))
		}
		status = http.StatusServiceUnavailable
	case version != "" && version != strconv.FormatInt(e.weights, 10):
		status = http.StatusMisdirectedRequest
	case e.loading:
		e.rejectedWhileLoading++
		status = http.StatusServiceUnavailable
	case !e.takeRoom(r), e.takeFault(FullFault):
		status = http.StatusServiceUnavailable
	case e.takeFault(OtherInstanceFault):
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", "another")
		status = http.StatusMisdirectedRequest
		w.WriteHeader(status)
		return true
	case r.Header.Get("Kv-From") != "":
		if e.takeMemory(r.Header.Get("Kv-From")) {
			return false // resumes a run that is already counted
		}
		status = http.StatusServiceUnavailable
	default:
		e.executions[r.Header.Get("X-Attempt-Id")]++
		e.cacheParts(r.Header)
		return false
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Instance-Id", e.ID)
	w.WriteHeader(status)
	return true
}

// serve executes a request.
func (e *PlatformEngine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if e.reject(w, r) || r.Header.Get("Last-Event-Id") != "" && e.sendResumedAnswer(w, id) {
		return
	}
	defer e.beginRun(r)()
	e.mu.Lock()
	fault := NoFault
	if !e.fault.concernsCalls() && e.takeFault(e.fault) {
		fault = e.fault
	}
	weights := e.weights
	e.mu.Unlock()
	if fault != UncertifiedFault {
		w.Header().Set("X-Response-Stamp", e.ID+"."+id)
	}
	e.crashIfAt(w, r, BeforeHead)
	if e.applyFault(w, r, fault, id, body) {
		return
	}
	defer e.work()()
	if !e.awaitPrefill(r) {
		return
	}
	if e.Model == "" {
		_, _ = io.WriteString(w, plainAnswer(r, body))
		return
	}
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(weights, 10))
	e.crashIfAt(w, r, AfterHead)
	e.stream(w, r, fault)
}

// applyFault reports whether a fault took the place of the answer to a request.
func (e *PlatformEngine) applyFault(w http.ResponseWriter, r *http.Request, fault PlatformFault, id string, body []byte) bool {
	switch fault {
	case ResetFault:
		panic(http.ErrAbortHandler)
	case SilentFault:
		<-r.Context().Done()
		e.mu.Lock()
		e.abandoned++
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	case ErrorFault, RanTimeoutFault, RanLimitedFault, RanFullFault:
		w.WriteHeader(ranStatuses[fault])
	case UnframedFault, UnframedCutFault, UnframedEmptyFault, InvalidHeadFault:
		e.sendUnframed(w, r, fault, plainAnswer(r, body))
	case ExtraFault:
		e.sendTwoAnswers(w, id, plainAnswer(r, body))
	default:
		return false
	}
	return true
}

// plainAnswer returns the body of a plain service's answer.
func plainAnswer(r *http.Request, body []byte) string {
	return fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)
}

// eventsPerStream is the number of events of a stream.
const eventsPerStream = 6

// streamPause is how long a stream pauses with a PauseFault: longer than hosts
// wait for an event when the latency objective is one second.
const streamPause = 2800 * time.Millisecond

// stream sends the events after the last one that the caller has received.
func (e *PlatformEngine) stream(w http.ResponseWriter, r *http.Request, fault PlatformFault) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	id, stop := r.Header.Get("X-Attempt-Id"), make(chan struct{})
	e.mu.Lock()
	pace, count := e.eventInterval, cmp.Or(e.eventCount, eventsPerStream)
	e.running[id] = stop
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[id] == stop {
			delete(e.running, id)
		}
	}()
	for i := after + 1; i <= count; i++ {
		if i > after+1 {
			select {
			case <-stop:
				panic(http.ErrAbortHandler)
			case <-r.Context().Done():
				return
			case <-time.After(pace):
			}
		}
		if fault == CutFault && i == after+2 {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\nda")
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		e.writeEvent(w, i)
		_ = flush.Flush()
		e.crashIfAt(w, r, AfterEvent)
		if fault == PauseFault && i == after+1 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(streamPause):
			}
		}
	}
}

// AbandonedRequests returns how many requests with a SilentFault were given up
// by their sender.
func (e *PlatformEngine) AbandonedRequests() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.abandoned
}
