package account

import (
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// maxMinority is the largest sum of shares that doesn't make a pool the main one.
	maxMinority = 0.5
	// anyCredit is the least level at which the main pool serves a request of any size.
	anyCredit = 1e-9
	// maxPromise is the time for whose credit callers are told to come back.
	maxPromise = 10 * time.Second
	// forgetAfter is how long a pool without a known limit is kept.
	forgetAfter = 30 * time.Second
)

// Limit is an account's limit over all hosts, in what it counts: requests or tokens.
type Limit struct {
	// PerSecond is the rate; 0 means that there is no limit. Burst is what may be used
	// at once.
	PerSecond, Burst float64
}

// IsSet reports whether there is a limit.
func (l Limit) IsSet() bool { return l.PerSecond > 0 }

// Stamp is an instant of one life of a coordinator, by its own clock.
type Stamp struct {
	Life uint64
	At   clock.Instant
}

// Delegation entrusts a host's part of the limits to a coordinator.
type Delegation struct {
	Host string
	// Share is the host's part of each limit, from 0 to 1.
	Share float64
	// Stamp is the last one that the host received from the coordinator. The delegation
	// ends TTL after it, so that a message that is read late delegates nothing.
	Stamp Stamp
	TTL   time.Duration
}

// Ask requests credit for one account.
type Ask struct {
	Account string
	// Limit is the account's limit as the host knows it. It holds as long as the
	// coordinator knows none.
	Limit Limit
	// Need is the charge of all requests that wait for credit, and First that of the
	// first one. Wish is what the host would like beyond that.
	First, Need, Wish float64
	// Begun is the charge of waiting requests whose callers have a part of the answer.
	Begun float64
	// Owed was used without credit, Returned is credit that was not used.
	Owed, Returned float64
}

// Grant is the answer to an Ask.
type Grant struct {
	// Amount is the credit. It holds the need, or as many of the first requests as the
	// pool could serve.
	Amount float64
	// Begun is set if the begun requests are charged.
	Begun bool
	// Wait is how long it takes until the pool can serve the rest; 0 if there is none, or
	// if nothing is delegated to the coordinator.
	Wait time.Duration
}

// Ledger is what a coordinator keeps of the accounts that it coordinates: the parts of
// their limits that hosts have delegated to it, and the credit that is left of them.
//
// Each host delegates its part to one coordinator at a time. So all ledgers together
// never grant more than the limits, whatever the hosts believe about each other, and no
// ledger needs to be the only one. A Ledger is not safe for concurrent use.
type Ledger struct {
	life   uint64
	shares map[string]delegatedShare
	pools  map[string]*pool
	// total is the sum of the shares, and filled its integral over time in seconds.
	total, filled float64
	// drops are the decreases of the total that may still reduce the level of a pool,
	// with increasing totals.
	drops   []drop
	updated clock.Instant
}

// drop is a decrease of the shares to a total, with the ledger's integral at that time.
type drop struct{ filled, total float64 }

// delegatedShare is a host's share with the instant at which its delegation ends.
type delegatedShare struct {
	share float64
	until clock.Instant
}

// pool is the token bucket of one account. It fills with the delegated shares.
type pool struct {
	// level is negative while the account is in debt.
	level float64
	// promised is what callers were told to come back for.
	promised float64
	// filled is the ledger's integral up to which the pool has been filled.
	filled float64
	used   clock.Instant
}

// NewLedger returns a ledger without delegations. Life distinguishes it from all others
// of the same host.
func NewLedger(life uint64, now clock.Instant) *Ledger {
	return &Ledger{life: life, shares: map[string]delegatedShare{}, pools: map[string]*pool{}, updated: now}
}

// Stamp returns the ledger's stamp.
func (l *Ledger) Stamp(now clock.Instant) Stamp { return Stamp{l.life, now} }

// Delegate takes over a host's part, unless the delegation has ended or was meant for
// another life of this host.
func (l *Ledger) Delegate(d Delegation, now clock.Instant) {
	l.advance(now)
	until := d.Stamp.At.Add(d.TTL)
	if d.Stamp.Life != l.life || !now.Before(until) || d.Stamp.At > now {
		return
	}
	l.shares[d.Host] = delegatedShare{d.Share, until}
	l.sum(now)
}

