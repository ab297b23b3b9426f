// Package departuregossip informs other hosts of upstreams that are leaving, so
// that hosts with an outdated host list give them no new work either.
// Package departure makes the decisions.
package departuregossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"
	"storj.io/drpc"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/departure"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/peerpb"
)

const (
	// roundInterval is the time between two rounds of notices.
	roundInterval = time.Second
	// fanOut is how many hosts receive the notices of a round.
	fanOut = 2
	// callTimeout bounds the calls of one round.
	callTimeout = time.Second
)

// connections provides connections to other hosts.
type connections interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// Options configures a Gossiper.
type Options struct {
	// ListedLeaving returns the upstreams that are leaving according to the
	// host list.
	ListedLeaving func() []string
	// Peers returns the addresses of the other hosts.
	Peers       func() []string
	Connections connections
}

// Gossiper exchanges departures with other hosts and holds those known to this
// host.
type Gossiper struct {
	Options

	// mu guards departures.
	mu         sync.Mutex
	departures departure.Set
}

// NewGossiper returns a gossiper that sends notices until the context ends.
func NewGossiper(ctx context.Context, wait *conc.WaitGroup, o Options) *Gossiper {
	g := &Gossiper{Options: o}
	wait.Go(func() { clock.Every(ctx, roundInterval, g.runRound) })
	return g
}

// Leaving reports whether an upstream is leaving and gets no new work.
func (g *Gossiper) Leaving(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.departures.Leaving(name, time.Now())
}

// merge adds notices and returns all of them.
func (g *Gossiper) merge(more []departure.Notice) []departure.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.departures = g.departures.With(time.Now(), more...)
	return g.departures.Notices()
}

// runRound confirms the departures in the host list and sends all notices.
func (g *Gossiper) runRound(ctx context.Context) {
	now := time.Now()
	var confirmed []departure.Notice
	for _, name := range g.ListedLeaving() {
		confirmed = append(confirmed, departure.Notice{Upstream: name, Confirmed: now})
	}
	notices := g.merge(confirmed)
	if len(notices) == 0 {
		return
	}
	request := &peerpb.AnnounceRequest{}
	for _, n := range notices {
		request.Notices = append(request.Notices, &peerpb.DepartureNotice{Upstream: n.Upstream, AgeMillis: time.Since(n.Confirmed).Milliseconds()})
	}
	peers := g.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait conc.WaitGroup
	defer wait.Wait()
	for _, address := range peers[:min(fanOut, len(peers))] {
		wait.Go(func() { g.announce(ctx, address, request) })
	}
}

func (g *Gossiper) announce(ctx context.Context, address string, request *peerpb.AnnounceRequest) {
	conn := g.Connections.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	if _, err := peerpb.NewDRPCDeparturesClient(conn).Announce(g.Connections.Context(ctx), request); err != nil && ctx.Err() == nil {
		event.CrashShareFailed.Info("Peer", address, "Reason", err.Error())
	}
}

// Announce implements peerpb.DRPCDeparturesServer.
func (g *Gossiper) Announce(_ context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	if len(in.GetNotices()) > departure.Capacity {
		return nil, trace.LimitExceeded("a call may contain at most %d notices", departure.Capacity)
	}
	now := time.Now()
	var notices []departure.Notice
	for _, n := range in.GetNotices() {
		age := time.Duration(max(n.GetAgeMillis(), 0)) * time.Millisecond
		notices = append(notices, departure.Notice{Upstream: n.GetUpstream(), Confirmed: now.Add(-age)})
	}
	g.merge(notices)
	return &peerpb.AnnounceReply{}, nil
}
