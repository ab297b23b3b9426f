package crash

import (
	"time"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// IsSuspect reports whether losses count against a request or part.
func (g *Guard) IsSuspect(f quarantine.Fingerprint) bool {
	return g.classify(f, time.Now()).Verdict != quarantine.Clean
}

// Pending returns the number of records that wait to be written to the store.
func (g *Guard) Pending() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.pendingWrites)
}
