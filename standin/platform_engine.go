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
	"time"
)

// PlatformEngine stands in for an engine or a plain service of the users'
// platform.
type PlatformEngine struct {
	// ID names this start of it, Model is "" for a plain service.
	ID, Service, Zone, Model string
	// Advertised, if set, is the IP:port in its entry instead of its own.
	Advertised string

	server   *http.Server
	listener net.Listener
	born     int64
	// mu guards the fields below.
	mu      sync.Mutex
	weights int64
	// accepted counts accepted orders.
	accepted int64
	beat     int64
	leaving  bool
	fault    PlatformFault
	faults   int
	ran      map[string]int
	seen     []http.Header
	// answers are when they came and what their answers said of the engine.
	answers []PlatformArrival
	orders  []PlatformOrder
	left    int
	// cached are the parts that it holds, events the news of them, told closes
	// with the next.
	cached map[cachePart]bool
	events []platformEvent
	told   chan struct{}
	// running are the streams that run by request, each with what ends it when
	// it is moved, memories those of runs that can go on here.
	running   map[string]chan struct{}
	memories  map[string]bool
	continued int
	pace      time.Duration
	// crash is what ends the engine, if set.
	crash *platformCrash
	// ask is what it answers to requests until askUntil instead of running them.
	ask      string
	askUntil time.Time
	// said tells that its answers to requests say that it leaves, reported
	// that those about itself do.
	said, reported bool
}

// PlatformFault is what goes wrong with the next requests.
type PlatformFault int

// The faults.
const (
	// NoFault answers as it should.
	NoFault PlatformFault = iota
	// ResetFault ends the connection before the answer, after the run.
	ResetFault
	// CutFault ends a stream in the middle of its second event.
	CutFault
	// FullFault turns the request away.
	FullFault
	// ErrorFault answers with an error of its own.
	ErrorFault
	// ExtraFault sends a second answer after the first.
	ExtraFault
	// SilentFault runs the request and never answers.
	SilentFault
	// UncertifiedFault answers without a signature.
	UncertifiedFault
	// LostOrderFault carries an order out without answering it.
	LostOrderFault
	// GoneFault turns the request away as another engine at the same address.
	GoneFault
	// PauseFault stops for some seconds after the first event of a stream.
	PauseFault
	// NoRoomFault stops a run that is to move and keeps its memory.
	NoRoomFault
)

// NewPlatformEngine starts an engine with weights 1.
func NewPlatformEngine(id, service, zone, model string) (*PlatformEngine, error) {
	return NewPlatformEngineAt("127.0.0.1:0", id, service, zone, model)
}

// NewPlatformEngineAt starts an engine with weights 1 at an address, where
// one that has crashed may have listened before.
func NewPlatformEngineAt(address, id, service, zone, model string) (*PlatformEngine, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	e := &PlatformEngine{ID: id, Service: service, Zone: zone, Model: model, listener: listener, weights: 1, born: time.Now().UnixMilli(), ran: map[string]int{},
		cached: map[cachePart]bool{}, told: make(chan struct{}), running: map[string]chan struct{}{}, memories: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.aboutItself(e.report))
	mux.HandleFunc("POST /order", e.aboutItself(e.order))
	mux.HandleFunc("GET /kv-events", e.aboutItself(e.cacheEvents))
	mux.HandleFunc("POST /kv-move", e.aboutItself(e.move))
	mux.HandleFunc("POST /keep", e.keep)
	mux.HandleFunc("POST /memory", e.memory)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// Address returns the engine's IP:port.
func (e *PlatformEngine) Address() string { return e.listener.Addr().String() }

// Close crashes the engine.
func (e *PlatformEngine) Close() { _ = e.server.Close() }

// Fail makes the next requests go wrong.
func (e *PlatformEngine) Fail(f PlatformFault, times int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.faults = f, times
}

// Load gives the engine weights without an order.
func (e *PlatformEngine) Load(number int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.weights = number
}

// Leave makes the next entry say that the engine is leaving.
func (e *PlatformEngine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SayLeaving makes all further answers to requests say that the engine leaves.
func (e *PlatformEngine) SayLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.said = true
}

// ReportLeaving makes all further answers about the engine itself say that it
// leaves.
func (e *PlatformEngine) ReportLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reported = true
}

// aboutItself says with an answer to a call about the engine what it says of
// itself.
func (e *PlatformEngine) aboutItself(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		if e.reported {
			w.Header().Set("Server-Leaving", "1")
		}
		e.mu.Unlock()
		h(w, r)
	}
}

// AskForTime turns requests away for a time, and asks with the text given for
// none to be sent.
func (e *PlatformEngine) AskForTime(text string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ask, e.askUntil = text, time.Now().Add(d)
}

// Ran returns how often requests ran, by their ids.
func (e *PlatformEngine) Ran() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := map[string]int{}
	for id, n := range e.ran {
		all[id] = n
	}
	return all
}

// Seen returns the heads of the requests that reached the engine.
func (e *PlatformEngine) Seen() []http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]http.Header{}, e.seen...)
}

// Weights returns the number of the loaded weights.
func (e *PlatformEngine) Weights() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.weights
}

// PlatformOrder is an order that came.
type PlatformOrder struct {
	Fence  int64
	Holder string
	At     time.Time
}

// Orders returns the orders that came.
func (e *PlatformEngine) Orders() []PlatformOrder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]PlatformOrder{}, e.orders...)
}

