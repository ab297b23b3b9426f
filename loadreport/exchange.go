package loadreport

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

const (
	// FlushSoon may shorten the interval between two reports to
	// 1/flushIntervalDivisor of it.
	flushIntervalDivisor = 4
	// maxDatagramBytes is the largest expected size of a datagram.
	maxDatagramBytes = 1400
	// maxPartsPerMessage limits the cached parts in one message.
	maxPartsPerMessage = 80
	// maxEnginesPerMessage limits the engines per kind of update in one message.
	maxEnginesPerMessage = 40
	// maxQueuedParts limits the cached parts that wait to be sent.
	maxQueuedParts = 1024
	// peersInterval is the time between two refreshes of the list of peers.
	peersInterval = 500 * time.Millisecond
)

// Options configures an Exchanger.
type Options struct {
	// Listen is this host's IP:port. Port is the port on which other hosts
	// receive load reports; 0 means the port of Listen.
	Listen string
	Port   uint16
	// Host and FailureDomain are the names of this host and its failure domain.
	Host, FailureDomain string
	// Peers returns the other hosts.
	Peers func() []Peer
	// Loads returns the load that this host puts on each engine.
	Loads func() map[EngineHash]Load
	// NotifyObserved and NotifyEvicted receive cache observations of other hosts,
	// NotifyNotListening an engine at whose address another host found no listener.
	NotifyObserved, NotifyEvicted func(CachedPart)
	NotifyNotListening            func(EngineHash)
	// NotifyLoaded receives the weights version that another host found loaded at
	// an engine.
	NotifyLoaded func(LoadedWeights)
	// NotifyLeaving receives an engine that announced to another host that it is
	// leaving.
	NotifyLeaving func(Leaving)
	// NotifyLimit receives a limit that an engine named to another host, or its
	// end.
	NotifyLimit func(Limit)
}

// Exchanger sends and receives load reports.
type Exchanger struct {
	Options

	conn  *net.UDPConn
	flush chan struct{}
	port  uint16
	// mu guards the fields below.
	mu    sync.Mutex
	view  *View
	peers []Peer
	// updatesSequence numbers the Updates messages sent as aggregator.
	updatesSequence uint64
	// ownUpdates come from this host, collectedUpdates from hosts for which it
	// aggregates.
	ownUpdates, collectedUpdates Updates
}

// add appends the updates of each kind that has not reached its limit.
func (u *Updates) add(more Updates) {
	if len(u.Observed) < maxQueuedParts {
		u.Observed = append(u.Observed, more.Observed...)
	}
	if len(u.Evicted) < maxQueuedParts {
		u.Evicted = append(u.Evicted, more.Evicted...)
	}
	if len(u.NotListening) < maxEnginesPerMessage {
		u.NotListening = append(u.NotListening, more.NotListening...)
	}
	if len(u.Loaded) < maxEnginesPerMessage {
		u.Loaded = append(u.Loaded, more.Loaded...)
	}
	if len(u.Leaving) < maxEnginesPerMessage {
		u.Leaving = append(u.Leaving, more.Leaving...)
	}
	if len(u.Limits) < maxEnginesPerMessage {
		u.Limits = append(u.Limits, more.Limits...)
	}
}

// isEmpty reports whether there are no updates.
func (u *Updates) isEmpty() bool {
	return len(u.Observed) == 0 && len(u.Evicted) == 0 && len(u.NotListening) == 0 && len(u.Loaded) == 0 && len(u.Leaving) == 0 && len(u.Limits) == 0
}

// takeBatch removes and returns the updates for one message. Evicted parts go
// first: wrongly assuming that a part is cached costs more than missing a cached
// one.
func (u *Updates) takeBatch() Updates {
	batch := Updates{NotListening: u.NotListening, Loaded: u.Loaded, Leaving: u.Leaving, Limits: u.Limits}
	u.NotListening, u.Loaded, u.Leaving, u.Limits = nil, nil, nil, nil
	batch.Evicted = u.Evicted[:min(len(u.Evicted), maxPartsPerMessage)]
	u.Evicted = u.Evicted[len(batch.Evicted):]
	batch.Observed = u.Observed[:min(len(u.Observed), maxPartsPerMessage-len(batch.Evicted))]
	u.Observed = u.Observed[len(batch.Observed):]
	return batch
}

