// Package placement assigns responsibilities to hosts by rendezvous hashing:
// every host computes the same owner from the same members without any
// messages, and a change of members moves only the keys that it must.
package placement

import (
	"cmp"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous score of a member for a key.
func Score(key, member string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return mix(d.Sum64())
}

// mix spreads the bits of a hash, so that keys that differ in one byte give
// unrelated orders of members.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Rank returns the members sorted by their score for a key, highest first. It
// does not change the argument.
func Rank(key string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(Score(key, b), Score(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Owner returns the member with the highest score for a key, or "" if there are
// no members. Unlike Rank it does not allocate.
func Owner(key string, members []string) string { return OwnerOf(key, slices.Values(members)) }

// OwnerOf is Owner for a sequence of members.
func OwnerOf(key string, members iter.Seq[string]) string {
	best, bestScore := "", uint64(0)
	for m := range members {
		score := Score(key, m)
		if best == "" || score > bestScore || score == bestScore && m < best {
			best, bestScore = m, score
		}
	}
	return best
}

// Location is where a host or an upstream is.
type Location struct{ Name, FailureDomain, Region string }

// distance returns 0 within a failure domain, 1 within a region and 2 across
// regions.
func distance(a, b Location) int {
	switch {
	case a.Region != b.Region:
		return 2
	case a.FailureDomain != b.FailureDomain:
		return 1
	}
	return 0
}

// OwnerNear returns the member with the highest score for a key among those
// nearest to what is owned: in its failure domain, else in its region, else
// anywhere. It returns "" if there are no members. The loss of a member or a
// failure domain moves only the keys that it owned.
func OwnerNear(key string, owned Location, members []Location) string {
	best, bestDistance, bestScore := "", 0, uint64(0)
	for _, m := range members {
		d, score := distance(owned, m), Score(key, m.Name)
		farther := d > bestDistance || d == bestDistance && (score < bestScore || score == bestScore && m.Name > best)
		if best == "" || !farther {
			best, bestDistance, bestScore = m.Name, d, score
		}
	}
	return best
}
