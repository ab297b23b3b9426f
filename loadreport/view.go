package loadreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// directInterval is the time between two reports of a host in a small
	// system, where each host reports to all others.
	directInterval = 100 * time.Millisecond
	// directHosts is the maximum number of hosts of a small system.
	directHosts = 17
	// aggregateInterval is the time between two reports in a larger system,
	// where one host of each failure domain sums the loads of the others.
	aggregateInterval = 150 * time.Millisecond
	// expiryIntervals is the number of intervals without a new report after
	// which a load no longer counts.
	expiryIntervals = 5
	// IdleInterval is the minimum time between two reports of a host that has
	// nothing to report.
	IdleInterval = 500 * time.Millisecond
	// aliveTimeout is how long after its last report a host counts as alive.
	aliveTimeout = 2 * time.Second
	// recentTimeout is how long after its last report a host counts as seen
	// recently.
	recentTimeout = IdleInterval + 2*aggregateInterval
	// memberTimeout is how long after its last report an aggregator lists a
	// host as a member; one report of an idle host may be lost.
	memberTimeout = 2*IdleInterval + aggregateInterval
	// listInterval is the maximum time between two lists of the members of a
	// failure domain. A host that misses a list uses the previous one for that
	// long, so aliveTimeout must be longer.
	listInterval = time.Second
	// listRepeats is the number of consecutive summaries that carry a changed
	// list.
	listRepeats = 3
	// aggregatorTimeout is how long an aggregator may send nothing before the
	// next host by rank takes over.
	aggregatorTimeout = 3 * aggregateInterval
)

// Peer is another host.
type Peer struct {
	Host, Domain uint64
	// IP is its address without a port.
	IP string
}

// HashName returns the hash of the name of a host or a failure domain.
func HashName(name string) uint64 { return xxhash.Sum64String(name) }

// View is the state that one host derives from received load reports. It is not
// safe for concurrent use.
//
// In a small system each host reports to all others. In a larger one it reports
// to the aggregator of its failure domain; aggregators send each other domain
// summaries and forward those that they receive to their hosts. So in each
// interval a host handles about as many messages as there are failure domains,
// and an aggregator about as many as there are hosts in its own, at any size.
// Hosts are ranked by the hashes of their names, and the first one that is not
// silent aggregates. If two aggregate for one failure domain, the first by rank
// counts.
type View struct {
	self, domain uint64
	peers        []Peer
	// domainHosts are the hosts of this failure domain, including this one,
	// otherDomains those of each other domain, sorted by aggregator rank.
	domainHosts  []uint64
	otherDomains map[uint64][]uint64
	started      clock.Instant
	reports      map[uint64]receivedReport
	summaries    map[uint64]receivedSummary
	// members are the member lists by aggregator.
	members map[uint64]memberList
	// lastAggregated is when each host of this failure domain last sent a
	// summary.
	lastAggregated map[uint64]clock.Instant
	// forwarded identifies the last updates of each aggregator.
	forwarded map[uint64]forwardedUpdates
	// lastSent are the loads last sent to the aggregator, which are part of the
	// domain summary.
	lastSent map[EngineHash]Load
	// sentMembers is the list of members that this host sent last.
	sentMembers sentMemberList
}

// sentMemberList identifies a list of members that was sent, how many of the
// next summaries must repeat it, and when it was last sent.
type sentMemberList struct {
	digest      uint32
	repeatsLeft int
	at          clock.Instant
}

// receivedReport is the last load report of a host.
type receivedReport struct {
	sequence uint64
	loads    map[EngineHash]Load
	at       clock.Instant
}

// receivedSummary is the last summary of a failure domain.
type receivedSummary struct {
	aggregator, sequence uint64
	loads                map[EngineHash]Load
	at                   clock.Instant
}

// memberList is the last list of members received from an aggregator. lastSeen
// is when its last summary arrived, confirmed when a summary last confirmed that
// the list applies.
type memberList struct {
	hosts               []HostHash
	digest              uint32
	lastSeen, confirmed clock.Instant
}

// with returns the list after another summary of the aggregator.
func (m memberList) with(s Summary, now clock.Instant) memberList {
	if len(s.Members) > 0 {
		m.hosts, m.digest = s.Members, s.Digest
	}
	// One missed list is tolerated; after a gap, more may have been missed.
	if m.digest == s.Digest || now.Sub(m.lastSeen) <= expiryIntervals*aggregateInterval {
		m.confirmed = now
	}
	m.lastSeen = now
	return m
}

