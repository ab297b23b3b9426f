// Package limiter enforces the limits of client accounts across all routers: it
// runs package account over the connections between hosts.
package limiter

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// renewInterval is the time between two checks for leases to renew.
	renewInterval = 500 * time.Millisecond
	// leaseTimeout bounds the wait for a lease; the first request of an account
	// waits for one.
	leaseTimeout = 250 * time.Millisecond
)

// directory lists the entry hosts.
type directory interface {
	Entries() []registry.Host
}

// Options configures a Limiter.
type Options struct {
	// Host is the name of this host.
	Host      string
	Directory directory
	Peers     *peer.Pool
	// Document returns the configuration in force.
	Document func() document.Document
}

// Limiter admits requests within this host's shares, and is the coordinator of
// some accounts.
type Limiter struct {
	Options

	ctx context.Context
	// mu guards shares and coordinators; it is never held during I/O.
	mu           sync.Mutex
	shares       map[string]account.Share
	coordinators map[string]account.Coordinator
}

// New returns a Limiter that renews leases until the context ends. The caller
// registers it with the peer server.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Limiter {
	l := &Limiter{Options: o, ctx: ctx, shares: map[string]account.Share{}, coordinators: map[string]account.Coordinator{}}
	wait.Go(func() { clock.Every(ctx, renewInterval, func(ctx context.Context) { l.renew(ctx, time.Now()) }) })
	return l
}

// Admit admits a request and returns the function to call when it ends, or
// refuses it and returns the failure to answer with.
func (l *Limiter) Admit(doc document.Document, r request.Request) (release func(), refused *request.Failure) {
	a, ok := doc.Account(r.Account)
	if !ok {
		return func() {}, nil
	}
	return l.Take(a, estimateTokens(r))
}

// Take admits a request of a number of tokens, or returns the failure with its
// Retry-After.
func (l *Limiter) Take(a document.Account, tokens int) (release func(), refused *request.Failure) {
	limits := account.LimitsOf(a)
	if !limits.Limited() {
		return func() {}, nil
	}
	l.ensureShare(a, limits, tokens)
	l.mu.Lock()
	defer l.mu.Unlock()
	s, refusal := l.shares[a.Name].Take(limits, tokens, time.Now())
	l.shares[a.Name] = s
	if refusal.Limit != "" {
		message := "the account has used up its " + refusal.Limit
		return nil, request.Refuse(request.RateLimited, message).WithRetryAfter(refusal.RetryAfter)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.shares[a.Name] = l.shares[a.Name].Release()
	}, nil
}

// ensureShare creates the share of an account if this host has none.
func (l *Limiter) ensureShare(a document.Account, limits account.Amount, tokens int) {
	l.mu.Lock()
	_, known := l.shares[a.Name]
	l.mu.Unlock()
	if known {
		return
	}
	hosts := l.Directory.Entries()
	lease := account.FallbackLease(limits, len(hosts))
	requests := map[string]account.LeaseRequest{a.Name: account.FirstLeaseRequest(lease, tokens)}
	if granted, ok := l.requestLeases(l.ctx, coordinatorOf(a.Name, hosts), requests)[a.Name]; ok {
		lease = granted
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.shares[a.Name]; !known {
		l.shares[a.Name] = account.NewShare(lease, time.Now())
	}
}

// coordinatorOf returns the host that leases the limits of an account.
func coordinatorOf(name string, hosts []registry.Host) registry.Host {
	names := make([]string, 0, len(hosts))
	for _, h := range hosts {
		names = append(names, h.Name)
	}
	owner := placement.Owner("account/"+name, names)
	for _, h := range hosts {
		if h.Name == owner {
			return h
		}
	}
	return registry.Host{}
}

// renew requests the leases that are due from their coordinators, and drops
// idle shares and coordinators.
func (l *Limiter) renew(ctx context.Context, now time.Time) {
	hosts := l.Directory.Entries()
	byCoordinator := map[registry.Host]map[string]account.LeaseRequest{}
	l.mu.Lock()
	maps.DeleteFunc(l.coordinators, func(_ string, c account.Coordinator) bool { return c.Idle(now) })
	for name, s := range l.shares {
		if !s.Due(now) {
			continue
		}
		if s.Idle(now) {
			delete(l.shares, name)
			continue
		}
		host := coordinatorOf(name, hosts)
		if byCoordinator[host] == nil {
			byCoordinator[host] = map[string]account.LeaseRequest{}
		}
		l.shares[name], byCoordinator[host][name] = s.NextLeaseRequest(now)
	}
	l.mu.Unlock()
	var wait conc.WaitGroup
	defer wait.Wait()
	for host, requests := range byCoordinator {
		wait.Go(func() { l.applyLeases(l.requestLeases(ctx, host, requests)) })
	}
}

// applyLeases applies new leases to the shares.
func (l *Limiter) applyLeases(leases map[string]account.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, lease := range leases {
		if s, ok := l.shares[name]; ok {
			l.shares[name] = s.WithLease(lease, time.Now())
		}
	}
}

// requestLeases requests leases from a coordinator. It returns none if the
// request fails.
func (l *Limiter) requestLeases(ctx context.Context, coordinator registry.Host, requests map[string]account.LeaseRequest) map[string]account.Amount {
	leases := map[string]account.Amount{}
	if coordinator.Name == l.Host {
		for name, req := range requests {
			leases[name] = l.grantLease(l.Host, name, req)
		}
		return leases
	}
	ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
	defer cancel()
	var names []string
	in := &peerpb.LeaseRequest{Host: l.Host}
	for name, req := range requests {
		names = append(names, name)
		in.Asks = append(in.Asks, &peerpb.LeaseAsk{
			Account: name, Wanted: encode(req.Wanted), Held: encode(req.Held), InFlight: int32(req.InFlight),
		})
	}
	out, err := peerpb.NewDRPCAccountsClient(l.Peers.Conn(ctx, coordinator.Peers)).Lease(l.Peers.Context(ctx), in)
	if err != nil || len(out.GetLeases()) != len(names) {
		return nil
	}
	for i, name := range names {
		leases[name] = decode(out.GetLeases()[i])
	}
	return leases
}

// estimateTokens estimates the tokens of a request: its prompt and the maximum
// of its answer.
func estimateTokens(r request.Request) int {
	if r.Kind != request.Completion {
		return 0
	}
	size := 0
	for _, level := range r.Levels {
		size += len(level)
	}
	return prefix.Tokens(size) + r.MaxTokens
}
