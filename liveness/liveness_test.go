package liveness_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/liveness"
)

// fakeProber answers the checks of an upstream when its channel closes.
type fakeProber struct {
	answers  map[string]chan struct{}
	failures atomic.Int64
	calls    atomic.Int64
}

// Probe implements the monitor's prober.
func (f *fakeProber) Probe(ctx context.Context, _, upstream string, connected func()) error {
	f.calls.Add(1)
	if f.failures.Add(-1) >= 0 {
		return errors.New("reset")
	}
	select {
	case <-f.answers[upstream]:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func TestMonitor(t *testing.T) {
	is := is.New(t)
	var wait conc.WaitGroup
	defer wait.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	prober := &fakeProber{answers: map[string]chan struct{}{"a": make(chan struct{}), "b": make(chan struct{})}}
	m := liveness.NewMonitor(ctx, &wait, prober)
	is.Equal(m.Silent(), nil)
	close(prober.answers["b"])
	<-m.Check("1.2.3.4:5", "b")
	first := m.Check("1.2.3.4:4", "a")
	for len(m.Silent()) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(m.Silent(), map[string]bool{"a": true})
	second := m.Check("1.2.3.4:4", "a")
	is.True(first == second) // they share a call
	select {
	case <-first:
		t.Fatal("a silent upstream counts as alive")
	default:
	}
	close(prober.answers["a"])
	<-first
	is.Equal(m.Silent(), nil)
	is.Equal(prober.calls.Load(), int64(2))
}

func TestFailedCheckIsRepeated(t *testing.T) {
	is := is.New(t)
	var wait conc.WaitGroup
	defer wait.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	prober := &fakeProber{answers: map[string]chan struct{}{"a": make(chan struct{})}}
	prober.failures.Store(2)
	close(prober.answers["a"])
	<-liveness.NewMonitor(ctx, &wait, prober).Check("1.2.3.4:4", "a")
	is.Equal(prober.calls.Load(), int64(3))
}

// scriptedProber connects or not, and ends its call with an error once it is released.
type scriptedProber struct {
	connects bool
	err      error
	released chan struct{}
}

// Probe implements the monitor's prober.
func (p scriptedProber) Probe(ctx context.Context, _, _ string, connected func()) error {
	if p.connects {
		connected()
	}
	select {
	case <-p.released:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TestSilence checks which unanswered checks show a silence, while they last and after
// their end.
func TestSilence(t *testing.T) {
	for _, c := range []struct {
		name         string
		prober       scriptedProber
		during, then bool
	}{
		{"the check is answered", scriptedProber{connects: true}, true, false},
		{"its connection is closed", scriptedProber{connects: true, err: liveness.ErrClosed}, true, true},
		{"its connection is refused", scriptedProber{err: liveness.ErrClosed}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var wait conc.WaitGroup
			defer wait.Wait()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c.prober.released = make(chan struct{})
			m := liveness.NewMonitor(ctx, &wait, c.prober)
			answered := m.Check("1.2.3.4:4", "a")
			time.Sleep(2 * liveness.AnswerTime)
			is.Equal(m.Silence("a").Covers(clock.Now()), c.during)
			close(c.prober.released)
			<-answered
			s := m.Silence("a")
			is.Equal(s.Covers(s.Until), c.then)
			is.True(!s.Covers(s.Until.Add(2 * liveness.AnswerTime)))
		})
	}
}
