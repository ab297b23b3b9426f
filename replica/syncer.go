package replica

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// burstPause lets records that are written together arrive in one read.
	burstPause = 120 * time.Millisecond
	// entryPause does the same for entries of upstreams, which may become known
	// a little later.
	entryPause = 400 * time.Millisecond
	// softwarePause is the same for records of software versions, which change
	// only when upstreams are replaced.
	softwarePause = 100 * time.Millisecond
	// retryPause is the mean pause after a failed read of the store.
	retryPause = 700 * time.Millisecond
	// readGrace is how much longer than its wait a read may take. A connection may be
	// silent, and what a read brings is due within two seconds.
	readGrace = time.Second
	// listTimeout limits listing all records of a topic.
	listTimeout = 1500 * time.Millisecond
	// pullInterval is the mean time between two pulls from other hosts; updates
	// must pass through several hosts within two seconds.
	pullInterval = 300 * time.Millisecond
	// pullTimeout limits one pull.
	pullTimeout = 600 * time.Millisecond
	// tickInterval is the time between two checks of the clock. If the time
	// between two ticks exceeds pauseThreshold, the process was not running.
	tickInterval   = 100 * time.Millisecond
	pauseThreshold = 700 * time.Millisecond
	// returnGrace is how long upstreams take to write their entries again after
	// an outage of the store.
	returnGrace = 2 * time.Second
	// initialDelay is how long the first records that a host reads after its
	// start are assumed to have been in the store.
	initialDelay = 4500 * time.Millisecond
	// settleTime is the part of the time that replaced weights may answer which is
	// left at the start of a host that learns from nobody when they were replaced. It
	// is over when operators consider the host settled, 3 to 5 s after its start.
	settleTime = 1500 * time.Millisecond
	// peerDelay is how long another host may have known the records that it
	// sends.
	peerDelay = time.Second
	// maxFreshStaleness is the staleness up to which a request may be refused for
	// something that the state does not contain.
	maxFreshStaleness = 3 * time.Second
	// maxPeerStaleness is the staleness from which on a host that relies on
	// others reads the store itself.
	maxPeerStaleness = 2 * time.Second
	// relistInterval is the least time between two lists of a topic that are made
	// because the replica differs from another host's.
	relistInterval = 5 * time.Second
)

// readPauses are the pauses after a read of a topic returned records.
var readPauses = [topicCount]time.Duration{Operator: burstPause, Upstreams: entryPause, Software: softwarePause}

// readWaits are how long a read of each topic waits for records.
var readWaits = [topicCount]time.Duration{Operator: 800 * time.Millisecond, Upstreams: 800 * time.Millisecond, Software: 3 * time.Second}

// ErrTrimmed means that the store no longer has the records after a position.
var ErrTrimmed = errors.New("records were trimmed")

// ErrRestored means that the store came back from an older copy since the position
// was read.
var ErrRestored = errors.New("the store came back from an older copy")

// errInterrupted means that this host cancelled a read to start it again.
var errInterrupted = errors.New("the read was interrupted")

// store is the platform's store.
type store interface {
	// Read returns the records from a position on and waits for the first.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Delta, error)
	// Newest returns the latest record of each key.
	Newest(ctx context.Context, t Topic) (Delta, error)
}

// Reply is the answer of another host to a pull.
type Reply struct {
	Deltas []Delta
	// Age is the staleness of the host's operators' records, EntriesAge that of its
	// upstreams' entries; negative if they were never confirmed to be complete.
	Age, EntriesAge time.Duration
	// Digests are those of the host by topic. Programs that send none may leave
	// removals out of their deltas.
	Digests []Digest `json:",omitempty"`
	// Bounds tell when versions of target weights were not replaced yet, by model.
	Bounds map[string][]Bound `json:",omitempty"`
}

// peers are the other hosts.
type peers interface {
	// Pull requests the records after the positions from one of them.
	Pull(ctx context.Context, positions []int64) (Reply, error)
}

// Options configures a Syncer.
type Options struct {
	Store  store
	Peers  peers
	Decode Decoder
	// ReadsStore reports whether this host reads the store for others. Other
	// hosts read it only while they receive no recent state from such hosts.
	ReadsStore func() bool
	// Connected reports whether this host hears most of the others; nil means that it
	// does. Hosts returns the number of hosts that read the store; nil means few.
	Connected func() bool
	Hosts     func() int
	// OldWeightsGrace is how long replaced weights may answer.
	OldWeightsGrace time.Duration
}

