package limiter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// coordinatorGroups is the number of groups of accounts. Each has a coordinator, so
	// that the messages between hosts don't grow with the accounts.
	coordinatorGroups = 4
	// minRenewInterval is the least interval between two messages to a coordinator,
	// renewIntervalPerHost the interval for each of many hosts.
	minRenewInterval     = 500 * time.Millisecond
	renewIntervalPerHost = 5 * time.Millisecond
	// askTimeout limits one call to a coordinator.
	askTimeout = 400 * time.Millisecond
	// askCoordinators is how many coordinators are asked for one request.
	askCoordinators = 2
	// wishTime is the time for whose demand a host asks ahead of need.
	wishTime = 3 * account.CreditTTL / 4
	// refusalPause is how long a host asks nothing for an account after a refusal.
	refusalPause = 100 * time.Millisecond
	// maxReturnAfter bounds the time after which a refused caller is told to come back.
	maxReturnAfter = 30 * time.Second
	// groupRankKey is the key by which hosts are ranked as coordinators of a group.
	groupRankKey = "account limits "
)

// CreditOptions configures Credits.
type CreditOptions struct {
	// Host is the name of this host.
	Host string
	// Hosts returns the live hosts, this one included, and Known the number of hosts
	// that share the limits; 0 if it isn't known yet.
	Hosts func() []registry.Host
	Known func() int
	// Limit returns the limit of an account, if it has one, and Active reports whether any
	// account has. Otherwise nothing is sent.
	Limit   func(name string) (account.Limit, bool)
	Active  func() bool
	Peers   connections
	Metrics tally.Scope
}

// connections opens connections to other hosts.
type connections interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// Credits limits accounts by credit from coordinators (account.Ledger). It is safe for
// concurrent use.
type Credits struct {
	CreditOptions

	ctx  context.Context
	wait *conc.WaitGroup
	// mu guards the fields below; it is never held during I/O.
	mu       sync.Mutex
	accounts map[string]*creditor
	groups   [coordinatorGroups]group
	ledgers  [coordinatorGroups]*account.Ledger
	// released is set once this host stops and coordinates nothing.
	released bool
}

// creditor is what this host keeps of one account.
type creditor struct {
	credit account.Credit
	demand allocation.RateWindow
	// owed was used without credit and is not reported yet.
	owed float64
	// waiting are the requests that wait for credit, asking is set while it is asked for.
	waiting []*applicant
	asking  bool
	// pausedUntil is until when nothing is asked for after a refusal, returnAt when the
	// caller that was refused last should come back.
	pausedUntil, returnAt clock.Instant
}

// applicant is a request that waits for credit.
type applicant struct {
	amount float64
	// result receives the result once.
	result chan verdict
}

// verdict is the result of an application for credit.
type verdict struct {
	charge  account.Charge
	refused account.Refusal
}

// group is a group of accounts with one coordinator.
type group struct {
	trust account.Trust
	// ranked are the live hosts by rank, and addresses their addresses, as of the last
	// renewal.
	ranked    []string
	addresses map[string]string
	renewing  bool
}

// NewCredits returns Credits that renew delegations until the context ends.
func NewCredits(ctx context.Context, wait *conc.WaitGroup, o CreditOptions) *Credits {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	c := &Credits{CreditOptions: o, ctx: ctx, wait: wait, accounts: map[string]*creditor{}}
	for g := range c.ledgers {
		c.ledgers[g] = account.NewLedger(rand.Uint64(), clock.Now())
	}
	wait.Go(func() {
		for ctx.Err() == nil {
			c.renew()
			clock.Pause(ctx, c.renewInterval())
		}
	})
	return c
}

// renewInterval returns the interval between two messages to a coordinator.
func (c *Credits) renewInterval() time.Duration {
	return max(minRenewInterval, time.Duration(c.Known())*renewIntervalPerHost)
}

// groupOf returns the group of an account.
func groupOf(name string) int { return int(xxhash.Sum64String(name) % coordinatorGroups) }

// Take charges a request to its account, or refuses it. It waits for the answer of a
// coordinator if this host has too little credit. GiveBack returns the charge of a
// request that did not run.
func (c *Credits) Take(ctx context.Context, d account.Demand) (giveBack func(), refused account.Refusal) {
	charge, refused := c.take(ctx, d)
	if refused.Limit != "" {
		c.Metrics.Tagged(map[string]string{"account": d.Account, "limit": refused.Limit}).Counter("account_refusals").Inc(1)
		return nil, refused
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		a := c.creditor(d.Account)
		a.credit = a.credit.With(charge, clock.Now())
	}, refused
}

