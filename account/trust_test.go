package account_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/clock"
)

// trustIn returns the trust of a host "self" that has delegated its part to a host.
func trustIn(t *testing.T, holder string, now clock.Instant) account.Trust {
	t.Helper()
	stamp := account.Stamp{Life: 1, At: now}
	trust, d := account.Trust{}.Answered(holder, stamp, now).Delegate(holder, 0.5, renewInterval, now)
	is.New(t).Equal(d, account.Delegation{Share: 0.5, Stamp: stamp, TTL: 2 * renewInterval})
	return trust
}

// TestCoordinatorThatAnswersIsKept checks that a host whose view changes for a moment
// still asks the coordinator that has its part.
func TestCoordinatorThatAnswersIsKept(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	trust := trustIn(t, "a", now)
	trust, name := trust.Coordinator([]string{"b", "self"}, "self", now)
	is.Equal(name, "a")
	trust, name = trust.Coordinator([]string{"a", "b", "self"}, "self", now.Add(renewInterval))
	is.Equal(name, "a")
	trust, d := trust.Delegate("a", 0.5, renewInterval, now.Add(renewInterval))
	is.Equal(d.Share, 0.5) // renewed
	_, name = trust.Failed("a", false, now).Coordinator([]string{"a", "b", "self"}, "self", now)
	is.Equal(name, "b") // it may be asked, though it has no part yet
}

// TestPartMovesToThePreferredCoordinator checks that a host moves its part to a
// coordinator that ranks before the old one for long, and that both never have it.
func TestPartMovesToThePreferredCoordinator(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	trust := trustIn(t, "b", now)
	ranked, delegatedUntil := []string{"a", "b", "self"}, now.Add(2*renewInterval)
	for end := now.Add(time.Minute); now < end; now = now.Add(renewInterval) {
		var name string
		trust, name = trust.Coordinator(ranked, "self", now)
		var d account.Delegation
		trust, d = trust.Delegate(name, 0.5, renewInterval, now)
		if name == "a" {
			is.True(!now.Before(delegatedUntil))
			if d.Share == 0.5 {
				return
			}
		} else if d.Share > 0 {
			delegatedUntil = d.Stamp.At.Add(d.TTL)
		}
		trust = trust.Answered(name, account.Stamp{Life: 1, At: now}, now)
	}
	t.Fatal("the part has not moved")
}

// TestHostWithoutPartDelegatesToNobody lets a host without a part choose another coordinator
// at once when it has one.
func TestHostWithoutPartDelegatesToNobody(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	trust := account.Trust{}.Answered("self", account.Stamp{Life: 1, At: now}, now)
	trust, d := trust.Delegate("self", 0, time.Second, now)
	is.Equal(d.Share, 0.0)
	trust, coordinator := trust.Coordinator([]string{"other", "self"}, "self", now)
	is.Equal(coordinator, "other")
	trust = trust.Answered("other", account.Stamp{Life: 2, At: now}, now)
	_, d = trust.Delegate("other", 0.5, time.Second, now)
	is.Equal(d.Share, 0.5)
}
