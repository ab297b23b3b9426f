package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// maxEnginesLost is how many engines a request may crash before all hosts
// refuse it: three, and three more by attempts in flight.
const maxEnginesLost = 6

// TestCrasherIsQuarantined runs a request that crashes every engine, in pools
// of different sizes. Engines restart under the same or new names, with or
// without other losses at the time.
func TestCrasherIsQuarantined(t *testing.T) {
	for pool := 1; pool <= 6; pool++ {
		for _, rename := range []bool{false, true} {
			for _, otherLoss := range []string{"nothing", "another engine each time", "another request on the same engines"} {
				t.Run(fmt.Sprint(pool, rename, otherLoss), func(t *testing.T) {
					is := is.New(t)
					table, at := quarantine.Table{}, time.Duration(0)
					lost := 0
					for ; lost < 30 && table.Verdict("x", start.Add(at)) != quarantine.Quarantined; lost++ {
						at += 5 * time.Second
						engine := fmt.Sprint("engine-", lost%pool)
						if rename {
							engine = fmt.Sprint("engine-", lost)
						}
						table, _ = table.With(start.Add(at), loss("x", engine, at))
						switch otherLoss {
						case "another engine each time":
							table, _ = table.With(start.Add(at), loss("y", fmt.Sprint("other-", lost), at))
						case "another request on the same engines":
							table, _ = table.With(start.Add(at), loss("y", engine, at))
						}
					}
					is.True(lost <= maxEnginesLost)
				})
			}
		}
	}
}

// TestOtherLossesDontHideCrasher loses other engines, with all requests on
// them, between the engines that a request crashes.
func TestOtherLossesDontHideCrasher(t *testing.T) {
	const requests = 64
	for _, engines := range []int{4, 12, 30} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			is := is.New(t)
			table, at := quarantine.Table{}, time.Duration(0)
			lost := 0
			for ; lost < 30 && table.Verdict("x", start.Add(at)) != quarantine.Quarantined; lost++ {
				at += 5 * time.Second
				table, _ = table.With(start.Add(at), table.WithLossCounts(start.Add(at), loss("x", fmt.Sprint("engine-", lost), at))...)
				for e := range engines {
					var records []quarantine.Record
					for r := range requests {
						at += time.Microsecond
						records = append(records, loss(quarantine.Fingerprint(fmt.Sprint(lost, "-", e, "-", r)), fmt.Sprint("other-", lost, "-", e), at))
					}
					table, _ = table.With(start.Add(at), records...)
				}
			}
			is.True(lost <= maxEnginesLost)
		})
	}
}

// TestLaterLossesDontLiftQuarantine loses another engine some seconds after a
// request or a part was quarantined.
func TestLaterLossesDontLiftQuarantine(t *testing.T) {
	is := is.New(t)
	table, _ := quarantine.Table{}.With(start, loss("x", "a", 0), loss("x", "b", time.Second))
	for i, engine := range []string{"c", "d", "e"} {
		table, _ = table.With(start, lossOf("mill", fmt.Sprint("q", i), engine, time.Minute+time.Duration(i)*time.Second, "deadly")...)
	}
	is.Equal(table.Verdict("x", start.Add(time.Second)), quarantine.Quarantined)
	is.Equal(table.Verdict(part("deadly"), start.Add(62*time.Second)), quarantine.Quarantined)
	table, _ = table.With(start, loss("y", "z", 6*time.Second), loss("y", "z", 67*time.Second))
	is.Equal(table.Verdict("x", start.Add(6*time.Second)), quarantine.Quarantined)
	is.Equal(table.Verdict(part("deadly"), start.Add(67*time.Second)), quarantine.Quarantined)
}

// TestOutageDoesNotQuarantine retries the same request on two engines that have
// failed but are still listed. The losses count as one outage.
func TestOutageDoesNotQuarantine(t *testing.T) {
	for _, knownGood := range []bool{false, true} {
		t.Run(fmt.Sprint(knownGood), func(t *testing.T) {
			is := is.New(t)
			table, at := quarantine.Table{}, time.Duration(0)
			for attempt := range 100 {
				at += 100 * time.Millisecond
				r := loss("x", fmt.Sprint("engine-", attempt%2), at)
				r.Incarnation, r.Sent, r.KnownGood = "1", r.At.Add(-time.Millisecond), knownGood
				table, _ = table.With(start.Add(at), table.WithLossCounts(start.Add(at), r)...)
				other := r
				other.ID, other.Fingerprint = fmt.Sprint("other-", attempt), quarantine.Fingerprint(fmt.Sprint("other-", attempt/4))
				table, _ = table.With(start.Add(at), table.WithLossCounts(start.Add(at), other)...)
			}
			is.Equal(table.Verdict("x", start.Add(at)), quarantine.Suspect)
		})
	}
}

// TestQuarantineDuration expects a quarantined request to become a suspect again
// after a time that doubles with each loss.
func TestQuarantineDuration(t *testing.T) {
	is := is.New(t)
	table, at := quarantine.Table{}, time.Duration(0)
	for losses := 1; losses <= 5; losses++ {
		at += time.Second
		table, _ = table.With(start.Add(at), loss("x", fmt.Sprint("engine-", losses), at))
		if losses == 1 {
			continue
		}
		term := 15 * time.Second << losses
		is.Equal(table.Verdict("x", start.Add(at+term-1)), quarantine.Quarantined)
		is.Equal(table.Verdict("x", start.Add(at+term)), quarantine.Suspect)
	}
}
