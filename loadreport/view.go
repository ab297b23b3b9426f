package loadreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// directInterval is the time between two pulses of a host in a small
	// system, where each tells all others.
	directInterval = 100 * time.Millisecond
	// directHosts is the size up to which a system is small.
	directHosts = 17
	// gatherInterval is the time between two pulses in a larger system, where
	// one host of each failure domain gathers what the others there have.
	gatherInterval = 150 * time.Millisecond
	// believed is how many intervals a load counts without news.
	believed = 5
	// IdleInterval is the least time between two pulses of a host that has
	// nothing to tell.
	IdleInterval = 500 * time.Millisecond
	// silence is how long after its last pulse a host counts as alive.
	silence = 2 * time.Second
	// recent is how long after its last pulse a host counts as heard of just
	// now.
	recent = IdleInterval + 2*gatherInterval
	// memberSilence is how long after its last pulse a gatherer tells of a host;
	// one pulse of an idle host may be lost.
	memberSilence = 2*IdleInterval + gatherInterval
	// listInterval is the longest time between two lists of the members of a
	// failure domain, which is how long a host that has missed one goes by the
	// list before; silence is longer.
	listInterval = time.Second
	// listRepeats is how often a list that has changed is told at once.
	listRepeats = 3
	// gathererSilence is how long a host that should gather may be silent until
	// the next in order does so.
	gathererSilence = 3 * gatherInterval
)

// Peer is another host.
type Peer struct {
	Host, Domain uint64
	// IP is its address without a port.
	IP string
}

// Name returns the short name of a host or a failure domain.
func Name(name string) uint64 { return xxhash.Sum64String(name) }

// View is what one host knows by pulses. Its owner guards it.
//
// In a small system each host tells all others. In a larger one it tells the
// host that gathers for its failure domain; gatherers tell each other the sums
// and pass on what they hear to their hosts. So a pulse costs each host about
// as many messages as there are failure domains, and a gatherer about as many
// as there are hosts in its own, at any size. Who gathers follows from the
// hosts' names: the first that is not silent. Where two gather for one failure
// domain, the first in order counts.
type View struct {
	self, domain uint64
	peers        []Peer
	// order are the hosts of this failure domain, this one included, others
	// those of each other one, in the order in which they gather.
	order   []uint64
	others  map[uint64][]uint64
	started clock.Instant
	reports map[uint64]report
	sums    map[uint64]sum
	// members are what each gatherer told of its failure domain.
	members map[uint64]members
	// gatherers are when hosts of this failure domain were last heard to
	// gather.
	gatherers map[uint64]clock.Instant
	// passed are the last news of each gatherer.
	passed map[uint64]passed
	// told is what this host told its gatherer last, which is part of the sum.
	told map[Engine]Load
	// listed is the list of members that this host told last.
	listed listed
}

// listed tells which list of members was told, how often it is to be told at
// once, and when it was.
type listed struct {
	digest uint32
	left   int
	at     clock.Instant
}

// report is the last pulse of a host.
type report struct {
	number uint64
	loads  map[Engine]Load
	at     clock.Instant
}

// sum is the last summary of a failure domain.
type sum struct {
	gatherer, number uint64
	loads            map[Engine]Load
	at               clock.Instant
}

// members is the last list of members that a gatherer told, heard when its
// last summary came and confirmed when one last stood for the list.
type members struct {
	list             []Member
	digest           uint32
	heard, confirmed clock.Instant
}

// with returns the members after another summary of the gatherer.
func (m members) with(s Summary, now clock.Instant) members {
	if len(s.Members) > 0 {
		m.list, m.digest = s.Members, s.Digest
	}
	// After a gap more than one list may have been missed.
	if m.digest == s.Digest || now.Sub(m.heard) <= believed*gatherInterval {
		m.confirmed = now
	}
	m.heard = now
	return m
}

