package rollout

import (
	"math"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/placement"
)

// lagRounds is how many rounds of loading may have started since the last
// reports of the engines.
const lagRounds = 2

// Serving returns the weights that a new request uses: those in force or,
// while engines load, also the previous ones in proportion to the ready
// engines. The function ready returns how many engines of the model's pool
// serve a version. Engines with the previous version that may be loading by
// now, since reports lag, don't count. All hosts choose the same weights for a
// request while their reports agree, and a request keeps its weights to its
// end.
func Serving(m document.Model, pool document.Pool, requestID string, ready func(version string) int) string {
	if m.From == "" || m.From == m.Version {
		return m.Version
	}
	before, after := ready(m.From), ready(m.Version)
	if after == 0 && before > 0 {
		return m.From
	}
	before = max(0, before-lagRounds*maxLoading(len(pool.Upstreams)))
	share := float64(after) / float64(max(1, before+after))
	if before == 0 || float64(placement.Score(requestID, "weights"))/math.MaxUint64 < share {
		return m.Version
	}
	return m.From
}