// NewExchanger returns an Exchanger that runs until the context ends.
func NewExchanger(ctx context.Context, wait *conc.WaitGroup, o Options) (*Exchanger, error) {
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "parsing the load report address")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, trace.Wrap(err, "listening for load reports")
	}
	x := &Exchanger{Options: o, conn: conn, flush: make(chan struct{}, 1), port: cmp.Or(o.Port, address.Port()), view: NewView(HashName(o.Host), HashName(o.FailureDomain), clock.Now())}
	wait.Go(func() {
		<-ctx.Done()
		_ = conn.Close()
	})
	wait.Go(func() { x.receive(ctx) })
	wait.Go(func() { x.send(ctx) })
	return x, nil
}

// FlushSoon sends the next load report early. It is called when the load of
// this host has changed much.
func (x *Exchanger) FlushSoon() {
	select {
	case x.flush <- struct{}{}:
	default:
	}
}

// NotifyObserved sends observed cached parts with the next load report.
func (x *Exchanger) NotifyObserved(parts ...CachedPart) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ownUpdates.add(Updates{Observed: parts})
}

// NotifyEvicted sends evicted parts with the next load report.
func (x *Exchanger) NotifyEvicted(parts ...CachedPart) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ownUpdates.add(Updates{Evicted: parts})
}

// NotifyNotListening sends early that nothing listens at an engine's address.
func (x *Exchanger) NotifyNotListening(e EngineHash) {
	x.sendSoon(Updates{NotListening: []EngineHash{e}})
}

// NotifyLoaded sends early which weights version an engine has loaded.
func (x *Exchanger) NotifyLoaded(l LoadedWeights) {
	x.sendSoon(Updates{Loaded: []LoadedWeights{l}})
}

// NotifyLeaving sends early that an engine accepts no more requests.
func (x *Exchanger) NotifyLeaving(l Leaving) {
	x.sendSoon(Updates{Leaving: []Leaving{l}})
}

// NotifyLimit sends early the limit that an engine named, or its end.
func (x *Exchanger) NotifyLimit(l Limit) {
	x.sendSoon(Updates{Limits: []Limit{l}})
}

// sendSoon sends updates with an early load report.
func (x *Exchanger) sendSoon(u Updates) {
	x.mu.Lock()
	x.ownUpdates.add(u)
	x.mu.Unlock()
	x.FlushSoon()
}

// RemoteLoad returns the load that the other hosts put on an engine.
func (x *Exchanger) RemoteLoad(e EngineHash) Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.RemoteLoad(e, clock.Now())
}

// Alive reports whether a report about the host arrived within aliveTimeout.
func (x *Exchanger) Alive(host string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.Alive(HashName(host), clock.Now())
}

// SeenRecently reports whether a report about the host arrived within
// recentTimeout.
func (x *Exchanger) SeenRecently(host string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.SeenRecently(HashName(host), clock.Now())
}

// MaxStaleness returns the maximum age of other hosts' loads if no report is
// lost.
func (x *Exchanger) MaxStaleness() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.MaxStaleness()
}

// receive handles incoming messages until the socket is closed.
func (x *Exchanger) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := x.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				event.ListenerFailed.Error(err, "Address", x.Listen)
			}
			return
		}
		x.handle(buffer[:n])
	}
}

// handle decodes and applies one message.
func (x *Exchanger) handle(raw []byte) {
	m, err := Decode(raw)
	if err != nil {
		return
	}
	var updates *Updates
	switch m := m.(type) {
	case Report:
		updates = x.handleReport(m)
	case Summary:
		x.handleSummary(m, raw)
	case Updates:
		updates = x.handleUpdates(m, raw)
	}
	if updates == nil {
		return
	}
	for _, p := range updates.Observed {
		x.Options.NotifyObserved(p)
	}
	for _, p := range updates.Evicted {
		x.Options.NotifyEvicted(p)
	}
	for _, e := range updates.NotListening {
		x.Options.NotifyNotListening(e)
	}
	for _, l := range updates.Loaded {
		x.Options.NotifyLoaded(l)
	}
	for _, l := range updates.Leaving {
		x.Options.NotifyLeaving(l)
	}
	for _, l := range updates.Limits {
		x.Options.NotifyLimit(l)
	}
}

func (x *Exchanger) handleReport(r Report) *Updates {
	x.mu.Lock()
	defer x.mu.Unlock()
	if r.Host == x.view.self {
		return nil
	}
	x.view.ReceiveReport(r, clock.Now())
	if !x.view.Direct() {
		x.collectedUpdates.add(r.Updates)
	}
	return &r.Updates
}

func (x *Exchanger) handleSummary(s Summary, raw []byte) {
	x.mu.Lock()
	forward := s.Aggregator != x.view.self && x.view.ReceiveSummary(s, clock.Now()) && x.isAggregator()
	x.mu.Unlock()
	if forward {
		x.sendToDomain(raw)
	}
}