// passed tells which news of a gatherer came last.
type passed struct {
	number uint64
	at     clock.Instant
}

// NewView returns the view of a host that has just started.
func NewView(host, domain uint64, now clock.Instant) *View {
	return &View{self: host, domain: domain, order: []uint64{host}, started: now, reports: map[uint64]report{}, sums: map[uint64]sum{}, members: map[uint64]members{}, passed: map[uint64]passed{}, gatherers: map[uint64]clock.Instant{}}
}

// WithPeers takes the other hosts that are known.
func (v *View) WithPeers(peers []Peer) {
	v.peers = peers
	v.order, v.others = []uint64{v.self}, map[uint64][]uint64{}
	for _, p := range peers {
		if p.Domain == v.domain {
			v.order = append(v.order, p.Host)
		} else {
			v.others[p.Domain] = append(v.others[p.Domain], p.Host)
		}
	}
	inOrder(v.order)
	for _, hosts := range v.others {
		inOrder(hosts)
	}
}

// inOrder sorts the hosts of a failure domain by the order in which they
// gather.
func inOrder(hosts []uint64) {
	slices.SortFunc(hosts, func(a, b uint64) int { return cmp.Compare(mix(a), mix(b)) })
}

// Direct tells whether each host tells all others.
func (v *View) Direct() bool { return len(v.peers)+1 <= directHosts }

// Interval returns the time between two pulses.
func (v *View) Interval() time.Duration {
	if v.Direct() {
		return directInterval
	}
	return gatherInterval
}

// Pace returns how old what other hosts told is at most, if nothing is lost.
func (v *View) Pace() time.Duration {
	return 2 * v.Interval()
}

// Report takes a pulse of another host.
func (v *View) Report(p Pulse, now clock.Instant) {
	known := v.reports[p.Host]
	if p.Number > known.number || now.Sub(known.at) > believed*directInterval {
		v.reports[p.Host] = report{p.Number, p.Loads, now}
	}
}

// Summary takes a summary, and tells whether it is news to be passed on to
// the hosts of this failure domain.
func (v *View) Summary(s Summary, now clock.Instant) bool {
	if s.Domain == v.domain {
		v.gatherers[s.Gatherer] = now
	}
	known := v.sums[s.Domain]
	stale := now.Sub(known.at) > believed*gatherInterval
	second := mix(known.gatherer) < mix(s.Gatherer) && now.Sub(known.at) < gathererSilence
	if !stale && known.gatherer == s.Gatherer && s.Number <= known.number || second {
		return false
	}
	v.sums[s.Domain] = sum{s.Gatherer, s.Number, s.Loads, now}
	v.members[s.Gatherer] = v.members[s.Gatherer].with(s, now)
	return s.Domain != v.domain
}

// News takes news, and tells whether they are to be passed on to the hosts of
// this failure domain, if this host gathers.
func (v *View) News(n News, now clock.Instant) bool {
	last := v.passed[n.Gatherer]
	if n.Domain == v.domain || n.Number <= last.number && now.Sub(last.at) < silence {
		return false
	}
	v.passed[n.Gatherer] = passed{n.Number, now}
	return true
}

// mix spreads the bits of a name, so that the order has nothing to do with it.
func mix(h uint64) uint64 { return h * 0x9e3779b97f4a7c15 }

// Gatherer returns the host that gathers for this failure domain as far as
// this one knows.
func (v *View) Gatherer(now clock.Instant) uint64 {
	for i, host := range v.order {
		heard, patience := max(v.gatherers[host], v.started), time.Duration(i+1)*gathererSilence
		if host == v.self || now.Sub(heard) < patience {
			return host
		}
	}
	return v.order[0]
}

