package cacheindex

import (
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// touch adds a piece or makes it the newest. If the index is full, the oldest
// piece is removed.
func (x *Index) touch(k prefix.Key, now time.Duration) {
	slot, ok := x.slots[k]
	if ok {
		x.unlink(slot)
	} else {
		if len(x.slots) >= x.limit {
			x.remove(x.blocks[x.oldest].key)
		}
		slot = x.allocateSlot()
		x.slots[k] = slot
	}
	x.blocks[slot] = block{key: k, updated: now, newer: noSlot, older: x.newest}
	if x.newest != noSlot {
		x.blocks[x.newest].newer = slot
	} else {
		x.oldest = slot
	}
	x.newest = slot
}

// remove removes a piece.
func (x *Index) remove(k prefix.Key) {
	slot, ok := x.slots[k]
	if !ok {
		return
	}
	x.unlink(slot)
	delete(x.slots, k)
	x.free = append(x.free, slot)
}

// allocateSlot returns an unused slot.
func (x *Index) allocateSlot() int32 {
	if n := len(x.free); n > 0 {
		slot := x.free[n-1]
		x.free = x.free[:n-1]
		return slot
	}
	x.blocks = append(x.blocks, block{})
	return int32(len(x.blocks) - 1)
}

// unlink removes a block from the list.
func (x *Index) unlink(slot int32) {
	b := x.blocks[slot]
	if b.newer != noSlot {
		x.blocks[b.newer].older = b.older
	} else {
		x.newest = b.older
	}
	if b.older != noSlot {
		x.blocks[b.older].newer = b.newer
	} else {
		x.oldest = b.newer
	}
}
