package engine

import (
	"math/rand/v2"

	"github.com/kumquathoist/kumquathoist/document"
)

// readySample bounds the engines that one count looks at.
const readySample = 12

// Ready returns how many engines of a pool serve a version of the weights. Of
// a large pool it looks at a sample and scales up.
func (t *Tracker) Ready(pool document.Pool, version string) int {
	n := len(pool.Upstreams)
	if n == 0 {
		return 0
	}
	sample, from := min(n, readySample), rand.IntN(n)
	names := make([]string, sample)
	for i := range sample {
		names[i] = pool.Upstreams[(from+i)%n].Name
	}
	t.refreshWithin(askTimeout, names)
	ready := 0
	for _, name := range names {
		if t.status(name).serves(version) && !t.Leaving(name) {
			ready++
		}
	}
	return ready * n / sample
}

// serves tells whether an engine takes requests for a version.
func (s Status) serves(version string) bool {
	return s.Reachable && !s.Leaving && !s.Loading && s.Version == version
}
