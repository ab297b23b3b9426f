package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of faults of engines that are processes.
const (
	// SilenceEngines stops some or all engines by a signal and lets them go on.
	SilenceEngines Kind = "SilenceEngines"
	// RestartEngine kills an engine, in half of the cases after it has been shown as
	// leaving; a new one replaces it.
	RestartEngine Kind = "RestartEngine"
	// ChangeTerms writes a configuration with other timeouts, another idle limit and
	// with routes added, moved or removed.
	ChangeTerms Kind = "ChangeTerms"
)

// processKinds holds the kinds that are drawn in series where engines are processes,
// processHostKinds those that are drawn besides with every third seed.
var (
	processKinds     = []Kind{SilenceEngines, SilenceEngines, SilenceEngines, SilenceEngines, ChangeTerms, ChangeTerms, RestartEngine, Configure}
	processHostKinds = []Kind{PauseHost, HangUp, KillHost}
)

const (
	// minSilence and maxSilence bound how long engines are silent.
	minSilence = 300 * time.Millisecond
	maxSilence = 3 * time.Second
	// maxSilenceDelay is the maximum time from a change of the terms to a silence.
	maxSilenceDelay = time.Second
	// hostFaultInterval is the mean time between two faults of hosts.
	hostFaultInterval = 4 * time.Second
)

// PlanSilences returns the faults of a run whose engines are processes, in the order of
// their start. Engines fall silent in series, which overlap, and after each change of
// the terms.
func PlanSilences(seed uint64, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 9))
	begin, end := time.Duration(leadShare*float64(span)), time.Duration((1-recoveryShare)*float64(span))
	var faults []Fault
	for _, f := range planSeries(random, processKinds, begin, end) {
		silence := Fault{At: f.At, For: minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence))), Kind: SilenceEngines, Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16)}
		switch f.Kind {
		case SilenceEngines:
			f = silence
		case ChangeTerms:
			silence.At += time.Duration(random.Int64N(int64(maxSilenceDelay)))
			faults = append(faults, silence)
		}
		faults = append(faults, f)
	}
	if seed%3 == 0 {
		faults = append(faults, planSingles(seed, 10, processHostKinds, hostFaultInterval, begin, end)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// injectProcessFault carries out a fault of engines that are processes, or one of
// PlanRefusals.
func (fi *faultInjector) injectProcessFault(f Fault) {
	switch f.Kind {
	case SilenceEngines:
		fi.silenceEngines(f)
	case RestartEngine:
		fi.restartEngine(f)
	case ChangeTerms:
		fi.changeTerms(f)
	case RefuseAround:
		fi.refuseAround(f)
	default:
		fi.injectRefusals(f)
	}
}

// silenceShares are the shares of all engines that fall silent; at least one does.
var silenceShares = []float64{0, 0, 0.25, 0.5, 0.75, 1}

// silenceEngines stops some or all engines for the duration of the fault.
func (fi *faultInjector) silenceEngines(f Fault) {
	share := silenceShares[f.Variant%len(silenceShares)]
	order := rand.New(rand.NewPCG(uint64(f.Target), uint64(f.Variant))).Perm(len(fi.processes))
	for _, i := range order[:max(1, int(share*float64(len(order))))] {
		defer fi.processes[i].silence()()
	}
	fi.pause(f.For)
}

// restartEngine replaces an engine.
func (fi *faultInjector) restartEngine(f Fault) {
	e := fi.processes[f.Target%len(fi.processes)]
	if _, loaded := fi.restarting.LoadOrStore(e, true); loaded {
		return
	}
	defer fi.restarting.Delete(e)
	fi.recordUpstreamFault(time.Now().Add(leavingPeriod + 2*entryRemovalDelay))
	// If the restart fails, the checks at the end of the run report it.
	_ = fi.replaceProcess(e, f.Variant%2 == 0)
}

// changeTerms writes a configuration with other terms.
func (fi *faultInjector) changeTerms(f Fault) {
	t := drawTerms(rand.New(rand.NewPCG(uint64(f.Target), uint64(f.Variant))))
	t.timeout = max(t.timeout, fi.tempo.minTimeout)
	fi.deployment.mu.Lock()
	fi.terms = t
	fi.deployment.mu.Unlock()
	fi.configure()
}
