// Package address decides which entry hosts a caller should use, in order.
//
// Any host computes the answer from its own view of the hosts; hosts with
// the same view give a caller the same answer, and callers differ. The
// package does no I/O.
package address

import (
	"cmp"
	"math"
	"slices"

	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/placement"
)

const (
	// MaxHosts bounds the hosts of an answer.
	MaxHosts = 8
	// spare is how many of them are of failure domains that the others are
	// not of, as far as there are.
	spare = 3
	// busy is the level of load from which nearness does not count.
	busy = 2
)

// Caller is who asks.
type Caller struct {
	// Key tells callers apart.
	Key string
	// FailureDomain and Region tell where the caller stands, or are "".
	FailureDomain, Region string
}

// ranked is a host with its place in the answer.
type ranked struct {
	membership.Host
	class int
	score float64
}

// Order returns at most MaxHosts hosts in the order in which the caller
// should try them. Hosts that leave are left out; hosts under suspicion come
// last, before them busy ones, and among equals the nearest come first.
func Order(hosts []membership.Host, c Caller) []membership.Host {
	var all []ranked
	for _, h := range hosts {
		if !h.Leaving && h.State != membership.Failed {
			all = append(all, ranked{h, class(h, c), score(h, c.Key)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	return spread(all)
}

// class orders groups of hosts; lower goes first.
func class(h membership.Host, c Caller) int {
	switch {
	case h.State == membership.Suspect:
		return 5
	case h.Load >= membership.MaxLoad:
		return 4
	case h.Load >= busy:
		return 3
	case c.FailureDomain != "" && c.FailureDomain == h.FailureDomain:
		return 0
	case c.Region != "" && c.Region == h.Region:
		return 1
	}
	return 2
}

// score spreads callers over the hosts of a class by weighted rendezvous
// hashing: a host with more load gets fewer callers.
func score(h membership.Host, key string) float64 {
	weight := float64(membership.MaxLoad + 1 - h.Load)
	uniform := (float64(placement.Score(key, h.Name)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// spread returns the first hosts, and after them the first of failure
// domains that they leave out: a caller survives the loss of a domain.
func spread(all []ranked) []membership.Host {
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
	take(MaxHosts-spare, any)
	take(MaxHosts, func(h membership.Host) bool { return !domains[h.FailureDomain] })
	take(MaxHosts, any)
	return chosen
}

// leastNear is how many hosts of a caller's failure domain are enough, so
// that it survives the loss of one.
const leastNear = 2

// Near returns the hosts for a caller that chooses among them at random:
// those of its failure domain, or all if these are too few. Hosts that leave,
// are not ready or are under suspicion are left out while others are there.
func Near(hosts []membership.Host, c Caller) []membership.Host {
	var near, sound, any []membership.Host
	for _, h := range hosts {
		if h.Leaving || h.State == membership.Failed {
			continue
		}
		any = append(any, h)
		if h.State == membership.Suspect || h.Load >= membership.MaxLoad {
			continue
		}
		sound = append(sound, h)
		if h.FailureDomain == c.FailureDomain {
			near = append(near, h)
		}
	}
	switch {
	case len(near) >= leastNear:
		return near
	case len(sound) > 0:
		return sound
	}
	return any
}
