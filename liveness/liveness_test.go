package liveness_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/liveness"
)

// fakeProber answers the checks of an upstream when its channel closes.
type fakeProber struct {
	answers  map[string]chan struct{}
	failures atomic.Int64
	calls    atomic.Int64
}

// Probe implements the monitor's prober.
func (f *fakeProber) Probe(ctx context.Context, _, upstream string) error {
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
