package routing

import (
	"math"
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

const (
	// demandDecayTime is the time constant with which the work of a level
	// decays.
	demandDecayTime = 5 * time.Second
	// maxCopies bounds the engines that should hold a level.
	maxCopies = 8
	// maxLevels bounds the levels whose rates are stored.
	maxLevels = 4096
	// copyShare is the share of an engine's time that one level may use before
	// it gets another copy.
	copyShare = 0.5
)

// rate is the decayed engine time of one level, in seconds.
type rate struct {
	work    float64
	updated time.Duration
}

// Demand estimates how much engine time each level needs, and from that how
// many copies it should have: more before queues grow, fewer when demand falls.
// It is not safe for concurrent use. Times are durations since any fixed
// instant.
type Demand struct {
	rates map[prefix.Key]rate
	// hosts is the number of hosts that share the traffic.
	hosts int
}

// NewDemand returns an empty estimate for one of several hosts that share the
// traffic evenly.
func NewDemand(hosts int) *Demand { return &Demand{rates: map[prefix.Key]rate{}, hosts: max(hosts, 1)} }

// SetHosts sets how many hosts share the traffic.
func (d *Demand) SetHosts(hosts int) { d.hosts = max(hosts, 1) }

// Add records a request that keeps an engine busy for a time.
func (d *Demand) Add(levels []prefix.Level, busy, now time.Duration) {
	if len(d.rates) > maxLevels {
		d.removeStale(now)
	}
	for _, l := range levels {
		r := d.rates[l.Key]
		d.rates[l.Key] = rate{work: r.decayed(now) + busy.Seconds(), updated: now}
	}
}

// Copies returns how many engines should hold each level.
func (d *Demand) Copies(levels []prefix.Level, now time.Duration) []int {
	copies := make([]int, len(levels))
	for i, l := range levels {
		busy := d.rates[l.Key].decayed(now) * float64(d.hosts) / demandDecayTime.Seconds()
		copies[i] = min(max(int(math.Ceil(busy/copyShare)), 1), maxCopies)
	}
	return copies
}

// removeStale removes the levels without recent requests, or all levels if too
// many are left.
func (d *Demand) removeStale(now time.Duration) {
	for k, r := range d.rates {
		if now-r.updated > 2*demandDecayTime {
			delete(d.rates, k)
		}
	}
	if len(d.rates) > maxLevels {
		clear(d.rates)
	}
}

// decayed returns the work with its decay up to now.
func (r rate) decayed(now time.Duration) float64 {
	return r.work * math.Exp(-float64(now-r.updated)/float64(demandDecayTime))
}
