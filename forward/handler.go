package forward

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/retry"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

const (
	// resumeTimeoutShare is the share of the caller's event timeout after which
	// a resumable stream without an event resumes at another upstream.
	resumeTimeoutShare = 0.6
	// attemptShare is the share of the time left that an attempt gets if the
	// request may be retried after it.
	attemptShare = 0.5
	// minAttemptTimeout is the least timeout of such an attempt.
	minAttemptTimeout = 350 * time.Millisecond
	// flushPromptTokens is the number of prompt tokens to read above which a
	// request triggers an early load report to the other hosts.
	flushPromptTokens = 2000
	// maxEarlyEvents is the number of events of a stream that count as early,
	// like attempt.Limits.EarlyTokens. A request that crashes its engine does so
	// when it starts to run; one that has run for long is not the cause.
	maxEarlyEvents = 8
	// headBytes is the usual size of the head of a request.
	headBytes = 1024
)

// handler handles one request.
type handler struct {
	*Router

	call     call.Call
	snapshot replica.State
	route    catalog.Route
	account  catalog.Account
	service  catalog.Service
	// spread is a hash of the request that spreads requests evenly.
	spread uint64
	// deadline is the earlier of the caller's and the route's deadline.
	deadline   clock.Instant
	retryState retry.State
	// forgiven counts the rejections that no longer count in retryState.
	forgiven int
	// reserved is set while a retry is counted against the budget and not made yet.
	reserved atomic.Bool
	// tried holds the ids of the upstreams that were tried.
	tried map[string]bool
	// ran holds the attempts that may have run.
	ran ranAttempts
	// upstreamError is an upstream's own error, returned if no later attempt
	// succeeds.
	upstreamError *call.Answer
	// refusal is the answer if the request is not sent.
	refusal call.Answer
	// denied is why the last decision on a further attempt was against it, or "".
	denied denial
	// content identifies the request and its parts to the guard.
	content quarantine.Content
	// software is the version of the upstreams at which the stream must continue;
	// "" as long as it has not begun.
	software string
	// originRecorded is set once the version that began the stream was recorded.
	originRecorded bool
	// needsAnswering excludes upstreams that are known to be silent, even if there are
	// no others.
	needsAnswering bool
	// stage shows whether a part of the answer has been relayed.
	stage retrybudget.Stage
	// delivered counts the attempts that reached an upstream, relayed those that were
	// passed on to another host.
	delivered, relayed int
	// ctx ends when the caller disconnects or at the deadline; release frees
	// the request's resources.
	ctx     context.Context
	release func()
}

// timeLeft returns the time until the deadline.
func (h *handler) timeLeft() time.Duration { return h.deadline.Sub(clock.Now()) }

// admitByGuard asks the guard to admit the request. It returns a refusal if the
// request crashes upstreams, or if it waited too long for a trial run of the same
// request.
func (h *handler) admitByGuard(ctx context.Context) (release func(), refusal *call.Answer) {
	h.content = contentOf(h.call, h.account.Name)
	release, refused := h.Guard.Admit(ctx, h.call.ID, h.content)
	if refused == nil {
		return release, nil
	}
	answer := call.Refuse(call.DeadlinePast)
	switch {
	case refused.Code == request.Quarantined:
		answer = call.Refuse(call.Quarantined).WithRetryAfter(retryAfterQuarantine)
	case hostStops(ctx):
		answer = call.Refuse(call.Stopping).WithRetryAfter(retryAfterStopping)
	case errors.Is(ctx.Err(), context.Canceled):
		answer = call.Refuse(call.CallerLeft)
	}
	return nil, &answer
}

// hostStops reports whether a request was ended because its host stops.
func hostStops(ctx context.Context) bool { return errors.Is(context.Cause(ctx), call.ErrStopping) }

// contentOf returns the content of a call of an account. The fingerprint of the
// call covers the account instead of a model.
func contentOf(c call.Call, account string) quarantine.Content {
	r := request.Request{Account: account, Model: account, Path: c.Target, Body: c.Body}
	var shared [][]byte
	for _, p := range c.Prompt.Shared() {
		shared = append(shared, []byte(p.ID))
	}
	return quarantine.ContentOf(r, c.Prompt.Model, shared...)
}

