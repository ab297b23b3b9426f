// Package host maintains the directory of the system's hosts: which are alive or
// leaving, and which addresses callers may use. It runs package membership over
// the connections to peers and the platform's host list.
package host

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// pollInterval is the minimum mean time between two reads of the host list.
	pollInterval = time.Second
	// listBytesPerSecond bounds the traffic of reading the host list; between
	// reads, heartbeats carry what other hosts have read.
	listBytesPerSecond = 1000
	// entryBytes is the approximate size of one host on the list.
	entryBytes = 200
)

// lister is the platform's host list.
type lister interface {
	Hosts(ctx context.Context) ([]registry.Host, error)
}

// Options configures a Directory.
type Options struct {
	// Self is this host; Announce sets its addresses.
	Self membership.Identity
	// List is the platform's host list.
	List lister
	// Pool connects to other hosts.
	Pool *peer.Pool
	// Status returns this host's load level, from 0 to 3, and the log offset
	// that its configuration is folded up to.
	Status func() membership.Tick
	// OnHeartbeat, if set, is called with the sender and the log position of
	// each received heartbeat.
	OnHeartbeat func(sender string, position int64)
}

// Directory holds this host's view of all hosts.
type Directory struct {
	Options

	// listed is the last read host list, upstream hosts included.
	listed atomic.Pointer[[]registry.Host]
	// hosts holds the hosts of the current view.
	hosts atomic.Pointer[[]membership.Host]
	// departing reports whether any host's list shows an upstream as leaving.
	departing atomic.Pointer[func(name string) bool]

	// mu guards the fields below; it is never held during I/O.
	mu     sync.Mutex
	view   membership.View
	random *rand.Rand
	links  map[string]*link
	// changed is closed at the next change of hosts.
	changed chan struct{}
	wait    *conc.WaitGroup
	ctx     context.Context
}

// NewDirectory starts a directory that reads the host list and exchanges
// heartbeats until the context ends. The caller registers the directory with
// the peer server.
func NewDirectory(ctx context.Context, wait *conc.WaitGroup, o Options) *Directory {
	now := time.Now()
	d := &Directory{
		Options: o, ctx: ctx, wait: wait, links: map[string]*link{}, changed: make(chan struct{}),
		view:   membership.New(o.Self, now.UnixMilli(), now),
		random: rand.New(rand.NewPCG(uint64(now.UnixNano()), 0)),
	}
	d.listed.Store(&[]registry.Host{})
	d.publish()
	wait.Go(func() { d.pollList(ctx) })
	wait.Go(func() { every(ctx, membership.TickInterval, func(context.Context) { d.apply(d.Status()) }) })
	return d
}

// every runs a function immediately and then at an interval until the context
// ends.
func every(ctx context.Context, interval time.Duration, run func(context.Context)) {
	run(ctx)
	clock.Every(ctx, interval, run)
}

// pollList reads the host list until the context ends: the longer the list, the
// less often, and with jitter so that hosts don't read at the same time.
func (d *Directory) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		d.poll(ctx)
		size := len(*d.listed.Load()) * entryBytes
		mean := max(pollInterval, time.Duration(size)*time.Second/listBytesPerSecond)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(mean))):
		}
	}
}

// poll reads the host list once; after an error the last read list stays.
func (d *Directory) poll(ctx context.Context) {
	hosts, err := d.List.Hosts(ctx)
	if err != nil {
		if ctx.Err() == nil {
			event.HostListUnreachable.Error(err)
		}
		return
	}
	d.listed.Store(&hosts)
	var in membership.HostList
	for _, h := range hosts {
		if h.Role != registry.EntryHost {
			if h.State == registry.Leaving {
				in.Departing = append(in.Departing, h.Name)
			}
			continue
		}
		in.Hosts = append(in.Hosts, membership.ListedHost{
			Identity: membership.Identity{Name: h.Name, FailureDomain: h.FailureDomain, Region: h.Region, Callers: h.Callers, Peers: h.Peers},
			Leaving:  h.State == registry.Leaving,
		})
	}
	d.apply(in)
}

// apply applies an input to the view and sends the resulting messages.
func (d *Directory) apply(in membership.Input) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.view.Changes()
	v, out := d.view.Step(in, time.Now(), d.random)
	d.view = v
	if v.Changes() != before {
		d.publish()
		close(d.changed)
		d.changed = make(chan struct{})
	}
	for _, o := range out {
		d.send(o)
	}
}

// publish publishes the view's hosts to readers and logs the changes. The caller
// holds mu, or is the constructor.
func (d *Directory) publish() {
	departing := d.view.Departing
	d.departing.Store(&departing)
	hosts := d.view.Hosts()
	before := d.hosts.Swap(&hosts)
	if before == nil {
		return
	}
	states := make(map[string]membership.State, len(*before))
	for _, h := range *before {
		states[h.Name] = h.State
	}
	for _, h := range hosts {
		previous, known := states[h.Name]
		delete(states, h.Name)
		if !known || previous != h.State {
			event.MemberChanged.Info("Host", h.Name, "State", h.State)
		}
	}
	for name := range states {
		event.MemberChanged.Info("Host", name, "State", membership.Failed)
	}
}

// Announce announces this host's addresses (IP:port) to the other hosts.
func (d *Directory) Announce(callers, peers string) {
	d.apply(membership.Announce{Callers: callers, Peers: peers})
}

// Leave announces to the other hosts that this one is leaving.
func (d *Directory) Leave() { d.apply(membership.Leave{}) }

// Changed returns a channel that is closed at the next change of the hosts.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Hosts returns every entry host that has not failed, ordered by name. The
// result is shared and must not be modified.
func (d *Directory) Hosts() []membership.Host { return *d.hosts.Load() }

// Entries returns the entry hosts that accept work, ordered by name. Placement
// chooses owners among these.
func (d *Directory) Entries() []registry.Host {
	return d.filter(func(h membership.Host) bool { return !h.Leaving })
}

// Peers returns every other entry host that has not failed, leaving ones
// included, ordered by name.
func (d *Directory) Peers() []registry.Host {
	return d.filter(func(h membership.Host) bool { return h.Name != d.Self.Name })
}

func (d *Directory) filter(accepts func(membership.Host) bool) []registry.Host {
	var found []registry.Host
	for _, h := range d.Hosts() {
		if !accepts(h) {
			continue
		}
		state := registry.Live
		if h.Leaving {
			state = registry.Leaving
		}
		found = append(found, registry.Host{
			Name: h.Name, Role: registry.EntryHost, FailureDomain: h.FailureDomain, Region: h.Region,
			State: state, Callers: h.Callers, Peers: h.Peers,
		})
	}
	return found
}

// Leaving reports whether this host's or another host's read of the host list
// shows the named upstream host as leaving.
func (d *Directory) Leaving(name string) bool {
	listed := slices.ContainsFunc(*d.listed.Load(), func(h registry.Host) bool {
		return h.Name == name && h.State == registry.Leaving
	})
	return listed || (*d.departing.Load())(name)
}
