package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// EngineOptions sets the size and speed of an engine.
type EngineOptions struct {
	Name string
	// Version is the version of the weights that the engine starts with.
	Version string
	// CachePieces is the capacity of the prefix cache in pieces.
	CachePieces int
	// PrefillTokensPerSecond is the prefill speed.
	PrefillTokensPerSecond float64
	// TokenMillis is the time between two tokens of an answer.
	TokenMillis float64
	// BatchShare is how much longer a token takes per other running request, as
	// a share of TokenMillis.
	BatchShare float64
	// TransferMillis is the time to send one cached piece.
	TransferMillis float64
	// Slots is the maximum number of concurrent requests.
	Slots int
	// AnswerTokens is the length of the answer if the request sets no limit.
	AnswerTokens int
	// ChecksFence rejects orders with an old fencing number.
	ChecksFence bool
	// WeightStore is the base URL of the weight store, or "" for none.
	WeightStore string
}

// DefaultEngineOptions returns the options of an engine like those of today's
// users.
func DefaultEngineOptions(name string) EngineOptions {
	return EngineOptions{
		Name: name, Version: "v1", CachePieces: 256,
		PrefillTokensPerSecond: 40_000, TokenMillis: 5, BatchShare: 0.02,
		TransferMillis: 2, Slots: 16, AnswerTokens: 32,
	}
}

// EngineFaults are the faults that a test or a person injects into an engine.
type EngineFaults struct {
	// SlowFactor multiplies the time of every token; 0 means 1.
	SlowFactor float64
	// Frozen holds back all answers and tokens until it is reset.
	Frozen bool
	// CutAfterTokens truncates streams after this many tokens; 0 means never.
	CutAfterTokens int
	// OmitEnd omits the end marker of streams.
	OmitEnd bool
	// Leaving rejects new requests.
	Leaving bool
	// CrashOn is a text that crashes the engine if a prompt contains it.
	CrashOn string
	// Restart empties the cache and begins a new incarnation.
	Restart bool
	// EventLagMillis is the age of a cache event when it is first reported.
	EventLagMillis int
	// EventLoss is the share of cache events that are lost.
	EventLoss float64
	// LoadLagMillis is the age of the reported load.
	LoadLagMillis int
}

// EngineLoad is an engine's load report.
type EngineLoad struct {
	Name        string
	Incarnation int64
	Version     string
	Running     int
	Queued      int
	Leaving     bool
	// Loading reports whether the engine is reloading and accepts no requests.
	Loading  bool
	Fence    int64
	Role     string
	Adapters []string
}

// Engine stands in for a model engine with a prefix cache.
type Engine struct {
	*Server

	options EngineOptions
	slots   *prioritySemaphore
	prefill *prioritySemaphore

	// mu guards the fields below.
	mu          sync.Mutex
	incarnation int64
	version     string
	cache       *pieceCache
	history     *reportHistory
	counts      EngineCounts
	running     int
	queued      int
	faults      EngineFaults
	// unfrozen closes at the end of a freeze; nil means not frozen.
	unfrozen    chan struct{}
	cancelFuncs map[string]context.CancelFunc
	orders      orders
}

// NewEngine serves an engine on an address until the context ends.
func NewEngine(ctx context.Context, address string, options EngineOptions) (*Engine, error) {
	e := &Engine{
		options:     options,
		slots:       newPrioritySemaphore(options.Slots),
		prefill:     newPrioritySemaphore(1),
		incarnation: time.Now().UnixNano(),
		version:     options.Version,
		cancelFuncs: map[string]context.CancelFunc{},
	}
	e.emptyCache()
	app := newApp()
	app.Post("/faults", e.setFaults)
	app.Use(e.holdWhileFrozen)
	app.Post("/v1/chat/completions", e.complete)
	app.Post("/v1/completions", e.complete)
	app.Get("/control/load", e.load)
	app.Get("/control/events", e.events)
	app.Get("/counts", e.listCounts)
	app.Post("/control/cancel", e.cancel)
	app.Post("/control/orders", e.order)
	app.Get("/control/orders", e.listStartedOrders)
	app.Get("/kv/:piece", e.piece)
	app.Post("/control/import", e.importPieces)
	app.Post("/control/export", e.exportPieces)
	var err error
	e.Server, err = newServer(ctx, address, app)
	return e, err
}

func (e *Engine) setFaults(c fiber.Ctx) error {
	var f EngineFaults
	if err := c.Bind().JSON(&f); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.Restart {
		e.incarnation = time.Now().UnixNano()
		e.emptyCache()
		f.Restart = false
	}
	e.freeze(f.Frozen)
	e.faults = f
	return c.JSON(f)
}

func (e *Engine) load(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(e.reportedLoad())
}

func (e *Engine) cancel(c fiber.Ctx) error {
	var order struct{ Attempt string }
	if err := c.Bind().JSON(&order); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if stop, ok := e.cancelFuncs[order.Attempt]; ok {
		stop()
	}
	return c.JSON(order)
}

