// Package resumption knows the software version that began each stream, so that a
// stream continues at that version whichever host its caller comes back to.
//
// While a service has upstreams of one version only, nothing is recorded. While it
// has several, hosts record in the platform's store which version began which
// stream. Package software makes the decisions.
package resumption

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/software"
)

const (
	// minLifetime is the longest life of a stream, over all the attempts of its
	// caller, if no route has a longer timeout; lifetimeTimeouts is the same in
	// timeouts of a route, since a caller may come back after one.
	minLifetime      = 30 * time.Second
	lifetimeTimeouts = 2
	// callIntervalPerHost times the number of hosts is the least time between two
	// writes of a host, and between two reads, so that all hosts together make at most
	// 333 of each a second. maxCallInterval bounds it.
	callIntervalPerHost = 3 * time.Millisecond
	maxCallInterval     = time.Second
	// versionsInterval is the least time between two records of a service's versions:
	// a record takes a moment to arrive, and hosts may see different versions until
	// their replicas agree.
	versionsInterval = time.Second
	// maxHold limits how long the first event of a stream waits for its record:
	// events must reach callers within 120 ms.
	maxHold = 60 * time.Millisecond
	// lateRecord is how long after its first event a stream may be recorded.
	lateRecord = 50 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = time.Second
	// retryDelay is the delay after a failed write.
	retryDelay = 700 * time.Millisecond
	// checkInterval is the longest time between two checks of the versions.
	checkInterval = time.Second
)

// store keeps what must outlive the hosts.
type store interface {
	// Era changes when the store comes back from an older copy.
	Era() int64
	// PutVersions replaces the recorded versions of a service.
	PutVersions(ctx context.Context, service string, v software.Versions) error
	// PutStreams replaces batches of streams.
	PutStreams(ctx context.Context, batches []software.Batch) error
	// Streams returns the batches from a position on. From a position below 0, or
	// one that the store no longer has, it returns all.
	Streams(ctx context.Context, from int64) (StoredStreams, error)
}

// StoredStreams is what a read of the store returns.
type StoredStreams struct {
	Batches []software.Batch
	// Next is the position of the next read.
	Next int64
}

// states reads this host's replica of the store.
type states interface {
	State() replica.State
	Changed() <-chan struct{}
	// CatchUp waits until the state has all software versions that had joined before
	// an instant, and reports whether it has.
	CatchUp(ctx context.Context, at clock.Instant) bool
}

// Options configures a Ledger.
type Options struct {
	Host    string
	Store   store
	Replica states
	// WritesVersions reports whether this host records the versions of services.
	WritesVersions func() bool
	// Hosts returns the number of hosts that write to the store.
	Hosts   func() int
	Metrics tally.Scope
}

// Ledger knows which software version began a stream.
type Ledger struct {
	Options

	// writeTrigger signals that there are streams to write.
	writeTrigger chan struct{}
	// reading serializes reads of the store; it guards position and readAt, the
	// start of the last successful read.
	reading  sync.Mutex
	position int64
	readAt   clock.Instant
	// versionsAt is when this host last recorded the versions of a service. Only
	// recordVersions uses it.
	versionsAt map[string]clock.Instant
	// mu guards the fields below.
	mu       sync.Mutex
	services map[string]software.Versions
	// recorded holds the services whose recorded versions are part of services.
	recorded map[string]bool
	streams  *software.Streams
	era      int64
	// written is closed when the next write has ended; nil if nothing waits for it.
	written chan struct{}
	// failing means that the last write failed.
	failing bool
}

// New returns a ledger that follows the replica until the context ends.
func New(ctx context.Context, wait *conc.WaitGroup, o Options) *Ledger {
	l := &Ledger{Options: o, writeTrigger: make(chan struct{}, 1), position: -1, versionsAt: map[string]clock.Instant{}, services: map[string]software.Versions{}, recorded: map[string]bool{}, streams: software.NewStreams(o.Host), era: o.Store.Era()}
	wait.Go(func() {
		for ctx.Err() == nil {
			changed := l.Replica.Changed()
			l.recordVersions(ctx, l.observe())
			select {
			case <-ctx.Done():
			case <-changed:
			case <-time.After(checkInterval):
			}
		}
	})
	wait.Go(func() { l.write(ctx) })
	return l
}

