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
	// minPersistedLosses is the number of lost engines from which a record is
	// persisted. With one less, hosts would write a record for each request
	// that ran on two of the lost engines in a large outage.
	minPersistedLosses = 3
	// maxLoadTime bounds the time for which a host that has just started waits for
	// the stored verdicts before it admits requests.
	maxLoadTime = time.Second
	// storePollTimeout is how long a read of the store waits for new records:
	// two calls a minute from each host while there are none.
	storePollTimeout = 25 * time.Second
	// storeCallMargin is how much longer than its wait a call may take.
	storeCallMargin = 1500 * time.Millisecond
	// storeRetryDelay is the mean delay after a failed call; until then the
	// other hosts share the same records.
	storeRetryDelay = 2 * time.Second
)

// store persists records across restarts of the hosts, and delivers them to
// hosts that the others can't reach.
type store interface {
	// Crashers waits for records from a position on. From a position below 0, or
	// one that the store no longer has, it returns the newest record of each
	// request without waiting.
	Crashers(ctx context.Context, from int64, wait time.Duration) (StoredRecords, error)
	// PersistCrasher writes a record, replacing the previous one of its request.
	PersistCrasher(ctx context.Context, r quarantine.Record) error
	// RemoveCrasher removes the record of a request.
	RemoveCrasher(ctx context.Context, f quarantine.Fingerprint) error
}

// StoredRecords is what a read of the store returns.
type StoredRecords struct {
	Records []quarantine.Record
	// Next is the position of the next read.
	Next int64
	// Complete means that a request without a record has none in the store.
	Complete bool
}

// pendingWrite is a record to write to the store, and since when.
type pendingWrite struct {
	record quarantine.Record
	since  time.Time
}

// storedRecord summarizes the stored record of a request.
type storedRecord struct {
	losses                   int
	account                  string
	quarantined, writtenHere bool
}

// covers reports whether writing a record would add nothing to the stored one.
func (s storedRecord) covers(r quarantine.Record) bool {
	return s.losses >= r.Losses && (s.quarantined || !r.Quarantined) && (s.account == "" || s.account == r.Account)
}

// followStore merges records from the store until the context ends. It calls
// endLoad after the first read.
func (g *Guard) followStore(ctx context.Context, endLoad func()) {
	position, failing := int64(-1), false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, storePollTimeout+storeCallMargin)
		read, err := g.Store.Crashers(call, position, storePollTimeout)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !failing {
				event.CrashRecordsUnreadable.Error(err)
			}
			failing = true
			endLoad()
			clock.Pause(ctx, storeRetryDelay)
			continue
		case failing:
			failing = false
			event.CrashRecordsReadable.Info("Position", read.Next)
		}
		if position < 0 {
			g.removeExpired(read.Records)
		} else if read.Complete {
			g.restoreStored(read.Records)
		}
		position = read.Next
		g.updateStored(read.Records)
		g.merge(read.Records, storeSource)
		g.clear(read.Records)
		endLoad()
	}
}

// restoreStored writes again what the store has lost: verdicts that still hold, and
// the removal of records that were answered since. The host that wrote a record
// does so, and the host that owns it, since the writer may be gone.
func (g *Guard) restoreStored(records []quarantine.Record) {
	now := time.Now()
	listed := map[quarantine.Fingerprint]bool{}
	for _, r := range records {
		listed[r.Fingerprint] = true
		if answer, ok := g.answerSince(r); ok && g.owns(r.Fingerprint) {
			g.persist(answer)
		}
	}
	g.mu.Lock()
	g.restores++
	var lost []quarantine.Record
	for f, s := range g.stored {
		if listed[f] {
			continue
		}
		delete(g.stored, f)
		if r, ok := g.table.LastLoss(f, now); ok && (s.writtenHere || g.owns(f)) {
			lost = append(lost, r)
		}
	}
	g.mu.Unlock()
	for _, r := range lost {
		if r = g.withVerdict(r, now); g.shouldPersist(r) {
			g.persist(r)
		}
	}
}

// answerSince returns the known answer to a request or part after a stored loss.
func (g *Guard) answerSince(r quarantine.Record) (quarantine.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.table.AnsweredAt(r.Fingerprint)
	return quarantine.Record{Fingerprint: r.Fingerprint, Answered: true, At: at}, ok && at.After(r.At)
}

// updateStored updates the summaries of stored records.
func (g *Guard) updateStored(records []quarantine.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range records {
		g.stored[r.Fingerprint] = storedRecord{losses: r.Losses, account: r.Account, quarantined: r.Quarantined, writtenHere: g.stored[r.Fingerprint].writtenHere}
	}
}

// clear adds an answer for each request or part that this host has answered
// since a loss that another host recorded.
func (g *Guard) clear(records []quarantine.Record) {
	for _, r := range records {
		if !r.Answered && g.knownGood(r.Fingerprint).answeredAfter(r.Fingerprint, r.At) {
			g.endSuspicion(r.ID, r.Fingerprint, time.Now())
		}
	}
}

// updateOwnLosses records a loss of this host; an answer removes it.
func (g *Guard) updateOwnLosses(r quarantine.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Answered {
		delete(g.ownLosses, r.Fingerprint)
		return
	}
	if len(g.ownLosses) >= quarantine.Capacity {
		maps.DeleteFunc(g.ownLosses, func(_ quarantine.Fingerprint, old quarantine.Record) bool {
			return old.Expired(r.At)
		})
	}
	if len(g.ownLosses) < quarantine.Capacity {
		g.ownLosses[r.Fingerprint] = r
	}
}

