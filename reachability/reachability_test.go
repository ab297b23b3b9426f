package reachability_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/reachability"
)

// TestState checks when a host counts as cut off.
func TestState(t *testing.T) {
	start := clock.Instant(time.Hour)
	quiet := reachability.State{}.WithReached(start)
	later := start.Add(time.Second)
	for _, c := range []struct {
		name                 string
		state                reachability.State
		reached, unreachable int
		want                 bool
	}{
		{"no upstream is reachable", quiet, 0, 5, true},
		{"one upstream is reachable", quiet, 1, 4, false},
		{"few are known", quiet, 0, 1, false},
		{"one has answered meanwhile", quiet.WithReached(later), 0, 5, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(c.state.WithProbes(later, c.reached, c.unreachable, later.Add(time.Second)).Isolated(), c.want)
		})
	}
	is := is.New(t)
	is.True(!quiet.WithFailed("a").Suspects(start.Add(10 * time.Millisecond))) // a single engine may be down
	is.True(!quiet.WithFailed("a").WithFailed("a").ConnectionsFail())
	failing := quiet.WithFailed("a").WithFailed("b")
	is.True(failing.ConnectionsFail())
	is.True(failing.WithReached(later).ConnectionsFail()) // old connections live on
	is.True(!failing.WithReached(later).Isolated())
	is.True(!failing.WithConnected(later).ConnectionsFail())
	is.True(!quiet.WithSent(start).Silent(start.Add(10 * time.Millisecond)))
	is.True(quiet.WithSent(start).WithSent(later).Silent(later))
	is.True(!quiet.WithSent(start).WithReached(later).Silent(later))
	is.True(quiet.Suspects(later))
	is.True(!quiet.WithProbes(later, 0, 5, later).WithReached(later).Isolated())
}

// fakeLinks accepts connections unless they are cut.
type fakeLinks struct {
	mu  sync.Mutex
	cut bool
}

var errCut = errors.New("the link is cut")

func (f *fakeLinks) Probe(context.Context, string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		return errCut
	}
	return nil
}

func (f *fakeLinks) set(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// TestMonitor cuts the host off and heals the cut.
func TestMonitor(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	links := &fakeLinks{}
	m := reachability.NewMonitor(ctx, &wait, reachability.Options{Prober: links, Metrics: tally.NoopScope, Addresses: func(string) []string {
		var all []string
		for i := range 8 {
			all = append(all, fmt.Sprint(i))
		}
		return all
	}})
	await := func(want bool) {
		for deadline := time.Now().Add(30 * time.Second); m.Isolated("models") != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting until isolated is %v", want)
			}
			if want {
				m.Failed("models", "0")
			}
		}
	}
	links.set(true)
	await(true)
	is := is.New(t)
	is.Equal(m.IsolatedServices(), []string{"models"})
	is.True(!m.Isolated("desk"))
	links.set(false)
	await(false)
}

// TestSilentUpstreamsDontIsolateTheHost leaves requests without an answer while
// upstreams accept connections: they may be silent for a second.
func TestSilentUpstreamsDontIsolateTheHost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	probed := make(chan struct{}, 100)
	m := reachability.NewMonitor(ctx, &wait, reachability.Options{Prober: &fakeLinks{}, Metrics: tally.NoopScope, OnRefused: func(string) {}, Addresses: func(string) []string {
		probed <- struct{}{}
		return []string{"a", "b"}
	}})
	for checks := 0; checks < 3; {
		m.Sent("models")
		select {
		case <-probed: // the host checks because of the silence
			checks++
		case <-time.After(time.Millisecond):
		}
		if m.Isolated("models") || m.ConnectionsFail("models") {
			t.Fatal("the host counts as cut off")
		}
	}
}

// TestFailuresAfterTheEndStartNothing reports failed connections while the host
// stops: requests end later than what the monitor's owner waits for.
func TestFailuresAfterTheEndStartNothing(t *testing.T) {
	for range 200 {
		ctx, cancel := context.WithCancel(context.Background())
		var wait conc.WaitGroup
		m := reachability.NewMonitor(ctx, &wait, reachability.Options{Prober: &fakeLinks{}, Metrics: tally.NoopScope, Addresses: func(string) []string { return nil }})
		wait.Go(func() { <-ctx.Done() })
		var requests sync.WaitGroup
		requests.Go(func() {
			<-ctx.Done()
			time.Sleep(time.Millisecond)
			m.Failed("models", "0")
		})
		time.AfterFunc(time.Millisecond, cancel)
		wait.Wait()
		requests.Wait()
	}
}

// TestHostThatIsCutOffReportsNoUpstreamsAsDown lets all connections be refused: only
// once another upstream has accepted one may the host tell others of the refusals.
func TestHostThatIsCutOffReportsNoUpstreamsAsDown(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	links := &fakeLinks{}
	links.set(true)
	reported := make(chan string, 100)
	m := reachability.NewMonitor(ctx, &wait, reachability.Options{
		Prober: links, Metrics: tally.NoopScope, OnRefused: func(upstream string) { reported <- upstream },
		Addresses: func(string) []string { return []string{"a", "b", "c"} },
	})
	m.Refused("models", "a", "engine-a")
	for deadline := time.Now().Add(30 * time.Second); !m.Isolated("models"); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the host notices that it is cut off
	}
	m.Refused("models", "b", "engine-b")
	links.set(false)
	for deadline := time.Now().Add(30 * time.Second); m.Isolated("models"); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the host reaches them again
	}
	m.Refused("models", "c", "engine-c")
	is.Equal(<-reported, "engine-c")
	is.Equal(len(reported), 0)
}

// TestRefusalAtEndOfCheck has an upstream refuse a connection when a check has already
// reported the refusals that it knows, but has not ended. The refusal must be reported
// nevertheless, though no request follows.
func TestRefusalAtEndOfCheck(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	reported := make(chan string, 100)
	var m *reachability.Monitor
	m = reachability.NewMonitor(ctx, &wait, reachability.Options{
		Prober: &fakeLinks{}, Metrics: tally.NoopScope, Addresses: func(string) []string { return []string{"a", "b", "c"} },
		OnRefused: func(upstream string) {
			if upstream == "engine-a" {
				m.Refused("models", "c", "engine-c")
			}
			reported <- upstream
		},
	})
	m.Refused("models", "a", "engine-a")
	for _, want := range []string{"engine-a", "engine-c"} {
		select {
		case upstream := <-reported:
			is.Equal(upstream, want)
		case <-time.After(20 * time.Second):
			t.Fatalf("%s is not reported", want)
		}
	}
}
