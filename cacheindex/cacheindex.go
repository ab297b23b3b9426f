// Package cacheindex holds what is believed of the caches of engines, built from
// their late and lossy cache events. The package does no I/O.
package cacheindex

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

const (
	// maxAge is how long a piece is believed without any news of it.
	maxAge = 60 * time.Second
	// suspectAge is how long a piece is believed once later events were lost,
	// since its eviction may have been among them: this long divided by the
	// share of lost events.
	suspectAge = 5 * time.Second
	// lossShare is how fast the share of lost events follows.
	lossShare = 1.0 / 256
	// trustTime is how long events must have come until pieces that are not
	// in the belief are taken as not cached.
	trustTime = 30 * time.Second
)

// Event is one change of an engine's cache.
type Event struct {
	// Seq numbers the events of an incarnation from 1.
	Seq uint64
	// Key is the piece that was stored or evicted.
	Key prefix.Key
	// Evicted tells that the piece left the cache.
	Evicted bool
}

// Source is what a belief depends on: a change of it drops everything.
type Source struct {
	Incarnation int64
	// Weights is the version of the loaded weights.
	Weights string
}

// none marks the end of a list of blocks.
const none = int32(-1)

// block is one believed piece, in a list by age.
type block struct {
	key          prefix.Key
	at           time.Duration
	newer, older int32
}

// Belief is what one engine is believed to hold. It is not safe for
// concurrent use. Times are durations since any fixed instant.
type Belief struct {
	source Source
	seq    uint64
	// begun is since when events came.
	begun time.Duration
	// gap is when the last gap was seen, and gapped whether there was one.
	gap    time.Duration
	gapped bool
	// loss is the share of events that were lost lately.
	loss float64

	limit          int
	slots          map[prefix.Key]int32
	blocks         []block
	free           []int32
	newest, oldest int32
	stats          Stats
}

// Stats counts what a belief went through.
type Stats struct {
	Applied, Gaps, Lost, Resets, Corrections uint64
}

// New returns an empty belief that keeps at most limit pieces.
func New(limit int, now time.Duration) *Belief {
	b := &Belief{limit: limit}
	b.clear(now)
	return b
}

// clear drops every believed piece.
func (b *Belief) clear(now time.Duration) {
	b.slots = make(map[prefix.Key]int32)
	b.blocks, b.free = b.blocks[:0], b.free[:0]
	b.newest, b.oldest = none, none
	b.seq, b.begun, b.gapped, b.loss = 0, now, false, 0
}

// Source returns what the belief holds for.
func (b *Belief) Source() Source { return b.source }

// Seq returns the number of the last event that was applied.
func (b *Belief) Seq() uint64 { return b.seq }

// Len returns the number of believed pieces.
func (b *Belief) Len() int { return len(b.slots) }

// Stats returns the counts so far.
func (b *Belief) Stats() Stats { return b.stats }

// Reset makes the belief one of another source. Everything believed of an
// earlier source is dropped.
func (b *Belief) Reset(s Source, now time.Duration) {
	if s == b.source {
		return
	}
	b.source = s
	b.stats.Resets++
	b.clear(now)
}

// Apply takes the events of a source. Events of an earlier number than the
// last one are ignored.
func (b *Belief) Apply(s Source, events []Event, now time.Duration) {
	b.Reset(s, now)
	for _, e := range events {
		if e.Seq <= b.seq {
			continue
		}
		b.noteGap(e.Seq, now)
		b.seq = e.Seq
		b.stats.Applied++
		if e.Evicted {
			b.drop(e.Key)
			continue
		}
		b.keep(e.Key, now)
	}
}

// noteGap marks the belief suspect when events are missing before a number.
func (b *Belief) noteGap(seq uint64, now time.Duration) {
	b.loss -= lossShare * b.loss
	if b.seq == 0 || seq == b.seq+1 {
		return
	}
	lost := seq - b.seq - 1
	b.stats.Gaps++
	b.stats.Lost += lost
	b.loss = min(1, b.loss+lossShare*float64(lost))
	b.gap, b.gapped = now, true
}

// Depth returns how many leading pieces are believed to be cached. An engine
// uses a piece only with all before it and evicts the deepest first, so the
// deepest believed piece speaks for those before it.
func (b *Belief) Depth(pieces []prefix.Key, now time.Duration) int {
	for i := len(pieces); i > 0; i-- {
		if b.Holds(pieces[i-1], now) {
			return i
		}
	}
	return 0
}

// Holds tells whether a piece is believed to be cached.
func (b *Belief) Holds(k prefix.Key, now time.Duration) bool {
	slot, ok := b.slots[k]
	if !ok {
		return false
	}
	at := b.blocks[slot].at
	if b.gapped && at <= b.gap {
		return now-at <= min(maxAge, time.Duration(float64(suspectAge)/b.loss))
	}
	return now-at <= maxAge
}

// Trust tells from 0 to 1 how far the lack of a piece means that it is not
// cached: little after a start, or while events are lost.
func (b *Belief) Trust(now time.Duration) float64 {
	return min(1, float64(now-b.begun)/float64(trustTime)) * (1 - b.loss)
}

// Correct takes the engine's word on a prompt: it had the first cached
// pieces and now holds all of them.
func (b *Belief) Correct(s Source, pieces []prefix.Key, cached int, now time.Duration) {
	if s != b.source {
		return
	}
	if b.Depth(pieces, now) != cached {
		b.stats.Corrections++
	}
	for _, k := range pieces {
		b.keep(k, now)
	}
}

// Expire drops pieces that are too old to be believed.
func (b *Belief) Expire(now time.Duration) {
	for b.oldest != none && !b.Holds(b.blocks[b.oldest].key, now) {
		b.drop(b.blocks[b.oldest].key)
	}
}
