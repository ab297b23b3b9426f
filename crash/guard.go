// Package crash records which requests and prompt parts crash engines, shares the
// records with the other hosts within seconds and rejects quarantined requests.
// Package quarantine makes the decisions.
package crash

import (
	"cmp"
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
)

const (
	// fanOut is how many hosts a new record is sent to directly.
	fanOut = 5
	// shareTimeout bounds sending records to a set of hosts.
	shareTimeout = time.Second
	// defaultBatchDelay is how long further records are batched after some were
	// shared, since many requests fail with a lost engine.
	defaultBatchDelay = 250 * time.Millisecond
	// repeatInterval is how often the most significant records are sent to a
	// random host, for hosts that missed them when they were new.
	repeatInterval = 2 * time.Second
	// maxCallRecords bounds the records in one call.
	maxCallRecords = 64
	// queueCapacity bounds the batches of new records waiting to be shared.
	queueCapacity = 64
	// defaultConfirmDelay lets the records of a loss arrive from all hosts that had
	// requests on the engine: another part may explain it.
	defaultConfirmDelay = 250 * time.Millisecond
	// verdictSuffix ends the ID of a record that carries a verdict.
	verdictSuffix = "/verdict"
)

// Sources of records, in logs and metrics.
const (
	ownSource  = "Own"
	peerSource = "Peer"
	// localSource is an answer of this host that the others don't need.
	localSource = "Local"
	storeSource = "Store"
)

// sender sends records to another host.
type sender interface {
	Send(ctx context.Context, address string, records []quarantine.Record) error
}

// Options configures a Guard.
type Options struct {
	// Self is the address of this host, Peers returns those of the others. One
	// of them all owns a suspect; with an empty Self each host owns all.
	Self  string
	Peers func() []string
	// Sender sends records to other hosts.
	Sender sender
	// Store persists records of requests that lost several engines; nil
	// disables persistence.
	Store store
	// BatchDelay is how long first losses are batched; 0 means 250 ms.
	BatchDelay time.Duration
	// ConfirmDelay is how long a verdict on a part must hold before it is
	// persisted; 0 means 250 ms.
	ConfirmDelay time.Duration
	// Metrics counts records and verdicts; nil disables metrics.
	Metrics tally.Scope
}

// Guard holds the crash records of one host, and admits or refuses requests
// based on them.
type Guard struct {
	Options

	newRecords chan []quarantine.Record
	// serial makes record ids unique.
	serial atomic.Int64
	// knownGoodRequests and knownGoodParts hold what was answered recently.
	knownGoodRequests, knownGoodParts knownGood
	// loaded is closed once the store was read, failed or took too long.
	loaded chan struct{}
	// writeTrigger signals that a record waits to be written to the store.
	writeTrigger chan struct{}
	// mu guards the fields below.
	mu     sync.Mutex
	table  quarantine.Table
	trials map[quarantine.Fingerprint]*trial
	// ownLosses holds the last loss of each request that this host recorded itself.
	ownLosses map[quarantine.Fingerprint]quarantine.Record
	// pendingWrites holds the records to write to the store.
	pendingWrites map[quarantine.Fingerprint]pendingWrite
	// restores counts how often the store came back from an older copy.
	restores int
	// stored summarizes the records in the store.
	stored map[quarantine.Fingerprint]storedRecord
}

