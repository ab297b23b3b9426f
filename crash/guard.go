// Package crash keeps what is known of requests that crash engines and
// shares it with the other hosts within seconds. The decisions are those of
// package quarantine.
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
	// fanOut is how many hosts get a new record at once.
	fanOut = 5
	// shareTimeout bounds one call to a host.
	shareTimeout = time.Second
	// gatherTime is how long further records are gathered after some were
	// shared, since an engine that is lost takes many requests with it.
	gatherTime = 250 * time.Millisecond
	// repeatInterval is the time between two shares of everything with one
	// host, for those that new records did not reach.
	repeatInterval = 2 * time.Second
	// batch bounds the records of one call.
	batch = 64
	// waiting bounds the batches that wait to be shared.
	waiting = 64
	// trialRetryAfter is when a caller may come back whose request waited for
	// a trial of the same request.
	trialRetryAfter = time.Second
)

// sender hands records to another host.
type sender interface {
	Send(ctx context.Context, address string, records []quarantine.Record) error
}

// Options is what a guard needs.
type Options struct {
	// Peers returns the addresses of the other hosts.
	Peers func() []string
	// Sender calls other hosts.
	Sender sender
	// Store keeps records of requests that lost several engines; nil keeps
	// none.
	Store store
	// Metrics counts records and verdicts; nil counts nothing.
	Metrics tally.Scope
}

// Guard keeps the records of one host.
type Guard struct {
	Options

	fresh chan []quarantine.Record
	// serial tells the records of one attempt apart.
	serial atomic.Int64
	sound  soundRequests
	// wake tells that there is a record to be written to the store.
	wake chan struct{}
	// mu guards the fields below.
	mu     sync.Mutex
	table  quarantine.Table
	trials map[quarantine.Fingerprint]*trial
	// own are the last losses of requests that this host saw itself.
	own map[quarantine.Fingerprint]quarantine.Record
	// unkept holds what is to be written to the store.
	unkept map[quarantine.Fingerprint]quarantine.Record
	// stored are the requests of which the store has a record.
	stored map[quarantine.Fingerprint]storedRecord
}

// trial counts the requests with one fingerprint that run on this host.
type trial struct {
	running int
	// ended is closed when one of them ends.
	ended chan struct{}
}

// NewGuard returns a guard that shares its records until the context ends.
func NewGuard(ctx context.Context, wait *conc.WaitGroup, o Options) *Guard {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	g := &Guard{Options: o, fresh: make(chan []quarantine.Record, waiting), trials: map[quarantine.Fingerprint]*trial{},
		wake: make(chan struct{}, 1), own: map[quarantine.Fingerprint]quarantine.Record{}, unkept: map[quarantine.Fingerprint]quarantine.Record{}, stored: map[quarantine.Fingerprint]storedRecord{}}
	if g.Store != nil {
		wait.Go(func() { g.follow(ctx) })
		wait.Go(func() { g.write(ctx) })
	}
	wait.Go(func() {
		ticker := time.NewTicker(repeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case records := <-g.fresh:
				// The first news go at once, since the same request may be on
				// its way to other hosts.
				g.share(ctx, records, fanOut)
				if more := g.gather(ctx); len(more) > 0 {
					g.share(ctx, more, fanOut)
				}
			case <-ticker.C:
				g.share(ctx, g.heaviest(), 1)
			}
		}
	})
	return g
}

// Admit returns a function to call at the request's end, or why a request is
// refused. Requests that may crash engines run one at a time; others like
// them wait for the verdict.
func (g *Guard) Admit(ctx context.Context, attempt string, f quarantine.Fingerprint) (release func(), refused *request.Failure) {
	for {
		verdict, ended := g.begin(f)
		switch {
		case verdict == quarantine.Condemned:
			g.refused(attempt, f)
			return nil, request.Refuse(request.Quarantined, "the request crashed the engines that ran it")
		case ended == nil:
			return func() { g.release(f) }, nil
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, request.Refuse(request.DeadlineTooNear, "the same request may crash engines and is tried now").WithRetryAfter(trialRetryAfter)
		}
	}
}

// Condemned tells whether a request that was admitted is refused by now.
func (g *Guard) Condemned(attempt string, f quarantine.Fingerprint) bool {
	if g.judge(f, time.Now()).Verdict != quarantine.Condemned {
		return false
	}
	g.refused(attempt, f)
	return true
}

// refused notes a request that is refused.
func (g *Guard) refused(attempt string, f quarantine.Fingerprint) {
	now := time.Now()
	j := g.judge(f, now)
	g.Metrics.Counter("quarantine_refusals").Inc(1)
	event.QuarantineEnforced.Info("Attempt", attempt, "Fingerprint", f, "Losses", j.Losses, "OtherLosses", j.OtherLosses, "LastLossMillis", now.Sub(j.Last).Milliseconds())
}

