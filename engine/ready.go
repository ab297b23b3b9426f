package engine

import (
	"math/rand/v2"

	"github.com/kumquathoist/kumquathoist/document"
)

// readySample bounds the engines sampled for one count.
const readySample = 12

// Ready returns how many engines of a pool serve a weights version. For a large
// pool it scales up the count of a sample that begins at a random offset.
func (t *Tracker) Ready(pool document.Pool, version string) int {
	n := len(pool.Upstreams)
	if n == 0 {
		return 0
	}
	sample, offset := min(n, readySample), rand.IntN(n)
	names := make([]string, sample)
	for i := range sample {
		names[i] = pool.Upstreams[(offset+i)%n].Name
	}
	t.refreshAll(queryTimeout, names)
	ready := 0
	for _, name := range names {
		if t.status(name).serves(version) && !t.Leaving(name) {
			ready++
		}
	}
	return ready * n / sample
}

// serves reports whether an engine takes requests for a weights version.
func (s Status) serves(version string) bool {
	return s.Reachable && !s.Leaving && !s.Loading && s.Version == version
}
