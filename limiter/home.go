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
		ask := account.Ask{Wanted: decode(a.GetWanted()), Held: decode(a.GetHeld()), InFlight: int(a.GetInFlight())}
		out.Leases = append(out.Leases, encode(l.grant(in.GetHost(), a.GetAccount(), ask)))
	}
	return out, nil
}

// grant leases a part of an account's limits as its home. A router that knows
// an account that this host doesn't know yet goes on with what it holds.
func (l *Limiter) grant(router, name string, ask account.Ask) account.Amount {
	a, ok := l.Document().Account(name)
	if !ok {
		return ask.Held
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	h, ok := l.homes[name]
	if !ok {
		h = account.NewHome(now)
	}
	h, granted := h.Lease(account.LimitsOf(a), router, ask, now)
	l.homes[name] = h
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
