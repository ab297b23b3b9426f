package standin

import (
	"bytes"
	"container/list"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// pieceCache keeps the most recently used pieces of prompts.
type pieceCache struct {
	capacity int
	order    *list.List
	elements map[prefix.Key]*list.Element
	// changed is told of every piece that is stored or evicted.
	changed func(k prefix.Key, evicted bool)
}

func newPieceCache(capacity int) *pieceCache {
	return &pieceCache{capacity: capacity, order: list.New(), elements: map[prefix.Key]*list.Element{}, changed: func(prefix.Key, bool) {}}
}

// use returns how many leading pieces are kept, and makes them the most
// recently used ones.
func (c *pieceCache) use(pieces []prefix.Key) int {
	hits := 0
	for hits < len(pieces) {
		if _, ok := c.elements[pieces[hits]]; !ok {
			break
		}
		hits++
	}
	c.keep(pieces[:hits])
	return hits
}

// keep keeps pieces; the first becomes the most recently used one, since the
// others are of no use without it.
func (c *pieceCache) keep(pieces []prefix.Key) {
	for i := len(pieces) - 1; i >= 0; i-- {
		c.touch(pieces[i])
	}
}

// touch makes a piece the most recently used one.
func (c *pieceCache) touch(k prefix.Key) {
	if element, ok := c.elements[k]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.elements[k] = c.order.PushFront(k)
	c.changed(k, false)
	if c.order.Len() <= c.capacity {
		return
	}
	oldest := c.order.Back()
	key := c.order.Remove(oldest).(prefix.Key)
	delete(c.elements, key)
	c.changed(key, true)
}

func contains(prompt []byte, text string) bool { return bytes.Contains(prompt, []byte(text)) }
