package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// check returns the violations that the calls and the upstreams show.
func (d *deployment) check(calls []*call, stops []stop) []string {
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	executions := d.executions()
	byID := map[string]*call{}
	for _, c := range calls {
		byID[c.id] = c
		d.checkAnswer(c, report)
		atMostOnce, n := c.kind == "post" || c.kind == "flag", executions[c.id]
		if atMostOnce && n > 1 {
			report("%s may be executed once and was executed %d times", c.id, n)
		}
		if atMostOnce && n > 0 && slices.Contains(notExecutedStatuses, c.answer.Status) {
			report("%s was reported as not executed (%d) but was executed", c.id, c.answer.Status)
		}
	}
	for id := range executions {
		if byID[id] == nil && !strings.HasPrefix(id, crasherMark) {
			report("%s was executed but sent by no caller", id)
		}
	}
	checkSoftware(calls, report)
	d.checkArrivals(byID, report)
	d.checkMemories(report)
	d.checkOrders(report)
	d.checkAcceptedOrders(report)
	d.checkCrasher(report)
	for _, s := range stops {
		s.check(calls, executions, report)
	}
	for _, h := range d.hosts {
		for _, problem := range h.problems() {
			report("%s: %s", h.name, problem)
		}
	}
	return violations
}

// notExecutedStatuses holds the statuses that guarantee that a request has not
// been executed and never will be.
var notExecutedStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// executions counts the executions of each request over all upstreams.
func (d *deployment) executions() map[string]int {
	executions := map[string]int{}
	for _, e := range d.all() {
		for id, n := range e.Ran() {
			executions[id] += n
		}
	}
	for id, work := range d.allWork() {
		for _, w := range work {
			if !w.run.Moved {
				executions[id]++
			}
		}
	}
	return executions
}

// checkAnswer checks the answer of one call.
func (d *deployment) checkAnswer(c *call, report func(string, ...any)) {
	switch {
	case c.answer.Status == 0:
	case c.answer.Status == http.StatusOK && !c.answer.Certified(c.id):
		report("%s got a success with the wrong stamp %q", c.id, c.answer.Stamp)
	case c.answer.Status == http.StatusOK && c.answer.Whole && c.body() != c.expectedBody():
		report("%s got a complete answer that differs from the upstream's: %q", c.id, c.answer.Body)
	case c.answer.Status == http.StatusOK && !strings.HasPrefix(c.expectedBody(), c.body()):
		report("%s got an answer that is not a prefix of the upstream's: %q", c.id, c.answer.Body)
	case c.answer.Status == http.StatusNotFound || c.answer.Status == http.StatusBadRequest:
		report("%s is valid and got %d", c.id, c.answer.Status)
	}
}

// checkArrivals checks the requests that upstreams received: none has a key, and
// each has its own account.
func (d *deployment) checkArrivals(byID map[string]*call, report func(string, ...any)) {
	for _, e := range d.all() {
		for _, a := range e.Arrivals() {
			c := byID[a.ID]
			switch {
			case a.HasAPIKey:
				report("%s received a key", e.ID)
			case c != nil && a.Account != c.account:
				report("%s of %s reached %s with the account %q", c.id, c.account, e.ID, a.Account)
			}
		}
	}
}

// checkOrders checks the orders to engines: no two hosts order an engine within
// a lease, and fencing numbers never decrease.
func (d *deployment) checkOrders(report func(string, ...any)) {
	for _, e := range d.all() {
		orders := e.Orders()
		for i := range orders {
			if i == 0 {
				continue
			}
			a, b := orders[i-1], orders[i]
			switch {
			case b.Fence < a.Fence:
				report("%s received the fencing number %d after %d", e.ID, b.Fence, a.Fence)
			case b.Holder != a.Holder && b.At.Sub(a.At) < leaseTime:
				report("%s was ordered by %s and %s within %v", e.ID, a.Holder, b.Holder, b.At.Sub(a.At))
			}
		}
	}
}

// stop is a planned stop of a host without other faults around it.
type stop struct {
	host      *host
	at, ended time.Time
	inTime    bool
	// upstreamFaults marks a stop during faults of upstreams, which may truncate
	// streams.
	upstreamFaults bool
}

// affects reports whether a request was at the host while it stopped.
func (s stop) affects(c *call) bool {
	return c.host == s.host && !c.sent.Before(s.at.Add(-callDeadline)) && !c.sent.After(s.ended) && !c.ended.Before(s.at)
}

// interrupted reports whether the stop interrupted a request that was executed
// the given number of times.
func (s stop) interrupted(c *call, executions int) bool {
	if c.ended.Sub(c.sent) >= callDeadline || c.gaveUp || c.isPartial() {
		return false
	}
	if c.answer.Status == 0 {
		// A request that crossed the close of its connection was not read.
		return executions > 0 || c.ended.Sub(c.lastByte()) >= closeRaceWindow
	}
	stream := c.kind == "full" || c.kind == "flag"
	return !c.answer.Whole && (!stream || !s.upstreamFaults)
}

// check checks the requests that were sent to the host around the stop.
func (s stop) check(calls []*call, executions map[string]int, report func(string, ...any)) {
	if !s.inTime {
		report("%s did not stop within its time limit", s.host.name)
	}
	for _, c := range calls {
		if s.affects(c) && s.interrupted(c, executions[c.id]) {
			report("%s was sent %v after the stop of %s began and got no complete answer (status %d, %d bytes, after %v, executions %d)", c.id, c.sent.Sub(s.at), s.host.name, c.answer.Status, len(c.answer.Body), c.ended.Sub(c.sent), executions[c.id])
		}
	}
}
