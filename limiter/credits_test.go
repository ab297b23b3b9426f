package limiter_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/limiter"
	"github.com/kumquathoist/kumquathoist/registry"
)

// fault is what a host of the mesh does with calls; 0 means that it answers them.
type fault int

const (
	// hangs never answers, refuses accepts no connections, and ends closes the
	// connection of one call before it refuses the others.
	hangs fault = iota + 1
	refuses
	ends
	// outdated doesn't know the call.
	outdated
)

var errUnknownCall = errors.New("unknown rpc")

// mesh connects hosts, which share an account.
type mesh struct {
	t      *testing.T
	cancel context.CancelFunc
	calls  atomic.Int64
	// mu guards the fields below.
	mu    sync.Mutex
	limit account.Limit
	// blind holds the hosts that know of no limit.
	blind  map[string]bool
	hosts  map[string]*meshHost
	faults map[string]fault
	// asked counts the calls that asked a host for credit.
	asked map[string]int
	uses  []use
}

// meshHost is one host of the mesh.
type meshHost struct {
	*limiter.Credits

	name        string
	server      any
	description drpc.Description
}

// use is a served request.
type use struct {
	at     clock.Instant
	amount float64
}

// Register implements drpc.Mux.
func (h *meshHost) Register(server any, d drpc.Description) error {
	h.server, h.description = server, d
	return nil
}

// newMesh starts hosts that know each other.
func newMesh(t *testing.T, hosts int, limit account.Limit) *mesh {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	m := &mesh{t: t, cancel: cancel, limit: limit, blind: map[string]bool{}, hosts: map[string]*meshHost{}, faults: map[string]fault{}, asked: map[string]int{}}
	var known []registry.Host
	for i := range hosts {
		name := fmt.Sprint("host-", i)
		known = append(known, registry.Host{Name: name, Peers: name})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range known {
		h := &meshHost{name: k.Name}
		h.Credits = limiter.NewCredits(ctx, &wait, limiter.CreditOptions{
			Host: k.Name, Hosts: func() []registry.Host { return known }, Known: func() int { return hosts }, Peers: m,
			Limit: func(string) (account.Limit, bool) { return m.limitOf(k.Name) }, Active: func() bool { _, ok := m.limitOf(k.Name); return ok },
		})
		if err := limiter.RegisterCredits(h, h.Credits); err != nil {
			t.Fatal(err)
		}
		m.hosts[k.Name] = h
	}
	return m
}

func (m *mesh) limitOf(host string) (account.Limit, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.blind[host] {
		return account.Limit{}, false
	}
	return m.limit, m.limit.IsSet()
}

func (m *mesh) setLimit(l account.Limit) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limit = l
}

func (m *mesh) setFault(host string, f fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults[host] = f
}

// coordinator returns the host that was asked for credit most often.
func (m *mesh) coordinator() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := ""
	for name, n := range m.asked {
		if n > m.asked[most] {
			most = name
		}
	}
	return most
}

// Conn implements the connections of Credits.
func (m *mesh) Conn(_ context.Context, address string) drpc.Conn {
	return meshConn{mesh: m, address: address}
}

// Context implements the connections of Credits.
func (m *mesh) Context(ctx context.Context) context.Context { return ctx }

type meshConn struct {
	drpc.Conn

	mesh    *mesh
	address string
}

func (c meshConn) Close() error { return nil }

func (c meshConn) Invoke(ctx context.Context, _ string, e drpc.Encoding, in, out drpc.Message) error {
	m := c.mesh
	m.calls.Add(1)
	m.mu.Lock()
	h, f := m.hosts[c.address], m.faults[c.address]
	if f == ends {
		m.faults[c.address] = refuses
	}
	if r, ok := in.(*limiter.CreditRequest); ok && len(r.Asks) > 0 {
		m.asked[c.address]++
	}
	m.mu.Unlock()
	switch f {
	case hangs:
		<-ctx.Done()
		return ctx.Err()
	case refuses:
		return fmt.Errorf("dialing: %w", syscall.ECONNREFUSED)
	case ends:
		return io.EOF
	case outdated:
		return errUnknownCall
	}
	_, _, receiver, method, _ := h.description.Method(0)
	received := reflect.New(reflect.TypeOf(method).In(2).Elem()).Interface()
	raw, err := e.Marshal(in)
	if err != nil {
		return err
	}
	if err := e.Unmarshal(raw, received); err != nil {
		return err
	}
	reply, err := receiver(h.server, ctx, received, nil)
	if err != nil {
		return err
	}
	if raw, err = e.Marshal(reply); err != nil {
		return err
	}
	return e.Unmarshal(raw, out)
}

