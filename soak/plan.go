package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// KillHost, PauseHost, StopHost and HangUp send signals to a host's
	// process. A killed or stopped host restarts.
	KillHost  Kind = "KillHost"
	PauseHost Kind = "PauseHost"
	StopHost  Kind = "StopHost"
	HangUp    Kind = "HangUp"
	// ReplaceHost stops a host; one with the other build starts in its place.
	ReplaceHost Kind = "ReplaceHost"
	// KillEngine ends an engine, LeaveEngine lets it leave first; a new one
	// replaces it.
	KillEngine  Kind = "KillEngine"
	LeaveEngine Kind = "LeaveEngine"
	// FailEngine makes an upstream's next answers fail.
	FailEngine Kind = "FailEngine"
	// DelayLink, ResetLink and SilenceLink disturb the connections to one
	// upstream, from callers to one host, or from one host to the store. A
	// silenced link drops the bytes in one or both directions.
	DelayLink   Kind = "DelayLink"
	ResetLink   Kind = "ResetLink"
	SilenceLink Kind = "SilenceLink"
	// DelayPeers, ResetPeers and SilencePeers disturb the connections from other
	// hosts to one host.
	DelayPeers   Kind = "DelayPeers"
	ResetPeers   Kind = "ResetPeers"
	SilencePeers Kind = "SilencePeers"
	// LoseLoadReports drops all datagrams that other hosts send to one host.
	// ReorderLoadReports drops half of them and delivers the others late, out of
	// order and sometimes twice.
	LoseLoadReports    Kind = "LosePulses"
	ReorderLoadReports Kind = "GarblePulses"
	// RefuseStore and SilenceStore make the store unavailable to all hosts,
	// LoseStoreAnswers loses answers to appends, TrimStoreHistory drops history.
	RefuseStore      Kind = "RefuseStore"
	SilenceStore     Kind = "MuteStore"
	LoseStoreAnswers Kind = "LoseStore"
	TrimStoreHistory Kind = "TrimStore"
	// Configure writes a configuration with a new key in place of another,
	// SetTargetWeights sets new target weights.
	Configure        Kind = "Configure"
	SetTargetWeights Kind = "NameWeights"
	// AskRetryAfter makes an upstream ask for a Retry-After pause. AnnounceLeaving
	// makes an upstream report only in its answers that it is leaving; another
	// replaces it later.
	AskRetryAfter   Kind = "RestEngine"
	AnnounceLeaving Kind = "SayLeaving"
	// FailOrderer sets new target weights, waits until a host orders an engine to
	// load them, sets newer ones and kills or pauses that host.
	FailOrderer Kind = "StrikeOrderer"
	// CopyRefusals makes all upstreams send copies of their refusals. RefuseRequests
	// makes some upstreams, or all, refuse their next requests; RefuseAndMove sets new
	// target weights soon after, so that streams move to engines that refused them.
	// RestartInPlace lists some upstreams, or all, under earlier IDs, too, and restarts
	// one of these at its address under a new ID; the earlier entries stay for a while.
	CopyRefusals   Kind = "CopyRefusals"
	RefuseRequests Kind = "RefuseRequests"
	RefuseAndMove  Kind = "RefuseAndMove"
	RestartInPlace Kind = "RestartInPlace"
)

// seriesKinds holds the kinds that are drawn in series; repeats make a kind more
// likely.
var seriesKinds = []Kind{
	KillHost, PauseHost, PauseHost, StopHost, StopHost, StopHost, HangUp, KillEngine, LeaveEngine, FailEngine, FailEngine, DelayLink, ResetLink, SilenceLink,
	RefuseStore, SilenceStore, LoseStoreAnswers, TrimStoreHistory, Configure, Configure, SetTargetWeights, FailOrderer, FailOrderer,
}

// statusKinds holds the kinds in which upstreams report their own status. They
// are drawn separately, so that the other faults of a seed stay the same.
var statusKinds = []Kind{AskRetryAfter, AskRetryAfter, AnnounceLeaving}

// peerLinkKinds holds the kinds that disturb connections between hosts. They are
// drawn separately, too.
var peerLinkKinds = []Kind{DelayPeers, ResetPeers, SilencePeers}

// loadReportKinds holds the kinds that disturb load reports. They are drawn
// separately, too.
var loadReportKinds = []Kind{LoseLoadReports, ReorderLoadReports, ReorderLoadReports}

// loadReportInterval is the mean time between two faults of loadReportKinds.
const loadReportInterval = 2 * time.Second

// statusInterval is the mean time between two faults of statusKinds.
const statusInterval = 3 * time.Second

// peerLinkInterval is the mean time between two faults of peerLinkKinds.
const peerLinkInterval = 2 * time.Second

// Fault is one planned fault.
type Fault struct {
	// At is the start of the fault, For its duration.
	At, For time.Duration
	Kind    Kind
	// Target selects what the fault affects, Variant how.
	Target, Variant int
}

const (
	// leadShare is the share of a run before the first fault, recoveryShare that
	// after the last.
	leadShare, recoveryShare = 0.1, 0.25
	// seriesInterval is the mean time between two series of faults.
	seriesInterval = 700 * time.Millisecond
	// maxFaultTime and maxSeriesGap are the maximum duration of a fault and the
	// maximum time from its start to that of the next in its series.
	maxFaultTime = 2500 * time.Millisecond
	maxSeriesGap = 1500 * time.Millisecond
	// maxSeriesLength is the maximum number of faults in a series.
	maxSeriesLength = 3
)

// planSingles draws single faults of some kinds from a separate random stream.
func planSingles(seed, stream uint64, kinds []Kind, interval, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	var faults []Fault
	for at := begin; at < end; at += time.Duration(random.Int64N(int64(2 * interval))) {
		faults = append(faults, Fault{At: at, For: time.Duration(random.Int64N(int64(maxFaultTime))), Kind: kinds[random.IntN(len(kinds))], Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16)})
	}
	return faults
}

// Plan returns the faults of a run in the order of their start. Each series has
// one kind, and series overlap.
func Plan(seed uint64, span time.Duration) []Fault {
	begin, end := time.Duration(leadShare*float64(span)), time.Duration((1-recoveryShare)*float64(span))
	faults := planSeries(rand.New(rand.NewPCG(seed, 1)), seriesKinds, begin, end)
	faults = append(faults, planSingles(seed, 5, statusKinds, statusInterval, begin, end)...)
	faults = append(faults, planSingles(seed, 6, peerLinkKinds, peerLinkInterval, begin, end)...)
	faults = append(faults, planSingles(seed, 7, loadReportKinds, loadReportInterval, begin, end)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// planSeries draws series of faults of some kinds.
func planSeries(random *rand.Rand, kinds []Kind, begin, end time.Duration) []Fault {
	var faults []Fault
	for at := begin; at < end; at += time.Duration(random.Int64N(int64(2 * seriesInterval))) {
		kind := kinds[random.IntN(len(kinds))]
		start := at
		for range 1 + random.IntN(maxSeriesLength) {
			if start >= end {
				break
			}
			f := Fault{At: start, For: time.Duration(random.Int64N(int64(maxFaultTime))), Kind: kind, Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16)}
			faults = append(faults, f)
			start += time.Duration(random.Int64N(int64(maxSeriesGap)))
		}
	}
	return faults
}
