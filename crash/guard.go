// Package crash records which requests crash engines, shares the records with
// the other hosts within seconds and rejects quarantined requests. Package
// quarantine makes the decisions.
package crash

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// fanOut is how many hosts a new record is sent to directly.
	fanOut = 5
	// shareTimeout bounds sending records to a set of hosts.
	shareTimeout = time.Second
	// batchDelay is how long further records are batched after some were
	// shared, since many requests fail with a lost engine.
	batchDelay = 250 * time.Millisecond
	// repeatInterval is how often the most significant records are sent to a
	// random host, for hosts that missed them when they were new.
	repeatInterval = 2 * time.Second
	// maxCallRecords bounds the records in one call.
	maxCallRecords = 64
	// queueCapacity bounds the batches of new records waiting to be shared.
	queueCapacity = 64
	// trialRetryAfter is the Retry-After time for a caller whose request timed
	// out waiting for a trial run of the same request.
	trialRetryAfter = time.Second
)

// sender sends records to another host.
type sender interface {
	Send(ctx context.Context, address string, records []quarantine.Record) error
}

// Options configures a Guard.
type Options struct {
	// Peers returns the addresses of the other hosts.
	Peers func() []string
	// Sender sends records to other hosts.
	Sender sender
	// Store persists records of requests that lost several engines; nil
	// disables persistence.
	Store store
	// Metrics counts records and verdicts; nil disables metrics.
	Metrics tally.Scope
}

// Guard holds the crash records of one host, and admits or refuses requests
// based on them.
type Guard struct {
	Options

	newRecords chan []quarantine.Record
	// serial makes record ids unique.
	serial    atomic.Int64
	knownGood knownGood
	// writeTrigger signals that a record waits to be written to the store.
	writeTrigger chan struct{}
	// mu guards the fields below.
	mu     sync.Mutex
	table  quarantine.Table
	trials map[quarantine.Fingerprint]*trial
	// ownLosses holds the last loss of each request that this host recorded itself.
	ownLosses map[quarantine.Fingerprint]quarantine.Record
	// pendingWrites holds the records to write to the store.
	pendingWrites map[quarantine.Fingerprint]quarantine.Record
	// stored summarizes the records in the store.
	stored map[quarantine.Fingerprint]storedRecord
}

// trial tracks the requests with one fingerprint that run on this host.
type trial struct {
	running int
	// ended is closed when one of the requests ends.
	ended chan struct{}
}

// NewGuard returns a guard that shares its records until the context ends.
func NewGuard(ctx context.Context, wait *conc.WaitGroup, o Options) *Guard {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	g := &Guard{Options: o, newRecords: make(chan []quarantine.Record, queueCapacity), trials: map[quarantine.Fingerprint]*trial{},
		writeTrigger: make(chan struct{}, 1), ownLosses: map[quarantine.Fingerprint]quarantine.Record{}, pendingWrites: map[quarantine.Fingerprint]quarantine.Record{}, stored: map[quarantine.Fingerprint]storedRecord{}}
	if g.Store != nil {
		wait.Go(func() { g.followStore(ctx) })
		wait.Go(func() { g.writeStore(ctx) })
	}
	wait.Go(func() {
		ticker := time.NewTicker(repeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case records := <-g.newRecords:
				// The first records are sent immediately, since the same
				// request may be in flight to other hosts.
				g.share(ctx, records, fanOut)
				if more := g.collectBatch(ctx); len(more) > 0 {
					g.share(ctx, more, fanOut)
				}
			case <-ticker.C:
				g.share(ctx, g.mostSignificant(), 1)
			}
		}
	})
	return g
}

// Admit returns a function to call when the request ends, or the reason for
// which it is refused. Suspect requests with the same fingerprint run one at a
// time; the others wait for the verdict.
func (g *Guard) Admit(ctx context.Context, attempt string, c quarantine.Content) (release func(), refused *request.Failure) {
	for {
		verdict, ended := g.tryStart(c.Request)
		switch {
		case verdict == quarantine.Quarantined:
			g.recordRefusal(attempt, c.Request)
			return nil, request.Refuse(request.Quarantined, "the request crashed the engines that ran it")
		case ended == nil:
			return func() { g.release(c.Request) }, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, request.Refuse(request.DeadlineTooNear, "the same request may crash engines and is tried now").WithRetryAfter(trialRetryAfter)
		}
	}
}

// IsQuarantined reports whether an admitted request has been quarantined since.
func (g *Guard) IsQuarantined(attempt string, c quarantine.Content) bool {
	if g.classify(c.Request, time.Now()).Verdict != quarantine.Quarantined {
		return false
	}
	g.recordRefusal(attempt, c.Request)
	return true
}

// recordRefusal counts and logs a refused request.
func (g *Guard) recordRefusal(attempt string, f quarantine.Fingerprint) {
	now := time.Now()
	c := g.classify(f, now)
	g.Metrics.Counter("quarantine_refusals").Inc(1)
	event.QuarantineEnforced.Info("Attempt", attempt, "Fingerprint", f, "Losses", c.Losses, "OtherLosses", c.OtherLosses, "LastLossMillis", now.Sub(c.LastLoss).Milliseconds())
}

// tryStart counts a request that may run. If the request is a suspect and
// another with its fingerprint is running, it returns a channel that is closed
// when that one ends.
func (g *Guard) tryStart(f quarantine.Fingerprint) (quarantine.Verdict, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.table.Verdict(f, time.Now())
	t, runs := g.trials[f]
	switch {
	case verdict == quarantine.Quarantined:
		return verdict, nil
	case verdict == quarantine.Suspect && runs:
		return verdict, t.ended
	case !runs:
		t = &trial{ended: make(chan struct{})}
		g.trials[f] = t
	}
	t.running++
	return verdict, nil
}