// begin counts a request that may run. For a suspect whose like runs already
// it returns a channel that is closed when that one ends.
func (g *Guard) begin(f quarantine.Fingerprint) (quarantine.Verdict, <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	verdict := g.table.Verdict(f, time.Now())
	t, runs := g.trials[f]
	switch {
	case verdict == quarantine.Condemned:
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

// release counts a request that ended.
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
// and tells whether the request is condemned now.
func (g *Guard) Lost(l quarantine.Loss) (condemned bool) {
	now := time.Now()
	g.add(quarantine.Record{
		ID: g.recordID(l.Attempt), Fingerprint: l.Fingerprint, Engine: l.Engine, Start: l.Start, Sent: l.Sent, At: now, Sound: g.sound.has(l.Fingerprint, now),
	})
	j := g.judge(l.Fingerprint, now)
	event.LossRecorded.Info("Attempt", l.Attempt, "Fingerprint", l.Fingerprint, "Upstream", l.Engine, "Start", l.Start, "Verdict", j.Verdict,
		"Losses", j.Losses, "OtherLosses", j.OtherLosses, "Shared", j.Shared)
	return j.Verdict == quarantine.Condemned
}

// Answered records that a request was answered, if it was suspected.
func (g *Guard) Answered(attempt string, f quarantine.Fingerprint) {
	now := time.Now()
	g.sound.add(f, now)
	if j := g.judge(f, now); j.Verdict != quarantine.Clean {
		g.add(quarantine.Record{ID: g.recordID(attempt), Fingerprint: f, Answered: true, At: now})
		event.SuspicionEnded.Info("Attempt", attempt, "Fingerprint", f, "Verdict", j.Verdict, "Losses", j.Losses)
	}
}

// add adds a record of this host, with what it knows of the request.
func (g *Guard) add(r quarantine.Record) {
	g.mu.Lock()
	r = g.table.Counted(r, r.At)
	g.mu.Unlock()
	g.noteOwn(r)
	g.merge([]quarantine.Record{r}, "Own")
	r.Condemned = g.judge(r.Fingerprint, r.At).Verdict == quarantine.Condemned
	if g.keeps(r) {
		g.keep(r)
	}
}

// recordID returns an id that no other record has.
func (g *Guard) recordID(attempt string) string { return fmt.Sprint(attempt, "/", g.serial.Add(1)) }

// judge tells how to treat a request and why.
func (g *Guard) judge(f quarantine.Fingerprint, now time.Time) quarantine.Judgement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Judge(f, now)
}

// Merge adds records of other hosts and passes on the new ones.
func (g *Guard) Merge(records []quarantine.Record) { g.merge(records, "Peer") }

// merge adds records and logs the requests that they condemn.
func (g *Guard) merge(records []quarantine.Record, source string) {
	now := time.Now()
	records = slices.Clone(records)
	for i, r := range records {
		records[i].Sound = r.Sound || !r.Answered && g.sound.has(r.Fingerprint, now)
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
		if seen[r.Fingerprint] || before.Verdict(r.Fingerprint, now) == quarantine.Condemned {
			continue
		}
		seen[r.Fingerprint] = true
		if j := after.Judge(r.Fingerprint, now); j.Verdict == quarantine.Condemned {
			g.Metrics.Counter("requests_quarantined").Inc(1)
			event.RequestQuarantined.Info("Attempt", r.ID, "Fingerprint", r.Fingerprint, "Engine", r.Engine, "Source", source,
				"Losses", j.Losses, "OtherLosses", j.OtherLosses, "Shared", j.Shared, "Records", after.Len())
		}
	}
	g.dropAnswered(fresh)
	if source == "Peer" {
		g.keepVerdicts(fresh, now)
	}
	select {
	case g.fresh <- fresh:
	default:
		// The periodic share carries what does not fit.
	}
}

// gather returns the records that come within a short time.
func (g *Guard) gather(ctx context.Context) []quarantine.Record {
	var records []quarantine.Record
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return records
		case <-timer.C:
			return records
		case more := <-g.fresh:
			records = append(records, more...)
		}
	}
}

// heaviest returns the records that tell most.
func (g *Guard) heaviest() []quarantine.Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	records := g.table.Records()
	return records[max(len(records)-batch, 0):]
}

// share sends records to some other hosts, chosen at random.
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
			for part := range slices.Chunk(records, batch) {
				if err := g.Sender.Send(ctx, address, part); err != nil {
					event.CrashShareFailed.Info("Peer", address, "Reason", err.Error())
					return
				}
			}
		})
	}
}