// forwardedUpdates identifies the last updates of an aggregator.
type forwardedUpdates struct {
	sequence uint64
	at       clock.Instant
}

// NewView returns the view of a host that has just started.
func NewView(host, domain uint64, now clock.Instant) *View {
	return &View{self: host, domain: domain, domainHosts: []uint64{host}, started: now, reports: map[uint64]receivedReport{}, summaries: map[uint64]receivedSummary{}, members: map[uint64]memberList{}, forwarded: map[uint64]forwardedUpdates{}, lastAggregated: map[uint64]clock.Instant{}}
}

// SetPeers sets the list of other hosts.
func (v *View) SetPeers(peers []Peer) {
	v.peers = peers
	v.domainHosts, v.otherDomains = []uint64{v.self}, map[uint64][]uint64{}
	for _, p := range peers {
		if p.Domain == v.domain {
			v.domainHosts = append(v.domainHosts, p.Host)
		} else {
			v.otherDomains[p.Domain] = append(v.otherDomains[p.Domain], p.Host)
		}
	}
	sortByAggregatorRank(v.domainHosts)
	for _, hosts := range v.otherDomains {
		sortByAggregatorRank(hosts)
	}
}

// sortByAggregatorRank sorts the hosts of a failure domain by the order in which
// they become aggregator.
func sortByAggregatorRank(hosts []uint64) {
	slices.SortFunc(hosts, func(a, b uint64) int { return cmp.Compare(aggregatorRank(a), aggregatorRank(b)) })
}

// Direct reports whether each host sends its reports to all others.
func (v *View) Direct() bool { return len(v.peers)+1 <= directHosts }

// Interval returns the time between two reports.
func (v *View) Interval() time.Duration {
	if v.Direct() {
		return directInterval
	}
	return aggregateInterval
}

// MaxStaleness returns the maximum age of other hosts' loads if no report is
// lost.
func (v *View) MaxStaleness() time.Duration {
	return 2 * v.Interval()
}

// ReceiveReport applies a load report of another host.
func (v *View) ReceiveReport(r Report, now clock.Instant) {
	last := v.reports[r.Host]
	if r.Sequence > last.sequence || now.Sub(last.at) > expiryIntervals*directInterval {
		v.reports[r.Host] = receivedReport{r.Sequence, r.Loads, now}
	}
}

// ReceiveSummary applies a summary and reports whether it must be forwarded to
// the hosts of this failure domain.
func (v *View) ReceiveSummary(s Summary, now clock.Instant) bool {
	if s.Domain == v.domain {
		v.lastAggregated[s.Aggregator] = now
	}
	last := v.summaries[s.Domain]
	expired := now.Sub(last.at) > expiryIntervals*aggregateInterval
	outranked := aggregatorRank(last.aggregator) < aggregatorRank(s.Aggregator) && now.Sub(last.at) < aggregatorTimeout
	if !expired && last.aggregator == s.Aggregator && s.Sequence <= last.sequence || outranked {
		return false
	}
	v.summaries[s.Domain] = receivedSummary{s.Aggregator, s.Sequence, s.Loads, now}
	v.members[s.Aggregator] = v.members[s.Aggregator].with(s, now)
	return s.Domain != v.domain
}

// ReceiveUpdates reports whether updates of an aggregator are new and must be
// forwarded to the hosts of this failure domain if this host aggregates.
func (v *View) ReceiveUpdates(u Updates, now clock.Instant) bool {
	last := v.forwarded[u.Aggregator]
	if u.Domain == v.domain || u.Sequence <= last.sequence && now.Sub(last.at) < aliveTimeout {
		return false
	}
	v.forwarded[u.Aggregator] = forwardedUpdates{u.Sequence, now}
	return true
}

// aggregatorRank returns the rank of a host among the candidates for aggregator. It
// scrambles the hash of the name to make the order of ranks unrelated to that of
// the hashes.
func aggregatorRank(h uint64) uint64 { return h * 0x9e3779b97f4a7c15 }

// Aggregator returns the aggregator of this failure domain as seen by this host.
func (v *View) Aggregator(now clock.Instant) uint64 {
	for i, host := range v.domainHosts {
		lastSeen, timeout := max(v.lastAggregated[host], v.started), time.Duration(i+1)*aggregatorTimeout
		if host == v.self || now.Sub(lastSeen) < timeout {
			return host
		}
	}
	return v.domainHosts[0]
}

