package main

import (
	"slices"
	"time"
)

// leaseTime is the platform's lease_ms.
const leaseTime = 3 * time.Second

// judgeOrders reports whether two holders took turns at an engine within the lease, had
// one fencing token, or a lower token came after a higher one.
func (t *trial) judgeOrders(orders []order) (broken bool) {
	slices.SortFunc(orders, func(a, b order) int { return a.at.Compare(b.at) })
	last := map[string]order{}
	holders := map[int64]string{}
	for _, o := range orders {
		if holder, known := holders[o.Token]; known && holder != o.Holder {
			t.logf("token %d has two holders, %s and %s", o.Token, holder, o.Holder)
			broken = true
		}
		holders[o.Token] = o.Holder
		before, known := last[o.engine]
		last[o.engine] = o
		switch {
		case !known:
		case before.Holder != o.Holder && o.at.Sub(before.at) < leaseTime:
			t.logf("engine %s: %s (token %d) %.2f s after %s (token %d); the lease is %s", o.engine, o.Holder, o.Token, o.at.Sub(before.at).Seconds(), before.Holder, before.Token, leaseTime)
			broken = true
		case o.Token < before.Token:
			t.logf("engine %s: token %d after token %d", o.engine, o.Token, before.Token)
			broken = true
		}
	}
	return broken
}
