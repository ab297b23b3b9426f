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
	// queryTimeout bounds the wait for an owner's reply. Without a reply the
	// choice follows the hash order.
	queryTimeout = 25 * time.Millisecond
	// statusTimeout bounds the wait for owners when no request is waiting.
	statusTimeout = 300 * time.Millisecond
	// maxQueriedOwners bounds the owners queried for one request.
	maxQueriedOwners = 2
	// stateReuse is how long a reply about the same prefix is reused.
	stateReuse = time.Second
	// stateExpiry is how long a reply counts as the engine's state.
	stateExpiry = 3 * time.Second
	// maxRemoteStates bounds the cached replies.
	maxRemoteStates = 1024
	// maxQueryEngines and maxQueryPieces bound a query from a peer.
	maxQueryEngines = 64
	maxQueryPieces  = 64
)

// engineState is the known state of one engine for one prompt.
type engineState struct {
	known, reachable, leaving, loading, warmingUp bool
	incarnation                                   int64
	version                                       string
	report                                        routing.Report
	fence                                         int64
	role                                          string
	adapters                                      []string
	// deepestPiece is the deepest piece of the prompt that cachedLevels is for.
	deepestPiece uint64
	cachedLevels int
	completeness float64
	// takenAt is when the state was read or received.
	takenAt time.Duration
}

// countCachedLevels returns how many levels are assumed to be cached, given the
// last piece of each level.
func countCachedLevels(index *cacheindex.Index, pieces []uint64, now time.Duration) int {
	for i := len(pieces); i > 0; i-- {
		if pieces[i-1] != 0 && index.Holds(prefix.Key(pieces[i-1]), now) {
			return i
		}
	}
	return 0
}

// stateLocked returns the known state of an engine for a prompt. The caller
// holds mu.
func (t *Tracker) stateLocked(name string, pieces []uint64) engineState {
	now := t.now()
	if e, ok := t.owned[name]; ok {
		return e.state(pieces, now)
	}
	s, ok := t.remoteStates[name]
	if !ok || now-s.takenAt > stateExpiry {
		return engineState{}
	}
	if s.deepestPiece != deepestPiece(pieces) {
		s.cachedLevels = 0
		s.completeness = 0
	}
	return s
}

// refresh queries the owners of engines whose state is missing or stale. It
// queries at most maxOwners owners, beginning with those of the first engines.
func (t *Tracker) refresh(ctx context.Context, names []string, pieces []uint64, maxOwners int) {
	queries := map[string][]string{}
	addresses := map[string]string{}
	for _, name := range names {
		owner, ok := t.owner(name)
		if !ok || owner.Name == t.Host || t.isFresh(name, pieces) {
			continue
		}
		if _, queried := queries[owner.Name]; !queried && len(queries) == maxOwners {
			continue
		}
		queries[owner.Name] = append(queries[owner.Name], name)
		addresses[owner.Name] = owner.Peers
	}
	var wait conc.WaitGroup
	defer wait.Wait()
	for owner, engines := range queries {
		wait.Go(func() { t.queryOwner(ctx, registry.Host{Name: owner, Peers: addresses[owner]}, engines, pieces) })
	}
}

// isFresh reports whether an engine's state needs no query.
func (t *Tracker) isFresh(name string, pieces []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.owned[name]; ok {
		return true
	}
	s, ok := t.remoteStates[name]
	return ok && t.now()-s.takenAt < stateReuse && s.deepestPiece == deepestPiece(pieces)
}

// queryOwner queries one owner and caches its reply.
func (t *Tracker) queryOwner(ctx context.Context, owner registry.Host, engines []string, pieces []uint64) {
	t.Metrics.Counter("keeper_asks").Inc(1)
	reply, err := t.PeerQuerier.Look(ctx, owner.Peers, &peerpb.LookRequest{Engines: engines, Pieces: pieces})
	if err != nil || len(reply.GetLooks()) != len(engines) {
		t.Metrics.Counter("keeper_ask_failures").Inc(1)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.remoteStates) > maxRemoteStates {
		clear(t.remoteStates)
	}
	now := t.now()
	for i, look := range reply.GetLooks() {
		t.remoteStates[engines[i]] = stateFromReply(look, pieces, now)
	}
}

// stateFromReply converts the state that an owner replied with.
func stateFromReply(look *peerpb.EngineLook, pieces []uint64, now time.Duration) engineState {
	age := time.Duration(look.GetAgeMillis()) * time.Millisecond
	return engineState{
		known: look.GetKnown(), reachable: look.GetReachable(), leaving: look.GetLeaving(), loading: look.GetLoading(), warmingUp: look.GetJoined(),
		incarnation: look.GetIncarnation(), version: look.GetVersion(),
		fence: look.GetFence(), role: look.GetRole(), adapters: look.GetAdapters(),
		report:       routing.Report{At: now - age, Queued: int(look.GetQueued()), Running: int(look.GetRunning())},
		deepestPiece: deepestPiece(pieces), cachedLevels: int(look.GetLevels()), completeness: float64(look.GetTrustPercent()) / 100, takenAt: now,
	}
}

// Look answers a query of another host for the engines that this host owns.
func (t *Tracker) Look(_ context.Context, r *peerpb.LookRequest) (*peerpb.LookReply, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	pieces := r.GetPieces()[:min(len(r.GetPieces()), maxQueryPieces)]
	reply := &peerpb.LookReply{}
	for _, name := range r.GetEngines()[:min(len(r.GetEngines()), maxQueryEngines)] {
		look := &peerpb.EngineLook{}
		if e, ok := t.owned[name]; ok {
			look = e.state(pieces, now).toReply(now)
		}
		reply.Looks = append(reply.Looks, look)
	}
	return reply, nil
}

// toReply converts the state to its wire message.
func (s engineState) toReply(now time.Duration) *peerpb.EngineLook {
	return &peerpb.EngineLook{
		Known: s.known, Reachable: s.reachable, Leaving: s.leaving, Loading: s.loading, Joined: s.warmingUp,
		Incarnation: s.incarnation, Version: s.version,
		Fence: s.fence, Role: s.role, Adapters: s.adapters,
		Queued: uint32(s.report.Queued), Running: uint32(s.report.Running),
		AgeMillis: uint32((now - s.report.At).Milliseconds()), Levels: uint32(s.cachedLevels),
		TrustPercent: uint32(100 * s.completeness),
	}
}

// deepestPiece returns the last piece of the deepest level that has one, or 0.
func deepestPiece(pieces []uint64) uint64 {
	for i := len(pieces) - 1; i >= 0; i-- {
		if pieces[i] != 0 {
			return pieces[i]
		}
	}
	return 0
}

// PeerClient queries the owners of engines over DRPC.
type PeerClient struct{ Pool *peer.Pool }

// Look queries the host at an address (IP:port).
func (c PeerClient) Look(ctx context.Context, address string, r *peerpb.LookRequest) (*peerpb.LookReply, error) {
	ctx = c.Pool.Context(ctx)
	return peerpb.NewDRPCEnginesClient(c.Pool.Conn(ctx, address)).Look(ctx, r)
}
