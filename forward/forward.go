// Package forward carries a caller's request to an upstream and its answer
// back. Which upstream, whether to try again and what to answer are decided
// by packages allocation, retrybudget and retry; this package does the I/O
// around them.
package forward

import (
	"context"
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/retry"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

const (
	// returnSoon is when a caller may come back that was refused for a short
	// lack of engines, such as while they load weights.
	returnSoon = 300 * time.Millisecond
	// returnStarted is when a host that has just started is likely to know the
	// configuration; callers come back few times, so not earlier.
	returnStarted = 900 * time.Millisecond
	// returnLater is when a caller may come back whose request crashes
	// engines.
	returnLater = 30 * time.Second
	// leastLeft is the time below which nothing is sent any more.
	leastLeft = 20 * time.Millisecond
)

// knower is what this host knows of the configuration and the upstreams.
type knower interface {
	Book() replica.Book
	Fresh() bool
	Age() time.Duration
}

// sender carries one request to one upstream.
type sender interface {
	Send(ctx context.Context, address, id, method string, raw []byte) (*http1.Exchange, error)
	// Idle tells whether a connection to an address waits for a request.
	Idle(address string) bool
}

// encoder writes requests as upstreams read them.
type encoder interface {
	EncodeSend(dst []byte, s call.UpstreamRequest) []byte
}

// guard knows requests that crash the upstreams that run them.
type guard interface {
	Admit(ctx context.Context, attempt string, f quarantine.Fingerprint) (release func(), refused *request.Failure)
	// Condemned tells whether the request is refused now.
	Condemned(attempt string, f quarantine.Fingerprint) bool
	Lost(l quarantine.Loss) (condemned bool)
	Answered(attempt string, f quarantine.Fingerprint)
}

// pulses tell other hosts what this one does, and the reverse.
type pulses interface {
	// Elsewhere returns what the other hosts have at an engine.
	Elsewhere(e loadreport.Engine) loadreport.Load
	// Saw tells of cached parts that an engine holds.
	Saw(seen ...loadreport.Sighting)
	// Hurry has other hosts told soon.
	Hurry()
	// Down tells that nobody listens at an engine's address, Loaded which
	// weights an engine has.
	Down(e loadreport.Engine)
	Loaded(l loadreport.Loaded)
	// Leaving tells that an engine takes no more requests.
	Leaving(l loadreport.Leaving)
	// Pace returns how old what other hosts told is at most.
	Pace() time.Duration
}

// Options is what a router needs.
type Options struct {
	Knowledge knower
	Sender    sender
	Encoder   encoder
	Guard     guard
	Board     *health.Board
	Pulses    pulses
	Mover     mover
	// Background is waited for at the end.
	Background *conc.WaitGroup
	// Hosts returns how many hosts are known that share the bound on repeats.
	Hosts func() int
	// FailureDomain is where this host stands.
	FailureDomain string
	// Repeats bounds what all hosts send again to one service.
	Repeats retrybudget.Bound
	// OldWeights is how long after newer weights were named older ones may
	// still answer.
	OldWeights time.Duration
	// HeldBytes bounds what is held of answers that come in.
	HeldBytes int64
	Metrics   tally.Scope
}

// Router forwards requests.
type Router struct {
	Options

	seed maphash.Seed
	// held counts the bytes of answers that come in.
	held atomic.Int64
	// mu guards the fields below.
	mu         sync.Mutex
	allowances map[string]*retrybudget.Allowance
	peak       retrybudget.Peak
	cached     *cachemap.Map
	// streams are those that run at each engine.
	streams map[string]map[*stream]struct{}
	// sent counts the prompt tokens that this host sent lately.
	sent allocation.Flow
}

// New returns a router.
func New(o Options) *Router {
	return &Router{
		Options: o, seed: maphash.MakeSeed(), allowances: map[string]*retrybudget.Allowance{}, cached: cachemap.New(),
		streams: map[string]map[*stream]struct{}{},
	}
}

// Forgot notes that an engine has dropped what it had cached.
func (r *Router) Forgot(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached.Lost(loadreport.Short(engine))
}

// Heard notes a cached part that another host saw.
func (r *Router) Heard(s loadreport.Sighting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cached.Saw(s.Engine, []cachemap.Key{cachemap.Key(s.Part)}, clock.Now())
}

// Dropped notes that a part is no longer held, and tells whether it was
// believed to be.
func (r *Router) Dropped(s loadreport.Sighting) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Part == loadreport.AllParts {
		r.cached.Lost(s.Engine)
		return true
	}
	return r.cached.Dropped(s.Engine, cachemap.Key(s.Part))
}

