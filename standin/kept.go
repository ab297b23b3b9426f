package standin

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// KeptFaults are the faults that a test or a person injects into a kept store.
type KeptFaults struct {
	// Down refuses every call.
	Down bool
	// SlowMillis delays every call.
	SlowMillis int
	// Empty drops all pieces.
	Empty bool
}

// KeptCounts holds the number of stored pieces and counts the calls.
type KeptCounts struct{ Pieces, Reads, Misses, Writes int }

// KeptStore stands in for the kept store of a pool's KV cache.
type KeptStore struct {
	*Server

	capacity int
	// mu guards the fields below.
	mu     sync.Mutex
	cache  *pieceCache
	faults KeptFaults
	counts KeptCounts
}

// NewKeptStore serves a store with a capacity in pieces on an address until the
// context ends.
func NewKeptStore(ctx context.Context, address string, capacity int) (*KeptStore, error) {
	k := &KeptStore{capacity: capacity, cache: newPieceCache(capacity)}
	app := newApp()
	app.Get("/kv/:piece", k.read)
	app.Put("/kv/:piece", k.write)
	app.Get("/counts", k.listCounts)
	app.Post("/faults", k.setFaults)
	var err error
	k.Server, err = newServer(ctx, address, app)
	return k, err
}

func (k *KeptStore) setFaults(c fiber.Ctx) error {
	var f KeptFaults
	if err := c.Bind().JSON(&f); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.Empty {
		k.cache = newPieceCache(k.capacity)
		f.Empty = false
	}
	k.faults = f
	return c.JSON(f)
}

func (k *KeptStore) listCounts(c fiber.Ctx) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	counts := k.counts
	counts.Pieces = k.cache.order.Len()
	return c.JSON(counts)
}

func (k *KeptStore) read(c fiber.Ctx) error {
	return k.access(c, func(key prefix.Key) error {
		k.counts.Reads++
		if _, ok := k.cache.elements[key]; !ok {
			k.counts.Misses++
			return c.SendStatus(http.StatusNotFound)
		}
		k.cache.touch(key)
		return c.Send(make([]byte, pieceBytes))
	})
}

func (k *KeptStore) write(c fiber.Ctx) error {
	return k.access(c, func(key prefix.Key) error {
		k.counts.Writes++
		k.cache.touch(key)
		return c.SendStatus(http.StatusOK)
	})
}

// access applies the faults and runs a call on a piece under mu.
func (k *KeptStore) access(c fiber.Ctx, run func(key prefix.Key) error) error {
	key, err := strconv.ParseUint(c.Params("piece"), 16, 64)
	if err != nil {
		return fiber.NewError(http.StatusBadRequest, "the piece's key is not hexadecimal")
	}
	k.mu.Lock()
	f := k.faults
	k.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if f.Down {
		return c.SendStatus(http.StatusServiceUnavailable)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return run(prefix.Key(key))
}
