package crash

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/quarantine"
)

const (
	// keptLosses is after how many lost engines a record is kept in the store.
	// With one less, an outage of many engines would have hosts write one for
	// each of the requests that met two of them.
	keptLosses = 3
	// storeWait is how long a read of the store waits for news: two calls a
	// minute from each host while there are none.
	storeWait = 25 * time.Second
	// storeAllowance is how much longer than its wait a call may take.
	storeAllowance = 1500 * time.Millisecond
	// storePause is the mean pause after a failed call; other hosts tell the
	// same meanwhile.
	storePause = 2 * time.Second
)

// store keeps records beyond the life of the hosts, and brings them to hosts
// that no other can reach.
type store interface {
	// Crashers returns the records from a position on and the next position,
	// waiting for the first; below 0, the newest of each request at once.
	Crashers(ctx context.Context, from int64, wait time.Duration) (records []quarantine.Record, next int64, err error)
	// KeepCrasher keeps a record in place of the one before of its request.
	KeepCrasher(ctx context.Context, r quarantine.Record) error
	// DropCrasher removes the record of a request.
	DropCrasher(ctx context.Context, f quarantine.Fingerprint) error
}

// storedRecord is what the store has of a request, and whether this host wrote
// it.
type storedRecord struct {
	losses         int
	condemned, own bool
}

// says tells whether it says what a record does.
func (s storedRecord) says(r quarantine.Record) bool {
	return s.losses >= r.Losses && (s.condemned || !r.Condemned)
}

// follow merges what the store keeps until the context ends.
func (g *Guard) follow(ctx context.Context) {
	position, lost := int64(-1), false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storeWait+storeAllowance)
		records, next, err := g.Store.Crashers(call, position, storeWait)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !lost {
				event.CrashRecordsUnreadable.Error(err)
			}
			lost = true
			clock.Pause(ctx, storePause)
			continue
		case lost:
			lost = false
			event.CrashRecordsReadable.Info("Position", next)
		}
		if position < 0 {
			g.dropExpired(records)
		}
		position = next
		g.learn(records)
		g.merge(records, "Store")
		g.clear(records)
	}
}

// learn notes what the store has.
func (g *Guard) learn(records []quarantine.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range records {
		g.stored[r.Fingerprint] = storedRecord{losses: r.Losses, condemned: r.Condemned, own: g.stored[r.Fingerprint].own}
	}
}

// clear notes answers of this host to requests of which the store has a loss
// from before.
func (g *Guard) clear(records []quarantine.Record) {
	for _, r := range records {
		if g.sound.since(r.Fingerprint, r.At) {
			g.add(quarantine.Record{ID: g.recordID(r.ID), Fingerprint: r.Fingerprint, Answered: true, At: time.Now()})
		}
	}
}

// noteOwn notes a loss that this host saw.
func (g *Guard) noteOwn(r quarantine.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Answered {
		delete(g.own, r.Fingerprint)
		return
	}
	if len(g.own) >= quarantine.Capacity {
		maps.DeleteFunc(g.own, func(_ quarantine.Fingerprint, old quarantine.Record) bool {
			return r.At.Sub(old.At) >= quarantine.Lifetime
		})
	}
	if len(g.own) < quarantine.Capacity {
		g.own[r.Fingerprint] = r
	}
}

// keepVerdicts has the store keep what is to be kept by losses of several
// hosts, none of which had reason to by its own. Only hosts that saw one of
// the losses do, so that not all write.
func (g *Guard) keepVerdicts(heard []quarantine.Record, now time.Time) {
	for _, r := range heard {
		g.mu.Lock()
		own, saw := g.own[r.Fingerprint]
		has := g.stored[r.Fingerprint]
		if pending, writing := g.unkept[r.Fingerprint]; writing {
			has = storedRecord{losses: pending.Losses, condemned: pending.Condemned}
		}
		g.mu.Unlock()
		if r.Answered || !saw {
			continue
		}
		j := g.judge(r.Fingerprint, now)
		own.Losses, own.Condemned = j.Losses, j.Verdict == quarantine.Condemned
		if g.keeps(own) && !has.says(own) {
			g.keep(own)
		}
	}
}

// dropAnswered removes from the store what this host has written, or is about
// to write, of requests that others have answered since.
func (g *Guard) dropAnswered(records []quarantine.Record) {
	for _, r := range records {
		g.mu.Lock()
		_, writing := g.unkept[r.Fingerprint]
		drops := r.Answered && (writing || g.stored[r.Fingerprint].own)
		g.mu.Unlock()
		if drops {
			g.keep(r)
		}
	}
}

// keeps tells whether a record of this host belongs in the store, or changes
// what it has.
func (g *Guard) keeps(r quarantine.Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, writing := g.unkept[r.Fingerprint]
	_, stored := g.stored[r.Fingerprint]
	if r.Answered {
		return writing || stored
	}
	return r.Losses >= keptLosses || r.Condemned
}

// dropExpired has records removed that no longer count. Each host that starts
// does its share.
func (g *Guard) dropExpired(records []quarantine.Record) {
	now := time.Now()
	for _, r := range records {
		if now.Sub(r.At) >= quarantine.Lifetime && rand.IntN(1+len(g.Peers())) == 0 {
			r.Answered = true
			g.keep(r)
		}
	}
}

// keep has a record written to the store; that of an answer removes what the
// store has of its request.
func (g *Guard) keep(r quarantine.Record) {
	if g.Store == nil {
		return
	}
	g.mu.Lock()
	g.unkept[r.Fingerprint] = r
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// write writes records to the store until the context ends.
func (g *Guard) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for r, ok := g.nextUnkept(); ok && ctx.Err() == nil; r, ok = g.nextUnkept() {
			call, cancel := context.WithTimeout(ctx, storeAllowance)
			err := g.writeOne(call, r)
			cancel()
			if err == nil {
				event.CrashRecordPersisted.Info("Fingerprint", r.Fingerprint, "Losses", r.Losses, "Removed", r.Answered)
				g.kept(r)
				continue
			}
			event.CrashRecordNotPersisted.Error(err, "Fingerprint", r.Fingerprint)
			clock.Pause(ctx, storePause)
		}
	}
}

func (g *Guard) writeOne(ctx context.Context, r quarantine.Record) error {
	if r.Answered {
		return g.Store.DropCrasher(ctx, r.Fingerprint)
	}
	return g.Store.KeepCrasher(ctx, r)
}

// nextUnkept returns a record that is to be written.
func (g *Guard) nextUnkept() (quarantine.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for f, r := range g.unkept {
		if time.Since(r.At) >= quarantine.Lifetime && !r.Answered {
			delete(g.unkept, f)
			continue
		}
		return r, true
	}
	return quarantine.Record{}, false
}

// kept notes that a record was written, unless there is a newer one.
func (g *Guard) kept(r quarantine.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unkept[r.Fingerprint] == r {
		delete(g.unkept, r.Fingerprint)
	}
	if r.Answered {
		delete(g.stored, r.Fingerprint)
		return
	}
	g.stored[r.Fingerprint] = storedRecord{losses: r.Losses, condemned: r.Condemned, own: true}
}
