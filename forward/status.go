package forward

import (
	"net/http"

	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

// RecordStatus records the status that an upstream reports of itself with an
// answer, and reports to other hosts if it is leaving. A Retry-After pause
// applies to this host alone. The request ID is empty for answers to this host's
// own calls.
func (r *Router) RecordStatus(upstream string, report call.SelfReport, request string) {
	if report.Instance != "" && report.Instance != upstream {
		return // another upstream has taken over the address
	}
	if report.InvalidRetryAfter != "" {
		r.Metrics.Counter("rests_unusable").Inc(1)
		event.RetryAfterInvalid.Info("Request", request, "Upstream", upstream, "Text", report.InvalidRetryAfter)
	}
	r.recordLimit(upstream, report, request)
	r.recordBrittle(upstream, report, request)
	pauses := report.Status == http.StatusServiceUnavailable && report.RetryAfter > 0
	if !report.Leaving && !pauses {
		return
	}
	now, isNew, incarnation := clock.Now(), false, int64(0)
	r.Tracker.Update(upstream, func(s health.State) health.State {
		if report.Leaving {
			isNew = s.LeavingSource != availability.Answer
			s.Status, incarnation = s.WithLeaving(availability.Answer, now), s.Incarnation
		}
		if pauses {
			s.Status = s.WithRetryAfter(report.RetryAfter, now)
		}
		return s
	})
	if isNew {
		r.Metrics.Counter("upstreams_leaving").Inc(1)
		event.UpstreamLeaving.Info("Upstream", upstream, "Source", availability.Answer, "Request", request)
		r.LoadReports.NotifyLeaving(loadreport.Leaving{Engine: loadreport.HashEngine(upstream), Incarnation: uint64(incarnation)})
	}
	if pauses {
		r.Metrics.Counter("rests").Inc(1)
		event.RetryAfterReceived.Info("Request", request, "Upstream", upstream, "Millis", report.RetryAfter.Milliseconds())
	}
}

// recordBrittle records whether an upstream says with an answer that it is brittle.
func (r *Router) recordBrittle(upstream string, report call.SelfReport, request string) {
	now := clock.Now()
	before := r.Tracker.State(upstream).Brittle(now)
	if !before && !report.Brittle {
		return
	}
	r.Tracker.Update(upstream, func(s health.State) health.State {
		if report.Brittle {
			s.Status = s.WithBrittle(now)
		} else {
			s.Status = s.WithoutBrittle()
		}
		return s
	})
	if before != report.Brittle {
		event.BrittlenessChanged.Info("Upstream", upstream, "Request", request, "Brittle", report.Brittle)
	}
}

// recordLimit records the limit that an upstream names with an answer, or its
// end.
func (r *Router) recordLimit(upstream string, report call.SelfReport, request string) {
	if report.InvalidLimit != "" {
		r.Metrics.Counter("limits_unusable").Inc(1)
		event.LimitInvalid.Info("Request", request, "Upstream", upstream, "Text", report.InvalidLimit)
		return
	}
	before := r.Tracker.State(upstream)
	switch {
	case report.Limited:
		isNew := r.setLimit(upstream, report.RequestsPerSecond, availability.Answer, request, report.Status)
		if request == "" {
			r.Tracker.Update(upstream, func(s health.State) health.State {
				s.Status = s.WithLimitInOwnCalls()
				return s
			})
		}
		if isNew {
			r.Metrics.Counter("upstream_limits").Inc(1)
			r.LoadReports.NotifyLimit(loadreport.Limit{Engine: loadreport.HashEngine(upstream), Incarnation: uint64(before.Incarnation), Limited: true, PerSecond: report.RequestsPerSecond})
		}
	case (request != "" || before.OwnCallsNameLimit()) && report.Status < http.StatusInternalServerError && report.Status != http.StatusMisdirectedRequest:
		// Rejections, and answers to this host's own calls, may name no limit
		// though there is one.
		if r.endLimit(upstream, request) {
			r.LoadReports.NotifyLimit(loadreport.Limit{Engine: loadreport.HashEngine(upstream), Incarnation: uint64(before.Incarnation)})
		}
	}
}

// SetRemoteLimit records a limit that another host reported, or its end.
func (r *Router) SetRemoteLimit(upstream string, l loadreport.Limit) {
	if l.Limited {
		r.setLimit(upstream, l.PerSecond, availability.Peer, "", 0)
	} else {
		r.endLimit(upstream, "")
	}
}

// setLimit sets the limit of an upstream, and reports whether it is new. The
// request and the status are those of the answer that named it, if any.
func (r *Router) setLimit(upstream string, perSecond float64, by availability.Source, request string, status int) (isNew bool) {
	now := clock.Now()
	r.Tracker.Update(upstream, func(s health.State) health.State {
		s.Status, isNew = s.WithLimit(perSecond, by, now)
		return s
	})
	if state := r.Tracker.State(upstream); state.NeedsPart(now) {
		r.withPart(upstream, state, now)
	}
	if isNew {
		event.LimitNamed.Info("Upstream", upstream, "Request", request, "AnswerStatus", status, "PerSecond", perSecond, "Part", r.Tracker.State(upstream).Part())
	}
	return isNew
}

// endLimit ends the limit of an upstream, and reports whether it had one.
func (r *Router) endLimit(upstream, request string) bool {
	now := clock.Now()
	_, since, limited := r.Tracker.State(upstream).Limit(now)
	if !limited {
		return false
	}
	r.Tracker.Update(upstream, func(s health.State) health.State {
		s.Status = s.WithoutLimit()
		return s
	})
	event.LimitEnded.Info("Upstream", upstream, "Request", request, "Millis", now.Sub(since).Milliseconds())
	return true
}
