package standin

import (
	"bytes"
	"container/list"
	"encoding/json"

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

// use returns how many leading pieces were kept, and keeps all of them.
func (c *pieceCache) use(pieces []prefix.Key) int {
	hits := 0
	for hits < len(pieces) {
		if _, ok := c.elements[pieces[hits]]; !ok {
			break
		}
		hits++
	}
	for i := len(pieces) - 1; i >= 0; i-- {
		c.touch(pieces[i])
	}
	return hits
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

// promptOf returns the text that a request's cached pieces are cut from.
func promptOf(body completionBody) []byte {
	if len(body.Messages) == 0 {
		return []byte(body.Prompt)
	}
	var messages []struct {
		Content string `json:"content"`
	}
	if json.Unmarshal(body.Messages, &messages) != nil {
		return body.Messages
	}
	var prompt bytes.Buffer
	for _, m := range messages {
		prompt.WriteString(m.Content)
	}
	return prompt.Bytes()
}

func contains(prompt []byte, text string) bool { return bytes.Contains(prompt, []byte(text)) }
