package retrybudget

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// peakTime is how long hosts that are no longer heard of count: regions that
// lose each other do so for minutes.
const peakTime = 10 * time.Minute

// Peak is the most hosts that were known lately. A host that is cut off from
// the others may not take their parts of the bound, since they go on sending.
// It is immutable.
type Peak struct {
	hosts int
	at    clock.Instant
}

// With returns the peak after a look at the hosts that are known now.
func (p Peak) With(hosts int, now clock.Instant) Peak {
	if hosts >= p.hosts || now.Sub(p.at) >= peakTime {
		return Peak{hosts, now}
	}
	return p
}

// Hosts returns the number of hosts that share the bound.
func (p Peak) Hosts() int { return max(1, p.hosts) }
