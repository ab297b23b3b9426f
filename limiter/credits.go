package limiter

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/account"
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
	// activePollInterval is the interval between checks whether any account has a limit.
	activePollInterval = 100 * time.Millisecond
	// askTimeout limits one call to a coordinator.
	askTimeout = 400 * time.Millisecond
	// askCoordinators is how many coordinators are asked for one request.
	askCoordinators = 2
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
	// known is the number of hosts that share the limits, as of the last renewal.
	known int
	// released is set once this host stops and coordinates nothing.
	released bool
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
			interval := renewalInterval(c.Known())
			if !c.renew() {
				interval = activePollInterval
			}
			clock.Pause(ctx, interval)
		}
	})
	return c
}

// renewalInterval returns the interval between two messages to a coordinator.
func renewalInterval(hosts int) time.Duration {
	return max(minRenewInterval, time.Duration(hosts)*renewIntervalPerHost)
}

// groupOf returns the group of an account.
func groupOf(name string) int { return int(xxhash.Sum64String(name) % coordinatorGroups) }

// Take charges a request to its account, or refuses it. It waits for the answer of a
// coordinator if this host has too little credit. GiveBack returns the charge of a
// request that did not run.
func (c *Credits) Take(ctx context.Context, d account.Demand) (giveBack func(), refused account.Refusal) {
	charge, refused := c.take(ctx, d)
	if refused.Limit != "" {
		if ctx.Err() == nil {
			c.Metrics.Tagged(map[string]string{"account": d.Account, "limit": refused.Limit}).Counter("account_refusals").Inc(1)
		}
		return nil, refused
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.creditor(d.Account).returned += charge.Amount
	}, refused
}

// take returns the charge of a request, or why it is refused.
func (c *Credits) take(ctx context.Context, d account.Demand) (account.Charge, account.Refusal) {
	now := clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.creditor(d.Account)
	a.demand.Add(int(d.Amount), now)
	if charge, ok := a.take(d.Amount, now); ok {
		return charge, account.Refusal{}
	}
	if now.Before(a.pausedUntil) && !d.Begun {
		return account.Charge{}, a.refuse(d.Amount, d.Limit.PerSecond, now)
	}
	applied := &applicant{amount: d.Amount, begun: d.Begun, result: make(chan verdict, 1)}
	a.waiting = append(a.waiting, applied)
	if !a.asking {
		a.asking = true
		c.wait.Go(func() { c.serveWaiting(d.Account, a) })
	}
	v := c.await(ctx, applied)
	return v.charge, v.refused
}

// await waits for the result of an application. The caller holds mu, which is free
// meanwhile.
func (c *Credits) await(ctx context.Context, applied *applicant) verdict {
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-ctx.Done():
	case v := <-applied.result:
		return v
	}
	c.mu.Lock()
	applied.left = true
	c.mu.Unlock()
	select {
	case v := <-applied.result:
		return v
	default:
		return verdict{refused: noCredit}
	}
}

// creditor returns what this host keeps of an account. The caller holds mu.
func (c *Credits) creditor(name string) *creditor {
	a, ok := c.accounts[name]
	if !ok {
		a = &creditor{}
		c.accounts[name] = a
	}
	return a
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
				w.result <- verdict{refused: noCredit}
			}
			return
		}
		limit, limited := c.Limit(name)
		ask := a.ask(name, limit, len(waiting), clock.Now())
		c.mu.Unlock()
		// The limit may have been removed since the requests came.
		grant, sent, ok := account.Grant{Amount: ask.Need, Begun: true}, clock.Now(), true
		if limited {
			grant, sent, ok = c.askCoordinators(ask)
		}
		c.mu.Lock()
		a.waiting = a.waiting[len(waiting):]
		if !ok {
			a.owed += ask.Owed
		}
		a.settle(waiting, grant, limit, sent, clock.Now())
		c.mu.Unlock()
	}
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

// renew renews the delegations of this host, and asks ahead for active accounts. It
// reports whether any account has a limit.
func (c *Credits) renew() bool {
	if !c.Active() {
		return false
	}
	c.rank()
	c.mu.Lock()
	defer c.mu.Unlock()
	asks := c.renewalAsks(clock.Now())
	for g := range c.groups {
		group := &c.groups[g]
		c.ledgers[g].Forget(c.isLimited, clock.Now())
		if group.renewing {
			continue
		}
		group.renewing = true
		c.wait.Go(func() { c.renewGroup(g, asks[g]) })
	}
	return true
}

// rank ranks the live hosts as coordinators.
func (c *Credits) rank() {
	hosts := c.Hosts()
	names, addresses := make([]string, 0, len(hosts)), make(map[string]string, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
		addresses[h.Name] = h.Peers
	}
	known := c.Known()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = known
	if c.released {
		names = slices.DeleteFunc(names, func(name string) bool { return name == c.Host })
	}
	for g := range c.groups {
		group := &c.groups[g]
		group.ranked, group.addresses = placement.Rank(groupRankKey+string(rune('0'+g)), names), addresses
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
		limit, limited := c.Limit(name)
		if !limited {
			if !a.asking {
				delete(c.accounts, name)
			}
			continue
		}
		g := groupOf(name)
		if c.groups[g].renewing {
			continue
		}
		if ask := a.ask(name, limit, 0, now); ask.Wish >= 1 || ask.Owed > 0 || ask.Returned > 0 {
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
		if err != nil || len(reply.Grants) != len(asks) {
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
	if group.ranked == nil { // before the first renewal
		c.mu.Unlock()
		c.rank()
		c.mu.Lock()
	}
	now := clock.Now()
	group.trust, coordinator = group.trust.Coordinator(group.ranked, c.Host, now)
	request := CreditRequest{Group: g, Asks: asks}
	share := 0.0
	if c.known > 0 && !c.released {
		share = 1 / float64(c.known)
	}
	group.trust, request.Delegation = group.trust.Delegate(coordinator, share, renewalInterval(c.known), now)
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
		group := &c.groups[g]
		group.ranked = slices.DeleteFunc(slices.Clone(group.ranked), func(name string) bool { return name == c.Host })
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
		if !ok {
			limit = ask.Limit
		}
		reply.Grants = append(reply.Grants, ledger.Grant(ask, limit, now))
	}
	return reply
}