// handle makes attempts until there is an answer.
func (h *handler) handle(ctx context.Context) call.Answer {
	if h.call.ResumeAfter != "" && h.route.Kind == catalog.Stream && !h.findOrigin(ctx) {
		return unlessRan(h.refusal, h.call)
	}
	if h.call.Attempts == 0 && !h.Reachability.Isolated(h.service.Name) {
		// Of a request that is passed on, one host counts the first attempt.
		h.recordFirst(h.service.Name, h.call.Prompt.Input)
	}
	for {
		t, ok := h.schedule(ctx)
		if !ok {
			return h.finalAnswer(ctx)
		}
		answer, outcome := h.sendTo(ctx, t, h.call.ResumeAfter)
		if outcome == retry.Answered {
			return *answer
		}
		if !h.shouldRetry(ctx, outcome) {
			return h.finalAnswer(ctx)
		}
	}
}

// shouldRetry records a failed attempt and reports whether another may be made.
func (h *handler) shouldRetry(ctx context.Context, outcome retry.Outcome) bool {
	h.retryState = h.retryState.With(outcome)
	return h.retryAllowed(ctx, outcome)
}

// retryAllowed reports whether another attempt may be made after a failed one that was
// recorded, and counts it against the retry budget.
func (h *handler) retryAllowed(ctx context.Context, outcome retry.Outcome) bool {
	if h.denied = h.retryDenial(ctx); h.denied != "" {
		return false
	}
	if h.reserved.Swap(false) || outcome == retry.NotSent && h.delivered == 0 || h.tryRetry(h.service.Name, h.stage) {
		return true
	}
	h.denied = deniedBudget
	h.Metrics.Counter("repeats_refused").Inc(1)
	return false
}

// reserveRetry counts the next attempt against the retry budget ahead of time, if the
// budget allows one.
func (h *handler) reserveRetry() bool {
	if !h.reserved.Load() {
		h.reserved.Store(h.tryRetry(h.service.Name, h.stage))
	}
	return h.reserved.Load()
}

// isQuarantined reports whether the request has been quarantined since it was
// admitted, and sets the refusal if so.
func (h *handler) isQuarantined() bool {
	if !h.Guard.IsQuarantined(h.call.ID, h.content) {
		return false
	}
	h.refusal = call.Refuse(call.Quarantined).WithRetryAfter(retryAfterQuarantine)
	return true
}

// finalAnswer returns the answer to a request after its last attempt failed.
func (h *handler) finalAnswer(ctx context.Context) call.Answer {
	if h.upstreamError != nil {
		return *h.upstreamError
	}
	if h.refusal.Reason != "" && !hostStops(ctx) && h.retryState.MaybeExecuted == 0 {
		return h.refusal
	}
	reason := h.retryState.FailureReason()
	switch {
	case hostStops(ctx) && h.retryState.MaybeExecuted == 0:
		return refusal(call.Stopping)
	case errors.Is(ctx.Err(), context.Canceled) && !hostStops(ctx):
		reason = call.CallerLeft
	}
	a := call.Refuse(reason)
	if a.Status == 503 {
		a = a.WithRetryAfter(retryAfterShort)
	}
	return a
}

