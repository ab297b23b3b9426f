package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

const (
	// loadTime is how long the store takes to send weights to one engine.
	loadTime = 300 * time.Millisecond
	// fullSpeedLoads is how many engines load concurrently without slowing each
	// other down.
	fullSpeedLoads = 2
	// loadsPerSecond limits the loads that the store starts.
	loadsPerSecond = 20
)

// WeightsFaults are the faults that a test or a person injects into the weight
// store.
type WeightsFaults struct {
	// Refuse answers every load with 429.
	Refuse bool
}

// WeightsCounts counts the loads of the store.
type WeightsCounts struct {
	Loads, Refused int
	// Most is the highest number of concurrent loads.
	Most int
}

// WeightStore stands in for the platform's weight store.
type WeightStore struct {
	*Server

	// mu guards the fields below.
	mu     sync.Mutex
	faults WeightsFaults
	counts WeightsCounts
	active int
	recent []time.Time
}

// NewWeightStore serves a weight store on an address until the context ends.
func NewWeightStore(ctx context.Context, address string) (*WeightStore, error) {
	w := &WeightStore{}
	app := newApp()
	app.Post("/weights/:version", w.load)
	app.Get("/counts", w.listCounts)
	app.Post("/faults", w.setFaults)
	var err error
	w.Server, err = newServer(ctx, address, app)
	return w, err
}

func (w *WeightStore) setFaults(c fiber.Ctx) error {
	var f WeightsFaults
	if err := c.Bind().JSON(&f); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
	return c.JSON(f)
}

func (w *WeightStore) listCounts(c fiber.Ctx) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.JSON(w.counts)
}

// load sends weights, more slowly if many engines load.
func (w *WeightStore) load(c fiber.Ctx) error {
	active, ok := w.begin()
	if !ok {
		return c.SendStatus(http.StatusTooManyRequests)
	}
	time.Sleep(loadTime * time.Duration(max(active, fullSpeedLoads)) / fullSpeedLoads)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active--
	return c.SendString(c.Params("version"))
}

// begin starts a load unless the store refuses it, and returns the number of
// active loads.
func (w *WeightStore) begin() (active int, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for len(w.recent) > 0 && now.Sub(w.recent[0]) > time.Second {
		w.recent = w.recent[1:]
	}
	if w.faults.Refuse || len(w.recent) >= loadsPerSecond {
		w.counts.Refused++
		return 0, false
	}
	w.recent = append(w.recent, now)
	w.active++
	w.counts.Loads++
	w.counts.Most = max(w.counts.Most, w.active)
	return w.active, true
}
