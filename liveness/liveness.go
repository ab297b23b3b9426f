// Package liveness tells upstreams that are silent from those that only have nothing to
// say yet.
//
// A process that stands still answers nothing, while its machine still acknowledges what
// it is sent. One that works answers a status report at once, however busy it is.
package liveness

import (
	"context"
	"errors"
	"maps"
	"sync"
	"sync/atomic"
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

// ErrClosed means that an upstream closed or refused the connection of a call. That is a
// sign of life, or its end.
var ErrClosed = errors.New("closed by the upstream")

// prober asks an upstream for a sign of life, and waits for the answer. It calls connected
// once the upstream's machine has accepted the connection.
type prober interface {
	Probe(ctx context.Context, address, upstream string, connected func()) error
}

// Silence is a time in which an upstream left a check unanswered, though its machine had
// accepted the connection; the zero value is none.
type Silence struct{ From, Until clock.Instant }

// Covers reports whether an upstream was silent for AnswerTime at least, until no longer
// than that before an instant.
func (s Silence) Covers(now clock.Instant) bool {
	return s.From != 0 && s.Until.Sub(s.From) >= AnswerTime && now.Sub(s.Until) <= AnswerTime
}

// Monitor checks upstreams.
type Monitor struct {
	ctx    context.Context
	wait   *conc.WaitGroup
	prober prober
	// mu guards the fields below. checks holds the checks that are not answered yet, closed
	// the silences of upstreams that closed the connection of a check, both by upstream.
	mu     sync.Mutex
	checks map[string]*check
	closed map[string]Silence
}

// check is a check that is not answered yet.
type check struct {
	began, until clock.Instant
	answered     chan struct{}
	// silence is that of the upstream so far; it lasts while waiting is set.
	silence Silence
	waiting bool
}

// NewMonitor returns a monitor whose checks end with the context.
func NewMonitor(ctx context.Context, wait *conc.WaitGroup, p prober) *Monitor {
	return &Monitor{ctx: ctx, wait: wait, prober: p, checks: map[string]*check{}, closed: map[string]Silence{}}
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
		err := m.call(address, upstream, c)
		if err == nil || errors.Is(err, ErrClosed) {
			m.finish(upstream, c, err != nil)
			return
		}
		clock.Pause(m.ctx, retryDelay)
	}
}

// call makes one call of a check. One that can't connect says nothing of the upstream.
func (m *Monitor) call(address, upstream string, c *check) error {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	var connected atomic.Bool
	err := m.prober.Probe(ctx, address, upstream, func() {
		connected.Store(true)
		m.mu.Lock()
		defer m.mu.Unlock()
		c.waiting = true
		if c.silence.From == 0 {
			c.silence.From = clock.Now()
		}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	c.waiting = false
	switch {
	case connected.Load():
		c.silence.Until = clock.Now()
	case !errors.Is(err, ErrClosed):
		c.silence = Silence{}
	}
	return err
}

// finish ends a check with a sign of life.
func (m *Monitor) finish(upstream string, c *check, closed bool) {
	m.mu.Lock()
	delete(m.checks, upstream)
	delete(m.closed, upstream)
	if now := clock.Now(); closed && c.silence.Covers(now) {
		maps.DeleteFunc(m.closed, func(_ string, s Silence) bool { return !s.Covers(now) })
		m.closed[upstream] = c.silence
	}
	m.mu.Unlock()
	close(c.answered)
}

// Silence returns the silence that an upstream is in, or that ended when it closed the
// connection of a check.
func (m *Monitor) Silence(upstream string) Silence {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.checks[upstream]
	switch {
	case !ok:
		return m.closed[upstream]
	case c.waiting:
		return Silence{From: c.silence.From, Until: clock.Now()}
	}
	return c.silence
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
