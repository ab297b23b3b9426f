// Package forward sends a caller's request to an upstream and relays the
// answer. Packages allocation, retrybudget and retry decide which upstream is
// chosen, whether to retry and what to answer; this package does the I/O
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

	"github.com/kumquathoist/kumquathoist/account"
	"github.com/kumquathoist/kumquathoist/allocation"
	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/cachemap"
	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/health"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/loadreport"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/plannedstop"
	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/relay"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/retry"
	"github.com/kumquathoist/kumquathoist/retrybudget"
	"github.com/kumquathoist/kumquathoist/software"
)

const (
	// retryAfterShort is the Retry-After for a short lack of engines, such as
	// while they load weights.
	retryAfterShort = 300 * time.Millisecond
	// retryAfterStartup is the Retry-After of a host that has just started; by
	// then it is likely to have the configuration, and credit of the limits of
	// accounts. Callers retry only a few times, so it isn't shorter.
	retryAfterStartup = 900 * time.Millisecond
	// retryAfterStopping is the Retry-After of a host that stops before the request
	// would end: other hosts can serve the caller now.
	retryAfterStopping = 50 * time.Millisecond
	// retryAfterUnresumable is the Retry-After for a stream that no upstream may
	// continue: the version that began it has left, or isn't known.
	retryAfterUnresumable = 30 * time.Second
	// retryAfterQuarantine is the Retry-After for a request that crashes
	// engines.
	retryAfterQuarantine = 30 * time.Second
	// serviceKey is the key by which requests are split between the services of a
	// route, on all hosts alike.
	serviceKey = "service"
	// minTimeLeft is the time left below which nothing is sent any more.
	minTimeLeft = 20 * time.Millisecond
)

// stateReader reads this host's replica of the configuration and the
// upstreams.
type stateReader interface {
	State() replica.State
	Fresh() bool
	Staleness() time.Duration
}

// sender sends one request to one upstream.
type sender interface {
	Send(ctx context.Context, address, id, method string, head, body []byte) (*http1.Exchange, error)
	// HasIdle reports whether there is an idle connection to an address.
	HasIdle(address string) bool
}

// encoder encodes the heads of requests for upstreams; the body follows as it is.
type encoder interface {
	EncodeSend(dst []byte, s call.UpstreamRequest) []byte
}

// guard refuses requests that crash the upstreams that run them.
type guard interface {
	Admit(ctx context.Context, attempt string, c quarantine.Content) (release func(), refused *request.Failure)
	// IsQuarantined reports whether the request is quarantined now.
	IsQuarantined(attempt string, c quarantine.Content) bool
	Lost(l quarantine.Loss) (quarantined bool)
	// Started records that an upstream got past the first events of an answer.
	Started(attempt string, c quarantine.Content)
	Answered(attempt string, c quarantine.Content)
}

// reachability knows whether this host reaches any upstream of a service.
type reachability interface {
	// Isolated reports that it reaches none, ConnectionsFail that none accepts new
	// connections.
	Isolated(service string) bool
	ConnectionsFail(service string) bool
	// Sent records that a request was sent, Reached that an upstream answered on an
	// open connection, Connected that one accepted a connection, Failed that one did
	// not, and Refused that the address of an upstream refused it.
	Sent(service string)
	Reached(service string)
	Connected(service string)
	Failed(service, address string)
	Refused(service, address, upstream string)
}

// origins knows the software versions that began streams.
type origins interface {
	// Began records that an upstream of a software version began a stream, before
	// its first event is relayed.
	Began(ctx context.Context, service, id, version string)
	// Find returns the version at which a stream that has begun may continue.
	Find(ctx context.Context, service, id string) software.Origin
}

// accountLimits charges requests to the limits of accounts.
type accountLimits interface {
	// Take charges a request, or refuses it. GiveBack returns the charge of one that did
	// not run.
	Take(ctx context.Context, d account.Demand) (giveBack func(), refused account.Refusal)
}

