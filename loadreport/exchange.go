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
	// urgent is the part of the interval after which news of a long prompt
	// are sent.
	urgent = 4
	// maxBytes is the largest datagram that is expected.
	maxBytes = 1400
	// maxSeen bounds the sightings of one message.
	maxSeen = 80
	// maxEngines bounds the engines of each kind of news in one message.
	maxEngines = 40
	// queued bounds the sightings that wait.
	queued = 1024
	// peersInterval is the time between two looks at who the other hosts are.
	peersInterval = 500 * time.Millisecond
)

// Options is what an exchange needs.
type Options struct {
	// Listen is this host's IP:port, Port where other hosts take pulses; 0 is
	// the port of Listen.
	Listen string
	Port   uint16
	// Host and FailureDomain are the names of this host and of its place.
	Host, FailureDomain string
	// Others returns the other hosts.
	Others func() []Peer
	// Loads returns what this host has at engines.
	Loads func() map[Engine]Load
	// Saw and Dropped take sightings of other hosts, Down an engine that
	// another host found nobody to listen at.
	Saw, Dropped func(Sighting)
	Down         func(Engine)
	// Loaded takes the weights that another host found an engine to have.
	Loaded func(Loaded)
	// Leaving takes an engine that told another host that it leaves.
	Leaving func(Leaving)
}

// Exchange sends and takes pulses.
type Exchange struct {
	Options

	conn *net.UDPConn
	kick chan struct{}
	port uint16
	// mu guards the fields below.
	mu    sync.Mutex
	view  *View
	peers []Peer
	// gatherings counts the messages with gathered news.
	gatherings uint64
	// own are news of this host, gathered those of others to be passed on.
	own, gathered News
}

// add adds news as long as there is room.
func (n *News) add(more News) {
	if len(n.Seen) < queued {
		n.Seen = append(n.Seen, more.Seen...)
	}
	if len(n.Dropped) < queued {
		n.Dropped = append(n.Dropped, more.Dropped...)
	}
	if len(n.Down) < maxEngines {
		n.Down = append(n.Down, more.Down...)
	}
	if len(n.Loaded) < maxEngines {
		n.Loaded = append(n.Loaded, more.Loaded...)
	}
	if len(n.Leaving) < maxEngines {
		n.Leaving = append(n.Leaving, more.Leaving...)
	}
}

// empty tells whether there are none.
func (n *News) empty() bool {
	return len(n.Seen) == 0 && len(n.Dropped) == 0 && len(n.Down) == 0 && len(n.Loaded) == 0 && len(n.Leaving) == 0
}

// take takes what goes into one message, what was dropped first: a part that
// is wrongly believed costs more than one that is not known.
func (n *News) take() News {
	taken := News{Down: n.Down, Loaded: n.Loaded, Leaving: n.Leaving}
	n.Down, n.Loaded, n.Leaving = nil, nil, nil
	taken.Dropped = n.Dropped[:min(len(n.Dropped), maxSeen)]
	n.Dropped = n.Dropped[len(taken.Dropped):]
	taken.Seen = n.Seen[:min(len(n.Seen), maxSeen-len(taken.Dropped))]
	n.Seen = n.Seen[len(taken.Seen):]
	return taken
}

// NewExchange exchanges pulses until the context ends.
func NewExchange(ctx context.Context, wait *conc.WaitGroup, o Options) (*Exchange, error) {
	address, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "reading the address for pulses")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, trace.Wrap(err, "listening for pulses")
	}
	x := &Exchange{Options: o, conn: conn, kick: make(chan struct{}, 1), port: cmp.Or(o.Port, address.Port()), view: NewView(Name(o.Host), Name(o.FailureDomain), clock.Now())}
	wait.Go(func() {
		<-ctx.Done()
		_ = conn.Close()
	})
	wait.Go(func() { x.receive(ctx) })
	wait.Go(func() { x.send(ctx) })
	return x, nil
}

// Hurry has the next pulse sent soon, since what this host has at engines
// changed much.
func (x *Exchange) Hurry() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}

// Saw tells the other hosts of sightings with the next pulse.
func (x *Exchange) Saw(seen ...Sighting) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.own.add(News{Seen: seen})
}

// Dropped tells the other hosts of parts that are no longer held.
func (x *Exchange) Dropped(dropped ...Sighting) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.own.add(News{Dropped: dropped})
}

// Down tells the other hosts soon that nobody listens at an engine's address.
func (x *Exchange) Down(e Engine) {
	x.mu.Lock()
	x.own.add(News{Down: []Engine{e}})
	x.mu.Unlock()
	x.Hurry()
}

// Loaded tells the other hosts soon of the weights that an engine has.
func (x *Exchange) Loaded(l Loaded) {
	x.mu.Lock()
	x.own.add(News{Loaded: []Loaded{l}})
	x.mu.Unlock()
	x.Hurry()
}

// Leaving tells the other hosts soon that an engine takes no more requests.
func (x *Exchange) Leaving(l Leaving) {
	x.mu.Lock()
	x.own.add(News{Leaving: []Leaving{l}})
	x.mu.Unlock()
	x.Hurry()
}

// Elsewhere returns what the other hosts have at an engine.
func (x *Exchange) Elsewhere(e Engine) Load {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.Elsewhere(e, clock.Now())
}

// Alive tells whether a host was heard of lately.
func (x *Exchange) Alive(host string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.Alive(Name(host), clock.Now())
}

// Heard tells whether a host was heard of just now.
func (x *Exchange) Heard(host string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.Heard(Name(host), clock.Now())
}

