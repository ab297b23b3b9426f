// Package membership decides which hosts of the system are alive.
//
// Every host has its own View. It sends a heartbeat each second to a small
// fixed number of peers, and each heartbeat carries a bounded number of the
// newest changes. No decision needs a quorum: views differ for a while and
// converge. The package does no I/O; time and randomness are arguments.
package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats to a peer.
	HeartbeatInterval = time.Second
	// TickInterval is how often a view expects a Tick.
	TickInterval = 200 * time.Millisecond
	// SuspectAfter is how long a watched host may send no heartbeat.
	SuspectAfter = 3500 * time.Millisecond
	// askAfter is how long a watched host may send no heartbeat before this host asks
	// it for an answer with each heartbeat: it may live and send its own to others, as
	// long as views differ.
	askAfter = 1500 * time.Millisecond
	// FailAfter is how long a suspect has to refute the suspicion.
	FailAfter = 3 * time.Second
	// startGrace is the timeout of a host that is known only from the host list.
	startGrace = 15 * time.Second
	// forgetAfter is how long a view retains a failed host that is not on the host
	// list.
	forgetAfter = time.Minute
	// stallLimit is the gap between ticks above which this host counts as having
	// been paused.
	stallLimit = 2 * time.Second
	// loadChangeInterval is the minimum time between two announcements of a new
	// load.
	loadChangeInterval = 15 * time.Second
	// urgentChangeInterval is the same if callers must learn of it soon.
	urgentChangeInterval = time.Second
	// maxTimeoutFactor bounds the factor by which refutations extend
	// SuspectAfter.
	maxTimeoutFactor = 16
	// MaxLoad is the highest load level; a host that does not serve yet reports
	// it too.
	MaxLoad = 3
	// MaxRecords bounds the records of one message.
	MaxRecords = 6
	// recordRounds is how many rounds of messages carry a change.
	recordRounds = 2
	// pushesPerSecond bounds the rounds of messages in addition to heartbeats.
	pushesPerSecond = 2
)

// State is the state of a member. A greater one is stricter.
type State int32

// The states of a member.
const (
	// Live members accept work.
	Live State = iota
	// Leaving members have announced their stop and finish their work.
	Leaving
	// Suspect members missed heartbeats; they may refute the suspicion.
	Suspect
	// Failed members did not refute the suspicion.
	Failed
)

// stateNames are the names of states in logs.
var stateNames = map[State]string{Live: "Live", Leaving: "Leaving", Suspect: "Suspect", Failed: "Failed"}

// String implements fmt.Stringer.
func (s State) String() string { return stateNames[s] }

// Identity holds what does not change while a host runs.
type Identity struct {
	Name, FailureDomain, Region string
	// Callers and Peers are the IP:port for callers and for other hosts. A host
	// whose Peers is not known yet is not used.
	Callers, Peers string
}

// Record is a member's state as reported by one host in a message.
type Record struct {
	Name string
	// Incarnation orders a member's own records; it only grows.
	Incarnation int64
	State       State
	// Load is the load level that the member reported, from 0 (idle) to MaxLoad.
	Load int32
	// Identity is set on some records; the zero value means not included.
	Identity Identity
}

// newer reports whether the record overrides another one of the same member.
func (r Record) newer(than Record) bool {
	if r.Incarnation != than.Incarnation {
		return r.Incarnation > than.Incarnation
	}
	return r.State > than.State
}

// Message is a heartbeat or an answer to one.
type Message struct {
	// Sender is the sender's own record.
	Sender Record
	// Position is the log offset that the sender's configuration is folded up to.
	Position int64
	// Digest is the digest of the sender's view, 0 to get an answer in any case.
	Digest uint64
	// Answer marks a message that must not be answered.
	Answer bool
	// Final means that the sender will send no more heartbeats to this peer.
	Final bool
	// Records holds at most MaxRecords changes.
	Records []Record
	// Departing holds the names of at most MaxRecords upstreams that a host list
	// showed as leaving.
	Departing []string
}

// Outgoing is a message for one peer.
type Outgoing struct {
	// To is the peer; its address is To.Peers.
	To      Identity
	Message Message
}

// ListedHost is an entry of the host list.
type ListedHost struct {
	Identity
	Leaving bool
}