// loadExchange exchanges load reports with the other hosts.
type loadExchange interface {
	// RemoteLoad returns the load of the other hosts at an engine.
	RemoteLoad(e loadreport.EngineHash) loadreport.Load
	// NotifyObserved reports parts that an engine has cached.
	NotifyObserved(parts ...loadreport.CachedPart)
	// FlushSoon triggers an early report to the other hosts.
	FlushSoon()
	// NotifyNotListening reports that an engine's address refuses connections,
	// NotifyLoaded which weights an engine has.
	NotifyNotListening(e loadreport.EngineHash)
	NotifyLoaded(l loadreport.LoadedWeights)
	// NotifyLeaving reports that an engine accepts no more requests.
	NotifyLeaving(l loadreport.Leaving)
	// NotifyLimit reports the limit that an engine named, or its end.
	NotifyLimit(l loadreport.Limit)
	// MaxStaleness returns the maximum age of the other hosts' load reports.
	MaxStaleness() time.Duration
}

// Options holds the dependencies and settings of a router.
type Options struct {
	Replica stateReader
	Sender  sender
	Encoder encoder
	Guard   guard
	Origins origins
	// Limits enforces the limits of accounts.
	Limits accountLimits
	// Reachability is told of connections to upstreams.
	Reachability reachability
	// Relays passes requests on to other hosts.
	Relays      Relays
	Tracker     *health.Tracker
	LoadReports loadExchange
	Migrator    migrator
	// Liveness checks engines that are idle in the middle of a stream.
	Liveness signsOfLife
	// Background runs migrations; the host waits for it when it stops. Lifetime ends with
	// the host, and with it the wait for migrations.
	Background *conc.WaitGroup
	Lifetime   context.Context
	// Stop returns the plan of this host's stop; zero if it isn't stopping.
	Stop func() plannedstop.Plan
	// Hosts returns the number of known hosts, which share the retry limits.
	Hosts func() int
	// Host is the name of this host, and LiveHosts returns those of all hosts that
	// share the limits of upstreams.
	Host      string
	LiveHosts func() []string
	// FailureDomain is that of this host.
	FailureDomain string
	// RetryLimits bounds the retries of all hosts to one service.
	RetryLimits retrybudget.Limits
	// OldWeightsGrace is how long older weights may still answer after newer
	// ones became the target.
	OldWeightsGrace time.Duration
	// Answers limits the answers that are held whole.
	Answers answerRoom
	// MaxRequestBytes bounds the bodies of all requests in progress.
	MaxRequestBytes int64
	Metrics         tally.Scope
}

// answerRoom limits the bytes of whole answers, from when they are read until their callers
// have taken them.
type answerRoom interface {
	// Take takes room for more bytes, and reports whether there is any.
	Take(bytes int) bool
	// Release gives back room that no caller's answer takes.
	Release(bytes int)
}

// Router forwards requests.
type Router struct {
	Options

	seed maphash.Seed
	// requestBytes counts the bytes of the bodies of requests in progress.
	requestBytes atomic.Int64
	// waiting counts the streams that wait for an upstream.
	waiting atomic.Int64
	// mu guards the fields below.
	mu          sync.Mutex
	budgets     map[string]*retrybudget.Budget
	peakHosts   retrybudget.PeakHosts
	cachedParts *cachemap.Map
	// streams holds the running streams by engine.
	streams map[string]map[*stream]struct{}
	// arriving counts the streams on their way to an engine.
	arriving map[string]int
	// sentTokens counts the prompt tokens that this host sent recently.
	sentTokens allocation.RateWindow
	// liveHosts are the hosts that share limits as of liveHostsAt.
	liveHosts   []string
	liveHostsAt clock.Instant
	// returns holds the callers of each service that were refused because of
	// limits.
	returns map[string]availability.ReturnQueue
	// meanInput is the mean prompt size of each service's recent requests.
	meanInput map[string]allocation.MeanInput
	// paces are the learnt corrections of expected waits by service.
	paces map[string]allocation.Pace
	// durations tells how long the streams of each route last.
	durations map[string]plannedstop.Durations
	// relayFailures are the hosts that did not serve relayed requests lately.
	relayFailures relay.Table
}

// New returns a router.
func New(o Options) *Router {
	return &Router{
		Options: o, seed: maphash.MakeSeed(), budgets: map[string]*retrybudget.Budget{}, cachedParts: cachemap.New(),
		streams: map[string]map[*stream]struct{}{}, arriving: map[string]int{}, paces: map[string]allocation.Pace{}, meanInput: map[string]allocation.MeanInput{}, returns: map[string]availability.ReturnQueue{}, durations: map[string]plannedstop.Durations{},
	}
}

