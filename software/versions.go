// Package software decides at which software version of its upstreams a stream
// may continue.
//
// Upstreams of several software versions may serve a service side by side. What
// two versions write doesn't fit together, so a stream that has begun continues
// only at the version that began it. The package does no I/O.
package software

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// serving is the time at which a version left that serves now.
const serving clock.Instant = 0

// clockMargin is how much later than it left a version still counts: hosts date it
// by clocks that may differ, and may learn of it late.
const clockMargin = 5 * time.Second

// Versions holds the software versions that serve a service, and those that left
// lately. It is immutable. Versions have no order.
type Versions struct {
	// leftAt maps versions to when their last upstream left, or to serving.
	leftAt map[string]clock.Instant
}

// Left is a version and when its last upstream left; zero while it serves.
type Left struct {
	Version string
	At      clock.Instant
}

// NewVersions returns versions as another host recorded them.
func NewVersions(recorded ...Left) Versions {
	v := Versions{leftAt: map[string]clock.Instant{}}
	for _, l := range recorded {
		v.leftAt[l.Version] = l.At
	}
	return v
}

// String lists the versions for logs.
func (v Versions) String() string {
	var texts []string
	for _, l := range v.All() {
		if l.At != serving {
			l.Version += " (left)"
		}
		texts = append(texts, l.Version)
	}
	return strings.Join(texts, ", ")
}

// All returns the versions in alphabetical order.
func (v Versions) All() []Left {
	all := make([]Left, 0, len(v.leftAt))
	for _, version := range slices.Sorted(maps.Keys(v.leftAt)) {
		all = append(all, Left{version, v.leftAt[version]})
	}
	return all
}

// With returns the versions after an observation: those that serve now, and what
// another host recorded before. Versions that no stream can have begun at, given
// the longest life of a stream, are dropped.
func (v Versions) With(servingNow []string, recorded Versions, lifetime time.Duration, now clock.Instant) Versions {
	next := Versions{leftAt: map[string]clock.Instant{}}
	for _, known := range []Versions{recorded, v} {
		for version, at := range known.leftAt {
			if at == serving {
				at = now
			}
			next.leftAt[version] = max(next.leftAt[version], at)
		}
	}
	maps.DeleteFunc(next.leftAt, func(_ string, at clock.Instant) bool { return now.Sub(at) >= lifetime+clockMargin })
	for _, version := range servingNow {
		next.leftAt[version] = serving
	}
	return next
}

// WithLeft returns the versions after an upstream of a version was used whose entry
// is gone already.
func (v Versions) WithLeft(version string, now clock.Instant) Versions {
	if at, known := v.leftAt[version]; known && at == serving {
		return v
	}
	next := Versions{leftAt: maps.Clone(v.leftAt)}
	if next.leftAt == nil {
		next.leftAt = map[string]clock.Instant{}
	}
	next.leftAt[version] = now
	return next
}

// Serves reports whether a version serves now.
func (v Versions) Serves(version string) bool {
	at, known := v.leftAt[version]
	return known && at == serving
}

// Only returns the version if no other can have begun a stream.
func (v Versions) Only() (string, bool) {
	if len(v.leftAt) != 1 {
		return "", false
	}
	for version := range v.leftAt {
		return version, true
	}
	return "", false
}

// Covers reports whether a record tells a host that starts now all that matters
// of v: each version, and which have left.
func (v Versions) Covers(other Versions) bool {
	for version, at := range other.leftAt {
		recorded, ok := v.leftAt[version]
		if !ok || (recorded == serving) != (at == serving) {
			return false
		}
	}
	return true
}
