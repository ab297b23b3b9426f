package forward

import (
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
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
	// patienceShare is the part of its caller's patience that a resumable
	// stream waits for an event before it goes on elsewhere.
	patienceShare = 0.6
	// answerShare is the part of the remaining time that the first try of a
	// repeatable request gets, so that another can still be made.
	answerShare = 0.5
	// leastAnswerWait is the least time for such a try.
	leastAnswerWait = 350 * time.Millisecond
	// longPrompt is how many tokens to be read make a request worth telling
	// other hosts of at once.
	longPrompt = 2000
	// earlyEvents is how many events of a stream count as its first, like
	// attempt.Limits.Early: a request that ends its engine does so when it
	// begins to run, and one that has run for long was only there.
	earlyEvents = 8
	// maxAnswerBytes bounds an answer that is held whole, bodyBlock is in which
	// pieces it is read.
	maxAnswerBytes = 4 << 20
	bodyBlock      = 4 << 10
)

// run is one request on its way.
type run struct {
	*Router

	call    call.Call
	book    replica.Book
	route   catalog.Route
	account catalog.Account
	service catalog.Service
	// spread is a number that spreads requests evenly.
	spread uint64
	// end is when the caller or the route's time-out ends the wait.
	end   clock.Instant
	state retry.State
	// tried holds the upstreams that were tried.
	tried map[string]bool
	// failure is an upstream's own error, passed on if nothing better comes.
	failure *call.Answer
	// refusal is why the request is not sent, if it is not.
	refusal     call.Answer
	fingerprint quarantine.Fingerprint
	// stage tells whether some of the answer has been passed on.
	stage retrybudget.Stage
	// arrivals counts the sends that reached an upstream.
	arrivals int
	// ctx ends when the caller leaves or the end is reached; release ends what
	// the request holds.
	ctx     context.Context
	release func()
}

// left returns the time until the end.
func (d *run) left() time.Duration { return d.end.Sub(clock.Now()) }

// guardAdmit asks whether the request crashes upstreams. It returns why the
// request is refused, if it is.
func (d *run) guardAdmit(ctx context.Context) (release func(), refusal *call.Answer) {
	d.fingerprint = quarantine.Of(request.Request{Model: d.account.Name, Path: d.call.Target, Body: d.call.Body})
	release, refused := d.Guard.Admit(ctx, d.call.ID, d.fingerprint)
	if refused == nil {
		return release, nil
	}
	answer := call.Refuse(call.DeadlinePast)
	switch {
	case refused.Code == request.Quarantined:
		answer = call.Refuse(call.Quarantined).WithRetryAfter(returnLater)
	case errors.Is(ctx.Err(), context.Canceled):
		answer = call.Refuse(call.CallerLeft)
	}
	return nil, &answer
}

// run tries upstreams until there is an answer.
func (d *run) run(ctx context.Context) call.Answer {
	d.first(d.service.Name)
	for {
		t, ok := d.place(ctx)
		if !ok {
			return d.conclude(ctx)
		}
		answer, outcome := d.try(ctx, t, d.call.ResumeAfter)
		if outcome == retry.Answered {
			return *answer
		}
		if !d.again(ctx, outcome) {
			return d.conclude(ctx)
		}
	}
}

// again takes note of a failed try and tells whether another may be made.
func (d *run) again(ctx context.Context, outcome retry.Outcome) bool {
	d.state = d.state.With(outcome)
	if ctx.Err() != nil || d.left() < leastLeft || !d.state.Again() {
		return false
	}
	if d.Guard.Condemned(d.call.ID, d.fingerprint) {
		d.refusal = call.Refuse(call.Quarantined).WithRetryAfter(returnLater)
		return false
	}
	if outcome == retry.NotSent && d.arrivals == 0 || d.repeat(d.service.Name, d.stage) {
		return true
	}
	d.Metrics.Counter("repeats_refused").Inc(1)
	return false
}

// conclude returns the answer of a request that is given up.
func (d *run) conclude(ctx context.Context) call.Answer {
	if d.failure != nil {
		return *d.failure
	}
	if d.refusal.Reason != "" && d.state.Ran == 0 {
		return d.refusal
	}
	reason := d.state.Final()
	if errors.Is(ctx.Err(), context.Canceled) {
		reason = call.CallerLeft
	}
	a := call.Refuse(reason)
	if a.Status == 503 {
		a = a.WithRetryAfter(returnSoon)
	}
	return a
}

// target is the upstream of one try.
type target struct {
	id, address string
	send        call.UpstreamRequest
	// prefill is how many prompt tokens it must read, rank its urgency.
	prefill, rank int
}

// attempt is one try in progress.
type attempt struct {
	target

	exchange *http1.Exchange
	cancel   context.CancelFunc
	started  clock.Instant
	// start tells the upstream's start from others, if known.
	start string
	// late tells that the time for this try ran out.
	late atomic.Bool
	// begun tells that the upstream has begun to answer, events counts those
	// that it has sent.
	begun  bool
	events int
}

