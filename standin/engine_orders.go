package standin

import (
	"net/http"
	"slices"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	// drainInterval is the time between two looks at whether requests ended.
	drainInterval = 5 * time.Millisecond
	// storeTimeout bounds one load of weights.
	storeTimeout = 10 * time.Second
)

// EngineOrder is an order to an engine.
type EngineOrder struct {
	Kind                   string
	Version, Adapter, Role string
	// Fence is the order's fencing number.
	Fence int64
}

// orders is what orders have made of an engine. The engine's mutex guards it.
type orders struct {
	loading  bool
	leaving  bool
	fence    int64
	role     string
	adapters []string
	// taken lists every order that was carried out.
	taken []EngineOrder
}

// order takes an order, or refuses it with 409 when its number is old.
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
	e.take(o)
	return c.JSON(o)
}

// take carries out an order. The caller holds mu.
func (e *Engine) take(o EngineOrder) {
	switch {
	case o.Kind == "Leave":
		e.orders.leaving = true
	case o.Kind == "LoadAdapter" && !slices.Contains(e.orders.adapters, o.Adapter):
		e.orders.adapters = append(slices.Clone(e.orders.adapters), o.Adapter)
	case o.Kind == "Load" && o.Version != e.version, o.Kind == "SetRole" && o.Role != e.orders.role:
		e.orders.loading = true
		e.orders.taken = append(e.orders.taken, o)
		e.wait.Go(func() { e.reload(o) })
	}
}

// reload finishes the requests that run, loads, and begins a new incarnation
// with an empty cache. Without an answer of the store the engine stays what
// it was.
func (e *Engine) reload(o EngineOrder) {
	for !e.idle(func() {}) {
		time.Sleep(drainInterval)
	}
	if o.Kind == "Load" && !e.fetch(o.Version) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.orders.loading = false
		return
	}
	for !e.idle(func() { e.apply(o) }) {
		time.Sleep(drainInterval)
	}
}

// idle runs a function under mu if no request runs or waits.
func (e *Engine) idle(run func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running+e.queued > 0 {
		return false
	}
	run()
	return true
}

// apply ends a reload. The caller holds mu.
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

// fetch reads weights from the store; without a store it takes as long.
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

// ordered returns why orders keep the engine from new work, or "".
func (e *Engine) ordered() string {
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

// ordersTaken lists the orders to load that the engine began to carry out.
func (e *Engine) ordersTaken(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return c.JSON(struct{ Orders []EngineOrder }{e.orders.taken})
}
