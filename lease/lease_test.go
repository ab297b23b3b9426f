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

// TestFree covers who may claim an engine after a claim.
func TestFree(t *testing.T) {
	base := clock.Instant(time.Hour)
	l := lease.Ledger{}.With(lease.Claim{Holder: "a", Upstreams: []string{"e"}, Offset: 4}, base)
	for _, c := range []struct {
		name, upstream, holder string
		after                  time.Duration
		free                   bool
	}{
		{"the holder goes on", "e", "a", 0, true},
		{"another waits", "e", "b", 0, false},
		{"another waits out the window and the lease", "e", "b", lease.Window + engineLease, false},
		{"another may act then", "e", "b", lease.Window + engineLease + time.Second, true},
		{"another engine is free", "f", "b", 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(l.Free(c.upstream, c.holder, engineLease, base.Add(c.after)), c.free)
		})
	}
}

// TestOlderClaims changes nothing by a claim that is heard of late.
func TestOlderClaims(t *testing.T) {
	is := is.New(t)
	base := clock.Instant(time.Hour)
	l := lease.Ledger{}.With(lease.Claim{Holder: "b", Upstreams: []string{"e"}, Offset: 9}, base)
	l = l.With(lease.Claim{Holder: "a", Upstreams: []string{"e"}, Offset: 4}, base.Add(time.Minute))
	is.True(l.Free("e", "b", engineLease, base))
	is.True(!l.Free("e", "a", engineLease, base))
	is.True(l.Forget(engineLease, base.Add(time.Minute)).Free("e", "a", engineLease, base))
}

// order is one order that an engine got.
type order struct {
	at     clock.Instant
	holder string
	fence  int64
}

// actor is a host that wants to order one engine. Its news of the log are as
// late as the test makes them, and it may stand still between any two steps.
type actor struct {
	name   string
	ledger lease.Ledger
	read   int
	// sent is when its last claim was sent, fence its number, 0 without one.
	sent  clock.Instant
	fence int64
}

// TestNoTwoHostsWithinALease plays hosts that read, claim, stand still, lose
// answers and order at any moments, and checks what the engine sees.
func TestNoTwoHostsWithinALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := clock.Instant(time.Hour)
		var log []lease.Claim
		actors := []*actor{{name: "a"}, {name: "b"}, {name: "c"}}
		var orders []order
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(t, "millis")) * time.Millisecond)
			a := rapid.SampledFrom(actors).Draw(t, "host")
			switch rapid.SampledFrom([]string{"read", "claim", "lost", "order"}).Draw(t, "step") {
			case "read":
				for ; a.read < len(log); a.read++ {
					a.ledger = a.ledger.With(log[a.read], now)
				}
			case "claim", "lost":
				if !a.ledger.Free("e", a.name, engineLease, now) || a.read != len(log) {
					continue // the log refuses a claim that does not know its end
				}
				c := lease.Claim{Holder: a.name, Upstreams: []string{"e"}, Offset: int64(len(log))}
				log = append(log, c)
				if rapid.Bool().Draw(t, "answered") {
					a.ledger, a.read = a.ledger.With(c, now), len(log)
					a.sent, a.fence = now, c.Offset+1
				}
			case "order":
				if a.fence > 0 && now.Sub(a.sent) <= lease.Window {
					orders = append(orders, order{now, a.name, a.fence})
				}
			}
		}
		for i := range orders[:max(0, len(orders)-1)] {
			before, after := orders[i], orders[i+1]
			if after.fence < before.fence {
				t.Fatalf("fence %d after %d", after.fence, before.fence)
			}
			if after.holder != before.holder && after.at.Sub(before.at) < engineLease {
				t.Fatalf("%s ordered %v after %s", after.holder, after.at.Sub(before.at), before.holder)
			}
		}
	})
}
