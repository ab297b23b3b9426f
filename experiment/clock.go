package experiment

import (
	"container/heap"
	"time"
)

// alarm is a step of the run at a virtual time.
type alarm struct {
	at    time.Duration
	order int
	run   func()
}

// clock runs steps in the order of their virtual times.
type clock struct {
	now    time.Duration
	order  int
	alarms alarms
}

// after runs a step once some time has passed.
func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// at runs a step at a time.
func (c *clock) at(at time.Duration, run func()) {
	c.order++
	heap.Push(&c.alarms, alarm{at, c.order, run})
}

// run runs steps until none is left before the end.
func (c *clock) run(end time.Duration) {
	for len(c.alarms) > 0 && c.alarms[0].at <= end {
		a := heap.Pop(&c.alarms).(alarm)
		c.now = a.at
		a.run()
	}
}

// alarms is a heap by time.
type alarms []alarm

// Len implements heap.Interface.
func (a alarms) Len() int { return len(a) }

// Less implements heap.Interface.
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}

// Swap implements heap.Interface.
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *alarms) Push(x any) { *a = append(*a, x.(alarm)) }

// Pop implements heap.Interface.
func (a *alarms) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	*a = (*a)[:last]
	return x
}
