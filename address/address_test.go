package address_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/address"
	"github.com/kumquathoist/kumquathoist/membership"
)

// hosts returns live hosts in 3 failure domains, the last of them in another
// region.
func hosts(count int, edits ...func([]membership.Host)) []membership.Host {
	var all []membership.Host
	for i := range count {
		region := "west"
		if i%3 == 2 {
			region = "east"
		}
		all = append(all, membership.Host{Identity: membership.Identity{
			Name: fmt.Sprintf("host-%02d", i), FailureDomain: fmt.Sprintf("domain-%d", i%3), Region: region,
		}})
	}
	for _, edit := range edits {
		edit(all)
	}
	return all
}

func TestOrder(t *testing.T) {
	near := address.Caller{Key: "caller", FailureDomain: "domain-0", Region: "west"}
	cases := []struct {
		name   string
		hosts  []membership.Host
		caller address.Caller
		// first and last are the expected names of the first and last host.
		count       int
		first, last string
	}{
		{"no hosts", nil, near, 0, "", ""},
		{"nearest first", hosts(3), near, 3, "host-00", "host-02"},
		{"a leaving host is left out", hosts(3, func(h []membership.Host) { h[0].Leaving = true }), near, 2, "host-01", "host-02"},
		{"a failed host is left out", hosts(3, func(h []membership.Host) { h[0].State = membership.Failed }), near, 2, "host-01", "host-02"},
		{"a suspect comes last", hosts(3, func(h []membership.Host) { h[0].State = membership.Suspect }), near, 3, "host-01", "host-00"},
		{"a busy host comes after idle ones", hosts(3, func(h []membership.Host) { h[0].Load = 2 }), near, 3, "host-01", "host-00"},
		{"a host that can't serve comes after busy ones", hosts(3, func(h []membership.Host) { h[0].Load, h[1].Load = 3, 2 }), near, 3, "host-02", "host-00"},
		{"the answer is limited", hosts(300), near, address.MaxHosts, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got := address.Order(c.hosts, c.caller)
			is.Equal(len(got), c.count)
			if c.first != "" {
				is.Equal(got[0].Name, c.first)
				is.Equal(got[len(got)-1].Name, c.last)
			}
			domains := map[string]bool{}
			for _, h := range got {
				domains[h.FailureDomain] = true
			}
			is.True(len(c.hosts) < 300 || len(domains) == 3) // hosts remain after the loss of a domain
		})
	}
}

// TestSpread checks that 1000 callers with keys are distributed evenly over the
// hosts, and that a loaded host gets fewer.
func TestSpread(t *testing.T) {
	for _, count := range []int{9, 30, 340} {
		is := is.New(t)
		all := hosts(count, func(h []membership.Host) { h[4].Load = 1 })
		callers := map[string]int{}
		for i := range 1000 {
			callers[address.Order(all, address.Caller{Key: fmt.Sprintf("caller-%d", i)})[0].Name]++
		}
		maxCallers := 0
		for _, n := range callers {
			maxCallers = max(maxCallers, n)
		}
		mean := 1000 / float64(count)
		t.Logf("%d hosts: at most %d callers, %.2f of the mean; the loaded host %d", count, maxCallers, float64(maxCallers)/mean, callers["host-04"])
		is.True(float64(maxCallers) < 1.5*mean+8)
		is.True(float64(callers["host-04"]) < mean+3)
	}
}
