package crash

import (
	"time"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// IsSuspect reports whether losses count against a request or part.
func (g *Guard) IsSuspect(f quarantine.Fingerprint) bool {
	return g.classify(f, time.Now()).Verdict != quarantine.Clean
}
