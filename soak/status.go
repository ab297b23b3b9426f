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
	// leavingPeriod is how long a leaving upstream continues to serve.
	leavingPeriod = 4 * time.Second
	// leavingGrace is how long callers' requests may still be sent to an upstream
	// after it has answered that it is leaving. pauseGrace is the same after an
	// answer that asks for a Retry-After pause, and pauseMaxSends the number of
	// requests that may be sent from then until the end of the pause. The users
	// set these limits.
	leavingGrace  = 2 * time.Second
	pauseGrace    = 500 * time.Millisecond
	pauseMaxSends = 2
)

// changeStatus makes an upstream ask for a Retry-After pause or report that it is
// leaving.
func (fi *faultInjector) changeStatus(f Fault) {
	u := fi.upstreamAt(f.Target)
	if f.Kind == AskRetryAfter {
		fi.current(u).RejectWithRetryAfter(strconv.FormatFloat(f.For.Seconds(), 'f', 1+2*(f.Variant%2), 64), f.For)
		return
	}
	if _, loaded := fi.restarting.LoadOrStore(u, true); loaded {
		return
	}
	defer fi.restarting.Delete(u)
	leaving := fi.current(u)
	leaving.SignalLeavingToRequests()
	leaving.SignalLeavingToControlCalls()
	fi.pause(leavingPeriod)
	fi.recordUpstreamFault(time.Now().Add(2 * entryRemovalDelay))
	// If the restart fails, the address stays empty and the checks at the end of
	// the run report it.
	_ = fi.replaceUpstream(u, false)
}

// faultSpan is a period in which a host's process or links had a fault.
type faultSpan struct {
	from, until time.Time
	// planned marks the beginning and the end of a planned stop.
	planned bool
}

// faultFreeBetween reports whether a host had no fault between two times.
func (fi *faultInjector) faultFreeBetween(h *host, from, until time.Time) bool {
	for _, span := range fi.faultSpans[h] {
		if !span.from.After(until) && !span.until.Before(from) {
			return false
		}
	}
	return true
}

// calmBetween reports whether a host had no unplanned fault between two times.
func (fi *faultInjector) calmBetween(h *host, from, until time.Time) bool {
	for _, span := range fi.faultSpans[h] {
		if !span.planned && !span.from.After(until) && !span.until.Before(from) {
			return false
		}
	}
	return true
}

// hostArrival is a request as an upstream received it, with its call.
type hostArrival struct {
	standin.PlatformArrival

	call *call
}

// checkStatus checks what hosts sent to upstreams that were leaving or had asked
// for a Retry-After pause.
func (fi *faultInjector) checkStatus(calls []*call) []string {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	byID := map[string]*call{}
	for _, c := range calls {
		byID[c.id] = c
	}
	var violations []string
	for _, e := range fi.all() {
		byHost := map[*host][]hostArrival{}
		for _, a := range e.Arrivals() {
			if c := byID[a.ID]; c != nil {
				byHost[c.host] = append(byHost[c.host], hostArrival{a, c})
			}
		}
		for h, arrivals := range byHost {
			violations = append(violations, fi.checkLeaving(e, h, arrivals)...)
			violations = append(violations, fi.checkPauses(e, h, arrivals)...)
		}
	}
	return violations
}

// checkLeaving checks one host's requests to a leaving upstream.
func (fi *faultInjector) checkLeaving(e *standin.PlatformEngine, h *host, arrivals []hostArrival) []string {
	var reported time.Time
	for _, a := range arrivals {
		forwarded := a.Leaving && a.call.answer.Status == http.StatusOK && strings.HasPrefix(a.call.answer.Stamp, e.ID+".")
		if forwarded && (reported.IsZero() || a.call.ended.Before(reported)) {
			reported = a.call.ended
		}
	}
	for _, a := range arrivals {
		if !reported.IsZero() && a.call.sent.Sub(reported) > leavingGrace && fi.faultFreeBetween(h, reported, a.At) {
			return []string{fmt.Sprintf("%s sent %s to %s, %v after it had reported that it is leaving", h.name, a.ID, e.ID, a.At.Sub(reported))}
		}
	}
	return nil
}

// checkPauses checks one host's requests to an upstream that asked for Retry-After
// pauses.
func (fi *faultInjector) checkPauses(e *standin.PlatformEngine, h *host, arrivals []hostArrival) []string {
	for _, request := range arrivals {
		from, until := request.At.Add(pauseGrace), request.At.Add(request.RetryAfter)
		count := 0
		for _, a := range arrivals {
			// What names an earlier ID of the address was not sent to this upstream.
			if !a.IsMisdirected && a.At.After(from) && a.At.Before(until) && fi.faultFreeBetween(h, request.At, a.At) {
				count++
			}
		}
		if count > pauseMaxSends {
			return []string{fmt.Sprintf("%s sent %d requests to %s within its Retry-After pause of %v", h.name, count, e.ID, request.RetryAfter)}
		}
	}
	return nil
}
