package account

import (
	"maps"
	"math"
	"strconv"
	"time"

	"github.com/kumquathoist/kumquathoist/placement"
)

// leaseTime is how long a home counts a lease that was not asked for again.
const leaseTime = 3 * Period

// lease is what a home knows of one router.
type lease struct {
	wanted, held Amount
	at           time.Time
}

// Home leases the limits of one account. It is immutable. A home that just
// took over knows the leases of its predecessor only from what routers tell
// that they hold.
type Home struct {
	since  time.Time
	leases map[string]lease
}

// NewHome returns a home that knows nothing yet.
func NewHome(now time.Time) Home { return Home{since: now} }

// Idle tells that no lease of the home is out any more. The home should be
// dropped then: when it is one again, others may have leased meanwhile.
func (h Home) Idle(now time.Time) bool {
	for _, l := range h.leases {
		if now.Sub(l.at) <= leaseTime {
			return false
		}
	}
	return now.Sub(h.since) > leaseTime
}

// Lease returns the lease for a router. The leases that are out never add up
// to more than the limits, as far as the home knows of them.
func (h Home) Lease(limits Amount, router string, ask Ask, now time.Time) (Home, Amount) {
	leases := maps.Clone(h.leases)
	if leases == nil {
		leases = map[string]lease{}
	}
	maps.DeleteFunc(leases, func(_ string, l lease) bool { return now.Sub(l.at) > leaseTime })
	h.leases = leases
	leases[router] = lease{wanted: ask.Wanted, at: now}
	var others, wanted Amount
	for name, l := range leases {
		wanted = wanted.zip(l.wanted, add)
		if name != router {
			others = others.zip(l.held, add)
		}
	}
	free := limits.zip(others, func(limit, out float64) float64 { return max(0, limit-out) })
	granted := h.fair(limits, ask.Wanted, wanted).zip(free, math.Min)
	if now.Sub(h.since) < Period {
		// The leases of an earlier home may not be known yet.
		granted = granted.zip(ask.Held, math.Min)
	}
	granted.Concurrency = min(math.Floor(free.Concurrency), whole(granted.Concurrency, router, now))
	out := granted
	out.Concurrency = max(out.Concurrency, float64(ask.InFlight))
	leases[router] = lease{wanted: ask.Wanted, held: out, at: now}
	return h, granted
}

// whole rounds a number of slots up or down, so that the parts of slots of all
// routers add up, and other routers get a whole slot in each period.
func whole(slots float64, router string, now time.Time) float64 {
	period := strconv.FormatInt(now.UnixNano()/int64(Period), 10)
	chance := float64(placement.Score(period, router)) / math.MaxUint64
	return math.Floor(slots + chance)
}

func add(x, y float64) float64 { return x + y }

// fair returns the part of the limits that a router's demand earns: a
// proportional one when all want too much, else its demand and an even part
// of what nobody wants.
func (h Home) fair(limits, mine, all Amount) Amount {
	n := float64(len(h.leases))
	part := func(limit, mine, all float64) float64 {
		if all > limit {
			return limit * mine / all
		}
		return mine + (limit-all)/n
	}
	return Amount{
		part(limits.Requests, mine.Requests, all.Requests),
		part(limits.Tokens, mine.Tokens, all.Tokens),
		part(limits.Concurrency, mine.Concurrency, all.Concurrency),
	}
}
