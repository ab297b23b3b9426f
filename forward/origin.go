package forward

import (
	"context"
	"slices"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/software"
)

// findOrigin finds the software version that began the stream that the caller
// resumes. It returns false if the stream is refused.
func (h *handler) findOrigin(ctx context.Context) bool {
	origin := h.Origins.Find(ctx, h.service.Name, h.call.BeganBy)
	event.StreamTakenUp.Info("Request", h.call.ID, "Stream", h.call.BeganBy, "After", h.call.ResumeAfter, "Software", origin.Version, "Source", origin.Source)
	h.Metrics.Tagged(map[string]string{"source": origin.Source.String()}).Counter("streams_taken_up").Inc(1)
	switch {
	case origin.Known:
		h.software = origin.Version
		return true
	case origin.Source == software.Uncertain:
		// Hosts that are in step can serve the caller now.
		h.refusal = call.Refuse(call.Unresumable).WithRetryAfter(retryAfterShort)
	case origin.Source == software.Unreadable:
		h.refusal = call.Refuse(call.Unresumable).WithRetryAfter(retryAfterStartup)
	default:
		h.refusal = call.Refuse(call.Unresumable).WithRetryAfter(retryAfterUnresumable)
	}
	return false
}

// mayRun reports whether the software of an upstream may run the request.
func (h *handler) mayRun(e discovery.Entry) bool {
	return h.software == "" || e.Software == h.software
}

// isUnresumable reports whether no upstream that stays has the software version that
// began the stream, and sets the refusal if so.
func (h *handler) isUnresumable() bool {
	upstreams := h.snapshot.Upstreams.Service(h.service.Name)
	if h.software == "" || len(upstreams) == 0 || slices.ContainsFunc(upstreams, func(e discovery.Entry) bool { return h.mayRun(e) && !e.Leaving }) {
		return false // a host that has just started may not know them yet
	}
	h.refusal = call.Refuse(call.Unresumable).WithRetryAfter(retryAfterUnresumable)
	return true
}

// recordOrigin records the software version that began the stream, before its first
// event is relayed.
func (s *stream) recordOrigin() {
	if s.attempt.relay {
		return // the other host records it
	}
	s.software = s.attempt.software
	if s.route.Resumable && !s.originRecorded {
		s.originRecorded = true
		s.Origins.Began(s.ctx, s.service.Name, s.call.ID, s.software)
	}
}
