package revision

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc/pool"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// exchangeInterval is the mean interval between fetches of a ready host.
	exchangeInterval = time.Second
	// startupFetchInterval is the mean interval between rounds of fetches of a
	// host that is not ready.
	startupFetchInterval = 300 * time.Millisecond
	// peerTimeout limits a call to a peer.
	peerTimeout = time.Second
	// maxFetchTimeout limits a fetch after others took too long: a large state takes
	// longer than peerTimeout on a slow connection or a busy machine.
	maxFetchTimeout = 8 * time.Second
	// startupFetchFanout is the number of peers that a host fetches from while
	// it is not ready.
	startupFetchFanout = 8
	// announceFanout is the number of peers to which a host announces a newer
	// position.
	announceFanout = 3
	// logWait is how long a host waits for the log to reach an announced
	// position before it fetches the peer's state.
	logWait = 250 * time.Millisecond
	// maxConcurrentFetches limits the peers that fetch a state from one host
	// concurrently.
	maxConcurrentFetches = 8
)

// Pick returns up to count members other than this host, in random order. It
// is deterministic for a given source of randomness.
func Pick(members []registry.Host, self string, count int, random *rand.Rand) []registry.Host {
	var others []registry.Host
	for _, m := range members {
		if m.Name != self && m.Peers != "" {
			others = append(others, m)
		}
	}
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// pickPeers picks random peers, seeded from the process's random source.
func (s *Syncer) pickPeers(count int) []registry.Host {
	return Pick(s.Members(), s.Host, count, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// exchangeWithPeers fetches newer configurations until the context ends: from
// several peers concurrently until this host is ready, then from one at a time.
func (s *Syncer) exchangeWithPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.initialFetchDone:
	}
	for ctx.Err() == nil {
		if s.Ready() {
			s.exchangeWithPeer(ctx)
			continue
		}
		s.fetchFromPeers(ctx)
		s.updateGauges()
		sleep(ctx, jitter(startupFetchInterval))
	}
}

// exchangeWithPeer waits for the next interval or a newer position in a
// heartbeat, and then fetches from one peer. It skips the fetch if the log
// reaches the newer position.
func (s *Syncer) exchangeWithPeer(ctx context.Context) {
	chosen := s.pickPeers(1)
	select {
	case <-ctx.Done():
		return
	case <-time.After(jitter(exchangeInterval)):
	case update := <-s.positionUpdates:
		if s.awaitPosition(ctx, update.position) {
			return
		}
		chosen = slices.DeleteFunc(s.pickPeers(math.MaxInt), func(h registry.Host) bool { return h.Name != update.sender })
	}
	for _, h := range chosen {
		_ = s.fetchFrom(ctx, h.Peers)
	}
	s.updateGauges()
}

// positionUpdate is a newer position reported by another host.
type positionUpdate struct {
	sender   string
	position int64
}

// ReceivePosition handles the position in another host's heartbeat. It does not
// block.
func (s *Syncer) ReceivePosition(sender string, position int64) {
	if position <= s.State().Position() {
		return
	}
	select {
	case s.positionUpdates <- positionUpdate{sender, position}:
	default:
	}
}

// awaitPosition waits up to logWait for the log to reach a position that
// another host reported, so that the state is fetched from the peer only if the
// log does not deliver it. It gives up early while the log is down. It reports
// whether the position was reached.
func (s *Syncer) awaitPosition(ctx context.Context, position int64) bool {
	ctx, cancel := context.WithTimeout(ctx, logWait)
	defer cancel()
	for {
		s.mu.Lock()
		changed, down, current := s.changed, s.logDown, s.replica.Position()
		s.mu.Unlock()
		if current >= position || down {
			return current >= position
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// fetchFromPeers fetches from several peers concurrently. Their states make a
// host ready that can't read the log, unless the answer of one of them can't be
// used: that peer may have a newer state.
func (s *Syncer) fetchFromPeers(ctx context.Context) {
	var answered atomic.Int64
	calls := pool.New().WithErrors()
	for _, h := range s.pickPeers(startupFetchFanout) {
		calls.Go(func() error {
			err := s.fetchFrom(ctx, h.Peers)
			if trace.IsConnectionProblem(err) {
				return nil
			}
			answered.Add(1)
			return err
		})
	}
	err := calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peersAnswered = err == nil && answered.Load() > 0
	s.updateReady()
}

// fetch calls a peer. A call that takes too long doubles the time for the next one,
// an answer ends that.
func (s *Syncer) fetch(ctx context.Context, address string, position int64) (Offer, error) {
	s.mu.Lock()
	timeout := s.fetchTimeout
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	offer, err := s.Peers.Fetch(ctx, address, position)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.fetchTimeout = peerTimeout
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		s.fetchTimeout = min(2*timeout, maxFetchTimeout)
	}
	return offer, err
}

// fetchFrom fetches a newer configuration from one peer and adopts it.
func (s *Syncer) fetchFrom(ctx context.Context, address string) error {
	begin, position := time.Now(), s.State().Position()
	offer, err := s.fetch(ctx, address, position)
	if err != nil {
		return trace.ConnectionProblem(err, "fetching from peer %s", address)
	}
	if len(offer.State) > 0 {
		if err := s.adopt(address, offer.State); err != nil {
			event.StateUnusable.Error(err, "Peer", address)
			return trace.BadParameter("the state of peer %s can't be used: %v", address, err)
		}
	} else if offer.Position > position {
		return trace.LimitExceeded("peer %s has a newer state and is busy", address)
	}
	s.processOffer(offer, begin)
	return nil
}

// adopt replaces the state with a peer's if that is newer.
func (s *Syncer) adopt(address string, raw []byte) error {
	var snapshot document.Snapshot
	if err := json.Unmarshal(raw, &snapshot); err != nil {
		return trace.Wrap(err, "decoding a peer's state")
	}
	var failure error
	s.update(func(r document.Replica) document.Replica {
		next, err := r.Adopt(snapshot)
		if err != nil {
			failure = err
			return r
		}
		if next.Position() > r.Position() {
			event.StateFetched.Info("Peer", address, "Position", next.Position())
			s.Metrics.Counter("configuration_states_fetched").Inc(1)
		}
		return next
	})
	return failure
}

// processOffer compares the checksum of an offer with this host's and, if both
// have the same position, takes over how recently it was known to be current. The
// peer made the offer after the time at which its fetch began.
func (s *Syncer) processOffer(offer Offer, begin time.Time) {
	if s.conflictsWith(offer) {
		s.update(func(r document.Replica) document.Replica {
			r.Conflict = fmt.Sprintf("checksum differs at offset %d", offer.Position)
			return r
		})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if offer.CurrentAge < 0 || offer.Position != s.replica.Position() {
		return
	}
	if at := begin.Add(-offer.CurrentAge); at.After(s.currentAt) {
		s.currentAt = at
	}
}

// conflictsWith reports whether a peer folded the same records to a different
// state.
func (s *Syncer) conflictsWith(offer Offer) bool {
	state := s.State()
	checksum := state.LastChecksum()
	return offer.Position == state.Position() && offer.Checksum != "" && checksum != "" && offer.Checksum != checksum
}

// updateGauges updates the gauges of staleness and halted folding.
func (s *Syncer) updateGauges() {
	status := s.Status()
	s.Metrics.Gauge("configuration_staleness_seconds").Update(status.StaleSeconds)
	halted := 0.0
	if s.State().Halt != "" {
		halted = 1
	}
	s.Metrics.Gauge("configuration_halted").Update(halted)
}

// announcePositions announces each newer position to a few peers.
func (s *Syncer) announcePositions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.positionAdvanced:
		}
		s.announceTo(ctx, announceFanout, s.State().Position())
	}
}

// announceTo announces a position to up to fanout peers. It returns how many of
// them have reached it, and how many were called.
func (s *Syncer) announceTo(ctx context.Context, fanout int, position int64) (reached, called int) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	chosen := s.pickPeers(fanout)
	var confirmed atomic.Int64
	calls := pool.New()
	for _, h := range chosen {
		calls.Go(func() {
			if current, err := s.Peers.Announce(ctx, h.Peers, position); err == nil && current >= position {
				confirmed.Add(1)
			}
		})
	}
	calls.Wait()
	return int(confirmed.Load()), len(chosen)
}