// sendTo sends the request to an upstream and waits for its answer, or for the
// first event of a stream.
func (h *handler) sendTo(ctx context.Context, t target, resumeAfter string) (*call.Answer, retry.Outcome) {
	if t.relay {
		return h.relayTo(ctx, t, resumeAfter)
	}
	h.tried[t.id] = true
	t.send.ResumeAfter, t.send.Timeout = resumeAfter, h.timeLeft()
	a := &attempt{target: t, started: clock.Now(), incarnation: h.incarnationOf(t.id)}
	ctx, a.cancel = context.WithCancel(ctx)
	h.enter(a)
	defer h.limitAttempt(a)()
	defer h.withdrawQueued(a)()
	h.Tracker.Update(t.id, func(s health.State) health.State { return s.WithSend(t.rank, t.prefill, clock.Now()) })
	if t.prefill > flushPromptTokens {
		h.LoadReports.FlushSoon()
	}
	head := h.Encoder.EncodeSend(make([]byte, 0, headBytes), t.send)
	h.Reachability.Sent(h.service.Name)
	var err error
	a.exchange, err = h.Sender.Send(ctx, t.address, h.call.ID, h.call.Method, head, h.call.Body)
	if err != nil {
		outcome := a.outcome(err)
		if errors.Is(err, http1.ErrNotSent) {
			outcome = retry.NotSent
			h.recordUnconnected(a.target, err)
		}
		if outcome != retry.NotSent {
			h.delivered++
		}
		return nil, h.failAttempt(a, outcome, err)
	}
	h.delivered++
	if a.exchange.IsFirst() {
		h.Reachability.Connected(h.service.Name)
	} else {
		h.Reachability.Reached(h.service.Name)
	}
	if n := a.exchange.Skipped(); n > 0 {
		h.Metrics.Counter("answers_skipped").Inc(int64(n))
		event.AnswersSkipped.Info("Request", h.call.ID, "Upstream", a.id, "Connection", a.exchange.Connection(), "Count", n)
	}
	return h.readAnswer(a)
}

// recordUnconnected records that an upstream did not accept a connection.
func (h *handler) recordUnconnected(t target, err error) {
	switch {
	case errors.Is(err, http1.ErrRefused):
		h.Reachability.Refused(h.service.Name, t.address, t.id)
	case !errors.Is(err, context.Canceled):
		h.Reachability.Failed(h.service.Name, t.address)
	}
}

// incarnationOf returns the incarnation of the upstream with an id, or "" if
// its entry has none.
func (h *handler) incarnationOf(id string) string {
	e, _ := h.snapshot.Upstreams.Entry(id)
	return incarnation(e)
}

// incarnation returns the incarnation of an entry, or "" if it has none.
func incarnation(e discovery.Entry) string {
	if e.StartTime > 0 {
		return strconv.FormatInt(e.StartTime, 10)
	}
	return ""
}

// attemptTimeout returns how long the next attempt may take: all the time left
// if the request may not be retried after it.
func (h *handler) attemptTimeout() time.Duration {
	left := h.timeLeft()
	state := h.currentState()
	isLast := !state.Idempotent || state.RunsLeft() <= 1 || !h.allowsRetry(h.service.Name, h.stage)
	switch {
	case isLast:
		return left
	case h.route.Kind == catalog.Stream:
		return min(left, h.resumeTimeout())
	}
	return min(left, max(minAttemptTimeout, time.Duration(attemptShare*float64(left))))
}

// resumeTimeout returns how long a resumable stream waits for an event before
// it resumes at another upstream.
func (h *handler) resumeTimeout() time.Duration {
	return time.Duration(resumeTimeoutShare * float64(h.route.EventTimeout()))
}

// recordWeights records the weights version of an engine, and reports it to the
// other hosts if it is newer than the known one.
func (h *handler) recordWeights(engine string, version int64) {
	newer := false
	h.Tracker.Update(engine, func(s health.State) health.State {
		known := s.Weights
		if e, ok := h.snapshot.Upstreams.Entry(engine); ok {
			known = max(known, e.Weights[h.call.Prompt.Model])
		}
		newer = version > known
		return s.WithWeights(version)
	})
	if newer {
		h.LoadReports.NotifyLoaded(loadreport.LoadedWeights{Engine: loadreport.HashEngine(engine), Version: uint64(version)})
	}
}

// recordAnswerStart records, at the start of an answer, its delay, the tokens
// that no longer wait and the parts that are now cached.
func (h *handler) recordAnswerStart(a *attempt) {
	if a.answering {
		return
	}
	a.answering = true
	if a.relay {
		return
	}
	now := clock.Now()
	expected := h.route.Objective / 2
	if a.wait > 0 {
		expected = max(expected, h.learnPace(a, now))
	}
	late := now.Sub(a.started) - expected
	h.Metrics.Histogram("first_event_time", timeBuckets).RecordDuration(now.Sub(a.started))
	h.Tracker.Update(a.id, func(s health.State) health.State {
		return s.WithAnswer(now, late).WithAnswerStarted(a.rank, a.prefill)
	})
	h.recordCachedParts(a)
}

