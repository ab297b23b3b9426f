// Package departuregossip tells other hosts which upstreams are leaving, so that a
// host whose view of the host list is old gives them no new work either. The
// decisions are those of package departure.
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
	// interval is the time between two rounds of notices.
	interval = time.Second
	// fanOut is how many hosts get the notices of a round.
	fanOut = 2
	// callTimeout bounds one round.
	callTimeout = time.Second
)

// connections gives connections to other hosts.
type connections interface {
	Conn(ctx context.Context, address string) drpc.Conn
	Context(ctx context.Context) context.Context
}

// Options is what a board needs.
type Options struct {
	// Listed returns the upstreams that the host list shows as leaving.
	Listed func() []string
	// Peers returns the addresses of the other hosts.
	Peers       func() []string
	Connections connections
}

// Board holds what this host knows of departures.
type Board struct {
	Options

	// mu guards news.
	mu   sync.Mutex
	news departure.News
}

// NewBoard returns a board that exchanges notices until the context ends.
func NewBoard(ctx context.Context, wait *conc.WaitGroup, o Options) *Board {
	b := &Board{Options: o}
	wait.Go(func() { clock.Every(ctx, interval, b.round) })
	return b
}

// Leaving tells whether an upstream gets no new work.
func (b *Board) Leaving(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.news.Leaving(name, time.Now())
}

// merge adds notices and returns all of them.
func (b *Board) merge(more []departure.Notice) []departure.Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.news = b.news.With(time.Now(), more...)
	return b.news.Notices()
}

// round confirms what the host list shows and passes all notices on.
func (b *Board) round(ctx context.Context) {
	now := time.Now()
	var confirmed []departure.Notice
	for _, name := range b.Listed() {
		confirmed = append(confirmed, departure.Notice{Upstream: name, Confirmed: now})
	}
	notices := b.merge(confirmed)
	if len(notices) == 0 {
		return
	}
	request := &peerpb.AnnounceRequest{}
	for _, n := range notices {
		request.Notices = append(request.Notices, &peerpb.DepartureNotice{Upstream: n.Upstream, AgeMillis: time.Since(n.Confirmed).Milliseconds()})
	}
	peers := b.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait conc.WaitGroup
	defer wait.Wait()
	for _, address := range peers[:min(fanOut, len(peers))] {
		wait.Go(func() { b.announce(ctx, address, request) })
	}
}

func (b *Board) announce(ctx context.Context, address string, request *peerpb.AnnounceRequest) {
	conn := b.Connections.Conn(ctx, address)
	defer func() { _ = conn.Close() }()
	if _, err := peerpb.NewDRPCDeparturesClient(conn).Announce(b.Connections.Context(ctx), request); err != nil && ctx.Err() == nil {
		event.CrashShareFailed.Info("Peer", address, "Reason", err.Error())
	}
}

// Announce implements peerpb.DRPCDeparturesServer.
func (b *Board) Announce(_ context.Context, in *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	if len(in.GetNotices()) > departure.Capacity {
		return nil, trace.LimitExceeded("a call holds at most %d notices", departure.Capacity)
	}
	now := time.Now()
	var notices []departure.Notice
	for _, n := range in.GetNotices() {
		age := time.Duration(max(n.GetAgeMillis(), 0)) * time.Millisecond
		notices = append(notices, departure.Notice{Upstream: n.GetUpstream(), Confirmed: now.Add(-age)})
	}
	b.merge(notices)
	return &peerpb.AnnounceReply{}, nil
}