func (x *Exchanger) handleUpdates(u Updates, raw []byte) *Updates {
	x.mu.Lock()
	forward := x.view.ReceiveUpdates(u, clock.Now()) && x.isAggregator()
	own := u.Aggregator == x.view.self
	x.mu.Unlock()
	if forward {
		x.sendToDomain(raw)
	}
	if own {
		return nil
	}
	return &u
}

// isAggregator reports whether this host aggregates. The caller holds mu.
func (x *Exchanger) isAggregator() bool {
	return !x.view.Direct() && x.view.Aggregator(clock.Now()) == x.view.self
}

// send sends load reports until the context ends.
func (x *Exchanger) send(ctx context.Context) {
	sequence, lastSent, lastRefresh := uint64(0), clock.Instant(0), clock.Instant(0)
	for ctx.Err() == nil {
		now := clock.Now()
		if now.Sub(lastRefresh) >= peersInterval {
			lastRefresh = now
			x.refreshPeers(now)
		}
		x.mu.Lock()
		interval := x.view.Interval()
		x.mu.Unlock()
		pause(ctx, interval/flushIntervalDivisor, nil)
		pause(ctx, interval-interval/flushIntervalDivisor, x.flush)
		sequence++
		if x.sendOnce(sequence, clock.Now().Sub(lastSent) >= IdleInterval) {
			lastSent = clock.Now()
		}
	}
}

// refreshPeers updates the list of peers and removes expired entries.
func (x *Exchanger) refreshPeers(now clock.Instant) {
	peers := x.Peers()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = peers
	x.view.SetPeers(peers)
	x.view.RemoveExpired(now)
}

// sendOnce sends this host's report, or its summary and updates if it
// aggregates, and reports whether it sent anything. An empty report is sent only
// if idle is set.
func (x *Exchanger) sendOnce(sequence uint64, idle bool) bool {
	loads := x.Loads()
	x.mu.Lock()
	now := clock.Now()
	direct, aggregator := x.view.Direct(), x.view.Aggregator(now)
	if s, ok := x.view.Summarize(loads, sequence, now); ok {
		x.collectedUpdates.add(x.ownUpdates)
		x.ownUpdates = Updates{}
		messages := [][]byte{s.Encode(make([]byte, 0, maxDatagramBytes))}
		for !x.collectedUpdates.isEmpty() {
			u := x.collectedUpdates.takeBatch()
			x.updatesSequence++
			u.Domain, u.Aggregator, u.Sequence = s.Domain, s.Aggregator, x.updatesSequence
			messages = append(messages, u.Encode(make([]byte, 0, maxDatagramBytes)))
		}
		x.mu.Unlock()
		for _, m := range messages {
			x.sendToDomain(m)
			x.sendToAggregators(m)
		}
		return true
	}
	x.collectedUpdates = Updates{}
	u := x.ownUpdates.takeBatch()
	x.view.SetLastSent(loads)
	x.mu.Unlock()
	if len(loads) == 0 && u.isEmpty() && !idle {
		return false
	}
	r := Report{Host: HashName(x.Host), Sequence: sequence, Loads: loads, Updates: u}
	x.sendTo(r.Encode(make([]byte, 0, maxDatagramBytes)), func(peer Peer) bool { return direct || peer.Host == aggregator })
	return true
}

// sendToDomain sends a message to the other hosts of this failure domain.
func (x *Exchanger) sendToDomain(raw []byte) {
	x.sendTo(raw, func(p Peer) bool { return p.Domain == HashName(x.FailureDomain) })
}

// sendToAggregators sends a message to the aggregators of the other failure
// domains; where one is unknown, to the first hosts by rank.
func (x *Exchanger) sendToAggregators(raw []byte) {
	x.mu.Lock()
	aggregators := x.view.OtherAggregators(clock.Now())
	x.mu.Unlock()
	x.sendTo(raw, func(p Peer) bool { return aggregators[p.Host] })
}

// sendTo sends a message to the peers that match.
func (x *Exchanger) sendTo(raw []byte, match func(Peer) bool) {
	x.mu.Lock()
	peers := x.peers
	x.mu.Unlock()
	for _, p := range peers {
		if !match(p) {
			continue
		}
		if address, err := netip.ParseAddr(p.IP); err == nil {
			// A failed send is the same as a lost datagram.
			_, _ = x.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(address, x.port))
		}
	}
}

// pause waits for a duration, the end of the context or a signal.
func pause(ctx context.Context, d time.Duration, signal <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
	case <-timer.C:
	}
}
