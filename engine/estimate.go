package engine

import (
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// estimateVisits bounds the engines that one estimate visits.
	estimateVisits = 64
	// estimateLooks bounds the engines that one estimate looks at.
	estimateLooks = 12
)

// Estimate returns the least wait among the engines of the request's model
// that this host knows something of, or false without any. It looks at a
// bounded number of them, from a random place.
func (t *Tracker) Estimate(doc document.Document, r request.Request) (admission.Estimate, bool) {
	model, _ := doc.Model(r.Model)
	from, _ := doc.Pool(model.Pool)
	t.mu.Lock()
	defer t.mu.Unlock()
	least := time.Duration(-1)
	n, looked := len(from.Upstreams), 0
	for i, at := 0, rand.IntN(max(n, 1)); i < min(n, estimateVisits) && looked < estimateLooks; i++ {
		u := from.Upstreams[(at+i)%n]
		l := t.lookLocked(u.Name, nil)
		if !l.known || !l.reachable || l.leaving || l.loading || l.version != model.Version {
			continue
		}
		looked++
		wait, _ := t.view.Wait(u.Name, l.report)
		if least < 0 || wait < least {
			least = wait
		}
	}
	return admission.Estimate{Wait: max(least, 0), Service: t.view.MeanPrefill()}, least >= 0
}
