// Package cachefeed follows the cache events of engines and part stores, so
// that hosts stop counting on evicted parts.
//
// Each source is followed by one host, its owner, which forwards the events to
// the others. If two hosts both consider themselves the owner, both follow the
// source, which does no harm.
package cachefeed

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// sourceCheckInterval is the time between two updates of the followed
	// sources.
	sourceCheckInterval = 500 * time.Millisecond
	// eventWait is how long a call waits for the first event.
	eventWait = 900 * time.Millisecond
	// callMargin is how much longer than eventWait a call may take.
	callMargin = 600 * time.Millisecond
	// batchInterval is the time between two calls, in which events accumulate.
	batchInterval = 150 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = time.Second
)

// Source is an engine or a part store.
type Source struct {
	// Name identifies one incarnation of the source, in logs and to other hosts.
	Name string
	// Address is the IP:port of the source, Instance its id or "" if it has none.
	Address, Instance string
}

// Position is a position in a source's log of changes.
type Position struct {
	// Epoch changes when the source restarts; Next is the number of the last change
	// before the position.
	Epoch, Next int64
}

// Change is a change of one cached part.
type Change struct {
	// Number is the change's number in the source's log.
	Number     int64
	Salt, Part string
	// Dropped reports whether the part is no longer completely cached.
	Dropped bool
}

// Batch is the result of a call.
type Batch struct {
	// Position is where the next call continues.
	Position
	// Gap reports whether some events were lost.
	Gap     bool
	Changes []Change
}

// Follows reports whether a batch continues at a position.
func (b Batch) Follows(p Position) bool {
	if b.Epoch != p.Epoch || b.Next < p.Next {
		return false
	}
	for _, c := range b.Changes {
		if c.Number <= p.Next || c.Number > b.Next {
			return false
		}
	}
	return true
}

// client calls sources.
type client interface {
	// CacheEvents returns the events after a position, waiting for the first. The zero
	// position is that of a source that nobody has called before.
	CacheEvents(ctx context.Context, s Source, after Position, wait time.Duration) (Batch, error)
}

// Options configures Follow.
type Options struct {
	Client client
	// Sources returns the sources that this host follows.
	Sources func() []Source
	// OnCached is called with a part that a source has cached, OnEvicted with a
	// part that it has evicted, OnReset with a source that has lost its cache.
	OnCached, OnEvicted func(source Source, salt, part string)
	OnReset             func(source Source)
}

// feed follows sources for one host.
type feed struct {
	Options

	// cancels holds the cancel function of each followed source. Only one
	// goroutine uses it.
	cancels map[Source]context.CancelFunc
}

// Follow follows sources until the context ends.
func Follow(ctx context.Context, wait *conc.WaitGroup, o Options) {
	f := &feed{Options: o, cancels: map[Source]context.CancelFunc{}}
	wait.Go(func() {
		f.updateSources(ctx, wait)
		clock.Every(ctx, sourceCheckInterval, func(ctx context.Context) { f.updateSources(ctx, wait) })
	})
}

// updateSources starts following new sources and stops following those that
// Sources no longer returns.
func (f *feed) updateSources(ctx context.Context, wait *conc.WaitGroup) {
	wanted := map[Source]bool{}
	for _, s := range f.Sources() {
		wanted[s] = true
		if f.cancels[s] != nil {
			continue
		}
		sourceCtx, cancel := context.WithCancel(ctx)
		f.cancels[s] = cancel
		wait.Go(func() { f.followSource(sourceCtx, s) })
	}
	for s, cancel := range f.cancels {
		if !wanted[s] {
			cancel()
			delete(f.cancels, s)
		}
	}
}

// followSource follows one source until the context ends.
func (f *feed) followSource(ctx context.Context, s Source) {
	after, failing := Position{}, false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, eventWait+callMargin)
		b, err := f.Client.CacheEvents(callCtx, s, after, eventWait)
		cancel()
		if err != nil {
			if !failing && ctx.Err() == nil {
				event.FeedDisconnected.Error(err, "Source", s.Name, "Address", s.Address)
			}
			failing = true
			clock.Pause(ctx, retryDelay)
			continue
		}
		if failing {
			event.FeedReconnected.Info("Source", s.Name, "Position", b.Next, "Gap", b.Gap)
		}
		failing = false
		if after.Epoch != 0 && b.Epoch != after.Epoch {
			event.CacheReset.Info("Source", s.Name, "Epoch", b.Epoch)
			f.OnReset(s)
		}
		after = b.Position
		for _, c := range b.Changes {
			if c.Dropped {
				f.OnEvicted(s, c.Salt, c.Part)
			} else {
				f.OnCached(s, c.Salt, c.Part)
			}
		}
		clock.Pause(ctx, batchInterval)
	}
}