// Began records that an upstream of a software version began a stream. If others may
// have begun streams, it waits for a moment until the store has the record.
func (l *Ledger) Began(ctx context.Context, service, id, version string) {
	if written := l.record(service, id, version); written != nil {
		timer := time.NewTimer(maxHold)
		defer timer.Stop()
		select {
		case <-written:
		case <-timer.C:
			l.Metrics.Counter("stream_origins_late").Inc(1)
		case <-ctx.Done():
		}
	}
}

// record adds a stream, and returns a channel that is closed once it is in the store,
// or nil if it needs no record or the store does not accept any now.
func (l *Ledger) record(service, id, version string) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.services[service].Serves(version) {
		l.services[service] = l.services[service].WithLeft(version, clock.Now())
	}
	_, single := l.services[service].Only()
	l.streams.Began(id, service, version, !single, time.Now())
	if single {
		return nil
	}
	l.triggerWrite()
	if l.failing {
		return nil
	}
	if l.written == nil {
		l.written = make(chan struct{})
	}
	return l.written
}

// Find returns the software version at which a stream of a service that has begun
// may continue.
func (l *Ledger) Find(ctx context.Context, service, id string) software.Origin {
	asked := clock.Now()
	l.observe()
	origin := l.certain(ctx, service, id, asked)
	for attempt := 0; origin.Source == software.Unrecorded && attempt < 2; attempt++ {
		since := asked
		if attempt > 0 {
			// The host that began the stream may not have written it yet.
			clock.Pause(ctx, max(lateRecord, l.callInterval()))
			since = clock.Now()
		}
		if err := l.read(ctx, since); err != nil {
			event.StreamOriginsUnreadable.Error(err, "Stream", id)
			origin.Source = software.Unreadable
			return origin
		}
		origin = l.certain(ctx, service, id, asked)
	}
	return origin
}

// certain returns what is known of a stream's origin without asking the store for its
// record. That a version is the only one counts if this host knows all others that had
// joined before an instant.
func (l *Ledger) certain(ctx context.Context, service, id string, at clock.Instant) software.Origin {
	origin := l.known(service, id)
	if origin.Source != software.OnlyVersion {
		return origin
	}
	if !l.Replica.CatchUp(ctx, at) {
		l.Metrics.Counter("stream_origins_uncertain").Inc(1)
		return software.Origin{Source: software.Uncertain}
	}
	l.observe()
	return l.known(service, id)
}

// known returns what is known of a stream's origin without asking the store.
func (l *Ledger) known(service, id string) software.Origin {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version, ok := l.streams.Version(id); ok {
		return software.Origin{Version: version, Known: true, Source: software.Recorded}
	}
	if version, ok := l.services[service].Only(); ok && l.recorded[service] {
		return software.Origin{Version: version, Known: true, Source: software.OnlyVersion}
	}
	return software.Origin{Source: software.Unrecorded}
}

// observe updates the versions of all services from the replica, and returns the
// state that it used.
func (l *Ledger) observe() replica.State {
	state := l.Replica.State()
	now := clock.Now()
	lifetime := max(minLifetime, lifetimeTimeouts*state.Catalog.LongestStream())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams.SetLifetime(lifetime)
	if era := l.Store.Era(); era != l.era {
		l.era = era
		l.streams.RewriteAll()
	}
	defer func() {
		if l.streams.NeedsWrite(time.Now()) {
			l.triggerWrite()
		}
	}()
	for _, s := range state.Catalog.Services() {
		recorded, known := state.Software(s.Name)
		l.recorded[s.Name] = known
		before := l.services[s.Name]
		after := before.With(state.Upstreams.SoftwareVersions(s.Name), recorded, lifetime, now)
		l.services[s.Name] = after
		if after.Covers(before) && before.Covers(after) {
			continue
		}
		event.SoftwareVersionsChanged.Info("Service", s.Name, "Versions", after.String())
		if _, single := after.Only(); !single {
			l.streams.Record(s.Name, time.Now())
		}
	}
	return state
}

