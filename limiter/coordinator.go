package limiter

import (
	"context"
	"time"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

// Lease implements the Accounts service.
func (l *Limiter) Lease(_ context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseReply, error) {
	out := &peerpb.LeaseReply{}
	for _, a := range in.GetAsks() {
		request := account.LeaseRequest{Wanted: decode(a.GetWanted()), Held: decode(a.GetHeld()), InFlight: int(a.GetInFlight())}
		out.Leases = append(out.Leases, encode(l.grantLease(in.GetHost(), a.GetAccount(), request)))
	}
	return out, nil
}

// grantLease leases a part of an account's limits as its coordinator. If this
// host doesn't know the account yet, the router goes on with its current lease.
func (l *Limiter) grantLease(router, name string, request account.LeaseRequest) account.Amount {
	a, ok := l.Document().Account(name)
	if !ok {
		return request.Held
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	c, ok := l.coordinators[name]
	if !ok {
		c = account.NewCoordinator(now)
	}
	c, granted := c.Lease(account.LimitsOf(a), router, request, now)
	l.coordinators[name] = c
	return granted
}

func encode(a account.Amount) *peerpb.Amount {
	return &peerpb.Amount{Requests: float32(a.Requests), Tokens: float32(a.Tokens), Concurrency: float32(a.Concurrency)}
}

func decode(a *peerpb.Amount) account.Amount {
	return account.Amount{
		Requests: float64(a.GetRequests()), Tokens: float64(a.GetTokens()), Concurrency: float64(a.GetConcurrency()),
	}
}
