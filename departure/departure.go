// Package departure decides which upstreams get no new work because the host
// list shows them leaving to some host, though perhaps not to this one.
//
// A host that reads the host list confirms what it sees; others pass the
// newest confirmation on with its age. Without further confirmation a
// departure lapses. The package does no I/O.
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
	// Capacity bounds the upstreams of the news; the last confirmed stay.
	Capacity = 64
)

// Notice tells that an upstream was leaving at some time.
type Notice struct {
	Upstream string
	// Confirmed is when a host list showed it, on this host's clock.
	Confirmed time.Time
}

// News is what a host knows of departures. It is immutable, and merging is
// commutative and idempotent.
type News struct {
	notices []Notice
}

// With returns the news with more notices; of two the newer one stays.
func (n News) With(now time.Time, more ...Notice) News {
	newest := map[string]time.Time{}
	for _, notice := range slices.Concat(n.notices, more) {
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
	return News{notices: merged[:min(len(merged), Capacity)]}
}

// Leaving tells whether an upstream was confirmed to leave lately.
func (n News) Leaving(name string, now time.Time) bool {
	return slices.ContainsFunc(n.notices, func(notice Notice) bool {
		return notice.Upstream == name && now.Sub(notice.Confirmed) < Lifetime
	})
}

// Notices returns the notices, the last confirmed first.
func (n News) Notices() []Notice { return slices.Clone(n.notices) }