// persistVerdicts persists the records of requests whose losses on several
// hosts together qualify, though those of no single host do. Only hosts that
// recorded one of the losses write, to limit the number of writers.
func (g *Guard) persistVerdicts(received []quarantine.Record, now time.Time) {
	for _, r := range received {
		g.mu.Lock()
		own, recorded := g.ownLosses[r.Fingerprint]
		stored := g.stored[r.Fingerprint]
		if write, pending := g.pendingWrites[r.Fingerprint]; pending {
			stored = storedRecord{losses: write.record.Losses, account: write.record.Account, quarantined: write.record.Quarantined}
		}
		g.mu.Unlock()
		if r.Answered || !recorded {
			continue
		}
		own.Losses = g.classify(r.Fingerprint, now).Losses
		if own = g.withVerdict(own, now); g.shouldPersist(own) && !stored.covers(own) {
			g.persist(own)
		}
	}
}

// removeAnswered removes stored or pending records of this host for requests
// that have been answered since.
func (g *Guard) removeAnswered(records []quarantine.Record) {
	for _, r := range records {
		g.mu.Lock()
		_, pending := g.pendingWrites[r.Fingerprint]
		remove := r.Answered && (pending || g.stored[r.Fingerprint].writtenHere)
		g.mu.Unlock()
		if remove {
			g.persist(r)
		}
	}
}

// shouldPersist reports whether a loss on this host belongs in the store, or
// an answer removes a stored or pending record.
func (g *Guard) shouldPersist(r quarantine.Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, pending := g.pendingWrites[r.Fingerprint]
	_, stored := g.stored[r.Fingerprint]
	if r.Answered {
		return pending || stored
	}
	return r.Quarantined || r.Losses >= minPersistedLosses && !r.Fingerprint.IsPart()
}

// removeExpired removes expired records from the store. Each host does so for
// a random share of the records when it starts.
func (g *Guard) removeExpired(records []quarantine.Record) {
	now := time.Now()
	for _, r := range records {
		if r.Expired(now) && rand.IntN(1+len(g.Peers())) == 0 {
			r.Answered = true
			g.persist(r)
		}
	}
}

// persist queues a record to be written to the store; an answer removes the
// stored record of its request.
func (g *Guard) persist(r quarantine.Record) {
	if g.Store == nil {
		return
	}
	g.mu.Lock()
	since := time.Now()
	if before, pending := g.pendingWrites[r.Fingerprint]; pending {
		since = before.since
	}
	g.pendingWrites[r.Fingerprint] = pendingWrite{r, since}
	g.mu.Unlock()
	select {
	case g.writeTrigger <- struct{}{}:
	default:
	}
}

// writeStore writes pending records to the store until the context ends.
func (g *Guard) writeStore(ctx context.Context) {
	for ctx.Err() == nil {
		restores := g.restoreCount()
		r, wait, ok := g.nextPending()
		if !ok || wait > 0 {
			g.awaitPending(ctx, ok, wait)
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeCallMargin)
		err := g.writeRecord(call, r)
		cancel()
		if err == nil {
			event.CrashRecordPersisted.Info("Fingerprint", r.Fingerprint, "Losses", r.Losses, "Removed", r.Answered)
			g.markPersisted(r, restores)
			continue
		}
		event.CrashRecordNotPersisted.Error(err, "Fingerprint", r.Fingerprint)
		clock.Pause(ctx, storeRetryDelay)
	}
}

// awaitPending waits for a new record to write, or until one is due if some are
// pending.
func (g *Guard) awaitPending(ctx context.Context, pending bool, wait time.Duration) {
	var due <-chan time.Time
	if pending {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-ctx.Done():
	case <-g.writeTrigger:
	case <-due:
	}
}

func (g *Guard) writeRecord(ctx context.Context, r quarantine.Record) error {
	if r.Answered {
		return g.Store.RemoveCrasher(ctx, r.Fingerprint)
	}
	return g.Store.PersistCrasher(ctx, r)
}

// nextPending returns a record to write to the store, or the time until one is
// due. It drops verdicts on parts that no longer hold.
func (g *Guard) nextPending() (r quarantine.Record, wait time.Duration, ok bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for f, w := range g.pendingWrites {
		left := g.ConfirmDelay - now.Sub(w.since)
		switch {
		case w.record.Answered:
			return w.record, 0, true
		case f.IsPart() && left > 0:
			if !ok || left < wait {
				wait, ok = left, true
			}
		case w.record.Expired(now), f.IsPart() && g.table.Verdict(f, now) != quarantine.Quarantined:
			delete(g.pendingWrites, f)
		default:
			return w.record, 0, true
		}
	}
	return quarantine.Record{}, wait, ok
}

// restoreCount returns how often the store came back from an older copy.
func (g *Guard) restoreCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restores
}

// markPersisted notes that a record was written. A newer record of the same
// request remains pending, and so does one that the store may have lost because it
// came back from an older copy during the write.
func (g *Guard) markPersisted(r quarantine.Record, restoresBefore int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.restores != restoresBefore {
		return
	}
	if g.pendingWrites[r.Fingerprint].record == r {
		delete(g.pendingWrites, r.Fingerprint)
	}
	if r.Answered {
		delete(g.stored, r.Fingerprint)
		return
	}
	g.stored[r.Fingerprint] = storedRecord{losses: r.Losses, account: r.Account, quarantined: r.Quarantined, writtenHere: true}
}
