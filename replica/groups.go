package replica

import (
	"maps"

	"github.com/kumquathoist/kumquathoist/isolation"
)

// RecordedGroups is what the store tells of the accounts that share the cached parts of a
// model.
type RecordedGroups struct {
	Model  string
	Groups isolation.History
}

// Group returns the group of accounts that share the parts that a version of a model's
// weights has made.
func (s State) Group(model string, weights int64) isolation.Group {
	if h, ok := s.groups[model]; ok {
		return h.Group(weights)
	}
	return isolation.NewGroup(s.Catalog.Isolated()...)
}

// UnrecordedGroups returns the groups that the store doesn't tell, by model. All hosts may
// be restarted at once, and then none has seen which accounts were isolated.
func (s State) UnrecordedGroups() map[string]isolation.History {
	found := map[string]isolation.History{}
	for model, h := range s.groups {
		if !s.recordedGroups[model].Records(h) {
			found[model] = h
		}
	}
	return found
}

// withGroups returns the state with the groups of the newest configuration and weights.
func (s State) withGroups() State {
	groups := map[string]isolation.History{}
	for model := range s.Catalog.ServicesByModel() {
		groups[model] = isolation.History{}
	}
	for model := range s.weights {
		groups[model] = isolation.History{}
	}
	maps.Copy(groups, s.groups)
	for model, h := range groups {
		groups[model] = h.With(s.weights[model].Version, s.Catalog.Isolated())
	}
	s.groups = groups
	return s
}

// withRecordedGroups returns the state after the store told groups of a model.
func (s State) withRecordedGroups(g RecordedGroups) State {
	groups, recorded := maps.Clone(s.groups), maps.Clone(s.recordedGroups)
	if groups == nil {
		groups = map[string]isolation.History{}
	}
	if recorded == nil {
		recorded = map[string]isolation.History{}
	}
	groups[g.Model], recorded[g.Model] = groups[g.Model].Merge(g.Groups), g.Groups
	s.groups, s.recordedGroups = groups, recorded
	return s
}
