package account_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/placement"
)

const (
	modelTick     = 20 * time.Millisecond
	renewInterval = 500 * time.Millisecond
	// modelWindow is the window over which use is summed.
	modelWindow = 8 * time.Second
	// largestRequest is the largest charge of a request in the model.
	largestRequest = 400.0
)

// modelHost is a host of the model: a coordinator, and one with more demand than it may
// serve.
type modelHost struct {
	name   string
	offset clock.Instant
	ledger *account.Ledger
	trust  account.Trust
	credit account.Credit
	// inbox are messages by the instant at which they arrive.
	inbox                  []modelMessage
	frozenUntil, nextRenew clock.Instant
	lives                  int
}

// modelMessage is a request, or an answer if it has a stamp.
type modelMessage struct {
	at         clock.Instant
	from       *modelHost
	delegation account.Delegation
	ask        account.Ask
	answer     bool
	stamp      account.Stamp
	grant      account.Grant
	sent       clock.Instant
	life       int
}

// model is a system of hosts whose links lose, delay and cut, and whose hosts freeze and
// restart at random.
type model struct {
	random *rand.Rand
	now    clock.Instant
	hosts  []*modelHost
	limit  account.Limit
	// side is the side of the partition on which a host is.
	side map[*modelHost]int
	used []use
	// calm hosts fail never. Of restless ones, half give up the coordinator that they
	// asked, though it answers. Hoarding ones ask for long before they use anything.
	calm, restless, hoards bool
}

// use is credit that was used.
type use struct {
	at     clock.Instant
	amount float64
}

func newModel(seed uint64, hosts int, limit account.Limit) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: clock.Instant(time.Hour), limit: limit, side: map[*modelHost]int{}}
	for i := range hosts {
		h := &modelHost{name: fmt.Sprintf("host-%d", i), offset: clock.Instant(m.random.Int64N(int64(time.Hour)))}
		m.start(h)
		m.hosts = append(m.hosts, h)
	}
	return m
}

// start begins a life of a host.
func (m *model) start(h *modelHost) {
	h.lives++
	h.ledger, h.trust, h.credit, h.inbox = account.NewLedger(m.random.Uint64(), h.clock(m)), account.Trust{}, account.Credit{}, nil
}

// clock returns the time by a host's own clock.
func (h *modelHost) clock(m *model) clock.Instant { return m.now + h.offset }

// reaches reports whether a message from one host arrives at another.
func (m *model) reaches(a, b *modelHost) bool {
	return m.side[a] == m.side[b] && m.random.IntN(20) > 0
}

// deliver puts a message into the inbox of a host.
func (m *model) deliver(from, to *modelHost, msg modelMessage) {
	if !m.reaches(from, to) {
		return
	}
	msg.from, msg.at = from, m.now.Add(time.Duration(m.random.IntN(60))*time.Millisecond)
	to.inbox = append(to.inbox, msg)
}

// coordinator returns the host that another one asks, by a view of its own.
func (m *model) coordinator(h *modelHost) *modelHost {
	var names []string
	for _, other := range m.hosts {
		if m.random.IntN(4) > 0 || other == h {
			names = append(names, other.name)
		}
	}
	var name string
	h.trust, name = h.trust.Coordinator(placement.Rank("group", names), h.name, h.clock(m))
	return m.hosts[slices.IndexFunc(m.hosts, func(other *modelHost) bool { return other.name == name })]
}

