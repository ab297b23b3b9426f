// Package account divides the limits of client accounts among all routers.
//
// Each account has a coordinator, a host that leases parts of the limits to the
// routers by their recent demand. A router admits requests within its lease
// without further messages; if the coordinator is unreachable, it goes on with
// its last lease. The package does no I/O.
package account

import (
	"time"

	"github.com/kumquathoist/kumquathoist/document"
)

// Period is the time between two leases of an account to the same router.
const Period = 2 * time.Second

// Amount is a part of an account's limits. As a limit, 0 means unlimited.
type Amount struct {
	// Requests and Tokens are rates per second.
	Requests, Tokens float64
	// Concurrency is a number of requests in flight.
	Concurrency float64
}

// LimitsOf returns the limits of an account over all routers.
func LimitsOf(a document.Account) Amount {
	return Amount{Requests: a.RequestsPerSecond, Tokens: a.TokensPerSecond, Concurrency: float64(a.Concurrency)}
}

// Limited reports whether any of the limits is set.
func (a Amount) Limited() bool { return a != Amount{} }

// combine combines two amounts field by field.
func (a Amount) combine(b Amount, with func(x, y float64) float64) Amount {
	return Amount{with(a.Requests, b.Requests), with(a.Tokens, b.Tokens), with(a.Concurrency, b.Concurrency)}
}

// DividedBy returns the amount divided evenly by a number of routers.
func (a Amount) DividedBy(routers int) Amount {
	n := float64(max(1, routers))
	return Amount{a.Requests / n, a.Tokens / n, a.Concurrency / n}
}