// RemoveCachedParts records that an engine has dropped its cache.
func (r *Router) RemoveCachedParts(engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedParts.RemoveAll(loadreport.HashEngine(engine))
}

// AddCachedPart records a cached part that another host observed.
func (r *Router) AddCachedPart(s loadreport.CachedPart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cachedParts.Add(s.Engine, []cachemap.Key{cachemap.Key(s.Part)}, clock.Now())
}

// RemoveCachedPart records that a part was evicted, and reports whether it was
// assumed to be cached.
func (r *Router) RemoveCachedPart(s loadreport.CachedPart) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Part == loadreport.AllParts {
		r.cachedParts.RemoveAll(s.Engine)
		return true
	}
	return r.cachedParts.Remove(s.Engine, cachemap.Key(s.Part))
}

// Serve forwards a request and returns its answer. The context ends when the
// caller disconnects; it must stay alive until a stream is closed.
func (r *Router) Serve(ctx context.Context, c call.Call) call.Answer {
	h, refusal := r.admit(c)
	if refusal == nil {
		refusal = h.holdBody()
	}
	if refusal != nil {
		*refusal = unlessRan(*refusal, c)
		event.CallRefused.Info("Request", c.ID, "Reason", refusal.Reason, "Catalog", h.snapshot.Catalog.Version, "AgeMillis", r.Replica.Staleness().Milliseconds(), "RetryAfter", refusal.RetryAfter)
		r.recordMetrics(h, *refusal)
		return *refusal
	}
	ctx, cancel := context.WithTimeout(ctx, h.timeLeft())
	giveBack, refusal := h.charge(ctx, c.Prompt)
	release := func() {}
	if refusal == nil {
		release, refusal = h.admitByGuard(ctx)
	}
	if refusal != nil {
		cancel()
		h.releaseBody()
		giveBack()
		*refusal = unlessRan(*refusal, c)
		h.recordEnd(*refusal)
		return *refusal
	}
	h.ctx, h.release = ctx, sync.OnceFunc(func() { release(); cancel(); h.releaseBody() })
	answer := h.handle(ctx)
	if h.didNotRun(answer) {
		giveBack()
	}
	if s, ok := answer.Stream.(*stream); ok {
		s.addStream(s.attempt.id, s)
	} else {
		h.release()
		h.recordEnd(answer)
	}
	return answer
}

// admit resolves the route, account and service of a request, or refuses it.
func (r *Router) admit(c call.Call) (*handler, *call.Answer) {
	h := &handler{Router: r, call: c, snapshot: r.Replica.State(), tried: map[string]bool{}, spread: maphash.String(r.seed, c.ID)}
	refuse := func(reason call.Reason) (*handler, *call.Answer) {
		a := refusal(reason)
		return h, &a
	}
	if h.snapshot.Catalog.Version == 0 {
		return refuse(call.NotReady)
	}
	var ok bool
	if h.route, ok = h.snapshot.Catalog.Route(c.Host, c.Path); !ok {
		return refuse(r.unlessStale(call.NoRoute))
	}
	if !h.route.Public && !h.snapshot.Catalog.Open {
		if h.account, ok = h.snapshot.Catalog.AccountByKey(c.Key); !ok {
			return refuse(r.unlessStale(call.NoAccount))
		}
	}
	name := h.route.Service(placement.Score(serviceKey, c.Began()))
	if h.service, ok = h.snapshot.Catalog.Service(name); !ok {
		return refuse(call.NoUpstream)
	}
	if h.service.Engine == nil {
		// Plain services have no prompts; the headers are forwarded nevertheless.
		h.call.Prompt = call.Prompt{}
	}
	timeout := h.route.Timeout
	if c.Remaining > 0 && (timeout <= 0 || c.Remaining < timeout) {
		timeout = c.Remaining
	}
	h.deadline = c.Arrived.Add(timeout)
	c.Progress.SetDeadline(h.deadline)
	h.retryState = retry.State{Idempotent: h.route.MayRepeat(), MaxUpstreams: h.route.MaxUpstreams, MaybeExecuted: c.Attempts}
	switch {
	case c.Relayed && r.Reachability.Isolated(name):
		return refuse(call.Isolated)
	case h.outlastsHost():
		return refuse(call.Stopping)
	case h.timeLeft() < minTimeLeft:
		return refuse(call.DeadlinePast)
	}
	return h, nil
}