// step lets a host handle its messages, renew and use credit.
func (m *model) step(h *modelHost) {
	if m.now < h.frozenUntil {
		return
	}
	now := h.clock(m)
	due := slices.DeleteFunc(slices.Clone(h.inbox), func(msg modelMessage) bool { return msg.at > m.now })
	h.inbox = slices.DeleteFunc(h.inbox, func(msg modelMessage) bool { return msg.at <= m.now })
	for _, msg := range due {
		if msg.answer {
			if msg.life == h.lives {
				h.trust = h.trust.Answered(msg.from.name, msg.stamp, now)
				h.credit = h.credit.With(account.Charge{Amount: msg.grant.Amount, Until: msg.sent.Add(account.CreditTTL)}, now)
			}
			continue
		}
		h.ledger.Delegate(msg.delegation, now)
		m.deliver(h, msg.from, modelMessage{answer: true, stamp: h.ledger.Stamp(now), grant: h.ledger.Grant(msg.ask, m.limit, now), sent: msg.sent, life: msg.life})
	}
	need := 1 + m.random.Float64()*(largestRequest-1)
	asks := 8
	if m.calm {
		asks = 1
	}
	if m.now >= h.nextRenew || m.random.IntN(asks) == 0 {
		h.nextRenew = m.now.Add(renewInterval)
		c := m.coordinator(h)
		var d account.Delegation
		h.trust, d = h.trust.Delegate(c.name, 1/float64(len(m.hosts)), renewInterval, now)
		d.Host = h.name
		m.deliver(h, c, modelMessage{delegation: d, ask: account.Ask{Account: "a", First: need, Need: need, Wish: 2 * need}, sent: now, life: h.lives})
		if m.random.IntN(6) == 0 && (!m.calm || m.restless) {
			h.trust = h.trust.Failed(c.name, false, now)
		}
	}
	if m.hoards && m.now.Sub(0)%(2*modelWindow) < modelWindow {
		return
	}
	for ok := true; ok; ok = ok && m.hoards {
		if h.credit, _, ok = h.credit.Take(need, now); ok {
			m.used = append(m.used, use{m.now, need})
		}
	}
}

// run runs the model for a time.
func (m *model) run(d time.Duration) {
	for end := m.now.Add(d); m.now < end; m.now = m.now.Add(modelTick) {
		event := m.random.IntN(100)
		if m.calm {
			event = -1
		}
		switch h := m.hosts[m.random.IntN(len(m.hosts))]; event {
		case 0:
			h.frozenUntil = m.now.Add(time.Duration(m.random.IntN(6000)) * time.Millisecond)
		case 1:
			m.side[h] = m.random.IntN(3)
		case 2:
			m.side = map[*modelHost]int{}
		case 3:
			if m.now >= h.frozenUntil {
				m.start(h)
			}
		}
		for _, h := range m.hosts {
			m.step(h)
		}
	}
}

// most returns the most that was used within a window.
func (m *model) most(window time.Duration) float64 {
	slices.SortStableFunc(m.used, func(a, b use) int { return cmp.Compare(a.at, b.at) })
	most, sum, first := 0.0, 0.0, 0
	for _, u := range m.used {
		for sum += u.amount; u.at.Sub(m.used[first].at) > window; first++ {
			sum -= m.used[first].amount
		}
		most = max(most, sum)
	}
	return most
}

// TestLimitHoldsWhateverHostsBelieve checks that no interleaving of delegations, lost and
// late messages, cuts, standstill, restarts and different views exceeds a limit.
func TestLimitHoldsWhateverHostsBelieve(t *testing.T) {
	tests := map[string]struct {
		seeds                  uint64
		calm, restless, hoards bool
	}{
		"faults":                  {seeds: 40},
		"coordinators given up":   {seeds: 4, calm: true, restless: true},
		"unused credit":           {seeds: 4, calm: true, hoards: true},
		"unused credit, given up": {seeds: 4, calm: true, restless: true, hoards: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range test.seeds {
				limit := account.Limit{PerSecond: 3000, Burst: 1000 + float64(seed%4)*1000}
				m := newModel(seed, 3+int(seed%9), limit)
				m.calm, m.restless, m.hoards = test.calm, test.restless, test.hoards
				m.check(t, seed)
			}
		})
	}
}

// check runs the model and checks that no window holds more than the limit allows.
func (m *model) check(t *testing.T, seed uint64) {
	is := is.New(t)
	m.run(2 * time.Minute)
	lives := 0
	for _, h := range m.hosts {
		lives += h.lives - 1
	}
	most, allowed := m.most(modelWindow), m.limit.PerSecond*(modelWindow+account.CreditTTL).Seconds()+m.limit.Burst+largestRequest
	t.Logf("seed %d: %d hosts, %d restarts, used %.0f of %.0f", seed, len(m.hosts), lives, most, allowed)
	is.True(most <= allowed)
	is.True(len(m.used) > 0)
}

