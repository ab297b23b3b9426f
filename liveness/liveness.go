// Package liveness tells upstreams that are silent from those that only have nothing to
// say yet.
//
// A process that stands still answers nothing, while its machine still acknowledges what
// it is sent. One that works answers a status report at once, however busy it is.
package liveness

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// AnswerTime is how long an upstream that works takes at most to answer a check.
	AnswerTime = 100 * time.Millisecond
	// callTimeout limits one call, retryDelay is the delay after a failed one.
	callTimeout = 3 * time.Second
	retryDelay  = 100 * time.Millisecond
	// maxCheckTime limits a check.
	maxCheckTime = 10 * time.Second
)

// prober asks an upstream for a sign of life, and waits for the answer.
type prober interface {
	Probe(ctx context.Context, address, upstream string) error
}

// Monitor checks upstreams.
type Monitor struct {
	ctx    context.Context
	wait   *conc.WaitGroup
	prober prober
	// mu guards checks, the checks that are not answered yet, by upstream.
	mu     sync.Mutex
	checks map[string]check
}

// check is a check that is not answered yet.
type check struct {
	began    clock.Instant
	answered chan struct{}
}

// NewMonitor returns a monitor whose checks end with the context.
func NewMonitor(ctx context.Context, wait *conc.WaitGroup, p prober) *Monitor {
	return &Monitor{ctx: ctx, wait: wait, prober: p, checks: map[string]check{}}
}

// Check returns a channel that is closed once an upstream has answered a check after
// now. All who check an upstream at a time share one call.
func (m *Monitor) Check(address, upstream string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.checks[upstream]; ok {
		return c.answered
	}
	c := check{began: clock.Now(), answered: make(chan struct{})}
	m.checks[upstream] = c
	m.wait.Go(func() { m.run(address, upstream, c) })
	return c.answered
}

// run carries out a check.
func (m *Monitor) run(address, upstream string, c check) {
	ctx, cancel := context.WithTimeout(m.ctx, maxCheckTime)
	defer cancel()
	for ctx.Err() == nil {
		call, cancelCall := context.WithTimeout(ctx, callTimeout)
		err := m.prober.Probe(call, address, upstream)
		cancelCall()
		if err == nil {
			m.end(upstream)
			close(c.answered)
			return
		}
		clock.Pause(ctx, retryDelay)
	}
	m.end(upstream)
}

// end forgets a check.
func (m *Monitor) end(upstream string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.checks, upstream)
}

// Silent returns the upstreams that have left a check unanswered for AnswerTime; nil if
// there are none.
func (m *Monitor) Silent() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var silent map[string]bool
	for upstream, c := range m.checks {
		if clock.Now().Sub(c.began) < AnswerTime {
			continue
		}
		if silent == nil {
			silent = map[string]bool{}
		}
		silent[upstream] = true
	}
	return silent
}