// release ends a request that tryStart counted.
func (g *Guard) release(f quarantine.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.trials[f]
	close(t.ended)
	t.ended = make(chan struct{})
	if t.running--; t.running == 0 {
		delete(g.trials, f)
	}
}

// Lost records that an engine was lost during the first tokens of a request,
// and reports whether the request is now quarantined.
func (g *Guard) Lost(l quarantine.Loss) (quarantined bool) {
	now := time.Now()
	g.add(quarantine.Record{
		ID: g.recordID(l.Attempt), Fingerprint: l.Request, Engine: l.Engine, Incarnation: l.Incarnation, Sent: l.Sent, At: now, KnownGood: g.knownGood.answeredRecently(l.Request, now),
	})
	c := g.classify(l.Request, now)
	event.LossRecorded.Info("Attempt", l.Attempt, "Fingerprint", l.Request, "Parts", l.Parts, "Account", l.Account, "Upstream", l.Engine, "Start", l.Incarnation, "Events", l.Events,
		"Verdict", c.Verdict, "Losses", c.Losses, "OtherLosses", c.OtherLosses, "Shared", c.Shared)
	return c.Verdict == quarantine.Quarantined
}

// Answered records that a request was answered. The record is shared only if
// the request was a suspect or quarantined.
func (g *Guard) Answered(attempt string, content quarantine.Content) {
	now, f := time.Now(), content.Request
	g.knownGood.add(f, now)
	if c := g.classify(f, now); c.Verdict != quarantine.Clean {
		g.add(quarantine.Record{ID: g.recordID(attempt), Fingerprint: f, Answered: true, At: now})
		event.SuspicionEnded.Info("Attempt", attempt, "Fingerprint", f, "Verdict", c.Verdict, "Losses", c.Losses)
	}
}

// add adds a record of this host, with the number of losses known here, and
// persists it if needed.
func (g *Guard) add(r quarantine.Record) {
	g.mu.Lock()
	r = g.table.CountLosses(r, r.At)
	g.mu.Unlock()
	g.updateOwnLosses(r)
	g.merge([]quarantine.Record{r}, "Own")
	r.Quarantined = g.classify(r.Fingerprint, r.At).Verdict == quarantine.Quarantined
	if g.shouldPersist(r) {
		g.persist(r)
	}
}

// recordID returns a unique record id.
func (g *Guard) recordID(attempt string) string { return fmt.Sprint(attempt, "/", g.serial.Add(1)) }

// classify returns the verdict on a request and the reasons for it.
func (g *Guard) classify(f quarantine.Fingerprint, now time.Time) quarantine.Classification {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Classify(f, now)
}

// Merge adds records of other hosts and forwards the new ones.
func (g *Guard) Merge(records []quarantine.Record) { g.merge(records, "Peer") }

// merge adds records, logs the requests that they quarantine and queues the new
// records for the other hosts.
func (g *Guard) merge(records []quarantine.Record, source string) {
	now := time.Now()
	records = slices.Clone(records)
	for i, r := range records {
		records[i].KnownGood = r.KnownGood || !r.Answered && g.knownGood.answeredRecently(r.Fingerprint, now)
	}
	g.mu.Lock()
	before := g.table
	after, fresh := before.With(now, records...)
	g.table = after
	g.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	g.Metrics.Tagged(map[string]string{"source": source}).Counter("crash_records").Inc(int64(len(fresh)))
	g.Metrics.Gauge("crash_records_kept").Update(float64(after.Len()))
	seen := map[quarantine.Fingerprint]bool{}
	for _, r := range fresh {
		if seen[r.Fingerprint] || before.Verdict(r.Fingerprint, now) == quarantine.Quarantined {
			continue
		}
		seen[r.Fingerprint] = true
		if c := after.Classify(r.Fingerprint, now); c.Verdict == quarantine.Quarantined {
			g.Metrics.Counter("requests_quarantined").Inc(1)
			event.RequestQuarantined.Info("Attempt", r.ID, "Fingerprint", r.Fingerprint, "Engine", r.Engine, "Source", source,
				"Losses", c.Losses, "OtherLosses", c.OtherLosses, "Shared", c.Shared, "Records", after.Len())
		}
	}
	g.removeAnswered(fresh)
	if source == "Peer" {
		g.persistVerdicts(fresh, now)
	}
	select {
	case g.newRecords <- fresh:
	default:
		// The periodic share sends records that don't fit into the queue.
	}
}

// collectBatch returns the records that arrive within batchDelay.
func (g *Guard) collectBatch(ctx context.Context) []quarantine.Record {
	var records []quarantine.Record
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return records
		case <-timer.C:
			return records
		case more := <-g.newRecords:
			records = append(records, more...)
		}
	}
}

// mostSignificant returns the records that count the most losses.
func (g *Guard) mostSignificant() []quarantine.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := g.table.Records()
	return records[max(len(records)-maxCallRecords, 0):]
}

// share sends records to a number of other hosts, chosen at random.
func (g *Guard) share(ctx context.Context, records []quarantine.Record, hosts int) {
	if len(records) == 0 {
		return
	}
	peers := g.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wait conc.WaitGroup
	defer wait.Wait()
	for _, address := range peers[:min(hosts, len(peers))] {
		wait.Go(func() {
			for part := range slices.Chunk(records, maxCallRecords) {
				if err := g.Sender.Send(ctx, address, part); err != nil {
					event.CrashShareFailed.Info("Peer", address, "Reason", err.Error())
					return
				}
			}
		})
	}
}
