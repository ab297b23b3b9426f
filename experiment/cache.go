package experiment

import (
	"container/list"

	"github.com/kumquathoist/kumquathoist/prefix"
)

// cache is an LRU cache of pieces that reports every change.
type cache struct {
	capacity int
	recency  *list.List
	elements map[prefix.Key]*list.Element
	onChange func(k prefix.Key, evicted bool)
}

func newCache(capacity int, onChange func(prefix.Key, bool)) *cache {
	return &cache{capacity: capacity, recency: list.New(), elements: map[prefix.Key]*list.Element{}, onChange: onChange}
}

// has reports whether a piece is cached.
func (c *cache) has(k prefix.Key) bool {
	_, ok := c.elements[k]
	return ok
}

// depth returns the number of leading pieces that are cached.
func (c *cache) depth(pieces []prefix.Key) int {
	for i, k := range pieces {
		if !c.has(k) {
			return i
		}
	}
	return len(pieces)
}

// touchAll makes pieces the most recently used ones; the first piece becomes
// the most recent of them.
func (c *cache) touchAll(pieces []prefix.Key) {
	for i := len(pieces) - 1; i >= 0; i-- {
		c.touch(pieces[i])
	}
}

// touch makes a piece the most recently used one and adds it if needed.
func (c *cache) touch(k prefix.Key) {
	if element, ok := c.elements[k]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.elements[k] = c.recency.PushFront(k)
	c.onChange(k, false)
	if c.recency.Len() <= c.capacity {
		return
	}
	oldest := c.recency.Back()
	key := c.recency.Remove(oldest).(prefix.Key)
	delete(c.elements, key)
	c.onChange(key, true)
}