// Pace returns how old what other hosts told is at most.
func (x *Exchange) Pace() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.view.Pace()
}

// receive takes pulses until the socket is closed.
func (x *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := x.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				event.DoorFailed.Error(err, "Address", x.Listen)
			}
			return
		}
		x.take(buffer[:n])
	}
}

// take takes one message.
func (x *Exchange) take(raw []byte) {
	m, err := Decode(raw)
	if err != nil {
		return
	}
	var n *News
	switch m := m.(type) {
	case Pulse:
		n = x.takePulse(m)
	case Summary:
		x.takeSummary(m, raw)
	case News:
		n = x.takeNews(m, raw)
	}
	if n == nil {
		return
	}
	for _, s := range n.Seen {
		x.Options.Saw(s)
	}
	for _, s := range n.Dropped {
		x.Options.Dropped(s)
	}
	for _, e := range n.Down {
		x.Options.Down(e)
	}
	for _, l := range n.Loaded {
		x.Options.Loaded(l)
	}
	for _, l := range n.Leaving {
		x.Options.Leaving(l)
	}
}

func (x *Exchange) takePulse(p Pulse) *News {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p.Host == x.view.self {
		return nil
	}
	x.view.Report(p, clock.Now())
	if !x.view.Direct() {
		x.gathered.add(p.News)
	}
	return &p.News
}

func (x *Exchange) takeSummary(s Summary, raw []byte) {
	x.mu.Lock()
	pass := s.Gatherer != x.view.self && x.view.Summary(s, clock.Now()) && x.gathers()
	x.mu.Unlock()
	if pass {
		x.toDomain(raw)
	}
}

func (x *Exchange) takeNews(n News, raw []byte) *News {
	x.mu.Lock()
	pass := x.view.News(n, clock.Now()) && x.gathers()
	own := n.Gatherer == x.view.self
	x.mu.Unlock()
	if pass {
		x.toDomain(raw)
	}
	if own {
		return nil
	}
	return &n
}

// gathers tells whether this host gathers. The caller holds mu.
func (x *Exchange) gathers() bool {
	return !x.view.Direct() && x.view.Gatherer(clock.Now()) == x.view.self
}

// send sends pulses until the context ends.
func (x *Exchange) send(ctx context.Context) {
	number, told, looked := uint64(0), clock.Instant(0), clock.Instant(0)
	for ctx.Err() == nil {
		now := clock.Now()
		if now.Sub(looked) >= peersInterval {
			looked = now
			x.look(now)
		}
		x.mu.Lock()
		interval := x.view.Interval()
		x.mu.Unlock()
		pause(ctx, interval/urgent, nil)
		pause(ctx, interval-interval/urgent, x.kick)
		number++
		if x.tell(number, clock.Now().Sub(told) >= IdleInterval) {
			told = clock.Now()
		}
	}
}

// look takes the hosts that are known now.
func (x *Exchange) look(now clock.Instant) {
	peers := x.Others()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peers = peers
	x.view.WithPeers(peers)
	x.view.Forget(now)
}

// tell sends what this host has to tell, and returns whether it did.
func (x *Exchange) tell(number uint64, idle bool) bool {
	loads := x.Loads()
	x.mu.Lock()
	now := clock.Now()
	direct, gatherer := x.view.Direct(), x.view.Gatherer(now)
	if s, gathers := x.view.Summarize(loads, number, now); gathers {
		x.gathered.add(x.own)
		x.own = News{}
		messages := [][]byte{s.Encode(make([]byte, 0, maxBytes))}
		for !x.gathered.empty() {
			n := x.gathered.take()
			x.gatherings++
			n.Domain, n.Gatherer, n.Number = s.Domain, s.Gatherer, x.gatherings
			messages = append(messages, n.Encode(make([]byte, 0, maxBytes)))
		}
		x.mu.Unlock()
		for _, m := range messages {
			x.toDomain(m)
			x.toGatherers(m)
		}
		return true
	}
	x.gathered = News{}
	n := x.own.take()
	x.view.Told(loads)
	x.mu.Unlock()
	if len(loads) == 0 && n.empty() && !idle {
		return false
	}
	p := Pulse{Host: Name(x.Host), Number: number, Loads: loads, News: n}
	x.to(p.Encode(make([]byte, 0, maxBytes)), func(peer Peer) bool { return direct || peer.Host == gatherer })
	return true
}

// toDomain sends a message to the other hosts of this failure domain.
func (x *Exchange) toDomain(raw []byte) {
	x.to(raw, func(p Peer) bool { return p.Domain == Name(x.FailureDomain) })
}

// toGatherers sends a message to the hosts that gather for other failure
// domains; to the first in order where that is not known.
func (x *Exchange) toGatherers(raw []byte) {
	x.mu.Lock()
	gatherers := x.view.Others(clock.Now())
	x.mu.Unlock()
	x.to(raw, func(p Peer) bool { return gatherers[p.Host] })
}

// to sends a message to some hosts.
func (x *Exchange) to(raw []byte, wanted func(Peer) bool) {
	x.mu.Lock()
	peers := x.peers
	x.mu.Unlock()
	for _, p := range peers {
		if !wanted(p) {
			continue
		}
		if address, err := netip.ParseAddr(p.IP); err == nil {
			// A pulse that can't be sent is as one that was lost.
			_, _ = x.conn.WriteToUDPAddrPort(raw, netip.AddrPortFrom(address, x.port))
		}
	}
}

// pause waits for a duration, the end of the context or a sign.
func pause(ctx context.Context, d time.Duration, sign <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-sign:
	case <-timer.C:
	}
}
