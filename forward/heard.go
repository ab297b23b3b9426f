package forward

import (
	"net/http"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/pulse"
	"github.com/kumquathoist/kumquathoist/standing"
)

// heardOf notes what an answer tells of its upstream, and tells other hosts
// that it leaves. What it asks for concerns this host alone.
func (d *run) heardOf(a *attempt) {
	x := a.exchange
	if x.Unusable != "" {
		d.Metrics.Counter("rests_unusable").Inc(1)
		event.RestUnusable.Info("Request", d.call.ID, "Upstream", a.id, "Text", x.Unusable)
	}
	rests := x.Status == http.StatusServiceUnavailable && x.Rest > 0
	if !x.Leaving && !rests {
		return
	}
	now, leaves, start := clock.Now(), false, int64(0)
	d.Board.Update(a.id, func(s health.State) health.State {
		if x.Leaving {
			leaves = s.LeavingSource != standing.Answer
			s.Standing, start = s.WithLeaving(standing.Answer, now), s.Start
		}
		if rests {
			s.Standing = s.WithRest(x.Rest, now)
		}
		return s
	})
	if leaves {
		d.Metrics.Counter("upstreams_leaving").Inc(1)
		event.UpstreamLeaves.Info("Upstream", a.id, "Source", standing.Answer, "Request", d.call.ID)
		d.Pulses.Leaving(pulse.Leaving{Engine: pulse.Short(a.id), Start: uint64(start)})
	}
	if rests {
		d.Metrics.Counter("rests").Inc(1)
		event.UpstreamRests.Info("Request", d.call.ID, "Upstream", a.id, "Millis", x.Rest.Milliseconds())
	}
}
