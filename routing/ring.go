package routing

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

const (
	// pointsPerEngine is the number of points of an engine on the ring. More
	// points spread keys more evenly.
	pointsPerEngine = 64
	// probesPerChoice bounds the probes for each further engine of a key.
	probesPerChoice = 4
)

// point is one position of an engine on the ring.
type point struct {
	hash   uint64
	engine int32
}

// Ring is a consistent hash ring: every host computes the same order of engines
// for a key. A lookup takes logarithmic time in the number of engines, and a
// change of the engines moves only the keys that it must. It is immutable.
type Ring struct {
	names  []string
	hashes []uint64
	points []point
}

// NewRing returns a ring of engines, given their names.
func NewRing(names []string) *Ring {
	r := &Ring{names: slices.Clone(names), points: make([]point, 0, len(names)*pointsPerEngine)}
	for i, name := range r.names {
		h := xxhash.Sum64String(name)
		r.hashes = append(r.hashes, h)
		for n := range uint64(pointsPerEngine) {
			r.points = append(r.points, point{mix(h + n), int32(i)})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(r.names[a.engine], r.names[b.engine]))
	})
	return r
}

// Len returns the number of engines.
func (r *Ring) Len() int { return len(r.names) }

// Name returns the name of an engine.
func (r *Ring) Name(engine int) string { return r.names[engine] }

// Owner returns the engine at the given probe of a key, or -1 if the ring is
// empty.
func (r *Ring) Owner(key uint64, probe int) int {
	if len(r.points) == 0 {
		return -1
	}
	hash := mix(key + uint64(probe)*0x9e3779b97f4a7c15)
	i := sort.Search(len(r.points), func(i int) bool { return r.points[i].hash >= hash })
	return int(r.points[i%len(r.points)].engine)
}

// appendOwners appends up to n usable engines of a key that are not in the list
// yet. The number of probes is bounded, so it may find fewer.
func (r *Ring) appendOwners(list []Candidate, key uint64, n int, usable func(int) bool) []Candidate {
	for probe := 0; n > 0 && probe < (n+1)*probesPerChoice; probe++ {
		e := r.Owner(key, probe)
		if e < 0 {
			break
		}
		if containsEngine(list, e) || !usable(e) {
			continue
		}
		list = append(list, Candidate{Engine: e})
		n--
	}
	return list
}

// sortByScore sorts engines by their rendezvous score for a key.
func (r *Ring) sortByScore(list []Candidate, key uint64) {
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Compare(mix(key^r.hashes[b.Engine]), mix(key^r.hashes[a.Engine]))
	})
}

// mix spreads the bits of a number.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