// Syncer keeps a State up to date from the store and from other hosts.
type Syncer struct {
	Options

	state atomic.Pointer[State]
	// confirmedAt is when the records of each topic were last known to be complete,
	// peersConfirmedAt when other hosts last confirmed that.
	confirmedAt, peersConfirmedAt [topicCount]atomic.Int64
	// completeAt is the same for the operators' topic, but is not reset by a pause
	// of the process; storeFailed means that a read of that topic has failed since.
	completeAt  atomic.Int64
	storeFailed atomic.Bool
	// resumedAt is when a pause of the process was last noticed.
	resumedAt atomic.Int64
	// relist holds the topics that are to be listed anew.
	relist [topicCount]atomic.Bool
	// deferUntil is until when removals are deferred.
	deferUntil atomic.Int64
	catchUp    catchUp
	// mu guards changes of state and the fields below.
	mu sync.Mutex
	// changed is closed at the next change; cancelReads ends reads in progress.
	changed     chan struct{}
	cancelReads context.CancelFunc
	readCtx     context.Context
	// relistedAt is when a list of each topic was last due because the replica
	// differed from another host's. Only pull uses it.
	relistedAt [topicCount]clock.Instant
}

// NewSyncer returns a Syncer that follows the store and the other hosts until the
// context ends.
func NewSyncer(ctx context.Context, wait *conc.WaitGroup, o Options) *Syncer {
	s := &Syncer{Options: o, changed: make(chan struct{}), catchUp: catchUp{trigger: make(chan struct{}, 1)}}
	s.state.Store(&State{})
	s.readCtx, s.cancelReads = context.WithCancel(ctx)
	wait.Go(func() { s.follow(ctx, Operator) })
	wait.Go(func() { s.follow(ctx, Upstreams) })
	wait.Go(func() { s.follow(ctx, Software) })
	wait.Go(func() { s.pull(ctx) })
	wait.Go(func() { s.monitor(ctx) })
	wait.Go(func() { s.check(ctx) })
	return s
}

// State returns the current state.
func (s *Syncer) State() State { return *s.state.Load() }

// Changed returns a channel that is closed at the next change.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// neverComplete is the staleness of a state that was not known to be complete
// since the process started or was suspended.
const neverComplete = -time.Millisecond

// Staleness returns the time since the operators' records were last known to be
// complete, and a negative value if they never were.
func (s *Syncer) Staleness() time.Duration { return s.staleness(Operator) }

// staleness returns the same for the records of any topic.
func (s *Syncer) staleness(t Topic) time.Duration {
	at := clock.Instant(s.confirmedAt[t].Load())
	if at == 0 {
		return neverComplete
	}
	return clock.Now().Sub(at)
}

// Fresh reports whether the state is recent enough to refuse requests for what
// it does not contain.
func (s *Syncer) Fresh() bool {
	staleness := s.Staleness()
	return staleness >= 0 && staleness < maxFreshStaleness
}

// Ready reports whether a configuration and upstreams are known.
func (s *Syncer) Ready() bool {
	state := s.State()
	return state.Catalog.Version > 0 && state.Upstreams.Len() > 0
}

// Answer returns the records that another host at the positions lacks.
func (s *Syncer) Answer(positions []int64) Reply {
	r := Reply{Age: s.staleness(Operator), EntriesAge: s.staleness(Upstreams)}
	state := s.State()
	r.Bounds = state.Bounds(clock.Now())
	for t := range topicCount {
		r.Digests = append(r.Digests, state.Digest(t))
	}
	for t, from := range positions {
		if t < int(topicCount) && state.Position(Topic(t)) > from {
			r.Deltas = append(r.Deltas, state.Since(Topic(t), from))
		}
	}
	return r
}