// Summarize returns the summary of this failure domain if this host aggregates.
func (v *View) Summarize(own map[EngineHash]Load, sequence uint64, now clock.Instant) (Summary, bool) {
	if v.Direct() || v.Aggregator(now) != v.self {
		return Summary{}, false
	}
	s := Summary{Domain: v.domain, Aggregator: v.self, Sequence: sequence, Loads: map[EngineHash]Load{}}
	members := []HostHash{HostHash(v.self)}
	for e, l := range own {
		s.Loads[e] = l
	}
	for host, r := range v.reports {
		if now.Sub(r.at) >= memberTimeout || !slices.Contains(v.domainHosts, host) {
			continue
		}
		members = append(members, HostHash(host))
		if now.Sub(r.at) < IdleInterval+aggregateInterval {
			for e, l := range r.loads {
				s.Loads[e] = s.Loads[e].Plus(l)
			}
		}
	}
	slices.Sort(members)
	s.Digest = digest(members)
	if s.Digest != v.sentMembers.digest {
		v.sentMembers = sentMemberList{digest: s.Digest, repeatsLeft: listRepeats}
	}
	if v.sentMembers.repeatsLeft > 0 || now.Sub(v.sentMembers.at) >= listInterval {
		s.Members = members
		v.sentMembers.repeatsLeft, v.sentMembers.at = max(0, v.sentMembers.repeatsLeft-1), now
	}
	return s, true
}

// OtherAggregators returns the hosts of other failure domains that receive this
// domain's summary: for each domain the aggregator that sent a summary lately,
// otherwise the first two hosts by rank.
func (v *View) OtherAggregators(now clock.Instant) map[uint64]bool {
	const candidates = 2
	found := map[uint64]bool{}
	for domain, hosts := range v.otherDomains {
		if s, ok := v.summaries[domain]; ok && now.Sub(s.at) < aggregatorTimeout && slices.Contains(hosts, s.aggregator) {
			found[s.aggregator] = true
			continue
		}
		for _, host := range hosts[:min(candidates, len(hosts))] {
			found[host] = true
		}
	}
	return found
}

// SetLastSent stores the loads that this host sent to its aggregator.
func (v *View) SetLastSent(loads map[EngineHash]Load) { v.lastSent = loads }

// RemoteLoad returns the load that the other hosts put on an engine.
func (v *View) RemoteLoad(e EngineHash, now clock.Instant) Load {
	total := Load{}
	if v.Direct() {
		for _, r := range v.reports {
			if now.Sub(r.at) < expiryIntervals*directInterval {
				total = total.Plus(r.loads[e])
			}
		}
		return total
	}
	aggregates := v.Aggregator(now) == v.self
	for domain, s := range v.summaries {
		switch {
		case now.Sub(s.at) >= expiryIntervals*aggregateInterval || domain == v.domain && aggregates:
		case domain == v.domain:
			total = total.Plus(s.loads[e].Minus(v.lastSent[e]))
		default:
			total = total.Plus(s.loads[e])
		}
	}
	if aggregates {
		for _, r := range v.reports {
			if now.Sub(r.at) < IdleInterval+aggregateInterval {
				total = total.Plus(r.loads[e])
			}
		}
	}
	return total
}

// Alive reports whether a report about a host arrived within aliveTimeout.
func (v *View) Alive(host uint64, now clock.Instant) bool {
	return v.seenWithin(host, now, aliveTimeout)
}

// SeenRecently reports whether a report about a host arrived within
// recentTimeout.
func (v *View) SeenRecently(host uint64, now clock.Instant) bool {
	return v.seenWithin(host, now, recentTimeout)
}

func (v *View) seenWithin(host uint64, now clock.Instant, within time.Duration) bool {
	if r, ok := v.reports[host]; ok && now.Sub(r.at) < within {
		return true
	}
	for _, m := range v.members {
		if now.Sub(m.confirmed) < within && slices.Contains(m.hosts, HostHash(host)) {
			return true
		}
	}
	return false
}

// RemoveExpired drops entries that are too old to be used.
func (v *View) RemoveExpired(now clock.Instant) {
	for host, r := range v.reports {
		if now.Sub(r.at) > 2*aliveTimeout {
			delete(v.reports, host)
		}
	}
	for domain, s := range v.summaries {
		if now.Sub(s.at) > 2*aliveTimeout {
			delete(v.summaries, domain)
		}
	}
	for aggregator, m := range v.members {
		if now.Sub(m.lastSeen) > 2*aliveTimeout {
			delete(v.members, aggregator)
		}
	}
	for aggregator, u := range v.forwarded {
		if now.Sub(u.at) > 2*aliveTimeout {
			delete(v.forwarded, aggregator)
		}
	}
}
