package engine

import "github.com/kumquathoist/kumquathoist/document"

// Ready returns how many engines of a pool serve a version of the weights.
func (t *Tracker) Ready(pool document.Pool, version string) int {
	ready := 0
	for _, u := range pool.Upstreams {
		if s := t.Status(u.Name); s.serves(version) && !t.leaving(u.Name) {
			ready++
		}
	}
	return ready
}

// serves tells whether an engine takes requests for a version.
func (s Status) serves(version string) bool {
	return s.Reachable && !s.Leaving && !s.Loading && s.Version == version
}
