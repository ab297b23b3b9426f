package standin

import (
	"bytes"
	"container/list"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// pieceCache is an LRU cache of the pieces of prompts.
type pieceCache struct {
	capacity int
	order    *list.List
	elements map[prefix.Key]*list.Element
	// onChange is called for every piece that is stored or evicted.
	onChange func(k prefix.Key, evicted bool)
}

func newPieceCache(capacity int) *pieceCache {
	return &pieceCache{capacity: capacity, order: list.New(), elements: map[prefix.Key]*list.Element{}, onChange: func(prefix.Key, bool) {}}
}

// lookup returns how many leading pieces are cached, and marks them as the most
// recently used.
func (c *pieceCache) lookup(pieces []prefix.Key) int {
	hits := 0
	for hits < len(pieces) {
		if _, ok := c.elements[pieces[hits]]; !ok {
			break
		}
		hits++
	}
	c.add(pieces[:hits])
	return hits
}

// add stores pieces. The first one becomes the most recently used, since the
// others can't be used without it.
func (c *pieceCache) add(pieces []prefix.Key) {
	for i := len(pieces) - 1; i >= 0; i-- {
		c.touch(pieces[i])
	}
}

// touch makes a piece the most recently used. It stores a missing piece, and
// evicts the least recently used one if the cache is full.
func (c *pieceCache) touch(k prefix.Key) {
	if element, ok := c.elements[k]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.elements[k] = c.order.PushFront(k)
	c.onChange(k, false)
	if c.order.Len() <= c.capacity {
		return
	}
	oldest := c.order.Back()
	key := c.order.Remove(oldest).(prefix.Key)
	delete(c.elements, key)
	c.onChange(key, true)
}

func contains(prompt []byte, text string) bool { return bytes.Contains(prompt, []byte(text)) }