// take asks a host to charge a request, and records it if it is served.
func (m *mesh) take(h *meshHost, amount float64) (giveBack func(), refused account.Refusal) {
	limit, _ := m.limitOf("")
	giveBack, refused = h.Take(m.t.Context(), account.Demand{Account: "mill", Limit: limit, Amount: amount})
	if refused.Limit == "" {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.uses = append(m.uses, use{clock.Now(), amount})
	}
	return giveBack, refused
}

// load sends requests of an amount to all hosts until it is stopped, perSecond in total.
func (m *mesh) load(perSecond, amount float64) (stop func()) {
	done := make(chan struct{})
	var wait conc.WaitGroup
	interval := time.Duration(float64(time.Second) * amount * float64(len(m.hosts)) / perSecond)
	for _, h := range m.hosts {
		wait.Go(func() {
			var requests conc.WaitGroup
			defer requests.Wait()
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
					if _, limited := m.limitOf(h.name); limited {
						requests.Go(func() { m.take(h, amount) })
					}
				}
			}
		})
	}
	return func() { close(done); wait.Wait() }
}

// used returns what was used since an instant.
func (m *mesh) used(since clock.Instant) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0.0
	for _, u := range m.uses {
		if u.at >= since {
			sum += u.amount
		}
	}
	return sum
}

// awaitUse waits until more was used since now.
func (m *mesh) awaitUse(amount float64) {
	m.t.Helper()
	since := clock.Now()
	await(m.t, fmt.Sprintf("%.0f is used", amount), func() bool { return m.used(since) >= amount })
}

// await waits until a condition holds.
func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// checkLimit checks that no window since an instant holds more than a limit allows.
func (m *mesh) checkLimit(limit account.Limit, largest float64, since clock.Instant) {
	m.t.Helper()
	m.mu.Lock()
	uses := slices.DeleteFunc(slices.Clone(m.uses), func(u use) bool { return u.at < since })
	m.mu.Unlock()
	slices.SortFunc(uses, func(a, b use) int { return cmp.Compare(a.at, b.at) })
	worst := 0.0
	for i, first := range uses {
		sum := 0.0
		for _, u := range uses[i:] {
			sum += u.amount
			allowed := limit.PerSecond*(u.at.Sub(first.at)+account.CreditTTL).Seconds() + limit.Burst + largest
			worst = max(worst, sum/allowed)
		}
	}
	m.t.Logf("%d requests served, at most %.2f of what the limit allows", len(uses), worst)
	is.New(m.t).True(worst <= 1)
}

// TestManyHostsServeALowLimit has hosts share a limit that is less than one request a
// second for each, and four times as much demand.
func TestManyHostsServeALowLimit(t *testing.T) {
	limit := account.Limit{PerSecond: 36_000, Burst: 36_000}
	const request = 6000
	m := newMesh(t, 24, limit)
	stop := m.load(4*limit.PerSecond, request)
	m.awaitUse(4 * limit.PerSecond)
	stop()
	m.checkLimit(limit, request, 0)
}

// TestLimitOutlivesItsCoordinator has the coordinator of a hot account fail. The account
// is served by the others, and within its limit.
func TestLimitOutlivesItsCoordinator(t *testing.T) {
	limit := account.Limit{PerSecond: 2000, Burst: 1000}
	const request = 50
	tests := map[string]func(m *mesh, name string){
		"hangs":    func(m *mesh, name string) { m.setFault(name, hangs) },
		"refuses":  func(m *mesh, name string) { m.setFault(name, refuses) },
		"ends":     func(m *mesh, name string) { m.setFault(name, ends) },
		"outdated": func(m *mesh, name string) { m.setFault(name, outdated) },
		"stops":    func(m *mesh, name string) { m.hosts[name].Release() },
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMesh(t, 6, limit)
			stop := m.load(4*limit.PerSecond, request)
			m.awaitUse(2 * limit.PerSecond)
			coordinator := m.coordinator()
			fail(m, coordinator)
			m.awaitUse(2 * limit.PerSecond)
			// The host itself has callers, too.
			await(t, "the failed host serves", func() bool {
				_, refused := m.take(m.hosts[coordinator], request)
				return refused.Limit == ""
			})
			stop()
			m.checkLimit(limit, request, 0)
		})
	}
}

