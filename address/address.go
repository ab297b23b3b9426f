// Package address selects the entry hosts that a caller should use, in order.
//
// Any host can compute the answer from its own view of the hosts. Hosts with the
// same view give a caller the same answer; different callers get different
// answers. The package does no I/O.
package address

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/placement"
)

const (
	// MaxHosts is the maximum number of hosts in an answer.
	MaxHosts = 8
	// otherDomains is how many of them are from failure domains that the first
	// ones don't cover, if there are any.
	otherDomains = 3
	// busyLoad is the load level from which proximity is ignored.
	busyLoad = 2
)

// Caller is the caller that needs addresses.
type Caller struct {
	// Key identifies the caller.
	Key string
	// FailureDomain and Region are the caller's location, or "".
	FailureDomain, Region string
}

// rankedHost is a host with its sort keys.
type rankedHost struct {
	membership.Host
	class int
	score float64
}

// Order returns at most MaxHosts hosts in the order in which the caller should
// try them. Leaving and failed hosts are omitted. Hosts that are not busy come
// first, the nearest before others, then busy hosts, and suspect hosts last.
func Order(hosts []membership.Host, c Caller) []membership.Host {
	var all []rankedHost
	for _, h := range hosts {
		if !h.Leaving && h.State != membership.Failed {
			all = append(all, rankedHost{h, class(h, c), score(h, c.Key)})
		}
	}
	slices.SortFunc(all, func(a, b rankedHost) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	return spreadDomains(all)
}

// class returns the group of a host; lower groups come first.
func class(h membership.Host, c Caller) int {
	switch {
	case h.State == membership.Suspect:
		return 5
	case h.Load >= membership.MaxLoad:
		return 4
	case h.Load >= busyLoad:
		return 3
	case c.FailureDomain != "" && c.FailureDomain == h.FailureDomain:
		return 0
	case c.Region != "" && c.Region == h.Region:
		return 1
	}
	return 2
}

// score distributes callers over the hosts of a class by weighted rendezvous
// hashing: a host with more load gets fewer callers.
func score(h membership.Host, key string) float64 {
	weight := float64(membership.MaxLoad + 1 - h.Load)
	uniform := (float64(placement.Score(key, h.Name)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// spreadDomains returns the first hosts, followed by the first ones from other
// failure domains, so that a caller survives the loss of a domain.
func spreadDomains(all []rankedHost) []membership.Host {
	chosen := make([]membership.Host, 0, min(MaxHosts, len(all)))
	domains := map[string]bool{}
	taken := make([]bool, len(all))
	take := func(limit int, accepts func(membership.Host) bool) {
		for i, r := range all {
			if len(chosen) < limit && !taken[i] && accepts(r.Host) {
				taken[i] = true
				domains[r.FailureDomain] = true
				chosen = append(chosen, r.Host)
			}
		}
	}
	any := func(membership.Host) bool { return true }
	take(MaxHosts-otherDomains, any)
	take(MaxHosts, func(h membership.Host) bool { return !domains[h.FailureDomain] })
	take(MaxHosts, any)
	return chosen
}

// minNearHosts is how many hosts of a caller's failure domain suffice: with two,
// the caller survives the loss of one.
const minNearHosts = 2

// NearHosts returns the hosts for a caller that chooses among them at random:
// those of its failure domain, or all if these are too few. Leaving and failed
// hosts are omitted; suspect hosts and those that are not ready are returned
// only if there are no others.
func NearHosts(hosts []membership.Host, c Caller) []membership.Host {
	var near, healthy, any []membership.Host
	for _, h := range hosts {
		if h.Leaving || h.State == membership.Failed {
			continue
		}
		any = append(any, h)
		if h.State == membership.Suspect || h.Load >= membership.MaxLoad {
			continue
		}
		healthy = append(healthy, h)
		if h.FailureDomain == c.FailureDomain {
			near = append(near, h)
		}
	}
	switch {
	case len(near) >= minNearHosts:
		return near
	case len(healthy) > 0:
		return healthy
	}
	return any
}
