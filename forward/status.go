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
// answer, and reports to other hosts that it is leaving. A Retry-After pause
// applies to this host alone. The request is empty for answers to this host's
// own calls.
func (r *Router) RecordStatus(upstream string, w call.SelfReport, request string) {
	if w.Instance != "" && w.Instance != upstream {
		return // another upstream has taken over the address
	}
	if w.InvalidRetryAfter != "" {
		r.Metrics.Counter("rests_unusable").Inc(1)
		event.RetryAfterInvalid.Info("Request", request, "Upstream", upstream, "Text", w.InvalidRetryAfter)
	}
	pauses := w.Status == http.StatusServiceUnavailable && w.RetryAfter > 0
	if !w.Leaving && !pauses {
		return
	}
	now, isNew, incarnation := clock.Now(), false, int64(0)
	r.Tracker.Update(upstream, func(s health.State) health.State {
		if w.Leaving {
			isNew = s.LeavingSource != availability.Answer
			s.Status, incarnation = s.WithLeaving(availability.Answer, now), s.Incarnation
		}
		if pauses {
			s.Status = s.WithRetryAfter(w.RetryAfter, now)
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
		event.RetryAfterReceived.Info("Request", request, "Upstream", upstream, "Millis", w.RetryAfter.Milliseconds())
	}
}