// TestHostsOfEarlierProgramsCoordinateNothing has hosts that don't know the call. The
// others serve the account.
func TestHostsOfEarlierProgramsCoordinateNothing(t *testing.T) {
	limit := account.Limit{PerSecond: 2000, Burst: 1000}
	m := newMesh(t, 6, limit)
	for i := range 5 {
		m.setFault(fmt.Sprint("host-", i), outdated)
	}
	await(t, "the host serves", func() bool {
		_, refused := m.take(m.hosts["host-5"], 50)
		return refused.Limit == ""
	})
	m.checkLimit(limit, 50, 0)
}

// TestRefusedCallersAreServedLater has more callers than the burst has room for. Those
// that are refused come back when they are told to, until all are served.
func TestRefusedCallersAreServedLater(t *testing.T) {
	limit := account.Limit{PerSecond: 100, Burst: 20}
	m := newMesh(t, 3, limit)
	await(t, "a request is served", func() bool {
		_, refused := m.take(m.hosts["host-0"], 1)
		return refused.Limit == ""
	})
	var wait conc.WaitGroup
	var refusals atomic.Int64
	for i := range 90 {
		wait.Go(func() {
			for {
				_, refused := m.take(m.hosts[fmt.Sprint("host-", i%3)], 1)
				if refused.Limit == "" {
					return
				}
				refusals.Add(1)
				if refused.RetryAfter <= 0 {
					t.Error("no time to come back after", refused.Limit)
				}
				time.Sleep(refused.RetryAfter)
			}
		})
	}
	wait.Wait()
	t.Logf("%d refusals", refusals.Load())
	is.New(t).True(refusals.Load() > 0)
	m.checkLimit(limit, 1, 0)
}

// TestRequestsThatDidNotRunAreGivenBack has requests that fail before they run. However
// many they are, they don't use up the limit.
func TestRequestsThatDidNotRunAreGivenBack(t *testing.T) {
	m := newMesh(t, 1, account.Limit{PerSecond: 10, Burst: 10})
	const wanted = 1000 // far more than the limit in the time that they take
	await(t, "requests are not refused", func() bool {
		for range wanted {
			giveBack, refused := m.take(m.hosts["host-0"], 1)
			if refused.Limit != "" {
				return false
			}
			giveBack()
		}
		return true
	})
}

// TestLoweredLimitBinds lowers the limit of a hot account.
func TestLoweredLimitBinds(t *testing.T) {
	before, after := account.Limit{PerSecond: 4000, Burst: 4000}, account.Limit{PerSecond: 400, Burst: 400}
	m := newMesh(t, 6, before)
	stop := m.load(4*before.PerSecond, 40)
	m.awaitUse(before.PerSecond)
	m.setLimit(after)
	lowered := clock.Now()
	m.awaitUse(4 * after.PerSecond)
	stop()
	m.checkLimit(before, 40, 0)
	m.checkLimit(after, 40, lowered.Add(account.CreditTTL))
}

// TestNewLimitRefusesNobodyElse has a coordinator that doesn't know of a limit yet.
func TestNewLimitRefusesNobodyElse(t *testing.T) {
	m := newMesh(t, 1, account.Limit{})
	for range 100 {
		_, refused := m.hosts["host-0"].Take(t.Context(), account.Demand{Account: "mill", Limit: account.Limit{PerSecond: 1, Burst: 1}, Amount: 1})
		is.New(t).Equal(refused, account.Refusal{})
	}
}

// TestLimitHoldsAtCoordinatorWithoutConfiguration has a coordinator that doesn't know of the
// limits, as after a start while the store is away.
func TestLimitHoldsAtCoordinatorWithoutConfiguration(t *testing.T) {
	limit := account.Limit{PerSecond: 100, Burst: 100}
	m := newMesh(t, 3, limit)
	stop := m.load(400, 5)
	m.awaitUse(100)
	m.mu.Lock()
	since := clock.Now()
	m.mu.Unlock()
	coordinator := m.coordinator()
	m.mu.Lock()
	m.blind[coordinator] = true
	m.mu.Unlock()
	time.Sleep(4 * time.Second)
	stop()
	m.checkLimit(limit, 5, since)
}

// TestNoLimitsNoMessages checks that hosts send nothing as long as no account has a limit.
func TestNoLimitsNoMessages(t *testing.T) {
	m := newMesh(t, 3, account.Limit{})
	time.Sleep(1200 * time.Millisecond) // at least two renewals
	is.New(t).Equal(m.calls.Load(), int64(0))
	m.setLimit(account.Limit{PerSecond: 1, Burst: 1})
	await(t, "there are messages", func() bool { return m.calls.Load() > 0 })
}