// merge merges a delta that may have been in the store for the given delay.
func (s *Syncer) merge(d Delta, source string, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock.Now()
	before := *s.state.Load()
	weightsDelay := s.sinceComplete(now)
	observed := weightsDelay > 0
	if before.Position(d.Topic) == 0 {
		delay = max(delay, initialDelay)
		weightsDelay, observed = max(weightsDelay, s.OldWeightsGrace-settleTime), false
	}
	at := Times{FirstKnown: now.Add(-delay), WeightsKnown: now.Add(-max(delay, weightsDelay)), WeightsObserved: observed, DeferUntil: clock.Instant(s.deferUntil.Load()), Now: now}
	next, changes := before.Merge(d, s.Decode, at)
	s.state.Store(&next)
	for _, c := range changes {
		logChange(c, source, next)
	}
	if len(changes) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// learnBounds applies what another host told of target weights at an instant.
func (s *Syncer) learnBounds(told map[string][]Bound, at clock.Instant) {
	if len(told) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state.Load().WithBounds(told, at)
	s.state.Store(&next)
}

// sinceComplete returns how long records may have been in the store without
// this host knowing. While the store does not answer this host, it assumes that
// no records are added, unless it has stood still since: the store may have answered
// others meanwhile.
func (s *Syncer) sinceComplete(now clock.Instant) time.Duration {
	completeAt := clock.Instant(s.completeAt.Load())
	stoodStill := completeAt < clock.Instant(s.resumedAt.Load())
	if completeAt == 0 || s.storeFailed.Load() && !stoodStill {
		return 0
	}
	return now.Sub(completeAt)
}

// confirm records that the records of a topic were complete at an instant. If the
// operators' records were stale until now, the store was unavailable to all hosts
// from which this one receives updates, so removals are deferred for returnGrace.
func (s *Syncer) confirm(t Topic, at clock.Instant) {
	if t != Operator {
		advance(&s.confirmedAt[t], at)
		return
	}
	if s.Staleness() > maxFreshStaleness {
		s.deferUntil.Store(int64(clock.Now().Add(returnGrace)))
	}
	confirmed, completed := advance(&s.confirmedAt[t], at), advance(&s.completeAt, at)
	if confirmed || completed {
		s.storeFailed.Store(false)
	}
}

// advance raises an instant to a later one, and reports whether it did.
func advance(latest *atomic.Int64, at clock.Instant) bool {
	for known := latest.Load(); int64(at) > known; known = latest.Load() {
		if latest.CompareAndSwap(known, int64(at)) {
			return true
		}
	}
	return false
}

// follow reads a topic until the context ends.
func (s *Syncer) follow(ctx context.Context, t Topic) {
	listed, failed := false, false
	for ctx.Err() == nil {
		if s.relist[t].Swap(false) {
			listed = false
		}
		if listed && s.hasRecentPeers(t) && !s.ReadsStore() {
			clock.Pause(ctx, tickInterval)
			continue
		}
		requested := clock.Now()
		d, delay, err := s.read(t, listed)
		switch {
		case errors.Is(err, ErrRestored), errors.Is(err, ErrTrimmed):
			s.listAnew(t, err)
		case err != nil && ctx.Err() == nil:
			waited := clock.Now().Sub(requested)
			s.handleFailure(t, err, failed, waited)
			// After a silent connection, a new one may work at once.
			if failed || waited < readGrace {
				clock.Pause(ctx, time.Duration((0.5+rand.Float64())*float64(retryPause)))
			}
			failed = true
		case err == nil:
			s.applyRead(t, d, requested, delay, failed)
			listed, failed = true, false
			if len(d.Records) > 0 {
				clock.Pause(ctx, readPauses[t])
			}
		}
	}
}

// listAnew has a topic listed whose records after the position the store no longer has.
func (s *Syncer) listAnew(t Topic, err error) {
	if errors.Is(err, ErrRestored) {
		// Upstreams whose entries were lost write them again.
		s.deferUntil.Store(int64(clock.Now().Add(returnGrace)))
	}
	event.HistoryTrimmed.Info("Topic", t, "Position", s.State().Position(t))
	s.relist[t].Store(true)
}

// handleFailure handles a failed read and logs it unless the previous read failed,
// too.
func (s *Syncer) handleFailure(t Topic, err error, failedBefore bool, waited time.Duration) {
	if !failedBefore {
		event.StoreUnreachable.Error(err, "Topic", t, "WaitedMillis", waited.Milliseconds())
	}
	if waited > readWaits[t]+readGrace+2*tickInterval {
		advance(&s.resumedAt, clock.Now())
	}
	if t == Operator && !errors.Is(err, errInterrupted) {
		s.storeFailed.Store(true)
	}
}

// applyRead applies the result of a read; failedBefore means that the previous
// read failed.
func (s *Syncer) applyRead(t Topic, d Delta, requested clock.Instant, delay time.Duration, failedBefore bool) {
	if failedBefore {
		outage := !s.Fresh()
		if outage {
			s.deferUntil.Store(int64(clock.Now().Add(returnGrace)))
		}
		event.StoreReachable.Info("Topic", t, "Position", d.Position, "AwayForAll", outage)
	}
	s.merge(d, "Store", delay)
	s.confirm(t, completedAt(t, requested, clock.Now()))
}

// completedAt returns the latest instant at which the result of a read was
// certainly complete. If the process was suspended, the result may have waited
// unread, so the time of the request counts.
func completedAt(t Topic, requested, now clock.Instant) clock.Instant {
	if now.Sub(requested) > readWaits[t]+pauseThreshold {
		return requested
	}
	return now
}

// read reads the store once: all records if the topic was not listed yet,
// otherwise those after the known position. It also returns how long the records
// may have been in the store unread.
func (s *Syncer) read(t Topic, listed bool) (Delta, time.Duration, error) {
	s.mu.Lock()
	readCtx := s.readCtx
	s.mu.Unlock()
	position := s.State().Position(t)
	if !listed {
		ctx, cancel := context.WithTimeout(readCtx, listTimeout)
		defer cancel()
		d, err := s.Store.Newest(ctx, t)
		return d, readPauses[t], markInterrupted(readCtx, err)
	}
	ctx, cancel := context.WithTimeout(readCtx, readWaits[t]+readGrace)
	defer cancel()
	d, err := s.Store.Read(ctx, t, position, readWaits[t])
	return d, readPauses[t], markInterrupted(readCtx, err)
}

// markInterrupted adds errInterrupted to the error of a read that this host
// cancelled.
func markInterrupted(readCtx context.Context, err error) error {
	if err != nil && readCtx.Err() != nil {
		return errors.Join(errInterrupted, err)
	}
	return err
}

// monitor detects pauses of the process and applies deferred removals that are
// due.
func (s *Syncer) monitor(ctx context.Context) {
	last := clock.Now()
	for ctx.Err() == nil {
		clock.Pause(ctx, tickInterval)
		now := clock.Now()
		if paused := now.Sub(last); paused > pauseThreshold {
			event.ProcessPaused.Info("Millis", paused.Milliseconds())
			advance(&s.resumedAt, now)
			for t := range s.confirmedAt {
				s.confirmedAt[t].Store(0)
				s.peersConfirmedAt[t].Store(0)
			}
			s.restartReads(ctx)
		}
		last = now
		s.applyDeferred(now)
	}
}

// restartReads cancels the reads in progress, which then start again.
func (s *Syncer) restartReads(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelReads()
	s.readCtx, s.cancelReads = context.WithCancel(ctx)
}

func (s *Syncer) applyDeferred(now clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next, removed := s.state.Load().ApplyDeferred(now)
	if len(removed) == 0 {
		return
	}
	s.state.Store(&next)
	for _, id := range removed {
		event.UpstreamRemoved.Info("Upstream", id, "Source", "NotBack")
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// logChange logs one change.
func logChange(c Change, source string, state State) {
	switch {
	case c.Rejected:
		event.RecordRejected.Error(c.Err, "Topic", c.Topic, "Key", c.Key, "Offset", c.Offset, "Source", source)
	case c.Removed && c.Topic == Upstreams:
		event.UpstreamRemoved.Info("Upstream", c.Key, "Offset", c.Offset, "Source", source, "Deferred", c.Deferred)
	case c.Decoded.Catalog != nil:
		event.CatalogChanged.Info("Version", c.Decoded.Catalog.Version, "InForce", state.Catalog.Version, "Isolated", len(c.Decoded.Catalog.Isolated()), "Offset", c.Offset, "Source", source)
	case c.Decoded.Weights != nil:
		w := c.Decoded.Weights
		history, _ := state.WeightsHistory(w.Model)
		event.TargetWeightsChanged.Info("Model", w.Model, "Number", w.Version, "AgeMillis", clock.Now().Sub(history.Since).Milliseconds(), "Offset", c.Offset, "Source", source)
	case c.Decoded.Groups != nil:
		g := c.Decoded.Groups
		newest := g.Groups.Newest()
		event.GroupsRecorded.Info("Model", g.Model, "From", newest.From, "Excluded", len(newest.Group.Excluded()), "Offset", c.Offset, "Source", source)
	case c.Decoded.Entry != nil:
		e := c.Decoded.Entry
		event.UpstreamChanged.Info("Upstream", e.ID, "Service", e.Service, "Address", e.Address, "Leaving", e.Leaving, "Beat", e.Heartbeat, "Offset", c.Offset, "Source", source)
	}
}
