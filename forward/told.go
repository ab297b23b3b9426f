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

// Told notes what an upstream says of itself with an answer, and tells other
// hosts that it leaves. What it asks for concerns this host alone. The request
// is empty for answers to this host's own calls.
func (r *Router) Told(upstream string, w call.SelfReport, request string) {
	if w.Instance != "" && w.Instance != upstream {
		return // another one, at its address
	}
	if w.InvalidRetryAfter != "" {
		r.Metrics.Counter("rests_unusable").Inc(1)
		event.RestUnusable.Info("Request", request, "Upstream", upstream, "Text", w.InvalidRetryAfter)
	}
	rests := w.Status == http.StatusServiceUnavailable && w.RetryAfter > 0
	if !w.Leaving && !rests {
		return
	}
	now, leaves, start := clock.Now(), false, int64(0)
	r.Board.Update(upstream, func(s health.State) health.State {
		if w.Leaving {
			leaves = s.LeavingSource != availability.Answer
			s.Standing, start = s.WithLeaving(availability.Answer, now), s.Start
		}
		if rests {
			s.Standing = s.WithRest(w.RetryAfter, now)
		}
		return s
	})
	if leaves {
		r.Metrics.Counter("upstreams_leaving").Inc(1)
		event.UpstreamLeaves.Info("Upstream", upstream, "Source", availability.Answer, "Request", request)
		r.Pulses.Leaving(loadreport.Leaving{Engine: loadreport.Short(upstream), Start: uint64(start)})
	}
	if rests {
		r.Metrics.Counter("rests").Inc(1)
		event.UpstreamRests.Info("Request", request, "Upstream", upstream, "Millis", w.RetryAfter.Milliseconds())
	}
}
