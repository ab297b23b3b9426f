package replica_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/isolation"
	"github.com/kumquathoist/kumquathoist/replica"
)

// TestEveryModelsGroupExcludesIsolatedAccounts guards against a model that is known from
// some records only: an account that becomes isolated leaves its group, too.
func TestEveryModelsGroupExcludesIsolatedAccounts(t *testing.T) {
	is := is.New(t)
	configuration := func(version int64, isolated bool) replica.Decoded {
		c := catalog.New(version, catalog.Limits{}, nil, []catalog.Service{{Name: "models", Engine: &catalog.Engine{Models: []string{"listed"}}}}, []catalog.Account{{Name: "mill", Isolated: isolated}}, nil)
		return replica.Decoded{Catalog: &c}
	}
	var state replica.State
	merge := func(topic replica.Topic, key string, d replica.Decoded) {
		offset := state.Position(topic)
		decode := func(replica.Topic, string, []byte) (replica.Decoded, error) { return d, nil }
		state, _ = state.Merge(replica.Delta{Topic: topic, Position: offset + 1, Records: []replica.Record{{Key: key, Offset: offset, Value: []byte("r")}}}, decode, replica.Times{})
	}
	merge(replica.Operator, "config", configuration(1, false))
	merge(replica.Operator, "version/named", replica.Decoded{Weights: &replica.TargetWeights{Model: "named", Version: 2}})
	merge(replica.Software, "isolation/recorded", replica.Decoded{Groups: &replica.RecordedGroups{Model: "recorded", Groups: isolation.History{}.With(2, []string{"grocer"})}})
	merge(replica.Operator, "config", configuration(4, true))
	for _, model := range []string{"listed", "named", "recorded", "unknown"} {
		for weights := range int64(4) {
			is.True(!state.Group(model, weights).MayUse("school", []string{"mill", "other"})) // it shares
			is.True(state.Group(model, weights).MayUse("school", []string{"mill"}))
		}
	}
	is.Equal(state.Group("recorded", 2).Excluded(), []string{"grocer", "mill"})
}
