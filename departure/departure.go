// Package departure decides which upstreams get no new work because some host
// sees them as leaving in the host list, even if this host doesn't yet.
//
// Each host confirms the departures in its own view of the host list; the
// others forward the latest confirmation with its age. A departure that is no
// longer confirmed expires. The package does no I/O.
package departure

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Lifetime is how long an upstream counts as leaving after the last
	// confirmation.
	Lifetime = 15 * time.Second
	// Capacity bounds the upstreams in a set; those confirmed last are retained.
	Capacity = 64
)

// Notice says that an upstream was leaving at some time.
type Notice struct {
	Upstream string
	// Confirmed is when a host last saw it in the host list, on this host's clock.
	Confirmed time.Time
}

// Set is the set of departures known to a host. It is immutable, and merging
// is commutative and idempotent.
type Set struct {
	notices []Notice
}

// With returns the set with more notices. Of two notices for one upstream, the
// newer is retained.
func (s Set) With(now time.Time, more ...Notice) Set {
	newest := map[string]time.Time{}
	for _, notice := range slices.Concat(s.notices, more) {
		if notice.Confirmed.After(now) {
			notice.Confirmed = now
		}
		if now.Sub(notice.Confirmed) < Lifetime && notice.Confirmed.After(newest[notice.Upstream]) {
			newest[notice.Upstream] = notice.Confirmed
		}
	}
	merged := make([]Notice, 0, len(newest))
	for name, confirmed := range newest {
		merged = append(merged, Notice{name, confirmed})
	}
	slices.SortFunc(merged, func(a, b Notice) int {
		return cmp.Or(b.Confirmed.Compare(a.Confirmed), cmp.Compare(a.Upstream, b.Upstream))
	})
	return Set{notices: merged[:min(len(merged), Capacity)]}
}

// Leaving reports whether the departure of an upstream was confirmed within
// Lifetime.
func (s Set) Leaving(name string, now time.Time) bool {
	return slices.ContainsFunc(s.notices, func(notice Notice) bool {
		return notice.Upstream == name && now.Sub(notice.Confirmed) < Lifetime
	})
}

// Notices returns the notices, the last confirmed first.
func (s Set) Notices() []Notice { return slices.Clone(s.notices) }