// NewGuard returns a guard that shares its records until the context ends.
func NewGuard(ctx context.Context, wait *conc.WaitGroup, o Options) *Guard {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.BatchDelay, o.ConfirmDelay = cmp.Or(o.BatchDelay, defaultBatchDelay), cmp.Or(o.ConfirmDelay, defaultConfirmDelay)
	g := &Guard{Options: o, newRecords: make(chan []quarantine.Record, queueCapacity), trials: map[quarantine.Fingerprint]*trial{},
		loaded: make(chan struct{}), writeTrigger: make(chan struct{}, 1), ownLosses: map[quarantine.Fingerprint]quarantine.Record{}, pendingWrites: map[quarantine.Fingerprint]pendingWrite{}, stored: map[quarantine.Fingerprint]storedRecord{}}
	if g.Store == nil {
		close(g.loaded)
	} else {
		endLoad := sync.OnceFunc(func() { close(g.loaded) })
		timer := time.AfterFunc(maxLoadTime, endLoad)
		wait.Go(func() {
			defer timer.Stop()
			g.followStore(ctx, endLoad)
		})
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

// knownGood returns what was answered recently of a fingerprint's kind.
func (g *Guard) knownGood(f quarantine.Fingerprint) *knownGood {
	if f.IsPart() {
		return &g.knownGoodParts
	}
	return &g.knownGoodRequests
}

// Lost records that an engine was lost during the first tokens of a request,
// and reports whether the request or one of its parts is now quarantined.
func (g *Guard) Lost(l quarantine.Loss) (quarantined bool) {
	now := time.Now()
	g.mu.Lock()
	explained := g.table.Explains(l)
	g.mu.Unlock()
	if explained {
		event.LossExplained.Info("Attempt", l.Attempt, "Fingerprint", l.Request, "Upstream", l.Engine, "Start", l.Incarnation)
		_, quarantined = g.quarantined(l.Content)
		return quarantined
	}
	if l.IsUnread(now) {
		g.addEngineLoss(l, now)
		_, quarantined = g.quarantined(l.Content)
		return quarantined
	}
	g.add(g.lossRecords(l, now)...)
	c := g.classify(l.Request, now)
	event.LossRecorded.Info("Attempt", l.Attempt, "Fingerprint", l.Request, "Parts", l.Parts, "Account", l.Account, "Upstream", l.Engine, "Start", l.Incarnation, "Events", l.Events, "Reset", l.Reset, "SilentMillis", silentMillis(l, now),
		"Verdict", c.Verdict, "Losses", c.Losses, "OtherLosses", c.OtherLosses, "Shared", c.Shared)
	_, quarantined = g.quarantined(l.Content)
	return quarantined
}

// silentMillis returns how long the engine of a loss had been silent, or -1 if it had not.
func silentMillis(l quarantine.Loss, now time.Time) int64 {
	if l.SilentSince.IsZero() {
		return -1
	}
	return now.Sub(l.SilentSince).Milliseconds()
}

// addEngineLoss records the loss of an engine that none of its requests caused, unless it is
// recorded already.
func (g *Guard) addEngineLoss(l quarantine.Loss, now time.Time) {
	event.LossUnread.Info("Attempt", l.Attempt, "Fingerprint", l.Request, "Parts", l.Parts, "Upstream", l.Engine, "Start", l.Incarnation, "SilentMillis", silentMillis(l, now), "SentMillis", now.Sub(l.Sent).Milliseconds())
	r := quarantine.Record{ID: g.recordID(l.Attempt), Fingerprint: quarantine.EngineFingerprint(l), Engine: l.Engine, Incarnation: l.Incarnation, Sent: l.Sent, At: now}
	g.mu.Lock()
	known := g.table.Covers(r, now)
	g.mu.Unlock()
	if !known {
		g.add(r)
	}
}

// lossRecords returns the records of a loss: one for the request, and one for
// each part that has none of the same engine and account yet.
func (g *Guard) lossRecords(l quarantine.Loss, now time.Time) []quarantine.Record {
	var records []quarantine.Record
	for depth, f := range l.Fingerprints() {
		r := quarantine.Record{
			ID: g.recordID(l.Attempt), Fingerprint: f, Depth: depth, Account: l.Account, Engine: l.Engine, Incarnation: l.Incarnation, Sent: l.Sent, At: now,
			KnownGood: g.knownGood(f).answeredRecently(f, now),
		}
		g.mu.Lock()
		known := f.IsPart() && g.table.Covers(r, now)
		g.mu.Unlock()
		if !known {
			records = append(records, r)
		}
	}
	return records
}

// Started records that an engine got past the first tokens of a request, which
// clears its parts.
func (g *Guard) Started(attempt string, c quarantine.Content) {
	now := time.Now()
	for _, f := range c.Parts {
		g.knownGoodParts.add(f, now)
		g.endSuspicion(attempt, f, now)
	}
}

// Answered records that a request was answered.
func (g *Guard) Answered(attempt string, c quarantine.Content) {
	g.Started(attempt, c)
	now := time.Now()
	g.knownGoodRequests.add(c.Request, now)
	g.endSuspicion(attempt, c.Request, now)
}

// endSuspicion adds an answer for a suspect or quarantined request or part.
func (g *Guard) endSuspicion(attempt string, f quarantine.Fingerprint, now time.Time) {
	c := g.classify(f, now)
	if c.Verdict == quarantine.Clean {
		return
	}
	r := quarantine.Record{ID: g.recordID(attempt), Fingerprint: f, Answered: true, At: now}
	if g.sharesAnswer(f, c) {
		g.add(r)
	} else {
		g.merge([]quarantine.Record{r}, localSource)
	}
	event.SuspicionEnded.Info("Attempt", attempt, "Fingerprint", f, "Verdict", c.Verdict, "Losses", c.Losses, "FirstLossMillis", now.Sub(c.FirstLoss).Milliseconds(), "LastLossMillis", now.Sub(c.LastLoss).Milliseconds())
}

// sharesAnswer reports whether the other hosts need to learn of an answer. Every
// host answers requests with a popular part; while only one loss counts against
// it, the answers of the host that lost the engine suffice.
func (g *Guard) sharesAnswer(f quarantine.Fingerprint, c quarantine.Classification) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, own := g.ownLosses[f]
	return !f.IsPart() || own || c.Losses > 1
}

// add adds records of this host, with the number of losses known here, and
// persists them if needed.
func (g *Guard) add(records ...quarantine.Record) {
	now := time.Now()
	g.mu.Lock()
	records = g.table.WithLossCounts(now, records...)
	g.mu.Unlock()
	for _, r := range records {
		g.updateOwnLosses(r)
	}
	g.merge(records, ownSource)
	for _, r := range records {
		if r = g.withVerdict(r, now); g.shouldPersist(r) {
			g.persist(r)
		}
	}
}

// withVerdict returns a record with the verdict to which it led, for hosts that
// lack other records. Its ID differs, since they may have it without the verdict.
func (g *Guard) withVerdict(r quarantine.Record, now time.Time) quarantine.Record {
	c := g.classify(r.Fingerprint, now)
	if c.Verdict == quarantine.Quarantined {
		r.ID, r.Quarantined, r.Losses = r.ID+verdictSuffix, true, c.Losses
	}
	if r.Fingerprint.IsPart() {
		r.Account = c.Account
	}
	return r
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
func (g *Guard) Merge(records []quarantine.Record) {
	g.merge(records, peerSource)
	g.clear(records)
}

// merge adds records, logs the requests that they quarantine and queues the new
// records for the other hosts.
func (g *Guard) merge(records []quarantine.Record, source string) {
	now := time.Now()
	records = slices.Clone(records)
	for i, r := range records {
		records[i].KnownGood = r.KnownGood || !r.Answered && g.knownGood(r.Fingerprint).answeredRecently(r.Fingerprint, now)
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
			g.recordQuarantine(r, c, source, after.Len(), now)
		}
	}
	g.removeAnswered(fresh)
	switch source {
	case localSource:
		return
	case peerSource:
		g.persistVerdicts(fresh, now)
	}
	select {
	case g.newRecords <- fresh:
	default:
		// The periodic share sends records that don't fit into the queue.
	}
}

// recordQuarantine counts and logs a verdict.
func (g *Guard) recordQuarantine(r quarantine.Record, c quarantine.Classification, source string, records int, now time.Time) {
	logged := event.RequestQuarantined
	if r.Fingerprint.IsPart() {
		logged = event.PartQuarantined
	}
	g.Metrics.Tagged(map[string]string{"subject": subject(r.Fingerprint)}).Counter("requests_quarantined").Inc(1)
	lastAnswerMillis := int64(-1)
	if !c.LastAnswer.IsZero() {
		lastAnswerMillis = now.Sub(c.LastAnswer).Milliseconds()
	}
	logged.Info("Attempt", r.ID, "Fingerprint", r.Fingerprint, "Engine", r.Engine, "Source", source, "Losses", c.Losses, "OtherLosses", c.OtherLosses, "Shared", c.Shared,
		"KnownGood", c.KnownGood, "Account", c.Account, "FirstLossMillis", now.Sub(c.FirstLoss).Milliseconds(), "LastLossMillis", now.Sub(c.LastLoss).Milliseconds(), "LastAnswerMillis", lastAnswerMillis, "Records", records)
}

// collectBatch returns the records that arrive within BatchDelay, or until one of
// them counts a second loss: it may quarantine its request on the other hosts.
func (g *Guard) collectBatch(ctx context.Context) []quarantine.Record {
	var records []quarantine.Record
	timer := time.NewTimer(g.BatchDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return records
		case <-timer.C:
			return records
		case more := <-g.newRecords:
			records = append(records, more...)
			if slices.ContainsFunc(more, func(r quarantine.Record) bool { return r.Losses > 1 }) {
				return records
			}
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
