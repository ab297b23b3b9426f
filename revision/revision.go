// Package revision keeps the configuration document in force on this host:
// it follows the log's configuration stream, exchanges what it knows with
// other hosts, writes snapshots and publishes edits.
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

// stream is the log service as this package uses it.
type stream interface {
	Append(ctx context.Context, stream string, data []byte) (registry.AppendResult, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (registry.Page, error)
}

// peers calls other hosts.
type peers interface {
	// Fetch asks the host at an address for a state newer than a position.
	Fetch(ctx context.Context, address string, position int64) (Offer, error)
	// Announce tells the host at an address of a newer position and returns
	// the position that the host has then.
	Announce(ctx context.Context, address string, position int64) (int64, error)
}

// Offer is what another host answers.
type Offer struct {
	// Position is the log offset that the other host has folded up to.
	Position int64
	// State is the encoded state, or empty.
	State []byte
	// CurrentAge is how long ago the other host knew that nothing is newer
	// than its position; negative if it never did.
	CurrentAge time.Duration
	// Checksum is that of the state at the position.
	Checksum string
}

// Options is what a keeper needs.
type Options struct {
	// Host names this host.
	Host  string
	Log   stream
	Peers peers
	// Members returns the entry hosts of the system.
	Members func() []registry.Host
	// Retention is how long the log keeps records.
	Retention time.Duration
	// SnapshotShare is the part of Retention after which a snapshot is due.
	SnapshotShare float64
	Metrics       tally.Scope
}

// Keeper holds the configuration in force. Its position only moves forward.
type Keeper struct {
	Options

	// state is the configuration in force, for readers without the lock.
	state atomic.Pointer[document.State]
	ready atomic.Bool
	// serving bounds how many hosts fetch a state at a time.
	serving chan struct{}
	// advanced wakes the announcer.
	advanced chan struct{}
	// heard holds a newer position that a heartbeat told of.
	heard chan news

	// greeted closes once peers were asked for the first time.
	greeted chan struct{}

	// mu guards the fields below. Nothing else is locked while it is held.
	mu sync.Mutex
	// changed closes with the next change of state.
	changed chan struct{}
	replica document.Replica
	// current is when this host last knew that nothing is newer; zero if it
	// never did.
	current time.Time
	// page is the last answer of the log, without its records, and pageAt when
	// it came.
	page   registry.Page
	pageAt time.Time
	// logTried tells that the log answered or failed once; logDown that its
	// last answer is missing.
	logTried, logDown bool
	// told tells that every peer that answered gave what it has.
	told bool
	// gap and reset tell what the log lacks.
	gap, reset bool
}

// New follows the configuration stream until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Keeper {
	k := &Keeper{
		Options: o, changed: make(chan struct{}), replica: document.NewReplica(),
		serving: make(chan struct{}, maxServing), advanced: make(chan struct{}, 1), heard: make(chan news, 1), greeted: make(chan struct{}),
	}
	initial := k.replica.State
	k.state.Store(&initial)
	wait.Go(func() { k.follow(ctx) })
	wait.Go(func() { k.exchange(ctx) })
	wait.Go(func() { k.announce(ctx) })
	wait.Go(func() { k.snapshots(ctx) })
	return k
}

// State returns the configuration in force.
func (k *Keeper) State() document.State { return *k.state.Load() }

// Ready tells whether this host may serve with its configuration.
func (k *Keeper) Ready() bool { return k.ready.Load() }

// Status is what this host knows of its configuration.
type Status struct {
	Ready bool
	// Reason tells why the host is not ready or not current; empty if it is.
	Reason string
	// StaleSeconds is the time since the host last knew that nothing is newer;
	// -1 if it never did.
	StaleSeconds float64
}

// Status returns what this host knows of its configuration.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{Ready: k.ready.Load(), Reason: k.reason(), StaleSeconds: -1}
	if !k.current.IsZero() {
		s.StaleSeconds = time.Since(k.current).Seconds()
	}
	return s
}

// reason tells what keeps the host from being ready or current. The caller
// holds mu.
func (k *Keeper) reason() string {
	switch {
	case k.replica.Halt != "":
		return k.replica.Halt
	case k.replica.Conflict != "":
		return "another host folded the same records differently: " + k.replica.Conflict
	case k.reset:
		return "the log shows fewer records than this host has read"
	case k.gap:
		return "the log dropped records that this host has not read, and neither a snapshot nor another host fills the gap"
	case k.logDown && k.replica.Position() < 0:
		return "neither the log nor another host gave a configuration"
	case k.logDown:
		return "the log does not answer this host"
	case k.replica.Position() < 0:
		return "no configuration was published, or the log has not answered yet"
	}
	return ""
}

// largeBody is the size in bytes from which the memory of decoding a section
// is given back at once: it is a hundred times as much, and edits are rare.
const largeBody = 256 << 10

// update replaces the replica by what change makes of it, publishes the new
// state and wakes those who wait for it.
func (k *Keeper) update(change func(document.Replica) document.Replica) {
	before := k.State()
	k.replace(change)
	next := k.State()
	for _, section := range document.Sections() {
		body, _ := next.Body(section)
		if body.Revision > before.Revision(section) && len(body.Text) >= largeBody {
			debug.FreeOSMemory()
			return
		}
	}
}

// replace does the work of update under the lock.
func (k *Keeper) replace(change func(document.Replica) document.Replica) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.replica
	next := change(before)
	if next.Position() < before.Position() {
		panic("the configuration moved back")
	}
	k.replica = next
	k.state.Store(&next.State)
	k.report(before, next)
	if next.Position() == before.Position() {
		return
	}
	close(k.changed)
	k.changed = make(chan struct{})
	select {
	case k.advanced <- struct{}{}:
	default:
	}
}

// report logs what changed between two replicas.
func (k *Keeper) report(before, next document.Replica) {
	if next.Halt != before.Halt && next.Halt != "" {
		event.FoldHalted.Info("Reason", next.Halt)
	}
	if next.Conflict != before.Conflict && next.Conflict != "" {
		event.StateConflict.Info("With", next.Conflict)
	}
	if next.Position() == before.Position() {
		return
	}
	for _, v := range next.Verdicts {
		if v.Offset > before.Position() && !v.Accepted {
			event.EditRefused.Info("Edit", v.Edit, "Section", v.Section, "Author", v.Author, "Reason", v.Reason)
		}
	}
	event.RevisionApplied.Info("Position", next.Position())
	k.Metrics.Gauge("configuration_position").Update(float64(next.Position()))
}