// Grant grants credit to a host.
//
// It answers accounts that ask for more than their limit: a request is served as long as
// anything is left, whatever its size, since otherwise the small ones of an account would
// keep out its large ones. Only a pool that holds most of the limit may be in debt so;
// there is one at most. Requests that have begun are served until the account owes as much
// as its burst.
func (l *Ledger) Grant(a Ask, limit Limit, now clock.Instant) Grant {
	l.advance(now)
	p, rate, capacity := l.pool(a.Account), limit.PerSecond*l.total, limit.Burst*l.total
	l.fill(p, limit)
	p.used = now
	p.level = min(p.level+a.Returned, capacity)
	p.level = max(p.level-a.Owed, min(p.level, -capacity))
	g := Grant{Begun: a.Begun > 0 && rate > 0 && p.level > -capacity}
	if g.Begun {
		p.level -= a.Begun
		a.Begun = 0
	}
	if a.Need > 0 && (p.level >= a.First || l.total > maxMinority && p.level >= leastLevel(a.First, capacity)) {
		g.Amount = max(min(a.Need, p.level), a.First)
		p.level -= g.Amount
	}
	if rest := a.Need + a.Begun - g.Amount; rest > 0 {
		if rate == 0 {
			return g
		}
		g.Wait = waitFor(p.promised-min(p.level, 0), rate)
		p.promised = min(p.promised+rest, rate*maxPromise.Seconds())
		return g
	}
	// What is asked ahead of need leaves half of the burst to the other hosts.
	if spare := min(a.Wish, p.level-capacity/2); spare > 0 {
		g.Amount += spare
		p.level -= spare
	}
	return g
}

// leastLevel returns the level at which the main pool serves a request. One beyond the
// burst must find the pool full.
func leastLevel(amount, capacity float64) float64 {
	if amount > capacity {
		return capacity
	}
	return min(capacity, anyCredit)
}

// waitFor returns the bounded time in which an amount accumulates at a rate.
func waitFor(amount, rate float64) time.Duration {
	return time.Duration(min(max(amount/rate, minRetryAfter.Seconds()), maxRetryAfter.Seconds()) * float64(time.Second))
}

// pool returns the pool of an account. A new one starts as if it had been there from the
// start of the ledger.
func (l *Ledger) pool(account string) *pool {
	p, ok := l.pools[account]
	if !ok {
		p = &pool{}
		l.pools[account] = p
	}
	return p
}

// fill adds to a pool what its limit yielded since it was last filled. What the pool held
// of parts that were withdrawn meanwhile is lost, since another coordinator may have it.
func (l *Ledger) fill(p *pool, limit Limit) {
	for _, d := range append(l.drops, drop{l.filled, l.total}) {
		if d.filled < p.filled {
			continue
		}
		added := limit.PerSecond * (d.filled - p.filled)
		p.filled = d.filled
		p.level = min(p.level+added, limit.Burst*d.total)
		p.promised = max(0, p.promised-added)
	}
}

// advance integrates the shares, and ends the delegations whose time is over.
func (l *Ledger) advance(now clock.Instant) {
	passed := max(0, now.Sub(l.updated).Seconds())
	l.updated = now
	l.sum(now)
	l.filled += l.total * passed
}

// sum adds up the shares that are delegated now. They are never more than the whole:
// hosts that have just started may know too few others.
func (l *Ledger) sum(now clock.Instant) {
	total := 0.0
	for host, s := range l.shares {
		if !now.Before(s.until) {
			delete(l.shares, host)
			continue
		}
		total += s.share
	}
	total = min(total, 1)
	if total < l.total {
		l.drops = slices.DeleteFunc(l.drops, func(d drop) bool { return d.total >= total })
		l.drops = append(l.drops, drop{l.filled, total})
	}
	l.total = total
}

// Forget removes the pools of accounts without a limit that were not used lately.
func (l *Ledger) Forget(limited func(account string) bool, now clock.Instant) {
	for name, p := range l.pools {
		if !limited(name) && now.Sub(p.used) > forgetAfter {
			delete(l.pools, name)
		}
	}
}
