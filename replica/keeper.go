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
	// burstPause lets records that come together arrive in one read.
	burstPause = 120 * time.Millisecond
	// entryPause does that for entries of upstreams, which may be known a
	// little later.
	entryPause = 400 * time.Millisecond
	// retryPause is the mean pause after a failed read of the store.
	retryPause = 700 * time.Millisecond
	// readAllowance is how much longer than its wait a read may take.
	readAllowance = 1500 * time.Millisecond
	// pullInterval is the mean time between two exchanges with other hosts;
	// news must cross several hosts within two seconds.
	pullInterval = 300 * time.Millisecond
	// pullTimeout bounds one exchange.
	pullTimeout = 600 * time.Millisecond
	// tick is the time between two looks at the clock, gap the time between
	// two ticks from which the process was not running.
	tick = 100 * time.Millisecond
	gap  = 700 * time.Millisecond
	// returnAllowance is how long upstreams take to come back to a store that
	// was away.
	returnAllowance = 2 * time.Second
	// unseen is how long what a host learns first after its start counts as
	// known: long enough that weights replaced before are out of use when
	// operators count the host as settled, 3 to 4 s after its start.
	unseen = 4500 * time.Millisecond
	// passedOn is how long news from another host may have been known there.
	passedOn = time.Second
	// freshFor is how long knowledge is good enough to refuse a caller.
	freshFor = 3 * time.Second
	// askedFor is how old what other hosts tell may be until a host reads the
	// store itself.
	askedFor = 2 * time.Second
)

// pauses are how long a topic is left alone after news.
var pauses = [topics]time.Duration{Operator: burstPause, Upstreams: entryPause}

// waits are how long a read of each topic waits for news.
var waits = [topics]time.Duration{Operator: 800 * time.Millisecond, Upstreams: 6 * time.Second}

// ErrTrimmed means that records after a position are no longer kept.
var ErrTrimmed = errors.New("records were trimmed")

// errInterrupted means that this side ended a read, to begin anew.
var errInterrupted = errors.New("the read was interrupted")

// store is the platform's store.
type store interface {
	// Read returns the records from a position on, waiting for the first.
	Read(ctx context.Context, t Topic, from int64, wait time.Duration) (Delta, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, t Topic) (Delta, error)
}

// Reply is what another host knows.
type Reply struct {
	Deltas []Delta
	// Age is how long ago the host's knowledge was confirmed by the store;
	// below 0 if it never was.
	Age time.Duration
}

// peers are the other hosts.
type peers interface {
	// Pull asks one of them for what it knows beyond the positions.
	Pull(ctx context.Context, positions []int64) (Reply, error)
}

// Options is what a keeper needs.
type Options struct {
	Store  store
	Peers  peers
	Decode Decoder
	// Reads tells whether this host reads the store for others. One that does
	// not reads it only while it hears nothing recent from those that do.
	Reads func() bool
}

// Keeper keeps a book up to date.
type Keeper struct {
	Options

	book atomic.Pointer[Book]
	// confirmed is when the book was last known to be complete.
	confirmed atomic.Int64
	// complete is the same, but outlasts a pause of the process; away tells
	// that a read of the operators' topic has failed since.
	complete atomic.Int64
	away     atomic.Bool
	// returned is until when removals are deferred.
	returned atomic.Int64
	// mu guards changes of book, and interrupt.
	mu sync.Mutex
	// changed closes with the next change; interrupt ends reads in progress.
	changed   chan struct{}
	interrupt context.CancelFunc
	reading   context.Context
}

// NewKeeper follows the store and the other hosts until the context ends.
func NewKeeper(ctx context.Context, wait *conc.WaitGroup, o Options) *Keeper {
	k := &Keeper{Options: o, changed: make(chan struct{})}
	k.book.Store(&Book{})
	k.reading, k.interrupt = context.WithCancel(ctx)
	wait.Go(func() { k.follow(ctx, Operator) })
	wait.Go(func() { k.follow(ctx, Upstreams) })
	wait.Go(func() { k.pull(ctx) })
	wait.Go(func() { k.watch(ctx) })
	return k
}

// Book returns what is known now.
func (k *Keeper) Book() Book { return *k.book.Load() }

// Changed returns a channel that closes with the next change.
func (k *Keeper) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.changed
}