// smallBodyBytes is the size of a body that is always taken: the number of connections
// limits those.
const smallBodyBytes = 16 << 10

// holdBody counts the request's body among those of the requests in progress, or refuses
// the request if they would take too much memory.
func (h *handler) holdBody() *call.Answer {
	size := int64(len(h.call.Body))
	if held := h.requestBytes.Add(size); size <= smallBodyBytes || held <= h.MaxRequestBytes {
		return nil
	}
	h.releaseBody()
	h.Metrics.Counter("requests_too_large").Inc(1)
	a := refusal(call.Overloaded)
	return &a
}

// releaseBody ends what holdBody began.
func (h *handler) releaseBody() { h.requestBytes.Add(-int64(len(h.call.Body))) }

// outlastsHost reports whether this host stops and can't be expected to finish the request.
func (h *handler) outlastsHost() bool {
	h.mu.Lock()
	expected := h.durations[h.route.Name].Expected()
	h.mu.Unlock()
	return !h.call.Stop.Takes(plannedstop.Request{Deadline: h.deadline, Resumable: h.route.Resumable, Expected: expected}, clock.Now())
}

// refusal returns the answer to a request that is refused before it is sent.
func refusal(reason call.Reason) call.Answer {
	a := call.Refuse(reason)
	switch {
	case reason == call.NotReady:
		return a.WithRetryAfter(retryAfterStartup)
	case reason == call.Stopping:
		return a.WithRetryAfter(retryAfterStopping)
	case a.Status == 503:
		return a.WithRetryAfter(retryAfterShort)
	}
	return a
}

// unlessRan returns the answer to a request that is refused, or call.Unknown if an
// earlier attempt of it may have run at the host that passed it on. Refusals that ask
// for yet another host stay: the first host answers the caller then.
func unlessRan(a call.Answer, c call.Call) call.Answer {
	if c.Attempts == 0 || a.Status != 503 || a.Reason.Elsewhere() {
		return a
	}
	return call.Refuse(call.Unknown)
}

// unlessStale returns the reason, or call.Stale if the configuration may be too
// old to refuse a valid request.
func (r *Router) unlessStale(reason call.Reason) call.Reason {
	if r.Replica.Fresh() {
		return reason
	}
	return call.Stale
}

// tryRetry reports whether the budget of a service allows a retry, and counts
// it if so.
func (r *Router) tryRetry(service string, s retrybudget.Stage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).TryRetry(r.RetryLimits, s, r.sharingHosts(), clock.Now())
}

// allowsRetry reports whether the budget of a service allows a retry now.
func (r *Router) allowsRetry(service string, s retrybudget.Stage) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget(service).Allows(r.RetryLimits, s, r.sharingHosts(), clock.Now())
}

// sharingHosts returns the number of hosts that share the retry limits. The
// caller holds mu.
func (r *Router) sharingHosts() int {
	r.peakHosts = r.peakHosts.With(r.Hosts(), clock.Now())
	return r.peakHosts.Hosts()
}

// recordFirst counts the first attempt of a request to a service, with the tokens
// of its prompt.
func (r *Router) recordFirst(service string, input int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.meanInput[service] = r.meanInput[service].With(input)
	r.sharingHosts() // updates the peak at each request, since a partition may start before the first retry
	r.budget(service).RecordFirst(r.RetryLimits, clock.Now())
}

// budget returns a service's retry budget. The caller holds mu.
func (r *Router) budget(service string) *retrybudget.Budget {
	b, ok := r.budgets[service]
	if !ok {
		b = &retrybudget.Budget{}
		r.budgets[service] = b
	}
	return b
}

// recordMetrics adds an answer to the metrics.
func (r *Router) recordMetrics(h *handler, a call.Answer) {
	outcome := string(a.Reason)
	if outcome == "" {
		outcome = "Answered"
	}
	r.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
	r.Metrics.Histogram("request_time", timeBuckets).RecordDuration(clock.Now().Sub(h.call.Arrived))
}

// timeBuckets are the bucket bounds of the duration histograms.
var timeBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond,
	600 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 15 * time.Second,
}