// completionBody holds the fields of a request that an engine reads.
type completionBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
}

// completion is one request on an engine.
type completion struct {
	request  string
	attempt  string
	chat     bool
	model    string
	seed     uint64
	from, to int
	priority int
	faults   EngineFaults
}

func (e *Engine) complete(c fiber.Ctx) error {
	c.Set("X-Attempt-Id", c.Get("X-Attempt-Id"))
	var body completionBody
	if err := c.Bind().JSON(&body); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	f, incarnation, version := e.snapshot()
	if reason := e.refuse(c, f, incarnation, version); reason != "" {
		c.Set("X-Not-Started", "true")
		return fiber.NewError(http.StatusServiceUnavailable, reason)
	}
	prompt := promptOf(body)
	if f.CrashOn != "" && contains(prompt, f.CrashOn) {
		e.crash()
		return c.RequestCtx().Conn().Close()
	}
	scope := prefix.Scope{Account: c.Get("X-Cache-Salt"), Model: body.Model, Weights: version}
	r := completion{
		request: c.Get("X-Request-Id"), attempt: c.Get("X-Attempt-Id"), model: body.Model,
		chat: len(body.Messages) > 0, seed: seedOf(scope, prompt), to: body.MaxTokens, faults: f,
	}
	if r.to == 0 {
		r.to = e.options.AnswerTokens
	}
	if after := c.Get("X-Resume-After"); after != "" {
		r.from, _ = strconv.Atoi(after)
	}
	r.priority, _ = strconv.Atoi(c.Get("X-Priority"))
	ctx, stop := context.WithCancel(context.Background())
	if !e.admit(ctx, r, stop) {
		return fiber.NewError(http.StatusServiceUnavailable, "cancelled")
	}
	cached, completed := e.process(ctx, scope, prompt, r)
	if !completed {
		e.release(r.attempt, stop)
		return fiber.NewError(http.StatusServiceUnavailable, "cancelled")
	}
	c.Set("X-Incarnation", strconv.FormatInt(incarnation, 10))
	c.Set("X-Weights", version)
	c.Set("X-Cached-Tokens", strconv.Itoa(cached))
	c.Set("Content-Type", "text/event-stream")
	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer e.release(r.attempt, stop)
		e.writeStream(ctx, w, r)
	})
}

// refuse returns why a request can't be started, or "".
func (e *Engine) refuse(c fiber.Ctx, f EngineFaults, incarnation int64, version string) string {
	if f.Leaving {
		return "leaving"
	}
	if reason := e.orderRefusal(); reason != "" {
		return reason
	}
	if want := c.Get("X-Expect-Incarnation"); want != "" && want != strconv.FormatInt(incarnation, 10) {
		return "another incarnation"
	}
	if want := c.Get("X-Expect-Weights"); want != "" && want != version {
		return "other weights"
	}
	return ""
}

func (e *Engine) snapshot() (EngineFaults, int64, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults, e.incarnation, e.version
}

// crash begins a new incarnation with an empty cache and cancels all requests.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation = time.Now().UnixNano()
	e.emptyCache()
	for _, stop := range e.cancelFuncs {
		stop()
	}
}

// writeStream streams the tokens of an answer.
func (e *Engine) writeStream(ctx context.Context, w *bufio.Writer, r completion) {
	for position := r.from + 1; position <= r.to; position++ {
		if !e.sleep(ctx, e.tokenTime()) {
			return
		}
		if r.faults.CutAfterTokens > 0 && position > r.faults.CutAfterTokens {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", position, r.chunk(position))
		if w.Flush() != nil {
			return
		}
	}
	if !r.faults.OmitEnd {
		fmt.Fprint(w, "data: [DONE]\n\n")
		_ = w.Flush()
	}
}

// chunk returns the JSON of one token.
func (r completion) chunk(position int) []byte {
	text := fmt.Sprintf("w%03d ", (r.seed+uint64(position)*2654435761)%1000)
	var finish any
	if position == r.to {
		finish = "stop"
	}
	choice := map[string]any{"index": 0, "finish_reason": finish}
	object, id := "text_completion", "cmpl-"+r.request
	if r.chat {
		object, id = "chat.completion.chunk", "chatcmpl-"+r.request
		choice["delta"] = map[string]any{"content": text}
	} else {
		choice["text"] = text
	}
	raw, _ := json.Marshal(map[string]any{"id": id, "object": object, "model": r.model, "choices": []any{choice}})
	return raw
}

// seedOf derives the seed of an answer from the model, the weights and the
// prompt, so that the same request has the same answer.
func seedOf(s prefix.Scope, prompt []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s.Model + "\x00" + s.Weights + "\x00"))
	_, _ = h.Write(prompt)
	return h.Sum64() % 1000
}
