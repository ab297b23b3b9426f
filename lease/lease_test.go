package lease_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/lease"
)

const engineLease = 3 * time.Second

// TestMayClaim checks which hosts may claim an engine after a claim.
func TestMayClaim(t *testing.T) {
	base := clock.Instant(time.Hour)
	s := lease.State{}.With(lease.Claim{Holder: "a", Upstreams: []string{"e"}, Offset: 4}, base)
	for _, c := range []struct {
		name, upstream, holder string
		after                  time.Duration
		mayClaim               bool
	}{
		{"the holder continues", "e", "a", 0, true},
		{"another host waits", "e", "b", 0, false},
		{"another host waits for the window and the lease", "e", "b", lease.Window + engineLease, false},
		{"another host may claim afterwards", "e", "b", lease.Window + engineLease + time.Second, true},
		{"another engine is free", "f", "b", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(s.MayClaim(c.upstream, c.holder, engineLease, base.Add(c.after)), c.mayClaim)
		})
	}
}

// TestMayClaimAfterRestore checks which hosts may claim an engine after the log has
// lost claims that it had confirmed.
func TestMayClaimAfterRestore(t *testing.T) {
	base := clock.Instant(time.Hour)
	claim := lease.Claim{Holder: "a", Upstreams: []string{"e"}, Offset: 4}
	blocked := lease.Window + engineLease + 700*time.Millisecond
	for _, c := range []struct {
		name, holder string
		// claimedBefore is how long before the restore host a claimed.
		claimedBefore, after time.Duration
		mayClaim             bool
	}{
		{"a host whose claim is in force continues", "a", time.Second, time.Second, true},
		{"a host whose claim has expired waits, since another may have claimed", "a", 10 * time.Second, time.Second, false},
		{"another host waits", "b", 10 * time.Second, time.Second, false},
		{"until a lost claim has expired", "b", 10 * time.Second, blocked, true},
		{"its own claim may expire meanwhile", "a", time.Second, blocked - time.Second/2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := lease.State{}.With(claim, base.Add(-c.claimedBefore)).WithLog(lease.Log{End: 1000, Era: 1}, base)
			is.New(t).Equal(s.MayClaim("e", c.holder, engineLease, base.Add(c.after)), c.mayClaim)
		})
	}
	is.New(t).True(lease.State{}.WithLog(lease.Log{}, base).MayClaim("e", "a", engineLease, base)) // it never lost any
}

// TestOlderClaimIsIgnored checks that a late claim with a smaller offset
// changes nothing.
func TestOlderClaimIsIgnored(t *testing.T) {
	is := is.New(t)
	base := clock.Instant(time.Hour)
	s := lease.State{}.With(lease.Claim{Holder: "b", Upstreams: []string{"e"}, Offset: 9}, base)
	s = s.With(lease.Claim{Holder: "a", Upstreams: []string{"e"}, Offset: 4}, base.Add(time.Minute))
	is.True(s.MayClaim("e", "b", engineLease, base))
	is.True(!s.MayClaim("e", "a", engineLease, base))
	is.True(s.WithoutExpired(engineLease, base.Add(time.Minute)).MayClaim("e", "a", engineLease, base))
}

// order is an order that the engine received.
type order struct {
	at     clock.Instant
	holder string
	fence  int64
}

// actor is a host that wants to order one engine. It reads the log as late as
// the test decides, and may pause between any two steps.
type actor struct {
	name  string
	state lease.State
	read  int
	// sent is when its last claim was sent, fence the claim's fencing number,
	// or 0 without a claim.
	sent  clock.Instant
	fence int64
}

// checkOrders checks that fencing numbers never decrease at the engine and that no
// two hosts order it within one lease.
func checkOrders(t *rapid.T, orders []order) {
	for i := range orders[:max(0, len(orders)-1)] {
		before, after := orders[i], orders[i+1]
		if after.fence < before.fence {
			t.Fatalf("fence %d after %d", after.fence, before.fence)
		}
		if after.holder != before.holder && after.at.Sub(before.at) < engineLease {
			t.Fatalf("%s ordered %v after %s", after.holder, after.at.Sub(before.at), before.holder)
		}
	}
}

// simulateHosts has hosts that read the log, claim the engine, pause, lose answers
// and send orders at any time. With the step "restore" the log loses its last
// claims, confirmed ones too, and gives out their offsets again.
func simulateHosts(t *rapid.T, steps ...string) {
	now := clock.Instant(time.Hour)
	var log []lease.Claim
	var era int64
	actors := []*actor{{name: "a"}, {name: "b"}, {name: "c"}}
	eras := map[*actor]int64{}
	var orders []order
	for range rapid.IntRange(1, 80).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "millis")) * time.Millisecond)
		a := rapid.SampledFrom(actors).Draw(t, "host")
		switch rapid.SampledFrom(steps).Draw(t, "step") {
		case "restore":
			log = log[:rapid.IntRange(0, len(log)).Draw(t, "kept")]
			era++
		case "read":
			if eras[a] != era {
				eras[a], a.read = era, 0
			}
			a.state = a.state.WithLog(lease.Log{Claims: atEra(log[a.read:], era, a.read), End: era*eraOffset + int64(len(log)), Era: era}, now)
			a.read = len(log)
		case "claim", "lost":
			if !a.state.MayClaim("e", a.name, engineLease, now) || eras[a] != era || a.read != len(log) {
				continue // the log rejects a claim that is not based on its end
			}
			c := lease.Claim{Holder: a.name, Upstreams: []string{"e"}, Offset: era*eraOffset + int64(len(log))}
			log = append(log, c)
			if rapid.Bool().Draw(t, "answered") {
				a.state, a.read = a.state.With(c, now), len(log)
				a.sent, a.fence = now, c.Offset+1
			}
		case "order":
			if a.fence > 0 && now.Sub(a.sent) <= lease.Window {
				orders = append(orders, order{now, a.name, a.fence})
			}
		}
	}
	checkOrders(t, orders)
}

// TestOneHostPerLease checks that fencing numbers never decrease at the engine and
// that no two hosts order it within one lease.
func TestOneHostPerLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulateHosts(t, "read", "claim", "lost", "order") })
}

// TestOneHostPerLeaseWhenTheLogIsRestored checks the same while the log loses claims.
func TestOneHostPerLeaseWhenTheLogIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { simulateHosts(t, "read", "read", "claim", "lost", "order", "order", "restore") })
}

// eraOffset is the distance of the offsets of two eras.
const eraOffset = 1000

// atEra returns the claims with their offsets in an era of the log.
func atEra(claims []lease.Claim, era int64, first int) []lease.Claim {
	var all []lease.Claim
	for i, c := range claims {
		c.Offset = era*eraOffset + int64(first+i)
		all = append(all, c)
	}
	return all
}

// TestMayBeOrdered checks for how long after a claim, also one that was only read from
// the log, other hosts count its upstreams as out of service.
func TestMayBeOrdered(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	s := lease.State{}.WithLog(lease.Log{Claims: []lease.Claim{{Holder: "a", Upstreams: []string{"e"}}}, End: 1}, now)
	is.True(s.MayBeOrdered("e", "b", now))
	is.True(!s.MayBeOrdered("e", "a", now))
	is.True(!s.MayBeOrdered("f", "b", now))
	is.True(!s.MayBeOrdered("e", "b", now.Add(2*time.Second)))
}
