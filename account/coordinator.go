package account

import (
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/kumquathoist/kumquathoist/placement"
)

// leaseTTL is how long a coordinator counts a lease that was not renewed.
const leaseTTL = 3 * Period

// lease is what a coordinator stores for one router.
type lease struct {
	wanted, held Amount
	requested    time.Time
}

// Coordinator leases the limits of one account. It is immutable. A coordinator
// that just took over learns the leases of its predecessor only from the
// routers' requests.
type Coordinator struct {
	created time.Time
	leases  map[string]lease
}

// NewCoordinator returns a coordinator without leases.
func NewCoordinator(now time.Time) Coordinator { return Coordinator{created: now} }

// Idle reports whether all leases have expired. The coordinator should then be
// dropped: before this host becomes the coordinator again, another may have
// granted leases.
func (c Coordinator) Idle(now time.Time) bool {
	for _, l := range c.leases {
		if now.Sub(l.requested) <= leaseTTL {
			return false
		}
	}
	return now.Sub(c.created) > leaseTTL
}

// Lease grants a lease to a router. The valid leases that the coordinator knows
// of never add up to more than the limits.
func (c Coordinator) Lease(limits Amount, router string, request LeaseRequest, now time.Time) (Coordinator, Amount) {
	leases := maps.Clone(c.leases)
	if leases == nil {
		leases = map[string]lease{}
	}
	maps.DeleteFunc(leases, func(_ string, l lease) bool { return now.Sub(l.requested) > leaseTTL })
	c.leases = leases
	leases[router] = lease{wanted: request.Wanted, requested: now}
	var others, wanted Amount
	for name, l := range leases {
		wanted = wanted.combine(l.wanted, add)
		if name != router {
			others = others.combine(l.held, add)
		}
	}
	free := limits.combine(others, func(limit, leased float64) float64 { return max(0, limit-leased) })
	granted := c.fairPart(limits, request.Wanted, wanted).combine(free, math.Min)
	if now.Sub(c.created) < Period {
		// The leases of an earlier coordinator may not be known yet.
		granted = granted.combine(request.Held, math.Min)
	}
	granted.Concurrency = min(math.Floor(free.Concurrency), roundSlots(granted.Concurrency, router, now))
	held := granted
	held.Concurrency = max(held.Concurrency, float64(request.InFlight))
	leases[router] = lease{wanted: request.Wanted, held: held, requested: now}
	return c, granted
}

// roundSlots rounds a number of slots up or down at random by router and period:
// on average the fractions of all routers add up, and which routers get a whole
// slot changes in each period.
func roundSlots(slots float64, router string, now time.Time) float64 {
	period := strconv.FormatInt(now.UnixNano()/int64(Period), 10)
	chance := float64(placement.Score(period, router)) / math.MaxUint64
	return math.Floor(slots + chance)
}

func add(x, y float64) float64 { return x + y }

// fairPart returns the part of the limits for a router's demand. If the total
// demand exceeds a limit, the part is proportional to the router's demand;
// otherwise it is the demand and an even part of the unused limit.
func (c Coordinator) fairPart(limits, own, total Amount) Amount {
	n := float64(len(c.leases))
	part := func(limit, own, total float64) float64 {
		if total > limit {
			return limit * own / total
		}
		return own + (limit-total)/n
	}
	return Amount{
		part(limits.Requests, own.Requests, total.Requests),
		part(limits.Tokens, own.Tokens, total.Tokens),
		part(limits.Concurrency, own.Concurrency, total.Concurrency),
	}
}
