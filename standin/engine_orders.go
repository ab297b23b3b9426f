package standin

import (
	"net/http"
	"slices"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	// drainInterval is the poll interval while running requests finish.
	drainInterval = 5 * time.Millisecond
	// storeTimeout limits one load of weights from the weight store.
	storeTimeout = 10 * time.Second
)

// EngineOrder is an order to an engine.
type EngineOrder struct {
	Kind                   string
	Version, Adapter, Role string
	// Fence is the order's fencing number.
	Fence int64
}

// orders is the state of an engine that orders change. The engine's mutex
// guards it.
type orders struct {
	loading  bool
	leaving  bool
	fence    int64
	role     string
	adapters []string
	// started lists the load and role orders that the engine started to carry
	// out.
	started []EngineOrder
}

// order accepts an order, or rejects it with 409 if its fencing number is old.
func (e *Engine) order(c fiber.Ctx) error {
	var o EngineOrder
	if err := c.Bind().JSON(&o); err != nil {
		return fiber.NewError(http.StatusBadRequest, err.Error())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFence && o.Fence < e.orders.fence {
		return fiber.NewError(http.StatusConflict, "the order's fencing number is old")
	}
	if e.options.ChecksFence {
		e.orders.fence = o.Fence
	}
	if e.orders.loading {
		return fiber.NewError(http.StatusServiceUnavailable, "loading")
	}
	e.carryOut(o)
	return c.JSON(o)
}

// carryOut carries out an order. The caller holds mu.
func (e *Engine) carryOut(o EngineOrder) {
	switch {
	case o.Kind == "Leave":
		e.orders.leaving = true
	case o.Kind == "LoadAdapter" && !slices.Contains(e.orders.adapters, o.Adapter):
		e.orders.adapters = append(slices.Clone(e.orders.adapters), o.Adapter)
	case o.Kind == "Load" && o.Version != e.version, o.Kind == "SetRole" && o.Role != e.orders.role:
		e.orders.loading = true
		e.orders.started = append(e.orders.started, o)
		e.wait.Go(func() { e.reload(o) })
	}
}

// reload waits for running requests, carries out a load or role order, and
// begins a new incarnation with an empty cache. If the weight store doesn't send
// the weights, the engine stays unchanged.
func (e *Engine) reload(o EngineOrder) {
	for !e.runIfIdle(func() {}) {
		time.Sleep(drainInterval)
	}
	if o.Kind == "Load" && !e.fetch(o.Version) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.orders.loading = false
		return
	}
	for !e.runIfIdle(func() { e.apply(o) }) {
		time.Sleep(drainInterval)
	}
}

// runIfIdle calls a function under mu if no request is running or queued, and
// reports whether it did.
func (e *Engine) runIfIdle(run func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running+e.queued > 0 {
		return false
	}
	run()
	return true
}

// apply completes a reload. The caller holds mu.
func (e *Engine) apply(o EngineOrder) {
	if o.Kind == "SetRole" {
		e.orders.role = o.Role
	} else {
		e.version, e.orders.adapters = o.Version, nil
	}
	e.orders.loading = false
	e.incarnation = time.Now().UnixNano()
	e.cache = newPieceCache(e.options.CachePieces)
}

// fetch loads weights from the weight store and reports whether that succeeded.
// Without a weight store, it waits for loadTime.
func (e *Engine) fetch(version string) bool {
	if e.options.WeightStore == "" {
		time.Sleep(loadTime)
		return true
	}
	client := &http.Client{Timeout: storeTimeout}
	resp, err := client.Post(e.options.WeightStore+"/weights/"+version, "text/plain", nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// orderRefusal returns why orders keep the engine from accepting requests, or
// "".
func (e *Engine) orderRefusal() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.orders.loading:
		return "loading"
	case e.orders.leaving:
		return "leaving"
	}
	return ""
}

// listStartedOrders returns the load and role orders that the engine started
// to carry out.
func (e *Engine) listStartedOrders(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(struct{ Orders []EngineOrder }{e.orders.started})
}
