package placement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/placement"
)

// hostLocations returns hosts spread over 2 regions with 3 failure domains each.
func hostLocations(count int) []placement.Location {
	var all []placement.Location
	for i := range count {
		all = append(all, placement.Location{
			Name: fmt.Sprintf("host-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%6), Region: fmt.Sprintf("region-%d", i%2),
		})
	}
	return all
}

// withoutLost returns the locations that are not lost.
func withoutLost(all []placement.Location, lost func(placement.Location) bool) []placement.Location {
	var remaining []placement.Location
	for _, p := range all {
		if !lost(p) {
			remaining = append(remaining, p)
		}
	}
	return remaining
}

// TestOwnerNearMovesOnlyLostKeys checks that the loss of a host, a failure
// domain or a region moves a key only if its owner is lost, and moves it to
// the nearest hosts left. The owner is a function of the members, so a key
// returns with its owner.
func TestOwnerNearMovesOnlyLostKeys(t *testing.T) {
	losses := map[string]func(placement.Location) bool{
		"host":           func(p placement.Location) bool { return p.Name == "host-7" },
		"failure domain": func(p placement.Location) bool { return p.FailureDomain == "domain-1" },
		"region":         func(p placement.Location) bool { return p.Region == "region-1" },
	}
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := hostLocations(36)
			byName := map[string]placement.Location{}
			for _, p := range all {
				byName[p.Name] = p
			}
			moved, remaining := 0, withoutLost(all, lost)
			for i := range 3000 {
				key, owned := fmt.Sprintf("engine-%d", i), all[i%6]
				before, after := placement.OwnerNear(key, owned, all), placement.OwnerNear(key, owned, remaining)
				is.Equal(byName[before].FailureDomain, owned.FailureDomain)
				is.Equal(before != after, lost(byName[before]))
				if before != after {
					moved++
					if name != "region" {
						is.Equal(byName[after].Region, owned.Region)
					}
				}
			}
			t.Logf("%s lost: %d of 3000 keys moved", name, moved)
		})
	}
}

// TestOwnerNearIsEven checks that the hosts of a failure domain own similar
// numbers of keys.
func TestOwnerNearIsEven(t *testing.T) {
	is := is.New(t)
	all := hostLocations(36)
	counts := map[string]int{}
	for i := range 6000 {
		counts[placement.OwnerNear(fmt.Sprint(i), all[i%6], all)]++
	}
	is.Equal(len(counts), 36)
	for _, n := range counts {
		is.True(n > 100 && n < 250) // 6000 keys over 36 hosts: 167 each
	}
	is.Equal(placement.OwnerNear("key", all[0], nil), "")
}
