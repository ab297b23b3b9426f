// Package cachefeed follows what engines and stores of parts say of their
// caches, so that hosts stop believing in parts that were dropped.
//
// One host listens to each of them and tells the others. Two hosts that both
// think it is theirs listen twice, which does no harm.
package cachefeed

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// lookInterval is the time between two looks at whom to listen to.
	lookInterval = 500 * time.Millisecond
	// eventWait is how long a call waits for the first news.
	eventWait = 900 * time.Millisecond
	// callMargin is how much longer a call may take.
	callMargin = 600 * time.Millisecond
	// gather is the time between two calls, in which news add up.
	gather = 150 * time.Millisecond
	// retryPause is the time after a call that failed.
	retryPause = time.Second
)

// Source is an engine or a store of parts.
type Source struct {
	// Name names one start of it, for logs and for those who are told.
	Name string
	// Address is its IP:port, Instance its id, or "" if it has none.
	Address, Instance string
}

// Change is news of one cached part.
type Change struct {
	Salt, Part string
	// Dropped tells that less than the whole part is left.
	Dropped bool
}

// Batch is the answer to a call.
type Batch struct {
	// Epoch changes when the source restarts, Next is where to go on.
	Epoch, Next int64
	// Gap tells that some news were lost.
	Gap     bool
	Changes []Change
}

// listener calls sources.
type listener interface {
	// CacheEvents returns the news after a position, waiting for the first.
	CacheEvents(ctx context.Context, s Source, since int64, wait time.Duration) (Batch, error)
}

// Options is what a feed needs.
type Options struct {
	Listener listener
	// Sources returns those that this host listens to.
	Sources func() []Source
	// Held takes a part that a source holds now, Dropped one that it no longer
	// does, Lost a source that has lost all.
	Held, Dropped func(source Source, salt, part string)
	Lost          func(source Source)
}

// feed listens for one host.
type feed struct {
	Options

	// listening are the sources that are listened to now; one goroutine uses it.
	listening map[Source]context.CancelFunc
}

// Follow listens until the context ends.
func Follow(ctx context.Context, wait *conc.WaitGroup, o Options) {
	f := &feed{Options: o, listening: map[Source]context.CancelFunc{}}
	wait.Go(func() {
		f.look(ctx, wait)
		clock.Every(ctx, lookInterval, func(ctx context.Context) { f.look(ctx, wait) })
	})
}

// look begins to listen to new sources and leaves those that are others'.
func (f *feed) look(ctx context.Context, wait *conc.WaitGroup) {
	wanted := map[Source]bool{}
	for _, s := range f.Sources() {
		wanted[s] = true
		if f.listening[s] != nil {
			continue
		}
		listen, cancel := context.WithCancel(ctx)
		f.listening[s] = cancel
		wait.Go(func() { f.listen(listen, s) })
	}
	for s, cancel := range f.listening {
		if !wanted[s] {
			cancel()
			delete(f.listening, s)
		}
	}
}

// listen follows one source until the context ends.
func (f *feed) listen(ctx context.Context, s Source) {
	since, epoch, lost := int64(0), int64(0), false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, eventWait+callMargin)
		b, err := f.Listener.CacheEvents(call, s, since, eventWait)
		cancel()
		if err != nil {
			if !lost && ctx.Err() == nil {
				event.FeedDisconnected.Error(err, "Source", s.Name, "Address", s.Address)
			}
			lost = true
			clock.Pause(ctx, retryPause)
			continue
		}
		if lost {
			event.FeedReconnected.Info("Source", s.Name, "Position", b.Next, "Gap", b.Gap)
		}
		lost = false
		if epoch != 0 && b.Epoch != epoch {
			event.CacheReset.Info("Source", s.Name, "Epoch", b.Epoch)
			f.Lost(s)
		}
		epoch, since = b.Epoch, b.Next
		for _, c := range b.Changes {
			if c.Dropped {
				f.Dropped(s, c.Salt, c.Part)
			} else {
				f.Held(s, c.Salt, c.Part)
			}
		}
		clock.Pause(ctx, gather)
	}
}
