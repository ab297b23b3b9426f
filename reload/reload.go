// Package reload decides which engines load new weights next.
//
// A change of weights makes every engine stop serving for a while within a few
// seconds. The other engines serve the requests meanwhile, and engines that
// load at the same time slow each other down. The package does no I/O.
package reload

import (
	"cmp"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// loadingShare is the share of a pool that may load at the same time, but
	// at least minLimit engines. More slow each other down (the users' sheets:
	// over 2 of 9 or 12, over 12 of 60).
	loadingShare = 0.2
	minLimit     = 2
	// loadTime is about how long one engine loads (the users' sheets: 0.29 s).
	// The next engines are taken out of service meanwhile, so that they are
	// idle by then.
	loadTime = 350 * time.Millisecond
	// outOfServiceShare is the share of a pool that may be out of service.
	outOfServiceShare = 0.4
	// rankDelay is how long a host waits for each host ranked before it.
	rankDelay = 700 * time.Millisecond
	// claimBackoff is how long a host that is not ranked first leaves the
	// engines to another host after that host's claim.
	claimBackoff = 1500 * time.Millisecond
)

// Engine is one engine of a pool.
type Engine struct {
	ID string
	// Weights is the newest weights version that the engine is known to have.
	Weights int64
	// OutOfService marks an engine that was taken out of service to load
	// weights, OutSince when.
	OutOfService bool
	OutSince     clock.Instant
	// MayOrder marks an engine that this host may order, Exclusive one that no
	// other host may.
	MayOrder, Exclusive bool
	// Running counts the known requests of all hosts at the engine.
	Running int
}

// MayAct reports whether a host acts on new target weights. Rank is its rank
// among the hosts that may order engines, age the time since the weights were
// set, sinceClaim the time since the last claim was received.
func MayAct(rank int, age, sinceClaim time.Duration) bool {
	return rank == 0 || age >= time.Duration(rank)*rankDelay && sinceClaim >= claimBackoff
}

// Next returns the engines to order now: those with the oldest weights first,
// since requests may not use these for long, then those with the fewest
// requests. Without mayAct, it returns only engines that no other host may
// order.
func Next(engines []Engine, target int64, mayAct bool, now clock.Instant) []string {
	outOfService, loading := 0, 0
	var outdated []Engine
	for _, e := range engines {
		switch {
		case e.OutOfService && now.Sub(e.OutSince) < loadTime:
			outOfService++
			loading++
		case e.OutOfService:
			outOfService++
		case e.Weights < target && e.MayOrder && (mayAct || e.Exclusive):
			outdated = append(outdated, e)
		}
	}
	capacity := min(limit(loadingShare, engines)-loading, limit(outOfServiceShare, engines)-outOfService)
	if capacity <= 0 {
		return nil
	}
	slices.SortFunc(outdated, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Weights, b.Weights), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	ids := make([]string, 0, capacity)
	for _, e := range outdated[:min(capacity, len(outdated))] {
		ids = append(ids, e.ID)
	}
	return ids
}

// limit returns the size of a share of a pool, at least minLimit.
func limit(share float64, engines []Engine) int {
	return max(minLimit, int(share*float64(len(engines))))
}
