package routing

import (
	"math"
	"time"

	"github.com/kumquathoist/kumquathoist/prefix"
)

const (
	// heatTime is the time constant of a level's rate.
	heatTime = 5 * time.Second
	// maxCopies bounds the engines that should hold a level.
	maxCopies = 8
	// maxHeats bounds the levels whose rates are kept.
	maxHeats = 4096
	// copyShare is the part of an engine that one level may use before it
	// gets another copy.
	copyShare = 0.5
)

// rate is the decayed work of one level.
type rate struct {
	work float64
	at   time.Duration
}

// Heat estimates how much engine time each level needs, and from that how
// many copies of it there should be: more before queues grow, fewer after.
// It is not safe for concurrent use. Times are durations since any fixed
// instant.
type Heat struct {
	rates map[prefix.Key]rate
	// hosts is the number of hosts that see the same traffic.
	hosts int
}

// NewHeat returns an empty estimate for one of several hosts that share the
// traffic evenly.
func NewHeat(hosts int) *Heat { return &Heat{rates: map[prefix.Key]rate{}, hosts: max(hosts, 1)} }

// SetHosts sets how many hosts share the traffic.
func (h *Heat) SetHosts(hosts int) { h.hosts = max(hosts, 1) }

// Add notes a request that keeps an engine busy for a while.
func (h *Heat) Add(levels []prefix.Level, busy, now time.Duration) {
	if len(h.rates) > maxHeats {
		h.forget(now)
	}
	for _, l := range levels {
		r := h.rates[l.Key]
		h.rates[l.Key] = rate{work: r.decayed(now) + busy.Seconds(), at: now}
	}
}

// Copies returns how many engines should hold each level.
func (h *Heat) Copies(levels []prefix.Level, now time.Duration) []int {
	copies := make([]int, len(levels))
	for i, l := range levels {
		busy := h.rates[l.Key].decayed(now) * float64(h.hosts) / heatTime.Seconds()
		copies[i] = min(max(int(math.Ceil(busy/copyShare)), 1), maxCopies)
	}
	return copies
}

// forget drops the levels that have cooled, and all of them when none has.
func (h *Heat) forget(now time.Duration) {
	for k, r := range h.rates {
		if now-r.at > 2*heatTime {
			delete(h.rates, k)
		}
	}
	if len(h.rates) > maxHeats {
		clear(h.rates)
	}
}

// decayed returns the work as it counts now.
func (r rate) decayed(now time.Duration) float64 {
	return r.work * math.Exp(-float64(now-r.at)/float64(heatTime))
}
