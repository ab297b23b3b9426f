// Package reachability decides whether a host reaches the upstreams of a service
// while callers and other hosts still reach it. Such a host is not offered to
// callers, and passes on to other hosts what its callers still send (package relay).
package reachability

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// quietTime is how long no upstream must have answered before a failed
	// connection makes the host check whether it reaches any.
	quietTime = 300 * time.Millisecond
	// silentTime is how long requests may wait without an answer from any upstream
	// before the host checks the same.
	silentTime = 600 * time.Millisecond
	// silenceCheckInterval is the time between two looks for such requests.
	silenceCheckInterval = 100 * time.Millisecond
	// minUnconnected is how many upstreams must have failed to accept a connection,
	// and none has since, for new connections to count as failing.
	minUnconnected = 2
	// probedUpstreams is how many upstreams are checked at once: one that is down
	// doesn't mean that the host is cut off.
	probedUpstreams = 8
	// minUnreachable is how many upstreams must be unreachable, and none reachable,
	// for the host to count as cut off.
	minUnreachable = 2
	// probeTimeout limits a check of an upstream.
	probeTimeout = 400 * time.Millisecond
	// probeInterval is the time between checks while the host is cut off.
	probeInterval = 300 * time.Millisecond
)

// State is what a host knows of its connections to a service's upstreams. It is
// immutable.
type State struct {
	// reachedAt is when an upstream last answered or accepted a connection.
	reachedAt clock.Instant
	// waitingSince is when the oldest request was sent since an upstream last
	// answered; 0 for none.
	waitingSince clock.Instant
	// unconnected are addresses of upstreams that did not accept a connection since
	// one last did.
	unconnected []string
	// isolated means that the host is cut off from all of them.
	isolated bool
}

// Isolated reports whether the host is cut off from all upstreams of the service.
func (s State) Isolated() bool { return s.isolated }

// ConnectionsFail reports whether upstreams accept no new connections of this host,
// though open ones may still work.
func (s State) ConnectionsFail() bool { return s.isolated || len(s.unconnected) >= minUnconnected }

// WithSent returns the state after a request was sent.
func (s State) WithSent(now clock.Instant) State {
	if s.waitingSince == 0 {
		s.waitingSince = now
	}
	return s
}

// WithReached returns the state after an upstream answered on an open connection.
func (s State) WithReached(now clock.Instant) State {
	return State{reachedAt: now, unconnected: s.unconnected}
}

// WithConnected returns the state after an upstream accepted a connection.
func (s State) WithConnected(now clock.Instant) State { return State{reachedAt: now} }

// WithFailed returns the state after a connection to an address failed.
func (s State) WithFailed(address string) State {
	if !slices.Contains(s.unconnected, address) && len(s.unconnected) < minUnconnected {
		s.unconnected = append(slices.Clip(s.unconnected), address)
	}
	return s
}

// Suspects reports whether the host has to check, after a failed connection, whether
// it reaches any upstream.
func (s State) Suspects(now clock.Instant) bool {
	return s.ConnectionsFail() || now.Sub(s.reachedAt) >= quietTime
}

// Silent reports whether requests have waited so long that the host has to check the
// same.
func (s State) Silent(now clock.Instant) bool {
	return s.waitingSince != 0 && now.Sub(s.waitingSince) >= silentTime
}

// WithProbes returns the state after checks of several upstreams that began at an
// instant. Failed ones say nothing of the service if an upstream has answered since.
func (s State) WithProbes(began clock.Instant, reached, unreachable int, now clock.Instant) State {
	switch {
	case reached > 0:
		return s.WithConnected(now)
	case unreachable >= minUnreachable && s.reachedAt < began:
		s.isolated = true
	}
	return s
}

// prober opens connections to upstreams.
type prober interface {
	// Probe checks whether an address accepts connections.
	Probe(ctx context.Context, address string) error
}

// Options configures a Monitor.
type Options struct {
	Prober prober
	// Addresses returns the addresses of a service's known upstreams.
	Addresses func(service string) []string
	// OnRefused is called with an upstream that refused a connection once another one
	// of its service has accepted one: before that, the host itself may be cut off.
	OnRefused func(upstream string)
	Metrics   tally.Scope
}

// Monitor watches whether the host reaches the upstreams of each service.
type Monitor struct {
	Options

	// suspected wakes the goroutine that starts checks.
	suspected chan struct{}
	// mu guards the fields below.
	mu     sync.Mutex
	states map[string]State
	// probing holds the services whose upstreams are being checked, suspects those
	// whose check has yet to start, and missed those suspected again during a check.
	probing, suspects, missed map[string]bool
	// refused holds the upstreams of each service that OnRefused has yet to report.
	refused map[string][]string
}

// NewMonitor returns a monitor that works until the context ends.
func NewMonitor(ctx context.Context, wait *conc.WaitGroup, o Options) *Monitor {
	m := &Monitor{
		Options: o, suspected: make(chan struct{}, 1),
		states: map[string]State{}, probing: map[string]bool{}, suspects: map[string]bool{}, missed: map[string]bool{}, refused: map[string][]string{},
	}
	wait.Go(func() { m.run(ctx) })
	return m
}