// Entry returns what the engine writes of itself in the store.
func (e *PlatformEngine) Entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beat++
	state := "ready"
	if e.leaving {
		state = "draining"
	}
	entry := map[string]any{
		"service": e.Service, "address": cmp.Or(e.Advertised, e.Address()), "zone": e.Zone, "version": "v1", "slots": 64, "state": state,
		"cold_remaining_ms": 0, "seq": e.beat, "born": e.born,
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
	platformJSON(w, http.StatusOK, map[string]any{"stage": "unified", "models": e.models(), "busy": false, "seq": e.accepted, "born": e.born})
}

func (e *PlatformEngine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Version      int64  `json:"version"`
		Holder       string `json:"holder"`
		FencingToken int64  `json:"fencing_token"`
		Expected     *int64 `json:"expected"`
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
	e.orders = append(e.orders, PlatformOrder{o.FencingToken, o.Holder, time.Now()})
	if o.Expected != nil && *o.Expected != e.accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.accepted++
	e.weights = o.Version
	for p := range e.cached {
		e.note("-", p, 0)
	}
	if e.takeFault(LostOrderFault) {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusAccepted)
}

// takeFault uses up one of the faults of a kind. The caller holds mu.
func (e *PlatformEngine) takeFault(f PlatformFault) bool {
	if e.fault != f || e.faults == 0 {
		return false
	}
	e.faults--
	return true
}

// turnedAway answers a request that does not run, and tells whether it did.
func (e *PlatformEngine) turnedAway(w http.ResponseWriter, r *http.Request) bool {
	status := 0
	instance, version := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Expect-Version")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen = append(e.seen, r.Header.Clone())
	arrival := PlatformArrival{At: time.Now(), Leaving: e.said}
	defer func() { e.answers = append(e.answers, arrival) }()
	if e.said {
		w.Header().Set("Server-Leaving", "1")
	}
	switch {
	case time.Now().Before(e.askUntil):
		w.Header().Set("Retry-After", e.ask)
		if seconds, err := strconv.ParseFloat(e.ask, 64); err == nil {
			arrival.Asked = time.Duration(seconds * float64(time.Second))
		}
		status = http.StatusServiceUnavailable
	case instance != "" && instance != e.ID, version != "" && version != strconv.FormatInt(e.weights, 10):
		status = http.StatusMisdirectedRequest
	case e.takeFault(FullFault):
		status = http.StatusServiceUnavailable
	case e.takeFault(GoneFault):
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", "another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	case r.Header.Get("Kv-From") != "":
		if e.takeMemory(r.Header.Get("Kv-From")) {
			return false // the same run
		}
		status = http.StatusServiceUnavailable
	default:
		e.ran[r.Header.Get("X-Attempt-Id")]++
		e.keepParts(r.Header)
		return false
	}
	w.Header().Set("X-Not-Executed", "1")
	w.Header().Set("X-Instance-Id", e.ID)
	w.WriteHeader(status)
	return true
}

// serve runs a request.
func (e *PlatformEngine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if e.turnedAway(w, r) {
		return
	}
	e.mu.Lock()
	fault := NoFault
	if e.fault != LostOrderFault && e.fault != NoRoomFault && e.takeFault(e.fault) {
		fault = e.fault
	}
	weights := e.weights
	e.mu.Unlock()
	if fault != UncertifiedFault {
		w.Header().Set("X-Response-Stamp", e.ID+"."+id)
	}
	e.crashNow(w, r, BeforeHead)
	switch fault {
	case ResetFault:
		panic(http.ErrAbortHandler)
	case SilentFault:
		<-r.Context().Done()
		e.mu.Lock()
		e.left++
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	case ErrorFault:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case ExtraFault:
		e.extra(w, id, plainAnswer(r, body))
		return
	}
	if e.Model == "" {
		_, _ = io.WriteString(w, plainAnswer(r, body))
		return
	}
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(weights, 10))
	e.crashNow(w, r, AfterHead)
	e.stream(w, r, fault)
}

// plainAnswer returns the body of a plain service's answer.
func plainAnswer(r *http.Request, body []byte) string {
	return fmt.Sprintf("%s %s %s", r.Method, r.URL.Path, body)
}

// extra sends a second answer after the first.
func (e *PlatformEngine) extra(w http.ResponseWriter, id, body string) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	for _, text := range []string{body, "more"} {
		fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, e.ID, id, len(text), text)
	}
	_ = buffered.Flush()
	time.Sleep(100 * time.Millisecond)
}

// platformEvents is how many events a stream has.
const platformEvents = 6

// pauseTime is how long a stream pauses, longer than hosts wait for an event
// where the objective is a second.
const pauseTime = 2800 * time.Millisecond

// stream sends events after the one that the caller has.
func (e *PlatformEngine) stream(w http.ResponseWriter, r *http.Request, fault PlatformFault) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	id, stop := r.Header.Get("X-Attempt-Id"), make(chan struct{})
	e.mu.Lock()
	pace := e.pace
	e.running[id] = stop
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.running[id] == stop {
			delete(e.running, id)
		}
	}()
	for i := after + 1; i <= platformEvents; i++ {
		if i > after+1 {
			select {
			case <-stop:
				panic(http.ErrAbortHandler)
			case <-time.After(pace):
			}
		}
		if fault == CutFault && i == after+2 {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(i)+"\nda")
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		writeEvent(w, i)
		_ = flush.Flush()
		e.crashNow(w, r, AfterEvent)
		if fault == PauseFault && i == after+1 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(pauseTime):
			}
		}
	}
}

// LeftBy returns how many silent requests were given up by their sender.
func (e *PlatformEngine) LeftBy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}
