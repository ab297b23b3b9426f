package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/liveness"
)

// limit ends an attempt that has no answer, or no first event, at the end of its time.
type limit struct {
	*handler

	attempt *attempt
	// software is the version at which the stream had begun before the attempt, or "".
	software string
	timer    *time.Timer
	// check checks the engine of an attempt without a first event for longer than usual.
	check *time.Timer
	// silent is set while the attempt's engine and all others leave checks unanswered.
	silent bool
	// mu guards the closing of ended. Until then the limit may end the attempt, and the
	// handler's list of tried upstreams does not change.
	mu    sync.Mutex
	ended chan struct{}
}

// limitAttempt begins the time of an attempt. It returns a function that ends the limit.
func (h *handler) limitAttempt(a *attempt) (stop func()) {
	l := &limit{handler: h, attempt: a, software: h.software, ended: make(chan struct{})}
	l.timer = time.AfterFunc(h.attemptTimeout(), l.run)
	l.check = time.AfterFunc(h.route.Objective, l.checkQuiet)
	return l.stop
}

// stop ends the limit.
func (l *limit) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.ended)
	l.timer.Stop()
	l.check.Stop()
}

// checkQuiet checks the attempt's engine if it has answered nothing since the request was
// sent, so that it is known whether it has stood still should it be lost.
func (l *limit) checkQuiet() {
	if l.Tracker.State(l.attempt.id).AnsweredAt() < l.attempt.started {
		l.checkAlive(l.attempt.target)
	}
}

// run ends the attempt once it may no longer wait.
func (l *limit) run() {
	l.mu.Lock()
	if isClosed(l.ended) {
		l.mu.Unlock()
		return
	}
	tried := maps.Clone(l.tried)
	l.mu.Unlock()
	for !isClosed(l.ended) {
		if l.mayWait(tried) {
			continue
		}
		if l.giveUp() {
			return
		}
		l.await(nil, searchInterval)
	}
}

// giveUp ends the attempt, unless the request could not be sent again then.
func (l *limit) giveUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isClosed(l.ended) || l.timeLeft() > minTimeLeft && !l.reserveRetry() {
		return false
	}
	l.attempt.abandon()
	return true
}

// mayWait reports whether an attempt without a first event may go on past its time, and
// lets some of it pass if so: while its engine and all others are silent, since no other
// could serve the request sooner, and once more when its engine wakes, since its first
// event may be due. A host that reaches no engine passes the request on instead.
func (l *limit) mayWait(tried map[string]bool) bool {
	if l.service.Engine == nil || l.route.Kind != catalog.Stream || l.timeLeft() <= minTimeLeft || l.Reachability.Isolated(l.service.Name) {
		return false
	}
	answered := l.checkAlive(l.attempt.target)
	answers := l.await(answered, liveness.AnswerTime)
	if !answers && l.anyAnswers(l.others(tried)...) {
		// If all were silent, its engine may wake with the others, and a little later.
		if answers = l.silent && l.await(answered, liveness.AnswerTime); !answers {
			return false
		}
	}
	if answers && !l.silent {
		return false
	}
	l.silent = !answers && !l.await(answered, searchInterval)
	if !l.silent {
		l.await(nil, searchInterval)
	}
	return true
}

// await waits for the answer to a check, or until the limit ends.
func (l *limit) await(answered <-chan struct{}, atMost time.Duration) bool {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-l.ended:
	case <-timer.C:
	}
	return false
}

// others lists some upstreams that could run the request if the attempt fails.
func (l *limit) others(tried map[string]bool) []target {
	silent := l.Liveness.Silent()
	upstreams := l.usable(l.Replica.State(), l.service, l.call.Prompt.Model, func(e discovery.Entry) bool {
		return tried[e.ID] || silent[e.ID] || l.software != "" && e.Software != l.software
	})
	targets := make([]target, min(len(upstreams), maxSilentTargets))
	for i := range targets {
		targets[i] = target{id: upstreams[i].ID, address: upstreams[i].Address}
	}
	return targets
}

// anyAnswers reports whether one of some upstreams answers a check.
func (h *handler) anyAnswers(targets ...target) bool {
	answered := make(chan struct{}, len(targets))
	ctx, cancel := context.WithTimeout(h.ctx, liveness.AnswerTime)
	defer cancel()
	for _, t := range targets {
		check := h.checkAlive(t)
		h.Background.Go(func() {
			select {
			case <-check:
				answered <- struct{}{}
			case <-ctx.Done():
			}
		})
	}
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	}
}
