package node

import (
	"strconv"

	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/engine"
)

// meteredEngines counts the attempts at engines.
type meteredEngines struct {
	*engine.Tracker

	metrics tally.Scope
}

// Started counts an attempt once it has ended.
func (m meteredEngines) Started(c engine.Choice) func(engine.Report) {
	ended := m.Tracker.Started(c)
	return func(r engine.Report) {
		answered := map[string]string{"answered": strconv.FormatBool(r.Answered)}
		m.metrics.Tagged(answered).Counter("upstream_attempts").Inc(1)
		ended(r)
	}
}
