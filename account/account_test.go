package account_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/account"
)

const (
	slice = 50 * time.Millisecond
	// holding is how long a request runs.
	holding = 400 * time.Millisecond
)

// world is routers that share one account's limits.
type world struct {
	random *rand.Rand
	now    time.Time
	limits account.Amount
	shares []*account.Share
	// homes holds one home, or two while the routers are cut in halves.
	homes   []account.Home
	cut     bool
	lost    bool
	running []ending
	// admitted counts admitted requests in each second.
	admitted []int
	most     int
}

type ending struct {
	router int
	at     time.Time
}

func newWorld(routers int, limits account.Amount) *world {
	w := &world{random: rand.New(rand.NewPCG(3, 3)), now: time.Unix(100, 0), limits: limits, shares: make([]*account.Share, routers)}
	w.homes = []account.Home{account.NewHome(w.now.Add(-time.Hour)), account.NewHome(w.now.Add(-time.Hour))}
	return w
}

// home returns the index of the home that a router asks, or false.
func (w *world) home(router int) (int, bool) {
	if w.cut && router >= len(w.shares)/2 {
		return 1, !w.lost
	}
	return 0, !w.lost
}

// lease asks for a router, whose share may be new.
func (w *world) lease(router int, ask account.Ask) (account.Amount, bool) {
	at, ok := w.home(router)
	if !ok {
		return account.Amount{}, false
	}
	var granted account.Amount
	w.homes[at], granted = w.homes[at].Lease(w.limits, fmt.Sprint(router), ask, w.now)
	return granted, true
}

// request sends one request to a router.
func (w *world) request(router int) {
	if w.shares[router] == nil {
		first := account.First(w.limits, len(w.shares))
		if granted, ok := w.lease(router, account.FirstAsk(first, 100)); ok {
			first = granted
		}
		s := account.NewShare(first, w.now)
		w.shares[router] = &s
	}
	s, refused := w.shares[router].Take(w.limits, 100, w.now)
	*w.shares[router] = s
	if refused.Limit == "" {
		w.running = append(w.running, ending{router, w.now.Add(holding)})
		w.admitted[len(w.admitted)-1]++
	}
	w.most = max(w.most, len(w.running))
}

// run sends requests at a rate for a time, spread by the function.
func (w *world) run(d time.Duration, perSecond float64, router func() int) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(slice) {
		if w.now.UnixMilli()%1000 == 0 {
			w.admitted = append(w.admitted, 0)
		}
		var left []ending
		for _, e := range w.running {
			if w.now.Before(e.at) {
				left = append(left, e)
			} else {
				*w.shares[e.router] = w.shares[e.router].Release()
			}
		}
		w.running = left
		for i, s := range w.shares {
			if s == nil || !s.Due(w.now) {
				continue
			}
			if s.Idle(w.now) {
				w.shares[i] = nil
				continue
			}
			next, ask := s.Ask(w.now)
			if granted, ok := w.lease(i, ask); ok {
				next = next.WithLease(granted, w.now)
			}
			*s = next
		}
		for n := perSecond * slice.Seconds(); n > w.random.Float64(); n-- {
			w.request(router())
		}
	}
}

// rate returns the mean of admitted requests over the last seconds.
func (w *world) rate(seconds int) float64 {
	sum := 0
	for _, n := range w.admitted[len(w.admitted)-seconds:] {
		sum += n
	}
	return float64(sum) / float64(seconds)
}

// skewed sends half of the requests to one router, a quarter to the next.
func (w *world) skewed(from int) func() int {
	return func() int {
		at := 0
		for at < len(w.shares)-1 && w.random.IntN(2) == 0 {
			at++
		}
		return (at + from) % len(w.shares)
	}
}

// TestErrorAgainstLimit measures what is admitted against a limit of 100
// requests a second, or 40 in flight, when callers want twice as much.
func TestErrorAgainstLimit(t *testing.T) {
	limits := map[string]account.Amount{
		"requests":    {Requests: 100},
		"tokens":      {Tokens: 10_000},
		"concurrency": {Concurrency: 40},
	}
	t.Log("limit | routers | steady | other routers | home lost | next home | cut in halves | healed | most in flight")
	for _, name := range []string{"requests", "tokens", "concurrency"} {
		for _, routers := range []int{3, 9, 30, 340} {
			is := is.New(t)
			w := newWorld(routers, limits[name])
			even := func() int { return w.random.IntN(len(w.shares)) }
			var measured []float64
			phase := func(seconds int, router func() int) {
				w.run(time.Duration(seconds)*time.Second, 200, router)
				measured = append(measured, w.rate(seconds-min(seconds, 8)))
			}
			phase(30, w.skewed(0))
			phase(30, w.skewed(routers/2))
			w.lost = true
			phase(20, w.skewed(routers/2))
			w.lost = false
			w.homes[0] = account.NewHome(w.now)
			phase(20, w.skewed(routers/2))
			w.cut = true
			w.homes[1] = account.NewHome(w.now)
			phase(30, even)
			w.cut = false
			phase(30, even)
			t.Logf("%s | %d | %.0f | %d", name, routers, measured, w.most)
			for i, rate := range measured {
				bound := 112.0
				if i == 4 {
					bound = 212 // each side leases the whole limit
				}
				is.True(rate < bound)
			}
			is.True(measured[0] > 80 && measured[3] > 70)
			is.True(limits[name].Concurrency == 0 || w.most <= 2*40+routers)
		}
	}
}

// TestRefusal tells when to come back.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	limits := account.Amount{Requests: 2, Tokens: 50, Concurrency: 9}
	s := account.NewShare(limits, now)
	var refused account.Refusal
	for range 2 {
		s, refused = s.Take(limits, 10, now)
		is.Equal(refused, account.Refusal{})
	}
	_, refused = s.Take(limits, 10, now)
	is.Equal(refused, account.Refusal{Limit: "requests", RetryAfter: 500 * time.Millisecond})
	s, _ = s.Take(limits, 130, now.Add(time.Second))
	_, refused = s.Take(limits, 1, now.Add(2*time.Second))
	is.Equal(refused.Limit, "tokens")
	_, refused = s.Take(account.Amount{Concurrency: 1}, 1, now)
	is.Equal(refused.Limit, "")
}
