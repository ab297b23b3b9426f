// Package reload decides which engines load new weights next.
//
// A change of weights makes every engine stop serving for a while within a few
// seconds. The other engines serve the requests meanwhile, and engines that
// load at the same time slow each other down. How long an engine loads differs
// between deployments by a factor of a hundred, so it is learnt from the loads
// that were seen. The package does no I/O.
package reload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// loadingShare is the share of a pool that may load at the same time, but
	// at least minLimit engines. More slow each other down (the users' sheets:
	// over 2 of 9 or 12, over 12 of 60, over 28 of 140, over 40 of 204).
	loadingShare = 0.2
	minLimit     = 2
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
	// Loading marks an engine out of service that may be loading: its requests
	// have ended, or another host has ordered it.
	Loading bool
	// Unreachable marks an engine that accepts no connections. The others serve its
	// requests, too, so that fewer may be out of service.
	Unreachable bool
	// MayOrder marks an engine that this host may order, Exclusive one that no
	// other host may.
	MayOrder, Exclusive bool
	// Expired marks an engine whose weights were replaced too long ago to answer.
	Expired bool
	// Running counts the known requests of all hosts at the engine.
	Running int
}

// MayAct reports whether a host acts on new target weights. Rank is its rank
// among the hosts that may order engines, age the time since the weights were
// set, sinceClaim the time since the last claim was received.
func MayAct(rank int, age, sinceClaim time.Duration) bool {
	return rank == 0 || age >= time.Duration(rank)*rankDelay && sinceClaim >= claimBackoff
}

// Plan is what a host knows of a change of weights.
type Plan struct {
	// Target is the newest weights version that operators have named.
	Target int64
	// MayAct is set on a host that may order engines which another host could
	// order, too.
	MayAct bool
	// Learnt is how long earlier loads took, Within how long all engines may take
	// together.
	Learnt Estimate
	Within time.Duration
}

// Next returns the engines to order now: those with the oldest weights first,
// since requests may not use these for long, then those with the fewest
// requests. All engines whose weights have expired are due: they serve nobody, and an
// order keeps requests that wait there from beginning on these weights, even if the host
// that sent them can't withdraw them.
func (p Plan) Next(engines []Engine, now clock.Instant) []string {
	expected := p.expected(engines)
	reachable := 0
	outOfService, loading := 0, 0
	var outdated []Engine
	for _, e := range engines {
		if !e.Unreachable || e.OutOfService {
			reachable++
		}
		switch {
		case e.OutOfService:
			outOfService++
			if e.Loading || now.Sub(e.OutSince) < expected.Load {
				loading++
			}
		case e.Weights < p.Target && !e.Unreachable && e.MayOrder && (p.MayAct || e.Exclusive):
			outdated = append(outdated, e)
		}
	}
	capacity := max(0, min(limit(loadingShare, len(engines))-loading, expected.maxOutOfService(len(engines), reachable)-outOfService))
	slices.SortFunc(outdated, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Weights, b.Weights), cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
	})
	var ids []string
	for i, e := range outdated {
		if i < capacity || e.Expired {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// expected returns how long the next loads take. Before any was seen, it is the
// longest time with which all engines are done within the time allowed.
func (p Plan) expected(engines []Engine) Estimate {
	if p.Learnt.IsKnown() {
		return p.Learnt
	}
	atOnce := limit(loadingShare, len(engines))
	waves := (len(engines) + atOnce - 1) / atOnce
	load := max(minLoad, p.Within/time.Duration(waves+1))
	return Estimate{Load: load, Drain: load}
}

// maxOutOfService returns how many engines may be out of service. Engines finish
// their requests before they load; so many more than can load at a time are taken
// out of service that the next ones are idle when the first have loaded, but no more
// than a share of those that can be reached.
func (e Estimate) maxOutOfService(engines, reachable int) int {
	pipelined := math.Ceil(float64(limit(loadingShare, engines)) * (1 + float64(e.Drain)/float64(max(e.Load, minLoad))))
	return int(min(pipelined, float64(limit(outOfServiceShare, reachable))))
}

// limit returns the size of a share of a pool, at least minLimit, but so that an engine
// is left, if there are several.
func limit(share float64, engines int) int {
	return max(1, min(max(minLimit, int(share*float64(engines))), engines-1))
}
