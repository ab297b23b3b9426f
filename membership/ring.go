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
	scores := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		scores[h.Name] = placement.Score(r.key, h.Name)
	}
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Identity) int {
		if c := cmp.Compare(scores[a.Name], scores[b.Name]); c != 0 {
			return c
		}
		return compareNames(a.Name, b.Name)
	})
	return ordered
}

// next returns the host that follows the one at an index.
func (r ring) next(ordered []Identity, at int) (string, bool) {
	for step := 1; step < len(ordered); step++ {
		candidate := ordered[(at+step)%len(ordered)]
		if r.accepts(ordered[at], candidate) {
			return candidate.Name, true
		}
	}
	return "", false
}

// allTargets returns, for every host, the peers that it sends heartbeats to.
func allTargets(hosts []Identity) map[string][]string {
	all := make(map[string][]string, len(hosts))
	for _, r := range ringsFor(hosts) {
		ordered := r.order(hosts)
		for i, h := range ordered {
			to, ok := r.next(ordered, i)
			if ok && !slices.Contains(all[h.Name], to) {
				all[h.Name] = append(all[h.Name], to)
			}
		}
	}
	return all
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
