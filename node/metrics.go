package node

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/engine"
)

// countingEngines counts the attempts at engines in the metrics.
type countingEngines struct {
	*engine.Tracker

	metrics tally.Scope
}

// Started counts an attempt once it has ended.
func (m countingEngines) Started(c engine.Choice) func(engine.Report) {
	reportEnd := m.Tracker.Started(c)
	return func(r engine.Report) {
		answered := map[string]string{"answered": strconv.FormatBool(r.Answered)}
		m.metrics.Tagged(answered).Counter("upstream_attempts").Inc(1)
		reportEnd(r)
	}
}