// Summarize returns what this host gathered, if it gathers.
func (v *View) Summarize(own map[Engine]Load, number uint64, now clock.Instant) (Summary, bool) {
	if v.Direct() || v.Gatherer(now) != v.self {
		return Summary{}, false
	}
	s := Summary{Domain: v.domain, Gatherer: v.self, Number: number, Loads: map[Engine]Load{}}
	list := []Member{Member(v.self)}
	for e, l := range own {
		s.Loads[e] = l
	}
	for host, r := range v.reports {
		if now.Sub(r.at) >= memberSilence || !slices.Contains(v.order, host) {
			continue
		}
		list = append(list, Member(host))
		if now.Sub(r.at) < IdleInterval+gatherInterval {
			for e, l := range r.loads {
				s.Loads[e] = s.Loads[e].Plus(l)
			}
		}
	}
	slices.Sort(list)
	s.Digest = digest(list)
	if s.Digest != v.listed.digest {
		v.listed = listed{digest: s.Digest, left: listRepeats}
	}
	if v.listed.left > 0 || now.Sub(v.listed.at) >= listInterval {
		s.Members = list
		v.listed.left, v.listed.at = max(0, v.listed.left-1), now
	}
	return s, true
}

// Others returns the hosts to tell of other failure domains: those that were
// heard to gather lately, else the first two in order.
func (v *View) Others(now clock.Instant) map[uint64]bool {
	const unknown = 2
	found := map[uint64]bool{}
	for domain, hosts := range v.others {
		if s, ok := v.sums[domain]; ok && now.Sub(s.at) < gathererSilence && slices.Contains(hosts, s.gatherer) {
			found[s.gatherer] = true
			continue
		}
		for _, host := range hosts[:min(unknown, len(hosts))] {
			found[host] = true
		}
	}
	return found
}

// Told notes what this host told its gatherer.
func (v *View) Told(loads map[Engine]Load) { v.told = loads }

// Elsewhere returns what the other hosts have at an engine.
func (v *View) Elsewhere(e Engine, now clock.Instant) Load {
	total := Load{}
	if v.Direct() {
		for _, r := range v.reports {
			if now.Sub(r.at) < believed*directInterval {
				total = total.Plus(r.loads[e])
			}
		}
		return total
	}
	gathers := v.Gatherer(now) == v.self
	for domain, s := range v.sums {
		switch {
		case now.Sub(s.at) >= believed*gatherInterval || domain == v.domain && gathers:
		case domain == v.domain:
			total = total.Plus(s.loads[e].Minus(v.told[e]))
		default:
			total = total.Plus(s.loads[e])
		}
	}
	if gathers {
		for _, r := range v.reports {
			if now.Sub(r.at) < IdleInterval+gatherInterval {
				total = total.Plus(r.loads[e])
			}
		}
	}
	return total
}

// Alive tells whether a host was heard of lately.
func (v *View) Alive(host uint64, now clock.Instant) bool { return v.heard(host, now, silence) }

// Heard tells whether a host was heard of just now.
func (v *View) Heard(host uint64, now clock.Instant) bool { return v.heard(host, now, recent) }

func (v *View) heard(host uint64, now clock.Instant, within time.Duration) bool {
	if r, ok := v.reports[host]; ok && now.Sub(r.at) < within {
		return true
	}
	for _, m := range v.members {
		if now.Sub(m.confirmed) < within && slices.Contains(m.list, Member(host)) {
			return true
		}
	}
	return false
}

// Forget drops what is too old to count for anything.
func (v *View) Forget(now clock.Instant) {
	for host, r := range v.reports {
		if now.Sub(r.at) > 2*silence {
			delete(v.reports, host)
		}
	}
	for domain, s := range v.sums {
		if now.Sub(s.at) > 2*silence {
			delete(v.sums, domain)
		}
	}
	for gatherer, m := range v.members {
		if now.Sub(m.heard) > 2*silence {
			delete(v.members, gatherer)
		}
	}
	for gatherer, p := range v.passed {
		if now.Sub(p.at) > 2*silence {
			delete(v.passed, gatherer)
		}
	}
}
