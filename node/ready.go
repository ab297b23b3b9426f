package node

import (
	"slices"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
)

// statusSource returns the statuses of engines.
type statusSource interface {
	Status(engine string) engine.Status
}

// allPoolsReported reports whether an engine of each engine pool is reachable.
func allPoolsReported(doc document.Document, statuses statusSource) bool {
	return !slices.ContainsFunc(doc.Capacity.Pools, func(p document.Pool) bool {
		return p.Kind == document.EnginePool && !slices.ContainsFunc(p.Upstreams, func(u document.Upstream) bool {
			return statuses.Status(u.Name).Reachable
		})
	})
}