// Serve has a request run and returns its answer. The context ends when the
// caller leaves; it must stay alive until a stream is closed.
func (r *Router) Serve(ctx context.Context, c call.Call) call.Answer {
	d, refusal := r.admit(c)
	if refusal != nil {
		event.CallRefused.Info("Request", c.ID, "Reason", refusal.Reason, "Catalog", d.book.Catalog.Version, "AgeMillis", r.Knowledge.Age().Milliseconds(), "RetryAfter", refusal.RetryAfter)
		r.count(d, *refusal)
		return *refusal
	}
	ctx, cancel := context.WithTimeout(ctx, d.left())
	release, refusal := d.guardAdmit(ctx)
	if refusal != nil {
		cancel()
		d.finish(*refusal)
		return *refusal
	}
	d.ctx, d.release = ctx, func() { release(); cancel() }
	answer := d.run(ctx)
	if s, ok := answer.Stream.(*stream); ok {
		s.enter(s.attempt.id, s)
	} else {
		d.release()
		d.finish(answer)
	}
	return answer
}

// admit finds out what a request asks for and whether it may.
func (r *Router) admit(c call.Call) (*run, *call.Answer) {
	d := &run{Router: r, call: c, book: r.Knowledge.Book(), tried: map[string]bool{}, spread: maphash.String(r.seed, c.ID)}
	refuse := func(reason call.Reason) (*run, *call.Answer) {
		a := call.Refuse(reason)
		switch {
		case reason == call.NotReady:
			a = a.WithRetryAfter(returnStarted)
		case a.Status == 503:
			a = a.WithRetryAfter(returnSoon)
		}
		return d, &a
	}
	if d.book.Catalog.Version == 0 {
		return refuse(call.NotReady)
	}
	var ok bool
	if d.route, ok = d.book.Catalog.Route(c.Host, c.Path); !ok {
		return refuse(r.unlessStale(call.NoRoute))
	}
	if !d.route.Public && !d.book.Catalog.Open {
		if d.account, ok = d.book.Catalog.Account(c.Key); !ok {
			return refuse(r.unlessStale(call.NoAccount))
		}
	}
	name := d.route.Service(d.spread)
	if d.service, ok = d.book.Catalog.Service(name); !ok {
		return refuse(call.NoUpstream)
	}
	if d.service.Engine == nil {
		// Only engines know prompts; the headers are passed on all the same.
		d.call.Prompt = call.Prompt{}
	}
	wait := d.route.Timeout
	if c.Remaining > 0 && (wait <= 0 || c.Remaining < wait) {
		wait = c.Remaining
	}
	d.end = c.Arrived.Add(wait)
	d.state = retry.State{MayRepeat: d.route.MayRepeat(), MaxUpstreams: d.route.MaxUpstreams}
	if d.left() < leastLeft {
		return refuse(call.DeadlinePast)
	}
	return d, nil
}

// unlessStale returns the reason, or that the configuration may be too old to
// refuse a proper request.
func (r *Router) unlessStale(reason call.Reason) call.Reason {
	if r.Knowledge.Fresh() {
		return reason
	}
	return call.Stale
}

// repeat tells whether a service may be sent a request again, and counts it.
func (r *Router) repeat(service string, s retrybudget.Stage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allowance(service).Again(r.Repeats, s, r.sharers(), clock.Now())
}

// mayRepeat tells whether a service may be sent a request again now.
func (r *Router) mayRepeat(service string, s retrybudget.Stage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.allowance(service).Room(r.Repeats, s, r.sharers(), clock.Now())
}

// sharers returns how many hosts share the bound on repeats. The caller holds
// mu.
func (r *Router) sharers() int {
	r.peak = r.peak.With(r.Hosts(), clock.Now())
	return r.peak.Hosts()
}

// first counts a request to a service.
func (r *Router) first(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sharers() // looks at each request, since a cut may come before a repeat
	r.allowance(service).First(r.Repeats, clock.Now())
}

// allowance returns a service's count. The caller holds mu.
func (r *Router) allowance(service string) *retrybudget.Allowance {
	a, ok := r.allowances[service]
	if !ok {
		a = &retrybudget.Allowance{}
		r.allowances[service] = a
	}
	return a
}

// count adds an answer to the metrics.
func (r *Router) count(d *run, a call.Answer) {
	outcome := string(a.Reason)
	if outcome == "" {
		outcome = "Answered"
	}
	r.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
	r.Metrics.Histogram("request_time", timeBuckets).RecordDuration(clock.Now().Sub(d.call.Arrived))
}

// timeBuckets are the bounds of the histograms of times.
var timeBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	600 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 15 * time.Second,
}
