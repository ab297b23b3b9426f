package experiment

import (
	"container/list"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// cache keeps the most recently used pieces and tells of every change.
type cache struct {
	capacity int
	order    *list.List
	elements map[prefix.Key]*list.Element
	changed  func(k prefix.Key, evicted bool)
}

func newCache(capacity int, changed func(prefix.Key, bool)) *cache {
	return &cache{capacity: capacity, order: list.New(), elements: map[prefix.Key]*list.Element{}, changed: changed}
}

// has tells whether a piece is kept.
func (c *cache) has(k prefix.Key) bool {
	_, ok := c.elements[k]
	return ok
}

// depth returns how many leading pieces are kept.
func (c *cache) depth(pieces []prefix.Key) int {
	for i, k := range pieces {
		if !c.has(k) {
			return i
		}
	}
	return len(pieces)
}

// use keeps pieces as the most recently used ones, the first one foremost.
func (c *cache) use(pieces []prefix.Key) {
	for i := len(pieces) - 1; i >= 0; i-- {
		c.touch(pieces[i])
	}
}

// touch makes a piece the most recently used one.
func (c *cache) touch(k prefix.Key) {
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
