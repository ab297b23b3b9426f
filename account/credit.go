package account

import (
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// CreditTTL is how long credit may be used after it was asked for.
const CreditTTL = time.Second

// Charge is credit that a request uses.
type Charge struct {
	Amount float64
	// Until is when the credit ends. What a request did not use may be used by another
	// one before.
	Until clock.Instant
}

// Credit is what a host may use of an account's limit without asking. The zero value is
// none. It is immutable.
type Credit struct {
	// charges holds the grants that are left, the first to end first.
	charges []Charge
}

// Left returns the credit that can be used now.
func (c Credit) Left(now clock.Instant) float64 {
	sum := 0.0
	for _, g := range c.charges {
		if now.Before(g.Until) {
			sum += g.Amount
		}
	}
	return sum
}

// With returns the credit with a grant, or with one that was given back.
func (c Credit) With(g Charge, now clock.Instant) Credit {
	charges := slices.DeleteFunc(slices.Clone(c.charges), func(g Charge) bool { return !now.Before(g.Until) })
	if g.Amount > 0 && now.Before(g.Until) {
		i, _ := slices.BinarySearchFunc(charges, g, func(a, b Charge) int { return int(a.Until.Sub(b.Until)) })
		charges = slices.Insert(charges, i, g)
	}
	return Credit{charges}
}

// Take uses credit for a request, or reports that there is too little. The charge ends
// with the first grant that it is taken from.
func (c Credit) Take(amount float64, now clock.Instant) (Credit, Charge, bool) {
	if c.Left(now) < amount {
		return c, Charge{}, false
	}
	taken, left := Charge{Amount: amount}, Credit{}
	for _, g := range c.charges {
		if !now.Before(g.Until) {
			continue
		}
		used := min(amount, g.Amount)
		if used > 0 && taken.Until == 0 {
			taken.Until = g.Until
		}
		amount -= used
		if g.Amount -= used; g.Amount > 0 {
			left.charges = append(left.charges, g)
		}
	}
	return left, taken, true
}

// The limits that a Refusal of credit names.
const (
	// RateLimit means that the account has used up its limit.
	RateLimit = "rate"
	// NoCredit means that no coordinator granted credit: none was reached, or it had
	// nothing to grant yet.
	NoCredit = "credit"
)

// Demand is a request's demand for credit.
type Demand struct {
	Account string
	Limit   Limit
	// Amount is what the request counts.
	Amount float64
	// Begun is set if the caller has a part of the answer already. Such a request is
	// served beyond the limit until the account owes as much as its burst.
	Begun bool
}
