package placement_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/placement"
)

// places returns hosts over 2 regions with 3 failure domains each.
func places(count int) []placement.Place {
	var all []placement.Place
	for i := range count {
		all = append(all, placement.Place{
			Name: fmt.Sprintf("host-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%6), Region: fmt.Sprintf("region-%d", i%2),
		})
	}
	return all
}

// without returns the places that are not lost.
func without(all []placement.Place, lost func(placement.Place) bool) []placement.Place {
	var left []placement.Place
	for _, p := range all {
		if !lost(p) {
			left = append(left, p)
		}
	}
	return left
}

// TestOnlyWhatMustMoves loses a host, a failure domain and a region, and
// checks that a key moves only if its owner is lost, to the nearest hosts
// left, and that it returns with its owner.
func TestOnlyWhatMustMoves(t *testing.T) {
	losses := map[string]func(placement.Place) bool{
		"host":           func(p placement.Place) bool { return p.Name == "host-7" },
		"failure domain": func(p placement.Place) bool { return p.FailureDomain == "domain-1" },
		"region":         func(p placement.Place) bool { return p.Region == "region-1" },
	}
	for name, lost := range losses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			all := places(36)
			byName := map[string]placement.Place{}
			for _, p := range all {
				byName[p.Name] = p
			}
			moved, left := 0, without(all, lost)
			for i := range 3000 {
				key, thing := fmt.Sprintf("engine-%d", i), all[i%6]
				before, after := placement.OwnerNear(key, thing, all), placement.OwnerNear(key, thing, left)
				is.Equal(byName[before].FailureDomain, thing.FailureDomain)
				is.Equal(before != after, lost(byName[before]))
				if before != after {
					moved++
					if name != "region" {
						is.Equal(byName[after].Region, thing.Region)
					}
				}
			}
			t.Logf("%s lost: %d of 3000 keys moved", name, moved)
		})
	}
}

// TestOwnerNearIsEven gives each host of a failure domain its share.
func TestOwnerNearIsEven(t *testing.T) {
	is := is.New(t)
	all := places(36)
	owned := map[string]int{}
	for i := range 6000 {
		owned[placement.OwnerNear(fmt.Sprint(i), all[i%6], all)]++
	}
	is.Equal(len(owned), 36)
	for _, n := range owned {
		is.True(n > 100 && n < 250) // 6000 keys over 36 hosts: 167 each
	}
	is.Equal(placement.OwnerNear("key", all[0], nil), "")
}
