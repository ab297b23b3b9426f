package membership

import (
	"cmp"
	"slices"

	"github.com/kumquathoist/kumquathoist/placement"
)

// ring is an order of the hosts: each host sends heartbeats to the next
// accepted host after it.
type ring struct {
	key string
	// accepts reports whether a host may follow another one.
	accepts func(from, to Identity) bool
}

func anyHost(_, _ Identity) bool { return true }

// rings connect every host with four others in each direction: two anywhere,
// one in its failure domain, and one in another region or, if there is only
// one region, in another failure domain.
var rings = []ring{
	{"any-1", anyHost},
	{"any-2", anyHost},
	{"domain", func(from, to Identity) bool { return from.FailureDomain == to.FailureDomain }},
	{"far", func(from, to Identity) bool { return from.Region != to.Region }},
}

// MaxTargets bounds the peers that a host sends heartbeats to.
const MaxTargets = 5

func compareNames(a, b string) int { return cmp.Compare(a, b) }

// order returns the hosts in the order of a ring.
func (r ring) order(hosts []Identity) []Identity {
	type scored struct {
		score uint64
		index int
	}
	scores := make([]scored, len(hosts))
	for i, h := range hosts {
		scores[i] = scored{placement.Score(r.key, h.Name), i}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), compareNames(hosts[a.index].Name, hosts[b.index].Name))
	})
	ordered := make([]Identity, len(hosts))
	for i, s := range scores {
		ordered[i] = hosts[s.index]
	}
	return ordered
}

// next returns the index of the host that follows the one at an index.
func (r ring) next(ordered []Identity, at int) (int, bool) {
	for step := 1; step < len(ordered); step++ {
		candidate := (at + step) % len(ordered)
		if r.accepts(ordered[at], ordered[candidate]) {
			return candidate, true
		}
	}
	return 0, false
}

// neighbors returns the peers that a host sends heartbeats to, and those that send
// heartbeats to it.
func neighbors(hosts []Identity, name string) (targets []string, watched map[string]bool) {
	watched = map[string]bool{}
	for _, r := range ringsFor(hosts) {
		ordered := r.order(hosts)
		for i, h := range ordered {
			to, ok := r.next(ordered, i)
			switch {
			case !ok:
			case h.Name == name && !slices.Contains(targets, ordered[to].Name):
				targets = append(targets, ordered[to].Name)
			case ordered[to].Name == name:
				watched[h.Name] = true
			}
		}
	}
	return targets, watched
}

// ringsFor returns the rings for the hosts; with a single region the far ring
// connects different failure domains instead.
func ringsFor(hosts []Identity) []ring {
	multiRegion := slices.ContainsFunc(hosts, func(h Identity) bool { return h.Region != hosts[0].Region })
	if multiRegion {
		return rings
	}
	far := ring{"far", func(from, to Identity) bool { return from.FailureDomain != to.FailureDomain }}
	return append(slices.Clone(rings[:3]), far)
}
