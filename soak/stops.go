package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

// The kinds of faults around stops of hosts.
const (
	// StopAgain stops a host, and again soon after its restart.
	StopAgain Kind = "StopAgain"
	// RefuseAround makes some or all upstreams refuse all requests for a while, during which
	// new target weights are set, so that streams move.
	RefuseAround Kind = "RefuseAround"
)

// aroundStops holds the kinds that are drawn around stops.
var aroundStops = []Kind{RefuseAround, RefuseAround, RefuseAround, SetTargetWeights, SilenceEngines, SilenceEngines, RestartEngine, HangUp, ChangeTerms, RefuseStore, SilenceStore}

const (
	// stopInterval is the mean time between two series of stops; stopPairShare and
	// stopAgainShare are the reciprocals of the shares of two stops at once and of stops
	// that are repeated.
	stopInterval                  = 2 * time.Second
	stopPairShare, stopAgainShare = 3, 4
	// maxAroundStop is the maximum number of other faults around a stop, which begin from
	// beforeStop before it to afterStop after it.
	maxAroundStop         = 4
	beforeStop, afterStop = time.Second, 7 * time.Second
	// maxStopAgainDelay is the maximum time from a restart to the second stop.
	maxStopAgainDelay = 1500 * time.Millisecond
	// minRefusal and maxRefusal bound how long upstreams refuse requests.
	minRefusal, maxRefusal = 400 * time.Millisecond, time.Second
)

// PlanStops returns the faults of a run in which hosts are stopped in series, which overlap,
// beside faults of upstreams and of the store, in the order of their start.
func PlanStops(seed uint64, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 12))
	begin, end := time.Duration(leadShare*float64(span)), time.Duration((1-recoveryShare)*float64(span))
	draw := func(at time.Duration, kind Kind) Fault {
		f := Fault{At: min(max(at, begin), end), For: time.Duration(random.Int64N(int64(maxFaultTime))), Kind: kind, Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16)}
		switch kind {
		case RefuseAround:
			f.For = minRefusal + time.Duration(random.Int64N(int64(maxRefusal-minRefusal)))
		case SilenceEngines:
			f.For = minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
		}
		return f
	}
	var faults []Fault
	for at := begin; at < end; at += time.Duration(random.Int64N(int64(2 * stopInterval))) {
		stop := draw(at, StopHost)
		if random.IntN(stopAgainShare) == 0 {
			stop.Kind = StopAgain
		}
		faults = append(faults, stop)
		if random.IntN(stopPairShare) == 0 {
			second := draw(at, StopHost)
			second.Target = stop.Target + 1
			faults = append(faults, second)
		}
		for range 1 + random.IntN(maxAroundStop) {
			offset := time.Duration(random.Int64N(int64(beforeStop+afterStop))) - beforeStop
			faults = append(faults, draw(at+offset, aroundStops[random.IntN(len(aroundStops))]))
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// restart ends a host's process and starts it again. The caller holds the host in
// restarting.
func (fi *faultInjector) restart(f Fault, h *host) {
	if f.Kind == KillHost {
		fi.recordFault(h, time.Now().Add(f.For))
		h.end(syscall.SIGKILL, time.Second)
	} else {
		fi.stopHost(h)
	}
	if f.Kind == ReplaceHost {
		h.use(h.other)
	}
	fi.pause(f.For / 4)
	// If the start fails, the checks at the end of the run report it.
	_ = h.start()
}

// stopHost stops a host's process and records the stop.
func (fi *faultInjector) stopHost(h *host) {
	at := time.Now()
	faultFree := fi.recordSpan(h, faultSpan{from: at, until: at, planned: true})
	inTime := h.end(syscall.SIGTERM, graceSeconds*time.Second)
	fi.mu.Lock()
	s := stop{host: h, at: at, ended: time.Now(), inTime: inTime, upstreamFaults: fi.upstreamFaultUntil.Add(faultFreeBefore).After(at)}
	fi.plannedStops = append(fi.plannedStops, s)
	if faultFree && !fi.faultUntil[h].After(at) {
		fi.stops = append(fi.stops, s)
	}
	fi.mu.Unlock()
	fi.recordSpan(h, faultSpan{from: s.ended, until: s.ended, planned: true})
}

// stopAgain stops a host, and again soon after its restart. The caller holds the host in
// restarting.
func (fi *faultInjector) stopAgain(f Fault, h *host) {
	f.Kind = StopHost
	fi.restart(f, h)
	fi.pause(time.Duration(f.Variant) * time.Millisecond % maxStopAgainDelay)
	// A process that does not handle signals yet would be ended at once.
	if fi.await(maxFaultTime, h.handlesSignals) {
		fi.restart(f, h)
	}
}

// refuseAround makes some or all upstreams refuse all requests for the duration of the fault
// and sets new target weights meanwhile.
func (fi *faultInjector) refuseAround(f Fault) {
	random := rand.New(rand.NewPCG(uint64(f.Target), uint64(f.Variant)))
	places := fi.places()
	refusing := drawPlaces(random, len(places))
	for _, i := range refusing {
		places[i].Trouble(standin.PlatformTrouble{Fault: standin.FullFault, Times: 1 << 20})
	}
	before := time.Duration(random.Int64N(int64(f.For)))
	fi.pause(before)
	fi.setNextWeights()
	fi.pause(f.For - before)
	for _, i := range refusing {
		places[i].Trouble(standin.PlatformTrouble{Fault: standin.NoFault, Times: 1})
	}
}
