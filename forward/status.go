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

// recordLimit records the limit that an upstream names with an answer, or its
// end.
func (r *Router) recordLimit(upstream string, report call.SelfReport, request string) {
	now := clock.Now()
	if report.InvalidLimit != "" {
		r.Metrics.Counter("limits_unusable").Inc(1)
		event.LimitInvalid.Info("Request", request, "Upstream", upstream, "Text", report.InvalidLimit)
		return
	}
	_, since, limited := r.Tracker.State(upstream).Limit(now)
	isNew := false
	switch {
	case report.Limited:
		r.Tracker.Update(upstream, func(s health.State) health.State {
			s.Status, isNew = s.WithLimit(report.RequestsPerSecond, availability.Answer, now)
			return s
		})
	case limited && request != "" && report.Status < http.StatusInternalServerError && report.Status != http.StatusMisdirectedRequest:
		// A rejection may come from before the limit, or from a proxy of it.
		r.Tracker.Update(upstream, func(s health.State) health.State {
			s.Status = s.WithoutLimit()
			return s
		})
		event.LimitEnded.Info("Upstream", upstream, "Request", request, "Millis", now.Sub(since).Milliseconds())
	}
	if isNew {
		r.Metrics.Counter("upstream_limits").Inc(1)
		event.LimitNamed.Info("Upstream", upstream, "Request", request, "AnswerStatus", report.Status, "PerSecond", report.RequestsPerSecond, "Part", r.Tracker.State(upstream).Part())
	}
}
