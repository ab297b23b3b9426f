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
	// maxCheckTime limits a check, from the last time that somebody asked for it.
	maxCheckTime = 30 * time.Second
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
	checks map[string]*check
}

// check is a check that is not answered yet.
type check struct {
	began, until clock.Instant
	answered     chan struct{}
}

// NewMonitor returns a monitor whose checks end with the context.
func NewMonitor(ctx context.Context, wait *conc.WaitGroup, p prober) *Monitor {
	return &Monitor{ctx: ctx, wait: wait, prober: p, checks: map[string]*check{}}
}

// Check returns a channel that is closed once an upstream has answered a check after
// now. All who check an upstream at a time share one call.
func (m *Monitor) Check(address, upstream string) <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clock.Now()
	c, ok := m.checks[upstream]
	if ok {
		c.until = now.Add(maxCheckTime)
		return c.answered
	}
	c = &check{began: now, until: now.Add(maxCheckTime), answered: make(chan struct{})}
	m.checks[upstream] = c
	m.wait.Go(func() { m.run(address, upstream, c) })
	return c.answered
}

// run carries out a check.
func (m *Monitor) run(address, upstream string, c *check) {
	for !m.ends(upstream, c) {
		ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
		err := m.prober.Probe(ctx, address, upstream)
		cancel()
		if err == nil {
			m.mu.Lock()
			delete(m.checks, upstream)
			m.mu.Unlock()
			close(c.answered)
			return
		}
		clock.Pause(m.ctx, retryDelay)
	}
}

// ends reports whether a check's time is up, and forgets it if so.
func (m *Monitor) ends(upstream string, c *check) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ctx.Err() == nil && clock.Now().Before(c.until) {
		return false
	}
	delete(m.checks, upstream)
	return true
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
