package retrybudget

import (
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// peakWindow is how long hosts still count after they became unreachable:
// partitions between regions last for minutes.
const peakWindow = 10 * time.Minute

// PeakHosts is the largest number of hosts known in the recent past. A host that
// is partitioned from the others must not use their parts of the limits, since
// they keep sending. It is immutable.
type PeakHosts struct {
	hosts int
	at    clock.Instant
}

// With returns the peak updated with the number of hosts known now.
func (p PeakHosts) With(hosts int, now clock.Instant) PeakHosts {
	if hosts >= p.hosts || now.Sub(p.at) >= peakWindow {
		return PeakHosts{hosts, now}
	}
	return p
}

// Hosts returns the number of hosts that share the limits.
func (p PeakHosts) Hosts() int { return max(1, p.hosts) }
