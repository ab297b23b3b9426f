package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// check returns what the calls and the upstreams show to be wrong.
func (w *world) check(calls []*call, stops []stop) []string {
	var wrong []string
	report := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	runs := w.runs()
	known := map[string]*call{}
	for _, c := range calls {
		known[c.id] = c
		w.checkAnswer(c, report)
		once, n := c.kind == "post" || c.kind == "flag", runs[c.id]
		if once && n > 1 {
			report("%s may run once and ran %d times", c.id, n)
		}
		if once && n > 0 && slices.Contains(promises, c.answer.Status) {
			report("%s was said not to have run (%d) and ran", c.id, c.answer.Status)
		}
	}
	for id := range runs {
		if known[id] == nil && !strings.HasPrefix(id, crasherMark) {
			report("%s ran, which no caller sent", id)
		}
	}
	w.checkHeads(known, report)
	w.checkOrders(report)
	w.checkCrasher(report)
	for _, s := range stops {
		s.check(calls, runs, report)
	}
	for _, h := range w.hosts {
		for _, fault := range h.faults() {
			report("%s: %s", h.name, fault)
		}
	}
	return wrong
}

// promises are the statuses that promise that a request has not run and never
// will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// runs counts the runs of each request at all upstreams.
func (w *world) runs() map[string]int {
	runs := map[string]int{}
	for _, e := range w.all() {
		for id, n := range e.Ran() {
			runs[id] += n
		}
	}
	return runs
}

// checkAnswer looks at one answer.
func (w *world) checkAnswer(c *call, report func(string, ...any)) {
	switch {
	case c.answer.Status == 0:
	case c.answer.Status == http.StatusOK && !c.answer.Certified(c.id):
		report("%s got a success that bears the stamp %q", c.id, c.answer.Stamp)
	case c.answer.Status == http.StatusOK && c.answer.Whole && c.answer.Body != c.expected():
		report("%s got a complete answer that is not the upstream's: %q", c.id, c.answer.Body)
	case c.answer.Status == http.StatusOK && !strings.HasPrefix(c.expected(), c.answer.Body):
		report("%s got pieces that don't follow each other: %q", c.id, c.answer.Body)
	case c.answer.Status == http.StatusNotFound || c.answer.Status == http.StatusBadRequest:
		report("%s is proper and got %d", c.id, c.answer.Status)
	}
}

// checkHeads looks at what upstreams were told.
func (w *world) checkHeads(known map[string]*call, report func(string, ...any)) {
	for _, e := range w.all() {
		for _, a := range e.Arrivals() {
			c := known[a.ID]
			switch {
			case a.HasAPIKey:
				report("%s was sent a key", e.ID)
			case c != nil && a.Account != c.account:
				report("%s of %s reached %s as that of %q", c.id, c.account, e.ID, a.Account)
			}
		}
	}
}

// checkOrders looks at the orders to engines: no two hosts within a lease, no
// fencing number that falls.
func (w *world) checkOrders(report func(string, ...any)) {
	for _, e := range w.all() {
		orders := e.Orders()
		for i := range orders {
			if i == 0 {
				continue
			}
			a, b := orders[i-1], orders[i]
			switch {
			case b.Fence < a.Fence:
				report("%s got the fencing number %d after %d", e.ID, b.Fence, a.Fence)
			case b.Holder != a.Holder && b.At.Sub(a.At) < lease:
				report("%s was ordered by %s and %s within %v", e.ID, a.Holder, b.Holder, b.At.Sub(a.At))
			}
		}
	}
}

// stop is a planned stop of a host that met no other fault.
type stop struct {
	host      *host
	at, ended time.Time
	inTime    bool
	// upstreams tells that upstreams met faults meanwhile, which break streams.
	upstreams bool
}

// concerns tells whether a request was at the host while it stopped.
func (s stop) concerns(c *call) bool {
	return c.host == s.host && !c.sent.Before(s.at.Add(-callDeadline)) && !c.sent.After(s.ended) && !c.ended.Before(s.at)
}

// broke tells whether the stop may have broken a request off that ran so
// often.
func (s stop) broke(c *call, runs int) bool {
	if c.ended.Sub(c.sent) >= callDeadline {
		return false
	}
	if c.answer.Status == 0 {
		// A request that crosses the end of its connection was not read.
		return runs > 0 || c.ended.Sub(c.sent) >= settled
	}
	stream := c.kind == "full" || c.kind == "flag"
	return !c.answer.Whole && (!stream || !s.upstreams)
}

// check looks at the requests that were sent to the host around the stop.
func (s stop) check(calls []*call, runs map[string]int, report func(string, ...any)) {
	if !s.inTime {
		report("%s did not end within the time that a stop may take", s.host.name)
	}
	for _, c := range calls {
		if s.concerns(c) && s.broke(c, runs[c.id]) {
			report("%s was sent %v after the stop of %s began and got no whole answer (status %d, %d bytes, after %v, runs %d)", c.id, c.sent.Sub(s.at), s.host.name, c.answer.Status, len(c.answer.Body), c.ended.Sub(c.sent), runs[c.id])
		}
	}
}