// learnPace records the time to the first event, and returns the time that was
// expected.
func (h *handler) learnPace(a *attempt, now clock.Instant) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	pace := h.paces[h.service.Name]
	h.paces[h.service.Name] = pace.With(a.wait, now.Sub(a.started), now)
	return pace.Correct(a.wait)
}

// enter records where an attempt takes the request.
func (h *handler) enter(a *attempt) {
	a.place = &call.Place{Upstream: a.id, Moving: a.moving.Load}
	h.call.Progress.Enter(a.place)
}

// endAttempt releases the resources of an attempt.
func (h *handler) endAttempt(a *attempt) {
	a.ended.Store(true)
	a.cancel()
	h.call.Progress.Leave(a.place)
	if a.release != nil {
		a.release()
	}
	if a.relay {
		return
	}
	h.Tracker.Update(a.id, func(s health.State) health.State {
		if !a.answering {
			s = s.WithAnswerStarted(a.rank, a.prefill)
		}
		return s.WithEnd()
	})
}

// failAttempt ends an attempt without an answer and returns its outcome.
func (h *handler) failAttempt(a *attempt, o retry.Outcome, err error) retry.Outcome {
	if a.exchange != nil && o != retry.Rejected && o != retry.Failed {
		a.exchange.Discard()
	}
	h.endAttempt(a)
	if o == retry.Broken || o == retry.Late || o == retry.Failed {
		h.recordRun(a)
	}
	return h.recordFailure(a, o, err)
}

// recordFailure records an attempt without an answer and returns its outcome.
func (h *handler) recordFailure(a *attempt, o retry.Outcome, err error) retry.Outcome {
	now := clock.Now()
	disconnected := errors.Is(err, context.Canceled) && !a.wasAbandoned()
	if a.relay {
		return h.recordRelayFailure(a, o, err)
	}
	h.Tracker.Update(a.id, func(s health.State) health.State {
		switch o {
		case retry.NotSent:
			return s.WithConnectFailure(now)
		case retry.Broken, retry.Late, retry.Failed:
			if !disconnected {
				return s.WithFailure(now)
			}
		}
		return s
	})
	if a.lostEarly(o, err) {
		l := quarantine.Loss{Content: h.content, Attempt: h.call.ID, Engine: a.id, Incarnation: a.incarnation, Sent: time.Now().Add(-now.Sub(a.started)), Events: a.events}
		if at := h.Tracker.State(a.id).AnsweredAt(); at != 0 {
			l.AnsweredAt = time.Now().Add(-now.Sub(at))
		}
		l.Reset = http1.ResetByUpstream(err)
		if silence := h.Liveness.Silence(a.id); silence.Covers(now) {
			l.SilentSince = time.Now().Add(-now.Sub(silence.From))
		}
		h.Guard.Lost(l)
	}
	h.Metrics.Tagged(map[string]string{"outcome": o.String()}).Counter("tries_failed").Inc(1)
	reason := ""
	if err != nil {
		reason = event.Line(err)
	}
	var status int
	var connection int64
	if a.exchange != nil {
		status, connection = a.exchange.Status, a.exchange.Connection()
	}
	event.SendFailed.Info("Request", h.call.ID, "Upstream", a.id, "Outcome", o, "Status", status, "Connection", connection, "Millis", now.Sub(a.started).Milliseconds(), "Weights", a.send.Weights, "Reason", reason)
	return o
}

// recordEnd logs and counts the end of a request.
func (h *handler) recordEnd(a call.Answer) {
	outcome := string(a.Reason)
	if outcome == "" {
		outcome = "Answered"
	}
	event.CallEnded.Info("Request", h.call.ID, "Route", h.route.Name, "Account", h.account.Name, "Outcome", outcome, "Status", a.Status,
		"Millis", clock.Now().Sub(h.call.Arrived).Milliseconds(), "LeftMillis", h.timeLeft().Milliseconds(), "Ran", h.retryState.MaybeExecuted, "TurnedAway", h.retryState.Rejected+h.forgiven, "RetryAfter", a.RetryAfter)
	h.recordMetrics(h, a)
	if h.route.Resumable && a.Reason == "" {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.durations[h.route.Name] = h.durations[h.route.Name].With(clock.Now().Sub(h.call.Arrived))
	}
}
