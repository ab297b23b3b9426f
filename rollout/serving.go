package rollout

import (
	"math"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/placement"
)

// reportRounds is how many rounds of loading may have begun since the last
// reports of the engines.
const reportRounds = 2

// Serving returns the weights that a new request uses: those in force, or
// while engines load also those before, by the share of ready engines. The
// function ready tells how many engines of the model's pool serve a version.
// The engines of the version before that may be loading by now, since
// reports lag, don't count. Any host gives a request the same weights while
// reports agree; a request uses its weights from start to end.
func Serving(m document.Model, pool document.Pool, requestID string, ready func(version string) int) string {
	if m.From == "" || m.From == m.Version {
		return m.Version
	}
	before, after := ready(m.From), ready(m.Version)
	if after == 0 && before > 0 {
		return m.From
	}
	before = max(0, before-reportRounds*limit(len(pool.Upstreams)))
	share := float64(after) / float64(max(1, before+after))
	if before == 0 || float64(placement.Score(requestID, "weights"))/math.MaxUint64 < share {
		return m.Version
	}
	return m.From
}