// never is the age of a book that was not known to be complete since the
// process started or stood still.
const never = -time.Millisecond

// Age returns how long ago the book was known to be complete; below 0 if it
// never was.
func (k *Keeper) Age() time.Duration {
	at := clock.Instant(k.confirmed.Load())
	if at == 0 {
		return never
	}
	return clock.Now().Sub(at)
}

// Fresh tells whether the book is recent enough to refuse what it does not
// hold.
func (k *Keeper) Fresh() bool {
	age := k.Age()
	return age >= 0 && age < freshFor
}

// Ready tells whether a configuration and the upstreams are known.
func (k *Keeper) Ready() bool {
	b := k.Book()
	return b.Catalog.Version > 0 && b.Roster.Len() > 0
}

// Answer returns what another host lacks.
func (k *Keeper) Answer(positions []int64) Reply {
	r := Reply{Age: k.Age()}
	b := k.Book()
	for t, from := range positions {
		if t < int(topics) && b.Position(Topic(t)) > from {
			r.Deltas = append(r.Deltas, b.Since(Topic(t), from))
		}
	}
	return r
}

// merge takes over news that may have been in the store for a while.
func (k *Keeper) merge(d Delta, source string, hidden time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := clock.Now()
	before := *k.book.Load()
	if before.Position(d.Topic) == 0 {
		hidden = max(hidden, unseen)
	}
	at := Times{Known: now.Add(-hidden), Named: now.Add(-max(hidden, k.unheard(now))), Return: clock.Instant(k.returned.Load())}
	next, changes := before.With(d, k.Decode, at)
	k.book.Store(&next)
	for _, c := range changes {
		logChange(c, source, next)
	}
	if len(changes) > 0 {
		close(k.changed)
		k.changed = make(chan struct{})
	}
}

// unheard returns how long news may have been in the store without a word of
// it. While the store does not answer this host, nobody is taken to have put
// news into it.
func (k *Keeper) unheard(now clock.Instant) time.Duration {
	complete := clock.Instant(k.complete.Load())
	if complete == 0 || k.away.Load() {
		return 0
	}
	return now.Sub(complete)
}

// confirm notes that the book was complete at an instant. If that was not
// known for long, the store was away for all hosts that this one hears of.
func (k *Keeper) confirm(at clock.Instant) {
	if age := k.Age(); age > freshFor {
		k.returned.Store(int64(clock.Now().Add(returnAllowance)))
	}
	for _, latest := range []*atomic.Int64{&k.confirmed, &k.complete} {
		for known := latest.Load(); int64(at) > known; known = latest.Load() {
			if latest.CompareAndSwap(known, int64(at)) {
				k.away.Store(false)
				break
			}
		}
	}
}

// follow reads a topic until the context ends.
func (k *Keeper) follow(ctx context.Context, t Topic) {
	listed, lost := false, false
	for ctx.Err() == nil {
		if age := k.Age(); listed && age >= 0 && age < askedFor && !k.Reads() {
			clock.Pause(ctx, tick)
			continue
		}
		asked := clock.Now()
		d, hidden, err := k.read(t, listed)
		switch {
		case errors.Is(err, ErrTrimmed):
			event.HistoryTrimmed.Info("Topic", t, "Position", k.Book().Position(t))
			listed = false
		case err != nil && ctx.Err() == nil:
			k.noteFailure(t, err, lost)
			lost = true
			clock.Pause(ctx, time.Duration((0.5+rand.Float64())*float64(retryPause)))
		case err == nil:
			k.take(t, d, asked, hidden, lost)
			listed, lost = true, false
			if len(d.Records) > 0 {
				clock.Pause(ctx, pauses[t])
			}
		}
	}
}

// noteFailure notes a failed read, the first in a row if the topic was not
// lost.
func (k *Keeper) noteFailure(t Topic, err error, lost bool) {
	if !lost {
		event.StoreLost.Error(err, "Topic", t)
	}
	if t == Operator && !errors.Is(err, errInterrupted) {
		k.away.Store(true)
	}
}

// take takes over what a read brought, after failures if the topic was lost.
func (k *Keeper) take(t Topic, d Delta, asked clock.Instant, hidden time.Duration, lost bool) {
	if lost {
		away := !k.Fresh()
		if away {
			k.returned.Store(int64(clock.Now().Add(returnAllowance)))
		}
		event.StoreBack.Info("Topic", t, "Position", d.Position, "AwayForAll", away)
	}
	k.merge(d, "Store", hidden)
	if t == Operator {
		k.confirm(answered(t, asked, clock.Now()))
	}
}