// member is the state of another host in a view.
type member struct {
	Record
	// selfLeaving is whether the member last reported itself as leaving.
	selfLeaving bool
	// hasIdentity is whether the identity is of this incarnation.
	hasIdentity bool
	// since is when this view received the state.
	since time.Time
}

// View is one host's view of all hosts. It is immutable: Step returns a changed
// copy.
type View struct {
	self     Record
	position int64
	members  map[string]member
	listed   map[string]ListedHost
	// lastSeen holds when each watched host last sent a heartbeat.
	lastSeen map[string]time.Time
	// watched holds the hosts that send heartbeats to this host, targets those
	// that it sends heartbeats to; both are computed from the members.
	watched map[string]bool
	targets []string
	// targetsOutdated is whether members changed since watched and targets were
	// computed.
	targetsOutdated bool
	// timeoutFactors holds the factors on SuspectAfter of hosts that refuted a
	// suspicion.
	timeoutFactors map[string]int
	// pending holds the changes to send, newest first.
	pending []pendingRecord
	// departing holds the upstreams that any host list showed as leaving.
	departing map[string]departure
	// digest is the digest of the members.
	digest uint64
	// changes counts the changes to the result of Hosts.
	changes int
	// cursor is the index of the next member to send in answers to differing
	// views.
	cursor int

	lastTick, lastHeartbeat, lastLoadChange time.Time
	pushBudget                              float64
	lastAnswered                            map[string]time.Time
}

type pendingRecord struct {
	name   string
	rounds int
	// withIdentity adds the identity to the record.
	withIdentity bool
}

// New returns the view of a host that just started. The incarnation should be
// greater than that of the host's previous run, such as the start time; if it
// isn't, the peers' records correct it.
func New(self Identity, incarnation int64, now time.Time) View {
	v := View{
		self:    Record{Name: self.Name, Incarnation: incarnation, Load: MaxLoad, Identity: self},
		members: map[string]member{}, listed: map[string]ListedHost{},
		lastSeen: map[string]time.Time{}, watched: map[string]bool{}, timeoutFactors: map[string]int{},
		lastAnswered: map[string]time.Time{}, lastTick: now, pushBudget: pushesPerSecond,
	}
	return v.queue(self.Name, true)
}

// Self returns this host's own record.
func (v View) Self() Record { return v.self }

// Changes returns a counter that grows when the result of Hosts changes.
func (v View) Changes() int { return v.changes }

// Targets returns the hosts that this host sends heartbeats to, ordered by ring.
func (v View) Targets() []string { return v.targets }

// Host is a usable host in a view.
type Host struct {
	Identity
	// State is the strictest state from the host list, heartbeats and the host
	// itself.
	State State
	// Leaving reports whether the host gets no new work, also while it is
	// suspect.
	Leaving bool
	// Load is the load level that the host reported.
	Load int32
}

// Hosts returns every host that has not failed, ordered by name, this host
// included.
func (v View) Hosts() []Host {
	var hosts []Host
	if v.self.Identity.Peers != "" {
		hosts = append(hosts, v.combine(v.self.Identity, member{Record: v.self}))
	}
	for name := range v.knownNames() {
		m, identity := v.members[name], v.identityOf(name)
		if m.State != Failed && identity.Peers != "" {
			hosts = append(hosts, v.combine(identity, m))
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int { return compareNames(a.Name, b.Name) })
	return hosts
}

// combine combines a host's state from all sources.
func (v View) combine(i Identity, m member) Host {
	leaving := m.selfLeaving || m.State == Leaving || v.listed[i.Name].Leaving
	state := m.State
	if leaving {
		state = max(state, Leaving)
	}
	return Host{Identity: i, State: state, Leaving: leaving, Load: m.Load}
}

// identityOf returns the identity of a host: the one that it reported for this
// incarnation, else that of the list, else its own for an earlier incarnation.
func (v View) identityOf(name string) Identity {
	m := v.members[name]
	if l, ok := v.listed[name]; ok && !m.hasIdentity {
		return l.Identity
	}
	return m.Identity
}

// knownNames returns every other host known from the list or heartbeats.
func (v View) knownNames() map[string]bool {
	names := make(map[string]bool, len(v.members)+len(v.listed))
	for name := range maps.Keys(v.members) {
		names[name] = true
	}
	for name := range maps.Keys(v.listed) {
		names[name] = true
	}
	delete(names, v.self.Name)
	return names
}
