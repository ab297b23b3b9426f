package limiter

import (
	"time"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// wishTime is the time for whose demand a host asks ahead of need.
	wishTime = 3 * account.CreditTTL / 4
	// refusalPause is how long a host asks nothing for an account after a refusal.
	refusalPause = 100 * time.Millisecond
	// maxReturnAfter bounds the time after which a refused caller is told to come back.
	maxReturnAfter = 30 * time.Second
)

// creditor is what this host keeps of one account.
type creditor struct {
	credit account.Credit
	demand allocation.RateWindow
	// owed was used without credit, returned was not used; both are not reported yet.
	owed, returned float64
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
	begun  bool
	// result receives the result once.
	result chan verdict
	// left is set once nobody waits for the result.
	left bool
}

// verdict is the result of an application for credit.
type verdict struct {
	charge  account.Charge
	refused account.Refusal
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
func (a *creditor) refuse(amount, perSecond float64, now clock.Instant) account.Refusal {
	a.returnAt = max(a.returnAt, now)
	if perSecond > 0 {
		a.returnAt = min(a.returnAt.Add(timeFor(amount, perSecond)), now.Add(maxReturnAfter))
	}
	return account.Refusal{Limit: account.RateLimit, RetryAfter: a.returnAt.Sub(now)}
}

// timeFor returns the time, at most maxReturnAfter, in which an amount accumulates.
func timeFor(amount, perSecond float64) time.Duration {
	return time.Duration(min(amount/perSecond, maxReturnAfter.Seconds()) * float64(time.Second))
}

// ask returns the request for the credit of the first waiting requests. The caller holds
// mu.
func (a *creditor) ask(name string, limit account.Limit, waiting int, now clock.Instant) account.Ask {
	// An answer may be lost after the credit was returned, so it is returned only once.
	ask := account.Ask{Account: name, Limit: limit, Owed: a.owed, Returned: a.returned}
	a.owed, a.returned = 0, 0
	for _, w := range a.waiting[:waiting] {
		if w.begun {
			ask.Begun += w.amount
			continue
		}
		if ask.Need == 0 {
			ask.First = w.amount
		}
		ask.Need += w.amount
	}
	ask.Wish = max(0, a.demand.Within(wishTime, now)-a.credit.Left(now))
	return ask
}

// settle serves or refuses requests that waited for the answer to an ask. Those that the
// grant doesn't serve are told to come back one after the other.
func (a *creditor) settle(waiting []*applicant, grant account.Grant, limit account.Limit, sent, now clock.Instant) {
	a.credit = a.credit.With(account.Charge{Amount: grant.Amount, Until: sent.Add(account.CreditTTL)}, now)
	returnAt := now.Add(grant.Wait)
	for _, w := range waiting {
		if w.left {
			continue
		}
		if w.begun && (grant.Begun || grant.Wait == 0) {
			if !grant.Begun {
				a.owed += w.amount
			}
			w.result <- verdict{charge: account.Charge{Amount: w.amount, Until: sent.Add(account.CreditTTL)}}
			continue
		}
		credit, charge, served := a.credit.Take(w.amount, now)
		switch {
		case served:
			a.credit = credit
			w.result <- verdict{charge: charge}
		case grant.Wait == 0:
			w.result <- verdict{refused: noCredit}
		default:
			w.result <- verdict{refused: account.Refusal{Limit: account.RateLimit, RetryAfter: returnAt.Sub(now)}}
			if limit.IsSet() {
				returnAt = min(returnAt.Add(timeFor(w.amount, limit.PerSecond)), now.Add(maxReturnAfter))
			}
			a.returnAt, a.pausedUntil = max(a.returnAt, returnAt), now.Add(min(refusalPause, grant.Wait))
		}
	}
}

// noCredit refuses a request since no coordinator grants credit.
var noCredit = account.Refusal{Limit: account.NoCredit, RetryAfter: refusalPause}
