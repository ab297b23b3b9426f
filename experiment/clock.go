package experiment

import (
	"container/heap"
	"time"
)

// timer is a callback at a virtual time. seq orders timers of equal times.
type timer struct {
	at       time.Duration
	seq      int
	callback func()
}

// clock runs callbacks in the order of their virtual times.
type clock struct {
	now    time.Duration
	seq    int
	timers timerHeap
}

// after schedules a callback after a delay.
func (c *clock) after(d time.Duration, callback func()) { c.at(c.now+d, callback) }

// at schedules a callback at a time.
func (c *clock) at(at time.Duration, callback func()) {
	c.seq++
	heap.Push(&c.timers, timer{at, c.seq, callback})
}

// runUntil runs all callbacks that are due by the end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.timers) > 0 && c.timers[0].at <= end {
		t := heap.Pop(&c.timers).(timer)
		c.now = t.at
		t.callback()
	}
}

// timerHeap orders timers by time.
type timerHeap []timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