// TestPoolServesLowLimits checks that hosts which share a limit serve as much as it allows,
// though the part of each one is less than a request.
func TestPoolServesLowLimits(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	ledger := account.NewLedger(1, now)
	limit, used := account.Limit{PerSecond: 36_000, Burst: 36_000}, 0.0
	const hosts, request = 69, 12_000.0
	for range 600 {
		now = now.Add(100 * time.Millisecond)
		for i := range hosts {
			ledger.Delegate(account.Delegation{Host: fmt.Sprint(i), Share: 1.0 / hosts, Stamp: ledger.Stamp(now), TTL: time.Second}, now)
		}
		for range 2 {
			used += ledger.Grant(account.Ask{Account: "a", First: request, Need: request}, limit, now).Amount
		}
	}
	t.Logf("%.0f tokens in 60 s", used)
	is.True(used > 0.97*36_000*60 && used <= 36_000*61+request)
}

// TestPoolServesLargeRequestsAmongSmall checks that an account that asks for twice its
// limit has its large requests served as often as its small ones.
func TestPoolServesLargeRequestsAmongSmall(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	ledger, random := account.NewLedger(1, now), rand.New(rand.NewPCG(1, 1))
	limit := account.Limit{PerSecond: 100_000, Burst: 100_000}
	asked, served := map[float64]int{}, map[float64]int{}
	for range 20_000 {
		now = now.Add(time.Duration(random.IntN(40)) * time.Millisecond)
		ledger.Delegate(account.Delegation{Host: "h", Share: 1, Stamp: ledger.Stamp(now), TTL: time.Second}, now)
		size := []float64{500, 500, 500, 500, 16_000}[random.IntN(5)]
		asked[size]++
		if g := ledger.Grant(account.Ask{Account: "a", First: size, Need: size}, limit, now); g.Amount >= size {
			served[size]++
		} else {
			is.True(g.Wait > 0)
		}
	}
	small, large := float64(served[500])/float64(asked[500]), float64(served[16_000])/float64(asked[16_000])
	t.Logf("served %.2f of the small and %.2f of the large", small, large)
	is.True(large > 0.8*small)
}

// TestRefusedCallersReturnInTurn checks that callers are told to come back one after the
// other, when the limit will have room for them.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	ledger := account.NewLedger(1, now)
	limit := account.Limit{PerSecond: 10, Burst: 10}
	delegate := func() {
		ledger.Delegate(account.Delegation{Host: "h", Share: 1, Stamp: ledger.Stamp(now), TTL: time.Minute}, now)
	}
	delegate()
	now = now.Add(time.Second)
	delegate()
	is.Equal(ledger.Grant(account.Ask{Account: "a", First: 30, Need: 30}, limit, now).Amount, 30.0) // 20 in debt
	var waits []time.Duration
	for range 3 {
		waits = append(waits, ledger.Grant(account.Ask{Account: "a", First: 10, Need: 10}, limit, now).Wait)
	}
	is.Equal(waits, []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second})
}

// TestPoolsForgetWhatMovedAway checks that a pool which was full keeps nothing of a part
// that another coordinator has had meanwhile, though nobody asked in between.
func TestPoolsForgetWhatMovedAway(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	limit := account.Limit{PerSecond: 10, Burst: 100}
	ledger := account.NewLedger(1, now)
	fill := func(d time.Duration) {
		for end := now.Add(d); now < end; now = now.Add(time.Second) {
			ledger.Delegate(account.Delegation{Host: "h", Share: 1, Stamp: ledger.Stamp(now), TTL: 2 * time.Second}, now)
		}
	}
	level := func() float64 {
		return ledger.Grant(account.Ask{Account: "a", First: 100, Need: 100}, limit, now).Amount
	}
	fill(time.Minute)
	is.Equal(level(), 100.0)
	fill(time.Minute)        // full again
	now = now.Add(time.Hour) // the part is elsewhere
	fill(time.Second)
	is.True(ledger.Grant(account.Ask{Account: "a", Wish: 100}, limit, now).Amount == 0)
	is.True(ledger.Grant(account.Ask{Account: "new", Wish: 100}, limit, now).Amount == 0)
}

