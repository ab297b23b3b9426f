package storenode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// recordInterval is the time between two checks for what the store should tell.
	recordInterval = 200 * time.Millisecond
	// maxRecordDelay bounds the random time that a host leaves to the others before it
	// records something.
	maxRecordDelay = 400 * time.Millisecond
)

// recordMissing records in the store, until the context ends, what it should tell of each
// model. All hosts may be restarted at once, and then none remembers it. The delay is what
// this host leaves to the others besides a random time.
func recordMissing[T any](ctx context.Context, missing func() map[string]T, delay func() time.Duration, put func(ctx context.Context, model string, value T)) {
	clock.Every(ctx, recordInterval, func(ctx context.Context) {
		if len(missing()) == 0 {
			return
		}
		clock.Pause(ctx, delay()+time.Duration(rand.Int64N(int64(maxRecordDelay))))
		for model, value := range missing() {
			storeCtx, cancel := context.WithTimeout(ctx, storeTimeout)
			put(storeCtx, model, value)
			cancel()
		}
	})
}
