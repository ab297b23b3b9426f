package soak

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// leavingTime is how long an upstream serves on that says it leaves.
	leavingTime = 4 * time.Second
	// leavingAllowance is how long after an answer that says so callers'
	// requests may still be sent there, restAllowance how long after an answer
	// that asks for time, restSends how many may be until its end (the users'
	// rules).
	leavingAllowance = 2 * time.Second
	restAllowance    = 500 * time.Millisecond
	restSends        = 2
)

// say has an upstream ask for a time without requests, or say that it leaves.
func (s *strikes) say(f Fault) {
	u := s.place(f.Target)
	if f.Kind == RestEngine {
		s.current(u).RejectWithRetryAfter(strconv.FormatFloat(f.For.Seconds(), 'f', 1+2*(f.Variant%2), 64), f.For)
		return
	}
	if _, taken := s.busy.LoadOrStore(u, true); taken {
		return
	}
	defer s.busy.Delete(u)
	leaving := s.current(u)
	leaving.SignalLeavingToRequests()
	leaving.SignalLeavingToControlCalls()
	s.pause(leavingTime)
	s.touchUpstreams(time.Now().Add(2 * lapse))
	// A place that can't start another upstream stays empty, which the end of
	// the run shows.
	_ = s.replaceUpstream(u, false)
}

// touch is a time in which a host's process or links met a fault.
type touch struct{ from, until time.Time }

// quietFrom tells whether a host met no fault within a time.
func (s *strikes) quietFrom(h *host, from, until time.Time) bool {
	for _, t := range s.touched[h] {
		if !t.from.After(until) && !t.until.Before(from) {
			return false
		}
	}
	return true
}

// sent is a request as one upstream saw it, and whose it was.
type sent struct {
	standin.PlatformArrival

	call *call
}

// checkStanding looks at what hosts sent to upstreams that said that they
// leave, or asked for time.
func (s *strikes) checkStanding(calls []*call) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[string]*call{}
	for _, c := range calls {
		known[c.id] = c
	}
	var wrong []string
	for _, e := range s.all() {
		byHost := map[*host][]sent{}
		for _, a := range e.Arrivals() {
			if c := known[a.ID]; c != nil {
				byHost[c.host] = append(byHost[c.host], sent{a, c})
			}
		}
		for h, arrivals := range byHost {
			wrong = append(wrong, s.checkLeaving(e, h, arrivals)...)
			wrong = append(wrong, s.checkRests(e, h, arrivals)...)
		}
	}
	return wrong
}

// checkLeaving looks at one host's requests to an upstream that leaves.
func (s *strikes) checkLeaving(e *standin.PlatformEngine, h *host, arrivals []sent) []string {
	var told time.Time
	for _, a := range arrivals {
		passedOn := a.Leaving && a.call.answer.Status == http.StatusOK && strings.HasPrefix(a.call.answer.Stamp, e.ID+".")
		if passedOn && (told.IsZero() || a.call.ended.Before(told)) {
			told = a.call.ended
		}
	}
	for _, a := range arrivals {
		if !told.IsZero() && a.call.sent.Sub(told) > leavingAllowance && s.quietFrom(h, told, a.At) {
			return []string{fmt.Sprintf("%s sent %s to %s, %v after it had said that it leaves", h.name, a.ID, e.ID, a.At.Sub(told))}
		}
	}
	return nil
}

// checkRests looks at one host's requests to an upstream that asked for time.
func (s *strikes) checkRests(e *standin.PlatformEngine, h *host, arrivals []sent) []string {
	for _, asking := range arrivals {
		from, until := asking.At.Add(restAllowance), asking.At.Add(asking.RetryAfter)
		count := 0
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(until) && s.quietFrom(h, asking.At, a.At) {
				count++
			}
		}
		if count > restSends {
			return []string{fmt.Sprintf("%s sent %d requests to %s within %v for which it wanted none", h.name, count, e.ID, asking.RetryAfter)}
		}
	}
	return nil
}
