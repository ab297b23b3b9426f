package forward

import (
	"context"
	"errors"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/relay"
	"github.com/kumquathoist/kumquathoist/retry"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

// relayEncoder encodes requests for other hosts.
type relayEncoder interface {
	EncodeRelay(dst []byte, s call.UpstreamRequest) []byte
}

// Relays holds what a router needs to pass requests on to other hosts.
type Relays struct {
	// Hosts returns the other hosts that may serve requests; none if nil.
	Hosts   func() []relay.Host
	Sender  sender
	Encoder relayEncoder
}

// relayTarget returns the host to which the request is passed on. It returns false
// and sets the refusal if there is none.
func (h *handler) relayTarget() (target, bool) {
	h.refusal = refusal(call.Isolated)
	if h.call.Relayed || h.Relays.Hosts == nil || h.relayed >= relay.MaxHosts {
		return target{}, false
	}
	h.mu.Lock()
	failures := h.relayFailures
	h.mu.Unlock()
	host, ok := failures.Choose(h.service.Name, h.Relays.Hosts(), h.FailureDomain, func(name string) bool { return h.tried[name] }, h.spread, clock.Now())
	if !ok {
		return target{}, false
	}
	t := target{id: host.Name, address: host.Address, relay: true, send: call.UpstreamRequest{Call: h.call}}
	t.send.Attempts = h.retryState.MaybeExecuted
	return t, true
}

// relayTo passes the request on to another host and waits for its answer, or for the
// first event of a stream. It sets no time limit of its own: the other host retries.
func (h *handler) relayTo(ctx context.Context, t target, resumeAfter string) (*call.Answer, retry.Outcome) {
	t.send.ResumeAfter, t.send.Timeout = resumeAfter, h.timeLeft()
	a := &attempt{target: t, started: clock.Now()}
	ctx, a.cancel = context.WithCancel(ctx)
	h.enter(a)
	h.Metrics.Counter("relayed").Inc(1)
	event.CallRelayed.Info("Request", h.call.ID, "Service", h.service.Name, "Host", t.id, "Attempts", t.send.Attempts, "LeftMillis", t.send.Timeout.Milliseconds())
	var err error
	a.exchange, err = h.Relays.Sender.Send(ctx, t.address, h.call.ID, h.call.Method, h.Relays.Encoder.EncodeRelay(make([]byte, 0, headBytes), t.send), h.call.Body)
	if !errors.Is(err, http1.ErrRefused) {
		h.relayed++ // one that refuses connections is of an earlier program, or is gone
	}
	switch {
	case errors.Is(err, http1.ErrNotSent):
		return nil, h.failAttempt(a, retry.NotSent, err)
	case err != nil:
		return nil, h.failAttempt(a, a.outcome(err), err)
	}
	if !a.exchange.Certified && h.stage != retrybudget.Streaming {
		return h.readRefusal(a)
	}
	return h.readCertified(a)
}

// readRefusal reads an answer that the other host generated itself. The caller gets it
// unless yet another host may serve the request.
func (h *handler) readRefusal(a *attempt) (*call.Answer, retry.Outcome) {
	x := a.exchange
	if x.Elsewhere {
		x.SkipRest()
		h.endAttempt(a)
		return nil, h.recordFailure(a, retry.NotSent, nil)
	}
	body, held, err := h.readBody(x)
	if err != nil || !x.Complete() {
		h.Answers.Release(held)
		return nil, h.failAttempt(a, a.outcome(err), err)
	}
	x.Finish()
	h.endAttempt(a)
	return &call.Answer{Status: x.Status, Body: body, HeldBytes: held, RetryAfter: x.RetryAfter, Reason: call.Relayed}, retry.Answered
}

// recordRelayFailure records that another host did not serve the request. Only if the
// request did not get there, or isn't served there, does the host get no more for a
// while.
func (h *handler) recordRelayFailure(a *attempt, o retry.Outcome, err error) retry.Outcome {
	if o == retry.NotSent && !errors.Is(err, context.Canceled) {
		h.tried[a.id] = true
		h.mu.Lock()
		h.relayFailures = h.relayFailures.WithFailed(h.service.Name, a.id, clock.Now())
		h.mu.Unlock()
	}
	reason := ""
	if err != nil {
		reason = event.Line(err)
	}
	event.RelayFailed.Info("Request", h.call.ID, "Service", h.service.Name, "Host", a.id, "Outcome", o, "Millis", clock.Now().Sub(a.started).Milliseconds(), "Reason", reason)
	return o
}

// knowsOrigin finds the software version of a stream that another host began, before
// it continues. It returns false if the stream can't continue.
func (s *stream) knowsOrigin(broken *attempt) bool {
	if !broken.relay || s.lastID == "" || s.software != "" {
		return true
	}
	origin := s.Origins.Find(s.ctx, s.service.Name, s.call.Began())
	s.software = origin.Version
	return origin.Known
}
