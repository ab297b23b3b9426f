// Package account shares the limits of client accounts over all routers.
//
// Each account has a home, a host that leases parts of the limits to the
// routers by their recent demand. A router admits requests from what it
// holds without asking; with the home lost it goes on with its last lease.
// The package does no I/O.
package account

import (
	"time"

	"github.com/kumquathoist/kumquathoist/document"
)

// Period is the time between two leases of an account to a router.
const Period = 2 * time.Second

// Amount is a part of an account's limits. As a limit, 0 means no bound.
type Amount struct {
	// Requests and Tokens are rates for each second.
	Requests, Tokens float64
	// Concurrency is a number of requests in flight.
	Concurrency float64
}

// LimitsOf returns the limits of an account over all routers.
func LimitsOf(a document.Account) Amount {
	return Amount{Requests: a.RequestsPerSecond, Tokens: a.TokensPerSecond, Concurrency: float64(a.Concurrency)}
}

// Limited tells whether anything is bounded.
func (a Amount) Limited() bool { return a != Amount{} }

// zip combines two amounts field by field.
func (a Amount) zip(b Amount, with func(x, y float64) float64) Amount {
	return Amount{with(a.Requests, b.Requests), with(a.Tokens, b.Tokens), with(a.Concurrency, b.Concurrency)}
}

// Divided returns an even part for one of as many routers.
func (a Amount) Divided(routers int) Amount {
	n := float64(max(1, routers))
	return Amount{a.Requests / n, a.Tokens / n, a.Concurrency / n}
}