// lostEarly tells whether the upstream ended the connection with no more than
// its first events sent.
func (a *attempt) lostEarly(o retry.Outcome, err error) bool {
	return o == retry.Broken && http1.Cut(err) && a.events <= earlyEvents
}

// outcome returns how a try ended that was sent and met an error.
func (a *attempt) outcome(err error) retry.Outcome {
	if a.late.Load() || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return retry.Late
	}
	return retry.Broken
}

// try sends the request to an upstream and waits for its answer, for streams
// for the first event.
func (d *run) try(ctx context.Context, t target, resumeAfter string) (*call.Answer, retry.Outcome) {
	d.tried[t.id] = true
	t.send.ResumeAfter, t.send.Timeout = resumeAfter, d.left()
	a := &attempt{target: t, started: clock.Now(), start: d.startOf(t.id)}
	ctx, a.cancel = context.WithCancel(ctx)
	timer := time.AfterFunc(d.tryTime(), func() { a.late.Store(true); a.cancel() })
	defer timer.Stop()
	defer d.withdraw(a)()
	d.Board.Update(t.id, func(s health.State) health.State { return s.WithSend(t.rank, t.prefill, clock.Now()) })
	if t.prefill > longPrompt {
		d.Pulses.Hurry()
	}
	raw := d.Encoder.EncodeSend(make([]byte, 0, len(d.call.Body)+1024), t.send)
	var err error
	a.exchange, err = d.Sender.Send(ctx, t.address, d.call.ID, d.call.Method, raw)
	if err != nil {
		outcome := a.outcome(err)
		if errors.Is(err, http1.ErrNotSent) {
			outcome = retry.NotSent
		}
		if outcome != retry.NotSent {
			d.arrivals++
		}
		return nil, d.failed(a, outcome, err)
	}
	d.arrivals++
	return d.read(a)
}

// startOf returns what tells an upstream's start from others under its id, as
// far as its entry shows.
func (d *run) startOf(id string) string {
	if e, ok := d.book.Roster.Entry(id); ok && e.Born > 0 {
		return strconv.FormatInt(e.Born, 10)
	}
	return ""
}

// tryTime returns how long the next try may take: all the time that is left
// if the request may not be sent again after it.
func (d *run) tryTime() time.Duration {
	left := d.left()
	last := !d.state.MayRepeat || d.state.Ran+1 >= d.state.MaxUpstreams || !d.mayRepeat(d.service.Name, d.stage)
	switch {
	case last:
		return left
	case d.route.Kind == catalog.Stream:
		return min(left, d.eventWait())
	}
	return min(left, max(leastAnswerWait, time.Duration(answerShare*float64(left))))
}

// eventWait returns how long a resumable stream waits for an event.
func (d *run) eventWait() time.Duration {
	return time.Duration(patienceShare * float64(d.route.Patience()))
}

// read judges the head of an answer and reads as much of it as is needed
// before the caller can be answered.
func (d *run) read(a *attempt) (*call.Answer, retry.Outcome) {
	x := a.exchange
	d.sawWeights(a.id, x.Weights)
	d.Told(a.id, a.exchange.SelfReport, d.call.ID)
	switch {
	case x.NotRun || x.Status == 421:
		d.readTurnedAway(a)
		return nil, d.failed(a, retry.TurnedAway, nil)
	case !x.Certified || x.Encoded:
		return nil, d.failed(a, retry.Broken, errUncertified)
	case d.route.Kind == catalog.Stream && x.Status < 300:
		return d.beginStream(a)
	}
	body, err := d.readBody(x)
	if err != nil || !x.Whole() {
		return nil, d.failed(a, a.outcome(err), err)
	}
	answer := call.Answer{Status: x.Status, Fields: x.Fields, Body: body}
	d.begun(a)
	x.Finish()
	if x.Status >= 500 {
		d.failure = &answer
		return nil, d.failed(a, retry.Failed, nil)
	}
	d.ended(a)
	d.Guard.Answered(d.call.ID, d.fingerprint)
	return &answer, retry.Answered
}

// errHeld is why an answer is given up that would take too much memory.
var errHeld = errors.New("too much is held of answers that are not whole")

