package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/clock"
)

// TestCreditIsNotSpentOnCallersThatLeft checks that a grant serves those that still wait.
func TestCreditIsNotSpentOnCallersThatLeft(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	waiting := []*applicant{{amount: 10, left: true, result: make(chan verdict, 1)}, {amount: 10, result: make(chan verdict, 1)}}
	var a creditor
	a.settle(waiting, account.Grant{Amount: 10, Wait: time.Second}, account.Limit{PerSecond: 10}, now, now)
	is.Equal(len(waiting[0].result), 0)
	is.Equal((<-waiting[1].result).charge.Amount, 10.0)
}

// TestRefusedTogetherReturnInTurn checks that callers which are refused by one answer are
// told to come back one after the other.
func TestRefusedTogetherReturnInTurn(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	var waiting []*applicant
	for range 3 {
		waiting = append(waiting, &applicant{amount: 10, result: make(chan verdict, 1)})
	}
	var a creditor
	a.settle(waiting, account.Grant{Wait: time.Second}, account.Limit{PerSecond: 20}, now, now)
	for i, w := range waiting {
		is.Equal((<-w.result).refused, account.Refusal{Limit: account.RateLimit, RetryAfter: time.Second + time.Duration(i)*500*time.Millisecond})
	}
	is.Equal(a.pausedUntil, now.Add(refusalPause))
}

// TestBegunRequestsAreServedWithoutCredit checks that a request whose caller has a part of
// the answer is served if no coordinator grants anything, and is owed then.
func TestBegunRequestsAreServedWithoutCredit(t *testing.T) {
	now := clock.Instant(time.Hour)
	tests := map[string]struct {
		grant   account.Grant
		refused string
		owed    float64
	}{
		"no coordinator":  {account.Grant{}, "", 10},
		"charged":         {account.Grant{Begun: true}, "", 0},
		"deep in debt":    {account.Grant{Wait: time.Second}, account.RateLimit, 0},
		"charged, others": {account.Grant{Begun: true, Wait: time.Second}, "", 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &applicant{amount: 10, begun: true, result: make(chan verdict, 1)}
			a := creditor{waiting: []*applicant{w}}
			is.Equal(a.ask("mill", account.Limit{}, 1, now), account.Ask{Account: "mill", Begun: 10})
			a.settle(a.waiting, test.grant, account.Limit{PerSecond: 10}, now, now)
			is.Equal((<-w.result).refused.Limit, test.refused)
			is.Equal(a.owed, test.owed)
		})
	}
}
