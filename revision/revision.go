// Package revision keeps this host's configuration document up to date: it
// follows the log's configuration stream, exchanges states with other hosts,
// writes snapshots and publishes edits.
package revision

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/registry"
)

// logClient is the part of the log service that this package uses.
type logClient interface {
	Append(ctx context.Context, stream string, data []byte) (registry.AppendResult, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (registry.Page, error)
}

// peerClient calls other hosts.
type peerClient interface {
	// Fetch fetches a state newer than a position from the host at an address.
	Fetch(ctx context.Context, address string, position int64) (Offer, error)
	// Announce announces a newer position to the host at an address and returns
	// the position that this host then has.
	Announce(ctx context.Context, address string, position int64) (int64, error)
}

// Offer is another host's answer to Fetch.
type Offer struct {
	// Position is the offset of the last log record folded by the other host.
	Position int64
	// State is the encoded state. It is empty if there is no newer one, or the
	// other host is busy.
	State []byte
	// CurrentAge is the time since the other host was last known to be current;
	// negative if it never was.
	CurrentAge time.Duration
	// Checksum is the checksum of the state at the position, or empty.
	Checksum string
}

// Options configures a Syncer.
type Options struct {
	// Host is the name of this host.
	Host  string
	Log   logClient
	Peers peerClient
	// Members returns the entry hosts of the system.
	Members func() []registry.Host
	// Retention is how long the log stores records.
	Retention time.Duration
	// SnapshotShare is the fraction of Retention after which a snapshot is due.
	SnapshotShare float64
	Metrics       tally.Scope
}

// Syncer holds the current configuration and keeps it in sync with the log and
// other hosts. Its position never decreases.
type Syncer struct {
	Options

	// state is the current configuration, for readers without the lock.
	state atomic.Pointer[document.State]
	ready atomic.Bool
	// fetchSlots limits the hosts that fetch a state concurrently.
	fetchSlots chan struct{}
	// positionAdvanced triggers an announcement.
	positionAdvanced chan struct{}
	// positionUpdates holds a newer position from a heartbeat.
	positionUpdates chan positionUpdate

	// initialFetchDone is closed after the first fetch from peers, or when no
	// peer was found in time.
	initialFetchDone chan struct{}

	// mu guards the fields below. No other lock is taken while it is held.
	mu sync.Mutex
	// changed is closed when the position next advances.
	changed chan struct{}
	replica document.Replica
	// fetchTimeout is how long the next fetch from a peer may take.
	fetchTimeout time.Duration
	// currentAt is when this host was last known to be current, which means that
	// it had folded the whole log; zero if it never was.
	currentAt time.Time
	// lastPage is the last page read from the log, without its records, and
	// lastPageAt the time of the read.
	lastPage   registry.Page
	lastPageAt time.Time
	// logTried reports whether the log was read at least once, with or without
	// success; logDown reports whether the last read failed.
	logTried, logDown bool
	// peersAnswered reports whether a peer answered the last round of fetches
	// and every answer could be used.
	peersAnswered bool
	// logGap and logReset report whether the log dropped records that this host
	// needs, and whether it has fewer records than this host has read.
	logGap, logReset bool
}

// New returns a Syncer that follows the configuration stream until the context
// ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Syncer {
	s := &Syncer{
		Options: o, changed: make(chan struct{}), replica: document.NewReplica(), fetchTimeout: peerTimeout,
		fetchSlots: make(chan struct{}, maxConcurrentFetches), positionAdvanced: make(chan struct{}, 1), positionUpdates: make(chan positionUpdate, 1), initialFetchDone: make(chan struct{}),
	}
	initial := s.replica.State
	s.state.Store(&initial)
	wait.Go(func() { s.followLog(ctx) })
	wait.Go(func() { s.exchangeWithPeers(ctx) })
	wait.Go(func() { s.announcePositions(ctx) })
	wait.Go(func() { s.writeSnapshots(ctx) })
	return s
}

// State returns the current configuration.
func (s *Syncer) State() document.State { return *s.state.Load() }

// Ready reports whether this host may serve with its configuration.
func (s *Syncer) Ready() bool { return s.ready.Load() }

// Status is the status of this host's configuration.
type Status struct {
	Ready bool
	// Reason says why the host is not ready or not current, or is empty.
	Reason string
	// StaleSeconds is the time since the host was last known to be current; -1
	// if it never was.
	StaleSeconds float64
}

// Status returns the status of this host's configuration.
func (s *Syncer) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{Ready: s.ready.Load(), Reason: s.statusReason(), StaleSeconds: -1}
	if !s.currentAt.IsZero() {
		status.StaleSeconds = time.Since(s.currentAt).Seconds()
	}
	return status
}

// statusReason returns why the host is not ready or not current, or "". The
// caller holds mu.
func (s *Syncer) statusReason() string {
	switch {
	case s.replica.Halt != "":
		return s.replica.Halt
	case s.replica.Conflict != "":
		return "another host folded the same records differently: " + s.replica.Conflict
	case s.logReset:
		return "the log has fewer records than this host has read"
	case s.logGap:
		return "the log dropped records that this host has not read, and neither a snapshot nor another host closes the gap"
	case s.logDown && s.replica.Position() < 0:
		return "neither the log nor another host provided a configuration"
	case s.logDown:
		return "the log does not answer this host"
	case s.replica.Position() < 0:
		return "no configuration was published, or the log has not answered yet"
	}
	return ""
}

// largeBodyBytes is the size of a section from which the memory used to decode
// it is returned to the operating system immediately: decoding takes a hundred
// times the size of the body, and edits are rare.
const largeBodyBytes = 256 << 10

// update applies a change to the replica, publishes the new state and notifies
// waiters.
func (s *Syncer) update(change func(document.Replica) document.Replica) {
	before := s.State()
	s.swapReplica(change)
	next := s.State()
	for _, section := range document.Sections() {
		body, _ := next.Body(section)
		if body.Revision > before.Revision(section) && len(body.Text) >= largeBodyBytes {
			debug.FreeOSMemory()
			return
		}
	}
}

// swapReplica applies a change to the replica and publishes the state under the
// lock.
func (s *Syncer) swapReplica(change func(document.Replica) document.Replica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.replica
	next := change(before)
	if next.Position() < before.Position() {
		panic("the position of the configuration decreased")
	}
	s.replica = next
	s.state.Store(&next.State)
	s.logChanges(before, next)
	if next.Position() == before.Position() {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
	select {
	case s.positionAdvanced <- struct{}{}:
	default:
	}
}

// logChanges logs the changes between two replicas.
func (s *Syncer) logChanges(before, next document.Replica) {
	if next.Halt != before.Halt && next.Halt != "" {
		event.FoldHalted.Info("Reason", next.Halt)
	}
	if next.Conflict != before.Conflict && next.Conflict != "" {
		event.StateConflict.Info("With", next.Conflict)
	}
	if next.Position() == before.Position() {
		return
	}
	for _, result := range next.Verdicts {
		if result.Offset > before.Position() && !result.Accepted {
			event.EditRefused.Info("Edit", result.Edit, "Section", result.Section, "Author", result.Author, "Reason", result.Reason)
		}
	}
	event.RevisionApplied.Info("Position", next.Position())
	s.Metrics.Gauge("configuration_position").Update(float64(next.Position()))
}