// answered returns when a read was surely complete. Where the process stood
// still, its answer may have waited.
func answered(t Topic, asked, now clock.Instant) clock.Instant {
	if now.Sub(asked) > waits[t]+gap {
		return asked
	}
	return now
}

// read asks the store once, and tells how long the answer may have been there
// unread.
func (k *Keeper) read(t Topic, listed bool) (Delta, time.Duration, error) {
	k.mu.Lock()
	reading := k.reading
	k.mu.Unlock()
	position := k.Book().Position(t)
	if !listed {
		ctx, cancel := context.WithTimeout(reading, readAllowance)
		defer cancel()
		d, err := k.Store.Newest(ctx, t)
		return d, pauses[t], interrupted(reading, err)
	}
	ctx, cancel := context.WithTimeout(reading, waits[t]+readAllowance)
	defer cancel()
	d, err := k.Store.Read(ctx, t, position, waits[t])
	return d, pauses[t], interrupted(reading, err)
}

// interrupted returns the error of a read, or that this side ended it.
func interrupted(reading context.Context, err error) error {
	if err != nil && reading.Err() != nil {
		return errors.Join(errInterrupted, err)
	}
	return err
}

// pull asks other hosts until the context ends.
func (k *Keeper) pull(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, time.Duration((0.5+rand.Float64())*float64(pullInterval)))
		k.pullOnce(ctx)
	}
}

func (k *Keeper) pullOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := clock.Now()
	b := k.Book()
	r, err := k.Peers.Pull(ctx, []int64{b.Position(Operator), b.Position(Upstreams)})
	if err != nil {
		// The peers' own beliefs tell when a host is lost.
		return
	}
	for _, d := range r.Deltas {
		k.merge(d, "Peer", passedOn)
	}
	if r.Age >= 0 {
		k.confirm(asked.Add(-r.Age))
	}
}

// watch notices that the process did not run for a while, and settles
// deferred removals.
func (k *Keeper) watch(ctx context.Context) {
	last := clock.Now()
	for ctx.Err() == nil {
		clock.Pause(ctx, tick)
		now := clock.Now()
		if paused := now.Sub(last); paused > gap {
			event.ProcessPaused.Info("Millis", paused.Milliseconds())
			k.confirmed.Store(0)
			k.restartReads(ctx)
		}
		last = now
		k.settle(now)
	}
}

// restartReads ends the reads in progress; they are asked anew.
func (k *Keeper) restartReads(ctx context.Context) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.interrupt()
	k.reading, k.interrupt = context.WithCancel(ctx)
}

func (k *Keeper) settle(now clock.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	next, gone := k.book.Load().Settled(now)
	if len(gone) == 0 {
		return
	}
	k.book.Store(&next)
	for _, id := range gone {
		event.UpstreamGone.Info("Upstream", id, "Source", "NotBack")
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// logChange writes one line for a change of belief.
func logChange(c Change, source string, b Book) {
	switch {
	case c.Rejected:
		event.RecordRejected.Error(c.Err, "Topic", c.Topic, "Key", c.Key, "Offset", c.Offset, "Source", source)
	case c.Removed && c.Topic == Upstreams:
		event.UpstreamGone.Info("Upstream", c.Key, "Offset", c.Offset, "Source", source, "Deferred", c.Deferred)
	case c.News.Catalog != nil:
		event.CatalogChanged.Info("Version", c.News.Catalog.Version, "InForce", b.Catalog.Version, "Offset", c.Offset, "Source", source)
	case c.News.Weights != nil:
		w := c.News.Weights
		named, _ := b.Weights(w.Model)
		event.WeightsNamed.Info("Model", w.Model, "Number", w.Number, "AgeMillis", clock.Now().Sub(named.Since).Milliseconds(), "Offset", c.Offset, "Source", source)
	case c.News.Entry != nil:
		e := c.News.Entry
		event.UpstreamChanged.Info("Upstream", e.ID, "Service", e.Service, "Address", e.Address, "Leaving", e.Leaving, "Beat", e.Beat, "Offset", c.Offset, "Source", source)
	}
}