// take returns the charge of a request, or why it is refused.
func (c *Credits) take(ctx context.Context, d account.Demand) (account.Charge, account.Refusal) {
	now := clock.Now()
	c.mu.Lock()
	a := c.creditor(d.Account)
	a.demand.Add(int(d.Amount), now)
	if charge, ok := a.take(d.Amount, now); ok {
		c.mu.Unlock()
		return charge, account.Refusal{}
	}
	if d.Begun {
		left := min(a.credit.Left(now), d.Amount)
		a.credit, _, _ = a.credit.Take(left, now)
		a.owed += d.Amount - left
		c.mu.Unlock()
		return account.Charge{}, account.Refusal{}
	}
	if now.Before(a.pausedUntil) {
		refused := a.refuse(d.Amount, c.partOf(d.Limit), now)
		c.mu.Unlock()
		return account.Charge{}, refused
	}
	applied := &applicant{amount: d.Amount, result: make(chan verdict, 1)}
	a.waiting = append(a.waiting, applied)
	if !a.asking {
		a.asking = true
		c.wait.Go(func() { c.serveWaiting(d.Account, a) })
	}
	c.mu.Unlock()
	select {
	case <-ctx.Done():
		return account.Charge{}, account.Refusal{Limit: account.NoCredit}
	case v := <-applied.result:
		return v.charge, v.refused
	}
}

// partOf returns this host's part of a rate.
func (c *Credits) partOf(l account.Limit) float64 { return l.PerSecond / float64(max(1, c.Known())) }

// creditor returns what this host keeps of an account. The caller holds mu.
func (c *Credits) creditor(name string) *creditor {
	a, ok := c.accounts[name]
	if !ok {
		a = &creditor{}
		c.accounts[name] = a
	}
	return a
}

// take uses credit that is at hand, unless others wait for it.
func (a *creditor) take(amount float64, now clock.Instant) (charge account.Charge, ok bool) {
	if len(a.waiting) > 0 {
		return account.Charge{}, false
	}
	a.credit, charge, ok = a.credit.Take(amount, now)
	return charge, ok
}

// refuse returns a refusal that asks the caller to come back after those that were
// refused before it.
func (a *creditor) refuse(amount, partPerSecond float64, now clock.Instant) account.Refusal {
	a.returnAt = max(a.returnAt, now)
	if partPerSecond > 0 {
		a.returnAt = min(a.returnAt.Add(time.Duration(amount/partPerSecond*float64(time.Second))), now.Add(maxReturnAfter))
	}
	return account.Refusal{Limit: account.RateLimit, RetryAfter: a.returnAt.Sub(now)}
}

// serveWaiting asks for credit as long as requests of an account wait for it.
func (c *Credits) serveWaiting(name string, a *creditor) {
	for {
		c.mu.Lock()
		waiting := a.waiting
		if len(waiting) == 0 || c.ctx.Err() != nil {
			a.asking, a.waiting = false, nil
			c.mu.Unlock()
			for _, w := range waiting {
				w.result <- verdict{refused: account.Refusal{Limit: account.NoCredit}}
			}
			return
		}
		ask := a.ask(name, len(waiting), clock.Now())
		c.mu.Unlock()
		grant, sent, ok := c.askCoordinators(ask)
		c.mu.Lock()
		a.waiting = a.waiting[len(waiting):]
		c.settle(a, name, waiting, ask, grant, sent, ok)
		c.mu.Unlock()
	}
}

// ask returns the request for the credit of the first waiting requests. The caller holds
// mu.
func (a *creditor) ask(name string, waiting int, now clock.Instant) account.Ask {
	ask := account.Ask{Account: name, Owed: a.owed}
	a.owed = 0
	for i, w := range a.waiting[:waiting] {
		if i == 0 {
			ask.First = w.amount
		}
		ask.Need += w.amount
	}
	ask.Wish = max(0, a.demand.Within(wishTime, now)-a.credit.Left(now))
	return ask
}

// settle serves or refuses requests that waited for the answer to an ask. The caller
// holds mu.
func (c *Credits) settle(a *creditor, name string, waiting []*applicant, ask account.Ask, grant account.Grant, sent clock.Instant, ok bool) {
	now := clock.Now()
	if !ok || grant.Unknown {
		a.owed += ask.Owed
	}
	a.credit = a.credit.With(account.Charge{Amount: grant.Amount, Until: sent.Add(account.CreditTTL)}, now)
	for _, w := range waiting {
		var v verdict
		var served bool
		if a.credit, v.charge, served = a.credit.Take(w.amount, now); !served {
			v.refused = c.refusalOf(a, name, w.amount, grant, ok, now)
		}
		w.result <- v
	}
}

// refusalOf returns the refusal of a request that a grant does not serve. The caller
// holds mu.
func (c *Credits) refusalOf(a *creditor, name string, amount float64, grant account.Grant, ok bool, now clock.Instant) account.Refusal {
	if !ok || grant.Wait == 0 {
		return account.Refusal{Limit: account.NoCredit, RetryAfter: refusalPause}
	}
	a.returnAt = max(a.returnAt, now.Add(grant.Wait))
	a.pausedUntil = now.Add(min(refusalPause, grant.Wait))
	limit, _ := c.Limit(name)
	return a.refuse(amount, c.partOf(limit), now)
}

