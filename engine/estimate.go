package engine

import (
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// maxEstimateVisits bounds the engines that one estimate visits.
	maxEstimateVisits = 64
	// maxEstimateSamples bounds the usable engines whose wait one estimate computes.
	maxEstimateSamples = 12
)

// Estimate returns the shortest wait among the usable engines of the request's
// model whose state this host knows, or false if there is none. It samples a
// bounded number of engines from a random offset.
func (t *Tracker) Estimate(doc document.Document, r request.Request) (admission.Estimate, bool) {
	model, _ := doc.Model(r.Model)
	from, _ := doc.Pool(model.Pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	shortest := time.Duration(-1)
	n, sampled := len(from.Upstreams), 0
	for i, offset := 0, rand.IntN(max(n, 1)); i < min(n, maxEstimateVisits) && sampled < maxEstimateSamples; i++ {
		u := from.Upstreams[(offset+i)%n]
		s := t.stateLocked(u.Name, nil)
		if !s.known || !s.reachable || s.leaving || s.loading || s.version != model.Version {
			continue
		}
		sampled++
		wait, _ := t.history.Wait(u.Name, s.report)
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return admission.Estimate{Wait: max(shortest, 0), Service: t.history.MeanPrefill()}, shortest >= 0
}