// recordVersions writes the versions of services whose record lacks something, given
// the state that they were observed in.
func (l *Ledger) recordVersions(ctx context.Context, state replica.State) {
	// What other hosts recorded must not be replaced unread.
	if !state.Listed(replica.Software) || !l.WritesVersions() {
		return
	}
	for _, s := range state.Catalog.Services() {
		l.mu.Lock()
		v := l.services[s.Name]
		l.mu.Unlock()
		recorded, known := state.Software(s.Name)
		if len(v.All()) == 0 || known && recorded.Covers(v) || clock.Now().Sub(l.versionsAt[s.Name]) < versionsInterval {
			continue
		}
		l.versionsAt[s.Name] = clock.Now()
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := l.Store.PutVersions(call, s.Name, v)
		cancel()
		if err != nil {
			event.StreamOriginsNotWritten.Error(err, "Service", s.Name)
			clock.Pause(ctx, retryDelay)
		}
	}
}

func (l *Ledger) triggerWrite() {
	select {
	case l.writeTrigger <- struct{}{}:
	default:
	}
}

// callInterval returns the least time between two writes of this host, and between
// two reads.
func (l *Ledger) callInterval() time.Duration {
	return min(time.Duration(l.Hosts())*callIntervalPerHost, maxCallInterval)
}

// write writes streams to the store until the context ends.
func (l *Ledger) write(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-l.writeTrigger:
		}
		began := clock.Now()
		err := l.writeOnce(ctx)
		l.endWrite(err)
		if err != nil && ctx.Err() == nil {
			event.StreamOriginsNotWritten.Error(err, "Service", "")
			clock.Pause(ctx, retryDelay)
			l.triggerWrite()
			continue
		}
		clock.Pause(ctx, l.callInterval()-clock.Now().Sub(began))
	}
}

// endWrite releases the streams that waited for a failed write, or notes that
// writes succeed.
func (l *Ledger) endWrite(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = err != nil
	if l.failing && l.written != nil {
		close(l.written)
		l.written = nil
	}
}

// writeOnce writes the streams that are to be written.
func (l *Ledger) writeOnce(ctx context.Context) error {
	// The records of this host from before its start are kept, so they are read
	// first.
	if err := l.read(ctx, 1); err != nil {
		return err
	}
	l.mu.Lock()
	batches, written := l.streams.Unwritten(time.Now()), l.written
	l.written = nil
	l.mu.Unlock()
	if written != nil {
		defer close(written)
	}
	if len(batches) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := l.Store.PutStreams(ctx, batches)
	if err != nil {
		l.mu.Lock()
		l.streams.Rewrite(batches)
		l.mu.Unlock()
		return err
	}
	l.Metrics.Counter("stream_origins_writes").Inc(1)
	return nil
}

// read reads new batches from the store, unless a read has started since an
// instant.
func (l *Ledger) read(ctx context.Context, since clock.Instant) error {
	l.reading.Lock()
	defer l.reading.Unlock()
	if l.readAt >= since {
		return nil
	}
	if l.readAt > 0 {
		clock.Pause(ctx, l.callInterval()-clock.Now().Sub(l.readAt))
	}
	started := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := l.Store.Streams(ctx, l.position)
	if err != nil {
		return err
	}
	l.position, l.readAt = stored.Next, started
	l.Metrics.Counter("stream_origins_reads").Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams.Merge(slices.DeleteFunc(stored.Batches, func(b software.Batch) bool { return len(b.Streams) == 0 }), time.Now())
	return nil
}
