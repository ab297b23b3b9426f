package node

import (
	"slices"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
)

// statuses knows the engines.
type statuses interface {
	Status(engine string) engine.Status
}

// enginesKnown tells whether an engine of each pool has reported.
func enginesKnown(doc document.Document, s statuses) bool {
	return !slices.ContainsFunc(doc.Capacity.Pools, func(p document.Pool) bool {
		return p.Kind == document.EnginePool && !slices.ContainsFunc(p.Upstreams, func(u document.Upstream) bool {
			return s.Status(u.Name).Reachable
		})
	})
}
