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
	// process. A killed or stopped one starts again.
	KillHost  Kind = "KillHost"
	PauseHost Kind = "PauseHost"
	StopHost  Kind = "StopHost"
	HangUp    Kind = "HangUp"
	// KillEngine ends an engine, LeaveEngine makes it leave first; another
	// starts.
	KillEngine  Kind = "KillEngine"
	LeaveEngine Kind = "LeaveEngine"
	// FailEngine makes an upstream's next answers go wrong.
	FailEngine Kind = "FailEngine"
	// DelayLink, ResetLink and SilenceLink harm the connections of one
	// upstream, of the callers of one host, or of one host to the store. A
	// silenced link loses what goes one way, or both.
	DelayLink   Kind = "DelayLink"
	ResetLink   Kind = "ResetLink"
	SilenceLink Kind = "SilenceLink"
	// DelayPeers, ResetPeers and SilencePeers harm the connections that other
	// hosts have to one.
	DelayPeers   Kind = "DelayPeers"
	ResetPeers   Kind = "ResetPeers"
	SilencePeers Kind = "SilencePeers"
	// LosePulses and GarblePulses harm the datagrams that other hosts send to
	// one: all are lost; half are, and the others come late, out of order and
	// now and then twice.
	LosePulses   Kind = "LosePulses"
	GarblePulses Kind = "GarblePulses"
	// RefuseStore and MuteStore make the store useless for all, LoseStore
	// loses answers to appends, TrimStore drops its history.
	RefuseStore Kind = "RefuseStore"
	MuteStore   Kind = "MuteStore"
	LoseStore   Kind = "LoseStore"
	TrimStore   Kind = "TrimStore"
	// Configure writes a configuration in which a key comes and another goes,
	// NameWeights names new weights.
	Configure   Kind = "Configure"
	NameWeights Kind = "NameWeights"
	// RestEngine makes an upstream ask for a time without requests, SayLeaving
	// one say in its answers alone that it leaves; another starts later.
	RestEngine Kind = "RestEngine"
	SayLeaving Kind = "SayLeaving"
	// StrikeOrderer names new weights, ends or pauses the host that gives the
	// first order, and names newer ones.
	StrikeOrderer Kind = "StrikeOrderer"
)

// kinds are all kinds, each as often as it is drawn.
var kinds = []Kind{
	KillHost, PauseHost, PauseHost, StopHost, StopHost, StopHost, HangUp, KillEngine, LeaveEngine, FailEngine, FailEngine, DelayLink, ResetLink, SilenceLink,
	RefuseStore, MuteStore, LoseStore, TrimStore, Configure, Configure, NameWeights, StrikeOrderer, StrikeOrderer,
}

// words are the kinds that upstreams bring about themselves. They are drawn
// apart, so that the other faults of a seed stay what they were.
var words = []Kind{RestEngine, RestEngine, SayLeaving}

// between are the kinds that harm what other hosts send to one. They are drawn
// apart too.
var between = []Kind{DelayPeers, ResetPeers, SilencePeers}

// datagrams are the kinds that harm pulses, drawn apart as well.
var datagrams = []Kind{LosePulses, GarblePulses, GarblePulses}

// datagramsEvery is the mean time between two of them.
const datagramsEvery = 2 * time.Second

// wordsEvery is the mean time between two of them.
const wordsEvery = 3 * time.Second

// betweenEvery is the mean time between two harms of links between hosts.
const betweenEvery = 2 * time.Second

// Fault is one planned fault.
type Fault struct {
	// At is when it begins, For how long it lasts.
	At, For time.Duration
	Kind    Kind
	// Target chooses what it meets, Variant how.
	Target, Variant int
}

const (
	// calm is the part of a run before the first fault, rest that after the
	// last.
	calm, rest = 0.1, 0.25
	// seriesEvery is the mean time between two series of faults.
	seriesEvery = 700 * time.Millisecond
	// longestFault and longestGap bound a fault and the pause to the next of
	// its series.
	longestFault = 2500 * time.Millisecond
	longestGap   = 1500 * time.Millisecond
	// longestSeries is how many faults of a kind follow each other.
	longestSeries = 3
)

// apart draws single faults of some kinds from a stream of its own.
func apart(seed, stream uint64, from []Kind, every, begin, end time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, stream))
	var faults []Fault
	for at := begin; at < end; at += time.Duration(random.Int64N(int64(2 * every))) {
		faults = append(faults, Fault{At: at, For: time.Duration(random.Int64N(int64(longestFault))), Kind: from[random.IntN(len(from))], Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16)})
	}
	return faults
}

// Plan returns the faults of a run: series of one kind each, which overlap.
func Plan(seed uint64, span time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 1))
	begin, end := time.Duration(calm*float64(span)), time.Duration((1-rest)*float64(span))
	var faults []Fault
	for at := begin; at < end; at += time.Duration(random.Int64N(int64(2 * seriesEvery))) {
		kind := kinds[random.IntN(len(kinds))]
		start := at
		for range 1 + random.IntN(longestSeries) {
			if start >= end {
				break
			}
			f := Fault{At: start, For: time.Duration(random.Int64N(int64(longestFault))), Kind: kind, Target: random.IntN(1 << 16), Variant: random.IntN(1 << 16)}
			faults = append(faults, f)
			start += time.Duration(random.Int64N(int64(longestGap)))
		}
	}
	faults = append(faults, apart(seed, 5, words, wordsEvery, begin, end)...)
	faults = append(faults, apart(seed, 6, between, betweenEvery, begin, end)...)
	faults = append(faults, apart(seed, 7, datagrams, datagramsEvery, begin, end)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}