// askCoordinators asks for credit, and another coordinator if the first one fails.
func (c *Credits) askCoordinators(ask account.Ask) (grant account.Grant, sent clock.Instant, ok bool) {
	for range askCoordinators {
		sent = clock.Now()
		reply, err := c.call(groupOf(ask.Account), ask)
		if err == nil && len(reply.Grants) == 1 {
			return reply.Grants[0], sent, true
		}
	}
	return account.Grant{}, sent, false
}

// renew renews the delegations of this host, and asks ahead for active accounts.
func (c *Credits) renew() {
	if !c.Active() {
		return
	}
	hosts := c.Hosts()
	names, addresses := make([]string, 0, len(hosts)), make(map[string]string, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
		addresses[h.Name] = h.Peers
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	asks := c.renewalAsks(clock.Now())
	for g := range c.groups {
		group := &c.groups[g]
		group.ranked, group.addresses = placement.Rank(groupRankKey+string(rune('0'+g)), names), addresses
		c.ledgers[g].Forget(c.isLimited)
		if group.renewing {
			continue
		}
		group.renewing = true
		c.wait.Go(func() { c.renewGroup(g, asks[g]) })
	}
}

func (c *Credits) isLimited(name string) bool {
	_, ok := c.Limit(name)
	return ok
}

// renewalAsks returns the asks of all groups for what accounts are likely to need soon.
// The caller holds mu.
func (c *Credits) renewalAsks(now clock.Instant) (asks [coordinatorGroups][]account.Ask) {
	for name, a := range c.accounts {
		if !c.isLimited(name) {
			if !a.asking {
				delete(c.accounts, name)
			}
			continue
		}
		g := groupOf(name)
		if c.groups[g].renewing {
			continue
		}
		if ask := a.ask(name, 0, now); ask.Wish >= 1 || ask.Owed > 0 {
			asks[g] = append(asks[g], ask)
		}
	}
	return asks
}

// renewGroup sends one message to the coordinator of a group.
func (c *Credits) renewGroup(g int, asks []account.Ask) {
	sent := clock.Now()
	reply, err := c.call(g, asks...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.groups[g].renewing = false
	now := clock.Now()
	for i, ask := range asks {
		a := c.creditor(ask.Account)
		if err != nil || len(reply.Grants) != len(asks) || reply.Grants[i].Unknown {
			a.owed += ask.Owed
			continue
		}
		a.credit = a.credit.With(account.Charge{Amount: reply.Grants[i].Amount, Until: sent.Add(account.CreditTTL)}, now)
	}
}

// call sends asks and the delegation of this host's part to the coordinator of a group.
// It sends the delegation alone once more if the coordinator may have it only now.
func (c *Credits) call(g int, asks ...account.Ask) (CreditReply, error) {
	reply, coordinator, err := c.callOnce(g, asks)
	if err != nil {
		return reply, err
	}
	c.mu.Lock()
	again := c.groups[g].trust.NeedsDelegation(coordinator, clock.Now())
	c.mu.Unlock()
	if again {
		_, _, _ = c.callOnce(g, nil) // the next renewal repeats it
	}
	return reply, nil
}

// callOnce makes one call to the coordinator of a group.
func (c *Credits) callOnce(g int, asks []account.Ask) (reply CreditReply, coordinator string, err error) {
	c.mu.Lock()
	group := &c.groups[g]
	now := clock.Now()
	coordinator = group.trust.Coordinator(group.ranked, c.Host, now)
	request := CreditRequest{Group: g, Asks: asks}
	share := 0.0
	if n := c.Known(); n > 0 && !c.released {
		share = 1 / float64(n)
	}
	group.trust, request.Delegation = group.trust.Delegate(coordinator, share, c.renewInterval(), now)
	request.Delegation.Host = c.Host
	address := group.addresses[coordinator]
	c.mu.Unlock()
	if coordinator == c.Host {
		reply = c.answer(request)
	} else {
		reply, err = c.send(address, request)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now = clock.Now()
	switch {
	case err == nil && !reply.Released:
		group.trust = group.trust.Answered(coordinator, reply.Stamp, now)
	default:
		group.trust = group.trust.Failed(coordinator, reply.Released || errors.Is(err, syscall.ECONNREFUSED), now)
		if err == nil {
			err = errReleased
		}
	}
	return reply, coordinator, err
}

// Release ends all delegations to this host, which is about to stop: it coordinates
// nothing any more, and keeps no part itself.
func (c *Credits) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	for g := range c.ledgers {
		c.ledgers[g] = account.NewLedger(rand.Uint64(), clock.Now())
	}
}

// answer answers a request as a coordinator.
func (c *Credits) answer(request CreditRequest) CreditReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || request.Group < 0 || request.Group >= coordinatorGroups {
		return CreditReply{Released: true}
	}
	now, ledger := clock.Now(), c.ledgers[request.Group]
	if request.Delegation.Host != "" {
		ledger.Delegate(request.Delegation, now)
	}
	reply := CreditReply{Stamp: ledger.Stamp(now)}
	for _, ask := range request.Asks {
		limit, ok := c.Limit(ask.Account)
		grant := account.Grant{Unknown: true}
		if ok {
			grant = ledger.Grant(ask, limit, now)
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply
}
