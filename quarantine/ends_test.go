package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// mostEnds is how many engines a request may end before all hosts refuse it:
// three, and three more that were on their way.
const mostEnds = 6

// TestEnginesThatKeepTheirNamesCount plays a request that ends whatever runs
// it in pools of each size, whether engines come back under their names or
// under others, with other losses beside and without.
func TestEnginesThatKeepTheirNamesCount(t *testing.T) {
	for pool := 1; pool <= 6; pool++ {
		for _, rename := range []bool{false, true} {
			for _, beside := range []string{"nothing", "another engine each time", "another request on the same engines"} {
				t.Run(fmt.Sprint(pool, rename, beside), func(t *testing.T) {
					is := is.New(t)
					table, at := quarantine.Table{}, time.Duration(0)
					ends := 0
					for ; ends < 30 && table.Verdict("x", start.Add(at)) != quarantine.Condemned; ends++ {
						at += 5 * time.Second
						engine := fmt.Sprint("engine-", ends%pool)
						if rename {
							engine = fmt.Sprint("engine-", ends)
						}
						table, _ = table.With(start.Add(at), loss("x", engine, at))
						switch beside {
						case "another engine each time":
							table, _ = table.With(start.Add(at), loss("y", fmt.Sprint("other-", ends), at))
						case "another request on the same engines":
							table, _ = table.With(start.Add(at), loss("y", engine, at))
						}
					}
					is.True(ends <= mostEnds)
				})
			}
		}
	}
}

// TestManyLossesDontHideARepeatedOne has other engines end with all that runs
// there between those that a request ends.
func TestManyLossesDontHideARepeatedOne(t *testing.T) {
	const requests = 64
	for _, engines := range []int{4, 12, 30} {
		t.Run(fmt.Sprint(engines), func(t *testing.T) {
			is := is.New(t)
			table, at := quarantine.Table{}, time.Duration(0)
			ends := 0
			for ; ends < 30 && table.Verdict("x", start.Add(at)) != quarantine.Condemned; ends++ {
				at += 5 * time.Second
				table, _ = table.With(start.Add(at), table.Counted(loss("x", fmt.Sprint("engine-", ends), at), start.Add(at)))
				for e := range engines {
					var lost []quarantine.Record
					for r := range requests {
						at += time.Microsecond
						lost = append(lost, loss(quarantine.Fingerprint(fmt.Sprint(ends, "-", e, "-", r)), fmt.Sprint("other-", ends, "-", e), at))
					}
					table, _ = table.With(start.Add(at), lost...)
				}
			}
			is.True(ends <= mostEnds)
		})
	}
}

// TestAnOutageIsNoSeriesOfEnds tries the same request again and again at two
// engines that are gone while their entries still stand.
func TestAnOutageIsNoSeriesOfEnds(t *testing.T) {
	for _, sound := range []bool{false, true} {
		t.Run(fmt.Sprint(sound), func(t *testing.T) {
			is := is.New(t)
			table, at := quarantine.Table{}, time.Duration(0)
			for try := range 100 {
				at += 100 * time.Millisecond
				r := loss("x", fmt.Sprint("engine-", try%2), at)
				r.Start, r.Sent, r.Sound = "1", r.At.Add(-time.Millisecond), sound
				table, _ = table.With(start.Add(at), table.Counted(r, start.Add(at)))
				beside := r
				beside.ID, beside.Fingerprint = fmt.Sprint("beside-", try), quarantine.Fingerprint(fmt.Sprint("beside-", try/4))
				table, _ = table.With(start.Add(at), table.Counted(beside, start.Add(at)))
			}
			is.Equal(table.Verdict("x", start.Add(at)), quarantine.Suspect)
		})
	}
}

// TestTerm lets a condemned request be tried again after a time that doubles
// with each engine lost under it.
func TestTerm(t *testing.T) {
	is := is.New(t)
	table, at := quarantine.Table{}, time.Duration(0)
	for losses := 1; losses <= 5; losses++ {
		at += time.Second
		table, _ = table.With(start.Add(at), loss("x", fmt.Sprint("engine-", losses), at))
		if losses == 1 {
			continue
		}
		term := 15 * time.Second << losses
		is.Equal(table.Verdict("x", start.Add(at+term-1)), quarantine.Condemned)
		is.Equal(table.Verdict("x", start.Add(at+term)), quarantine.Suspect)
	}
}
