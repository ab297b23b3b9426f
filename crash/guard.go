// Package crash keeps what is known of requests that crash engines and
// shares it with the other hosts within seconds. The decisions are those of
// package quarantine.
package crash

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

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
}

// Guard keeps the records of one host.
type Guard struct {
	Options

	fresh chan []quarantine.Record
	// mu guards table and trials.
	mu     sync.Mutex
	table  quarantine.Table
	trials map[quarantine.Fingerprint]*trial
}

// trial counts the requests with one fingerprint that run on this host.
type trial struct {
	running int
	// ended is closed when one of them ends.
	ended chan struct{}
}

// NewGuard returns a guard that shares its records until the context ends.
func NewGuard(ctx context.Context, wait *conc.WaitGroup, o Options) *Guard {
	g := &Guard{Options: o, fresh: make(chan []quarantine.Record, waiting), trials: map[quarantine.Fingerprint]*trial{}}
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
				g.share(ctx, g.latest(), 1)
			}
		}
	})
	return g
}

// Admit returns a function to call at the request's end, or why a request is
// refused. Requests that may crash engines run one at a time; others like
// them wait for the verdict.
func (g *Guard) Admit(ctx context.Context, f quarantine.Fingerprint) (release func(), refused *request.Failure) {
	for {
		verdict, ended := g.begin(f)
		switch {
		case verdict == quarantine.Condemned:
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

// Lost records that an engine was lost during the first tokens of an attempt,
// and tells whether the request is condemned now.
func (g *Guard) Lost(attempt string, f quarantine.Fingerprint, engine string) (condemned bool) {
	now := time.Now()
	g.Merge([]quarantine.Record{{ID: attempt, Fingerprint: f, Engine: engine, At: now}})
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.table.Verdict(f, now) != quarantine.Condemned {
		return false
	}
	event.RequestQuarantined.Info("Attempt", attempt, "Fingerprint", f, "Engine", engine)
	return true
}

// Answered records that a request was answered, if it was suspected.
func (g *Guard) Answered(attempt string, f quarantine.Fingerprint) {
	now := time.Now()
	g.mu.Lock()
	verdict := g.table.Verdict(f, now)
	g.mu.Unlock()
	if verdict != quarantine.Clean {
		g.Merge([]quarantine.Record{{ID: attempt, Fingerprint: f, Answered: true, At: now}})
	}
}

// Merge adds records and passes on the new ones.
func (g *Guard) Merge(records []quarantine.Record) {
	g.mu.Lock()
	var fresh []quarantine.Record
	g.table, fresh = g.table.With(time.Now(), records...)
	g.mu.Unlock()
	if len(fresh) == 0 {
		return
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

// latest returns the newest records.
func (g *Guard) latest() []quarantine.Record {
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
					event.ShareFailed.Info("Peer", address, "Reason", err.Error())
					return
				}
			}
		})
	}
}