// readBody reads an answer that is held whole, within what this host may hold
// of all such answers while they come in.
func (d *run) readBody(x *http1.Exchange) ([]byte, error) {
	var body []byte
	held := 0
	defer func() { d.held.Add(-int64(held)) }()
	for len(body) < maxAnswerBytes {
		start := len(body)
		body = append(body, make([]byte, bodyBlock)...)
		n, err := x.Read(body[start:])
		body = body[:start+n]
		held += n
		if d.held.Add(int64(n)) > d.HeldBytes {
			return nil, errHeld
		}
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
	return nil, errHeld
}

// errUncertified is why an answer without the upstream's signature is not
// passed on.
var errUncertified = errors.New("the answer is not certified by the upstream")

// readTurnedAway learns from an upstream that did not run the request.
func (d *run) readTurnedAway(a *attempt) {
	x := a.exchange
	now := clock.Now()
	var next int64
	if named, ok := d.Knowledge.Book().Weights(a.send.Prompt.Model); ok {
		next, _ = named.After(a.send.Weights)
	}
	d.Board.Update(a.id, func(s health.State) health.State {
		switch {
		case x.Status != 421:
			return s.WithTurnedAway(now)
		case x.Instance != "" && x.Instance != a.id:
			s.Gone = true
			return s
		case a.send.Weights > 0:
			return s.WithOtherWeights(next, now)
		}
		return s.WithTurnedAway(now)
	})
	if x.Status == 421 && x.Instance != "" && x.Instance != a.id {
		d.Pulses.Down(loadreport.Short(a.id))
	}
	x.Drop()
}

// sawWeights notes which weights an engine has, and tells other hosts if they
// are newer than was known.
func (d *run) sawWeights(engine string, number int64) {
	news := false
	d.Board.Update(engine, func(s health.State) health.State {
		known := s.Weights
		if e, ok := d.book.Roster.Entry(engine); ok {
			known = max(known, e.Weights[d.call.Prompt.Model])
		}
		news = number > known
		return s.WithWeights(number)
	})
	if news {
		d.Pulses.Loaded(loadreport.Loaded{Engine: loadreport.Short(engine), Number: uint64(number)})
	}
}

// begun notes the first sign of an answer.
func (d *run) begun(a *attempt) {
	if a.begun {
		return
	}
	a.begun = true
	now := clock.Now()
	expected := d.route.Objective / 2
	late := now.Sub(a.started) - expected
	d.Metrics.Histogram("first_event_time", timeBuckets).RecordDuration(now.Sub(a.started))
	d.Board.Update(a.id, func(s health.State) health.State {
		return s.WithAnswer(now, late).WithBegun(a.rank, a.prefill)
	})
	d.saw(a)
}

// ended releases what a try holds.
func (d *run) ended(a *attempt) {
	a.cancel()
	d.Board.Update(a.id, func(s health.State) health.State {
		if !a.begun {
			s = s.WithBegun(a.rank, a.prefill)
		}
		return s.WithEnd()
	})
}

// failed ends a try without an answer and returns its outcome.
func (d *run) failed(a *attempt, o retry.Outcome, err error) retry.Outcome {
	if a.exchange != nil && o != retry.TurnedAway && o != retry.Failed {
		a.exchange.Discard()
	}
	d.ended(a)
	return d.note(a, o, err)
}

// note takes note of a try without an answer and returns its outcome.
func (d *run) note(a *attempt, o retry.Outcome, err error) retry.Outcome {
	now := clock.Now()
	left := errors.Is(err, context.Canceled) && !a.late.Load()
	d.Board.Update(a.id, func(s health.State) health.State {
		switch o {
		case retry.NotSent:
			return s.WithRefused(now)
		case retry.Broken, retry.Late, retry.Failed:
			if !left {
				return s.WithFailure(now)
			}
		}
		return s
	})
	if errors.Is(err, http1.ErrRefused) {
		d.Pulses.Down(loadreport.Short(a.id))
	}
	if a.lostEarly(o, err) {
		d.Guard.Lost(quarantine.Loss{
			Attempt: d.call.ID, Fingerprint: d.fingerprint, Engine: a.id, Start: a.start, Sent: time.Now().Add(-now.Sub(a.started)),
		})
	}
	d.Metrics.Tagged(map[string]string{"outcome": o.String()}).Counter("tries_failed").Inc(1)
	reason := ""
	if err != nil {
		reason = event.Line(err)
	}
	status := 0
	if a.exchange != nil {
		status = a.exchange.Status
	}
	event.TryFailed.Info("Request", d.call.ID, "Upstream", a.id, "Outcome", o, "Status", status, "Millis", now.Sub(a.started).Milliseconds(), "Weights", a.send.Weights, "Reason", reason)
	return o
}

// finish logs and counts how a request ended.
func (d *run) finish(a call.Answer) {
	outcome := string(a.Reason)
	if outcome == "" {
		outcome = "Answered"
	}
	event.CallEnded.Info("Request", d.call.ID, "Route", d.route.Name, "Account", d.account.Name, "Outcome", outcome, "Status", a.Status,
		"Millis", clock.Now().Sub(d.call.Arrived).Milliseconds(), "LeftMillis", d.left().Milliseconds(), "Ran", d.state.Ran, "TurnedAway", d.state.Turned, "RetryAfter", a.RetryAfter)
	d.count(d, a)
}
