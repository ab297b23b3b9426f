// Package cacheindex indexes the pieces that engines are assumed to cache,
// built from their cache events, which arrive late and may be lost. The package
// does no I/O.
package cacheindex

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

const (
	// maxAge is how long a piece is assumed cached without a further event.
	maxAge = 60 * time.Second
	// suspectAge, divided by the share of lost events, is how long a piece is
	// assumed cached after later events were lost, since its eviction may have
	// been among them.
	suspectAge = 5 * time.Second
	// lossSmoothing is the weight of one event in the average share of lost
	// events.
	lossSmoothing = 1.0 / 256
	// completeTime is how long events must have arrived until pieces that are
	// not in the index are assumed not to be cached.
	completeTime = 30 * time.Second
)

// Event is one change of an engine's cache.
type Event struct {
	// Seq is the number of the event within an incarnation, from 1.
	Seq uint64
	// Key is the piece that was stored or evicted.
	Key prefix.Key
	// Evicted is set if the piece was evicted.
	Evicted bool
}

// Source identifies the cache that an index describes. When it changes, the
// index is cleared.
type Source struct {
	Incarnation int64
	// Weights is the version of the loaded weights.
	Weights string
}

// noSlot marks the end of a list of blocks.
const noSlot = int32(-1)

// block is one piece of the index, in a list by age.
type block struct {
	key          prefix.Key
	updated      time.Duration
	newer, older int32
}

// Index holds the pieces that one engine is assumed to cache. It is not safe
// for concurrent use. Times are durations since any fixed instant.
type Index struct {
	source Source
	seq    uint64
	// eventsSince is when the events of the source began.
	eventsSince time.Duration
	// lastGap is when the last gap in the events was found, if hasGap is set.
	lastGap time.Duration
	hasGap  bool
	// loss is the recent share of lost events.
	loss float64

	limit          int
	slots          map[prefix.Key]int32
	blocks         []block
	free           []int32
	newest, oldest int32
	stats          Stats
}

// Stats counts events and changes of an index.
type Stats struct {
	Applied, Gaps, Lost, Resets, Corrections uint64
}

// New returns an empty index of at most limit pieces.
func New(limit int, now time.Duration) *Index {
	x := &Index{limit: limit}
	x.clear(now)
	return x
}

// clear removes every piece.
func (x *Index) clear(now time.Duration) {
	x.slots = make(map[prefix.Key]int32)
	x.blocks, x.free = x.blocks[:0], x.free[:0]
	x.newest, x.oldest = noSlot, noSlot
	x.seq, x.eventsSince, x.hasGap, x.loss = 0, now, false, 0
}

// Source returns the cache that the index describes.
func (x *Index) Source() Source { return x.source }

// Seq returns the number of the last event that was applied.
func (x *Index) Seq() uint64 { return x.seq }

// Len returns the number of pieces.
func (x *Index) Len() int { return len(x.slots) }

// Stats returns the counts so far.
func (x *Index) Stats() Stats { return x.stats }

// Reset sets the source. If it differs from the current one, all pieces are
// removed.
func (x *Index) Reset(s Source, now time.Duration) {
	if s == x.source {
		return
	}
	x.source = s
	x.stats.Resets++
	x.clear(now)
}

// Apply applies the events of a source. It ignores events that are not newer
// than the last one applied.
func (x *Index) Apply(s Source, events []Event, now time.Duration) {
	x.Reset(s, now)
	for _, e := range events {
		if e.Seq <= x.seq {
			continue
		}
		x.recordGap(e.Seq, now)
		x.seq = e.Seq
		x.stats.Applied++
		if e.Evicted {
			x.remove(e.Key)
			continue
		}
		x.touch(e.Key, now)
	}
}

// recordGap updates the share of lost events, and records a gap if events are
// missing before a number.
func (x *Index) recordGap(seq uint64, now time.Duration) {
	x.loss -= lossSmoothing * x.loss
	if x.seq == 0 || seq == x.seq+1 {
		return
	}
	lost := seq - x.seq - 1
	x.stats.Gaps++
	x.stats.Lost += lost
	x.loss = min(1, x.loss+lossSmoothing*float64(lost))
	x.lastGap, x.hasGap = now, true
}

// Depth returns how many leading pieces are assumed to be cached. An engine
// uses a piece only with all before it and evicts the deepest first, so a cached
// piece implies that those before it are cached.
func (x *Index) Depth(pieces []prefix.Key, now time.Duration) int {
	for i := len(pieces); i > 0; i-- {
		if x.Holds(pieces[i-1], now) {
			return i
		}
	}
	return 0
}

// Holds reports whether a piece is assumed to be cached.
func (x *Index) Holds(k prefix.Key, now time.Duration) bool {
	slot, ok := x.slots[k]
	if !ok {
		return false
	}
	updated := x.blocks[slot].updated
	if x.hasGap && updated <= x.lastGap {
		return now-updated <= min(maxAge, time.Duration(float64(suspectAge)/x.loss))
	}
	return now-updated <= maxAge
}

// Completeness returns, from 0 to 1, how likely it is that a piece that is
// missing from the index is not cached. It is low after a start and while events are lost.
func (x *Index) Completeness(now time.Duration) float64 {
	return min(1, float64(now-x.eventsSince)/float64(completeTime)) * (1 - x.loss)
}

// Correct applies an engine's own report on a prompt: before the prompt it held
// the given number of leading pieces, and now it holds all of them.
func (x *Index) Correct(s Source, pieces []prefix.Key, cached int, now time.Duration) {
	if s != x.source {
		return
	}
	if x.Depth(pieces, now) != cached {
		x.stats.Corrections++
	}
	for _, k := range pieces {
		x.touch(k, now)
	}
}

// Expire removes pieces that are too old to be assumed cached.
func (x *Index) Expire(now time.Duration) {
	for x.oldest != noSlot && !x.Holds(x.blocks[x.oldest].key, now) {
		x.remove(x.blocks[x.oldest].key)
	}
}
