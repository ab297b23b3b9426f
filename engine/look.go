package engine

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/routing"
)

const (
	// askTimeout bounds the wait for a keeper's answer. Without one the choice
	// goes by hash order.
	askTimeout = 25 * time.Millisecond
	// statusTimeout bounds the wait for keepers when nobody's request waits.
	statusTimeout = 300 * time.Millisecond
	// askedKeepers bounds the keepers that are asked for one request.
	askedKeepers = 2
	// lookAge is how long an answer about the same prefix is used again.
	lookAge = time.Second
	// lookExpiry is how long an answer says anything of an engine.
	lookExpiry = 3 * time.Second
	// maxLooks bounds the answers that are kept.
	maxLooks = 1024
	// maxLookEngines and maxLookPieces bound what a peer may ask for.
	maxLookEngines = 64
	maxLookPieces  = 64
)

// look is what is known of one engine for one prompt.
type look struct {
	known, reachable, leaving, loading, joined bool
	incarnation                                int64
	version                                    string
	report                                     routing.Report
	fence                                      int64
	role                                       string
	adapters                                   []string
	// piece is the deepest piece that levels was asked for.
	piece  uint64
	levels int
	trust  float64
	// at is when the look was taken.
	at time.Duration
}

// levelsHeld returns how many levels are believed to be cached, by the last
// piece of each.
func levelsHeld(b *cacheindex.Index, pieces []uint64, now time.Duration) int {
	for i := len(pieces); i > 0; i-- {
		if pieces[i-1] != 0 && b.Holds(prefix.Key(pieces[i-1]), now) {
			return i
		}
	}
	return 0
}

// lookLocked returns what is known now; the caller holds mu.
func (t *Tracker) lookLocked(name string, pieces []uint64) look {
	now := t.now()
	if k, ok := t.kept[name]; ok {
		return k.look(pieces, now)
	}
	l, ok := t.looks[name]
	if !ok || now-l.at > lookExpiry {
		return look{}
	}
	if l.piece != deepest(pieces) {
		l.levels = 0
		l.trust = 0
	}
	return l
}

// refresh asks the keepers of engines for what is not known or too old. It
// asks a few keepers at most, those of the first engines first.
func (t *Tracker) refresh(ctx context.Context, names []string, pieces []uint64, keepers int) {
	asks := map[string][]string{}
	addresses := map[string]string{}
	for _, name := range names {
		keeper, ok := t.keeper(name)
		if !ok || keeper.Name == t.Host || t.fresh(name, pieces) {
			continue
		}
		if _, asked := asks[keeper.Name]; !asked && len(asks) == keepers {
			continue
		}
		asks[keeper.Name] = append(asks[keeper.Name], name)
		addresses[keeper.Name] = keeper.Peers
	}
	var wait conc.WaitGroup
	defer wait.Wait()
	for keeper, engines := range asks {
		wait.Go(func() { t.ask(ctx, registry.Host{Name: keeper, Peers: addresses[keeper]}, engines, pieces) })
	}
}

// fresh tells whether an engine needs no asking.
func (t *Tracker) fresh(name string, pieces []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.kept[name]; ok {
		return true
	}
	l, ok := t.looks[name]
	return ok && t.now()-l.at < lookAge && l.piece == deepest(pieces)
}

// ask asks one keeper.
func (t *Tracker) ask(ctx context.Context, keeper registry.Host, engines []string, pieces []uint64) {
	t.Metrics.Counter("keeper_asks").Inc(1)
	reply, err := t.Asker.Look(ctx, keeper.Peers, &peerpb.LookRequest{Engines: engines, Pieces: pieces})
	if err != nil || len(reply.GetLooks()) != len(engines) {
		t.Metrics.Counter("keeper_ask_failures").Inc(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.looks) > maxLooks {
		clear(t.looks)
	}
	now := t.now()
	for i, l := range reply.GetLooks() {
		t.looks[engines[i]] = received(l, pieces, now)
	}
}

// received returns the look that a keeper answered with.
func received(l *peerpb.EngineLook, pieces []uint64, now time.Duration) look {
	age := time.Duration(l.GetAgeMillis()) * time.Millisecond
	return look{
		known: l.GetKnown(), reachable: l.GetReachable(), leaving: l.GetLeaving(), loading: l.GetLoading(), joined: l.GetJoined(),
		incarnation: l.GetIncarnation(), version: l.GetVersion(),
		fence: l.GetFence(), role: l.GetRole(), adapters: l.GetAdapters(),
		report: routing.Report{At: now - age, Queued: int(l.GetQueued()), Running: int(l.GetRunning())},
		piece:  deepest(pieces), levels: int(l.GetLevels()), trust: float64(l.GetTrustPercent()) / 100, at: now,
	}
}

// Look answers another host about the engines that this host keeps.
func (t *Tracker) Look(_ context.Context, r *peerpb.LookRequest) (*peerpb.LookReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	pieces := r.GetPieces()[:min(len(r.GetPieces()), maxLookPieces)]
	reply := &peerpb.LookReply{}
	for _, name := range r.GetEngines()[:min(len(r.GetEngines()), maxLookEngines)] {
		answer := &peerpb.EngineLook{}
		if k, ok := t.kept[name]; ok {
			answer = k.look(pieces, now).message(now)
		}
		reply.Looks = append(reply.Looks, answer)
	}
	return reply, nil
}

// message returns the look as it goes to another host.
func (l look) message(now time.Duration) *peerpb.EngineLook {
	return &peerpb.EngineLook{
		Known: l.known, Reachable: l.reachable, Leaving: l.leaving, Loading: l.loading, Joined: l.joined,
		Incarnation: l.incarnation, Version: l.version,
		Fence: l.fence, Role: l.role, Adapters: l.adapters,
		Queued: uint32(l.report.Queued), Running: uint32(l.report.Running),
		AgeMillis: uint32((now - l.report.At).Milliseconds()), Levels: uint32(l.levels),
		TrustPercent: uint32(100 * l.trust),
	}
}

// deepest returns the key of the deepest level with a piece, or 0.
func deepest(pieces []uint64) uint64 {
	for i := len(pieces) - 1; i >= 0; i-- {
		if pieces[i] != 0 {
			return pieces[i]
		}
	}
	return 0
}

// Peers asks keepers over drpc.
type Peers struct{ Pool *peer.Pool }

// Look asks the host at an address (IP:port).
func (p Peers) Look(ctx context.Context, address string, r *peerpb.LookRequest) (*peerpb.LookReply, error) {
	ctx = p.Pool.Context(ctx)
	return peerpb.NewDRPCEnginesClient(p.Pool.Conn(ctx, address)).Look(ctx, r)
}
