package cacheindex

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// keep makes a piece the newest one; the oldest one goes when there are too
// many.
func (b *Belief) keep(k prefix.Key, now time.Duration) {
	slot, ok := b.slots[k]
	if ok {
		b.unlink(slot)
	} else {
		if len(b.slots) >= b.limit {
			b.drop(b.blocks[b.oldest].key)
		}
		slot = b.take()
		b.slots[k] = slot
	}
	b.blocks[slot] = block{key: k, at: now, newer: none, older: b.newest}
	if b.newest != none {
		b.blocks[b.newest].newer = slot
	} else {
		b.oldest = slot
	}
	b.newest = slot
}

// drop forgets a piece.
func (b *Belief) drop(k prefix.Key) {
	slot, ok := b.slots[k]
	if !ok {
		return
	}
	b.unlink(slot)
	delete(b.slots, k)
	b.free = append(b.free, slot)
}

// take returns an unused slot.
func (b *Belief) take() int32 {
	if n := len(b.free); n > 0 {
		slot := b.free[n-1]
		b.free = b.free[:n-1]
		return slot
	}
	b.blocks = append(b.blocks, block{})
	return int32(len(b.blocks) - 1)
}

// unlink takes a block out of the list.
func (b *Belief) unlink(slot int32) {
	at := b.blocks[slot]
	if at.newer != none {
		b.blocks[at.newer].older = at.older
	} else {
		b.newest = at.older
	}
	if at.older != none {
		b.blocks[at.older].newer = at.newer
	} else {
		b.oldest = at.newer
	}
}
