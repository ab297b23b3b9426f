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
	step = 50 * time.Millisecond
	// requestTime is how long a request runs.
	requestTime = 400 * time.Millisecond
)

// simulation simulates routers that share one account's limits.
type simulation struct {
	random *rand.Rand
	now    time.Time
	limits account.Amount
	shares []*account.Share
	// coordinators holds the coordinator, and a second one that is used while
	// the routers are partitioned into halves.
	coordinators    []account.Coordinator
	partitioned     bool
	coordinatorLost bool
	running         []runningRequest
	// admitted counts admitted requests in each second.
	admitted    []int
	maxInFlight int
}

type runningRequest struct {
	router int
	ends   time.Time
}

func newSimulation(routers int, limits account.Amount) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(3, 3)), now: time.Unix(100, 0), limits: limits, shares: make([]*account.Share, routers)}
	s.coordinators = []account.Coordinator{account.NewCoordinator(s.now.Add(-time.Hour)), account.NewCoordinator(s.now.Add(-time.Hour))}
	return s
}

// coordinator returns the index of the coordinator that a router uses, or false
// if it is unreachable.
func (s *simulation) coordinator(router int) (int, bool) {
	if s.partitioned && router >= len(s.shares)/2 {
		return 1, !s.coordinatorLost
	}
	return 0, !s.coordinatorLost
}

// lease requests a lease for a router, or returns false if the coordinator is
// unreachable.
func (s *simulation) lease(router int, request account.LeaseRequest) (account.Amount, bool) {
	i, ok := s.coordinator(router)
	if !ok {
		return account.Amount{}, false
	}
	var granted account.Amount
	s.coordinators[i], granted = s.coordinators[i].Lease(s.limits, fmt.Sprint(router), request, s.now)
	return granted, true
}

// sendRequest sends one request to a router.
func (s *simulation) sendRequest(router int) {
	if s.shares[router] == nil {
		lease := account.FallbackLease(s.limits, len(s.shares))
		if granted, ok := s.lease(router, account.FirstLeaseRequest(lease, 100)); ok {
			lease = granted
		}
		share := account.NewShare(lease, s.now)
		s.shares[router] = &share
	}
	share, refused := s.shares[router].Take(s.limits, 100, s.now)
	*s.shares[router] = share
	if refused.Limit == "" {
		s.running = append(s.running, runningRequest{router, s.now.Add(requestTime)})
		s.admitted[len(s.admitted)-1]++
	}
	s.maxInFlight = max(s.maxInFlight, len(s.running))
}

// run sends requests at a rate for a time, to the routers that the function
// returns.
func (s *simulation) run(d time.Duration, perSecond float64, router func() int) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		if s.now.UnixMilli()%1000 == 0 {
			s.admitted = append(s.admitted, 0)
		}
		var remaining []runningRequest
		for _, r := range s.running {
			if s.now.Before(r.ends) {
				remaining = append(remaining, r)
			} else {
				*s.shares[r.router] = s.shares[r.router].Release()
			}
		}
		s.running = remaining
		for i, share := range s.shares {
			if share == nil || !share.Due(s.now) {
				continue
			}
			if share.Idle(s.now) {
				s.shares[i] = nil
				continue
			}
			next, request := share.NextLeaseRequest(s.now)
			if granted, ok := s.lease(i, request); ok {
				next = next.WithLease(granted, s.now)
			}
			*share = next
		}
		for n := perSecond * step.Seconds(); n > s.random.Float64(); n-- {
			s.sendRequest(router())
		}
	}
}

// meanAdmitted returns the mean of admitted requests per second over the last
// seconds.
func (s *simulation) meanAdmitted(seconds int) float64 {
	sum := 0
	for _, n := range s.admitted[len(s.admitted)-seconds:] {
		sum += n
	}
	return float64(sum) / float64(seconds)
}

// skewed returns a function that chooses one router for half of the requests,
// the next one for a quarter, and so on.
func (s *simulation) skewed(from int) func() int {
	return func() int {
		router := 0
		for router < len(s.shares)-1 && s.random.IntN(2) == 0 {
			router++
		}
		return (router + from) % len(s.shares)
	}
}

// TestAdmittedAgainstLimit measures the admitted requests against a limit of 100
// requests a second, or 40 in flight, with a demand of twice as much.
func TestAdmittedAgainstLimit(t *testing.T) {
	limits := map[string]account.Amount{
		"requests":    {Requests: 100},
		"tokens":      {Tokens: 10_000},
		"concurrency": {Concurrency: 40},
	}
	t.Log("limit | routers | steady | other routers | coordinator lost | next coordinator | partitioned | healed | max in flight")
	for _, name := range []string{"requests", "tokens", "concurrency"} {
		for _, routers := range []int{3, 9, 30, 340} {
			is := is.New(t)
			s := newSimulation(routers, limits[name])
			even := func() int { return s.random.IntN(len(s.shares)) }
			var measured []float64
			phase := func(seconds int, router func() int) {
				s.run(time.Duration(seconds)*time.Second, 200, router)
				measured = append(measured, s.meanAdmitted(seconds-min(seconds, 8)))
			}
			phase(30, s.skewed(0))
			phase(30, s.skewed(routers/2))
			s.coordinatorLost = true
			phase(20, s.skewed(routers/2))
			s.coordinatorLost = false
			s.coordinators[0] = account.NewCoordinator(s.now)
			phase(20, s.skewed(routers/2))
			s.partitioned = true
			s.coordinators[1] = account.NewCoordinator(s.now)
			phase(30, even)
			s.partitioned = false
			phase(30, even)
			t.Logf("%s | %d | %.0f | %d", name, routers, measured, s.maxInFlight)
			for i, rate := range measured {
				bound := 112.0
				if i == 4 {
					bound = 212 // each half leases the whole limit
				}
				is.True(rate < bound)
			}
			is.True(measured[0] > 80 && measured[3] > 70)
			is.True(limits[name].Concurrency == 0 || s.maxInFlight <= 2*40+routers)
		}
	}
}

// TestRetryAfter checks the limit and the Retry-After of refusals.
func TestRetryAfter(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	limits := account.Amount{Requests: 2, Tokens: 50, Concurrency: 9}
	share := account.NewShare(limits, now)
	var refused account.Refusal
	for range 2 {
		share, refused = share.Take(limits, 10, now)
		is.Equal(refused, account.Refusal{})
	}
	_, refused = share.Take(limits, 10, now)
	is.Equal(refused, account.Refusal{Limit: "requests", RetryAfter: 500 * time.Millisecond})
	share, _ = share.Take(limits, 130, now.Add(time.Second))
	_, refused = share.Take(limits, 1, now.Add(2*time.Second))
	is.Equal(refused.Limit, "tokens")
	_, refused = share.Take(account.Amount{Concurrency: 1}, 1, now)
	is.Equal(refused.Limit, "")
}