// run checks the services that are suspected until the context ends.
func (m *Monitor) run(ctx context.Context) {
	var checks conc.WaitGroup
	defer checks.Wait()
	silence := time.NewTicker(silenceCheckInterval)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.suspected:
		case <-silence.C:
			m.suspectSilent(clock.Now())
		}
		for _, service := range m.takeSuspects() {
			checks.Go(func() { m.check(ctx, service) })
		}
	}
}

// suspectSilent adds the services whose upstreams have been silent for too long to
// the suspects.
func (m *Monitor) suspectSilent(now clock.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, s := range m.states {
		if s.Silent(now) && !m.probing[service] {
			m.suspects[service] = true
		}
	}
}

// takeSuspects returns the services whose check starts now.
func (m *Monitor) takeSuspects() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var services []string
	for service := range m.suspects {
		services = append(services, service)
		m.probing[service] = true
	}
	clear(m.suspects)
	return services
}

// check probes the upstreams of a service until one accepts a connection, or until
// nothing speaks against that any more.
func (m *Monitor) check(ctx context.Context, service string) {
	for m.probe(ctx, service); m.ConnectionsFail(service) && ctx.Err() == nil; m.probe(ctx, service) {
		clock.Pause(ctx, probeInterval)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.probing, service)
	if m.missed[service] {
		// The check may have ended before it could see what it was suspected for.
		delete(m.missed, service)
		m.suspect(service)
	}
}

// Isolated reports whether the host is cut off from all upstreams of a service.
func (m *Monitor) Isolated(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[service].Isolated()
}

// ConnectionsFail reports whether upstreams of a service accept no new connections
// of this host.
func (m *Monitor) ConnectionsFail(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.states[service].ConnectionsFail()
}

// IsolatedServices returns the services from whose upstreams the host is cut off.
func (m *Monitor) IsolatedServices() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var services []string
	for service, s := range m.states {
		if s.Isolated() {
			services = append(services, service)
		}
	}
	return services
}

// Sent records that a request was sent to an upstream of a service.
func (m *Monitor) Sent(service string) {
	m.update(service, func(s State) State { return s.WithSent(clock.Now()) })
}

// Reached records that an upstream of a service answered on an open connection.
func (m *Monitor) Reached(service string) {
	m.update(service, func(s State) State { return s.WithReached(clock.Now()) })
}

// Connected records that an upstream of a service accepted a connection.
func (m *Monitor) Connected(service string) {
	m.update(service, func(s State) State { return s.WithConnected(clock.Now()) })
	m.reportRefused(service)
}

// Failed records that a connection to an address of a service failed.
func (m *Monitor) Failed(service, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[service].WithFailed(address)
	m.states[service] = s
	if s.Suspects(clock.Now()) {
		m.suspect(service)
	}
}

// Refused records that the address of an upstream refused a connection.
func (m *Monitor) Refused(service, address, upstream string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.states[service].WithFailed(address)
	m.states[service] = s
	if !s.ConnectionsFail() {
		m.refused[service] = append(m.refused[service], upstream)
	}
	m.suspect(service)
}

// suspect has the upstreams of a service checked. The caller holds mu.
func (m *Monitor) suspect(service string) {
	if m.probing[service] {
		m.missed[service] = true
		return
	}
	m.suspects[service] = true
	select {
	case m.suspected <- struct{}{}:
	default: // the goroutine has yet to take the suspects
	}
}

// reportRefused reports the upstreams that refused a connection to a service before
// another one accepted one.
func (m *Monitor) reportRefused(service string) {
	m.mu.Lock()
	refused := m.refused[service]
	delete(m.refused, service)
	m.mu.Unlock()
	for _, upstream := range refused {
		m.OnRefused(upstream)
	}
}

func (m *Monitor) update(service string, change func(State) State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.states[service]
	after := change(before)
	m.states[service] = after
	if after.ConnectionsFail() {
		delete(m.refused, service)
	}
	if after.isolated == before.isolated {
		return
	}
	quiet := clock.Now().Sub(before.reachedAt).Milliseconds()
	if after.isolated {
		m.Metrics.Counter("isolations").Inc(1)
		event.HostIsolated.Info("Service", service, "QuietMillis", quiet)
		return
	}
	event.HostReconnected.Info("Service", service, "Millis", quiet)
}

// probe checks some upstreams of a service, drawn at random.
func (m *Monitor) probe(ctx context.Context, service string) {
	addresses := m.Addresses(service)
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), probedUpstreams)]
	began := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	errs := make([]error, len(addresses))
	var probes conc.WaitGroup
	for i, address := range addresses {
		probes.Go(func() { errs[i] = m.Prober.Probe(ctx, address) })
	}
	probes.Wait()
	reached := 0
	for _, err := range errs {
		if err == nil {
			reached++
		}
	}
	m.update(service, func(s State) State {
		for i, err := range errs {
			if err != nil {
				s = s.WithFailed(addresses[i])
			}
		}
		return s.WithProbes(began, reached, len(errs)-reached, clock.Now())
	})
	if reached > 0 {
		m.reportRefused(service)
	}
}