// TestPoolHoldsNoMoreThanTheLimit checks that hosts which know too few others delegate no
// more than the whole limit to a coordinator.
func TestPoolHoldsNoMoreThanTheLimit(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	limit := account.Limit{PerSecond: 10, Burst: 10}
	ledger := account.NewLedger(1, now)
	for i := range 5 {
		ledger.Delegate(account.Delegation{Host: fmt.Sprint(i), Share: 1, Stamp: ledger.Stamp(now), TTL: time.Minute}, now)
	}
	now = now.Add(30 * time.Second)
	is.Equal(ledger.Grant(account.Ask{Account: "a", Wish: 100}, limit, now).Amount, 5.0) // half of the burst
}

// TestBegunRequestsAreBounded has an account with nothing but requests that claim to have
// begun. They are served beyond the limit, but no more than another burst of them.
func TestBegunRequestsAreBounded(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	limit, served := account.Limit{PerSecond: 100, Burst: 100}, 0.0
	ledger := account.NewLedger(1, now)
	const seconds, request = 60, 30.0
	for range seconds * 100 {
		ledger.Delegate(account.Delegation{Host: "h", Share: 1, Stamp: ledger.Stamp(now), TTL: time.Second}, now)
		if g := ledger.Grant(account.Ask{Account: "a", Begun: request}, limit, now); g.Begun {
			served += request
		} else {
			is.True(g.Wait > 0)
		}
		now = now.Add(10 * time.Millisecond)
	}
	t.Logf("%.0f served", served)
	is.True(served <= limit.PerSecond*seconds+2*limit.Burst+request)
	is.True(served > limit.PerSecond*seconds)
}

// TestPoolWithoutPartsTellsNoTime checks that a coordinator to which nothing is delegated
// refuses no caller for the account's limit, and promises nothing.
func TestPoolWithoutPartsTellsNoTime(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	limit := account.Limit{PerSecond: 10, Burst: 10}
	ledger := account.NewLedger(1, now)
	ask := account.Ask{Account: "a", First: 10, Need: 10}
	for range 100 {
		is.Equal(ledger.Grant(ask, limit, now), account.Grant{})
	}
	ledger.Delegate(account.Delegation{Host: "h", Share: 1, Stamp: ledger.Stamp(now), TTL: time.Minute}, now)
	is.Equal(ledger.Grant(ask, limit, now).Wait, 100*time.Millisecond)
}

func ExampleCredit() {
	now := clock.Instant(time.Hour)
	credit := account.Credit{}.With(account.Charge{Amount: 100, Until: now.Add(account.CreditTTL)}, now)
	credit, charge, ok := credit.Take(80, now)
	fmt.Println(charge.Amount, ok, credit.Left(now))
	credit = credit.With(charge, now) // the request did not run
	fmt.Println(credit.Left(now), credit.Left(now.Add(account.CreditTTL)))
	// Output:
	// 80 true 20
	// 100 0
}

// TestReturnedCreditEndsDebt returns the charge of a request that never ran, though it put
// its account deep into debt.
func TestReturnedCreditEndsDebt(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	ledger, limit := account.NewLedger(1, now), account.Limit{PerSecond: 100, Burst: 100}
	pass := func(d time.Duration) {
		now = now.Add(d)
		ledger.Delegate(account.Delegation{Host: "h", Share: 1, Stamp: ledger.Stamp(now), TTL: time.Hour}, now)
	}
	pass(0)
	pass(500 * time.Millisecond)
	is.Equal(ledger.Grant(account.Ask{Account: "a", First: 1e5, Need: 1e5}, limit, now).Amount, 0.0) // larger than the burst: not before the pool is full
	pass(time.Second)
	is.Equal(ledger.Grant(account.Ask{Account: "a", First: 1e5, Need: 1e5}, limit, now).Amount, 1e5)
	is.Equal(ledger.Grant(account.Ask{Account: "a", First: 1, Need: 1}, limit, now).Amount, 0.0)
	is.Equal(ledger.Grant(account.Ask{Account: "a", Returned: 1e5, First: 1, Need: 1}, limit, now).Amount, 1.0)
	is.Equal(ledger.Grant(account.Ask{Account: "a", Returned: 1e5, First: 99, Need: 99}, limit, now).Amount, 99.0)
	is.Equal(ledger.Grant(account.Ask{Account: "a", First: 99, Need: 99}, limit, now).Amount, 99.0) // the burst is no more than before
	is.Equal(ledger.Grant(account.Ask{Account: "a", First: 1, Need: 1}, limit, now).Amount, 0.0)
}
