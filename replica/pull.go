package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/event"
)

// pull requests records from other hosts until the context ends.
func (s *Syncer) pull(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Pause(ctx, time.Duration((0.5+rand.Float64())*float64(pullInterval)))
		s.pullOnce(ctx)
	}
}

func (s *Syncer) pullOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	requested := clock.Now()
	state := s.State()
	positions := make([]int64, topicCount)
	for t := range topicCount {
		positions[t] = state.Position(t)
	}
	r, err := s.Peers.Pull(ctx, positions)
	if err != nil {
		// Ignored: hosts detect failed peers on their own, by load reports.
		return
	}
	for _, d := range r.Deltas {
		if len(r.Digests) == 0 && !d.Full {
			d.Position = 0 // the records are news, but others may be missing
		}
		s.merge(d, "Peer", peerDelay)
	}
	s.learnBounds(r.Bounds, requested)
	var agrees [topicCount]bool
	equal := true
	for t := range topicCount {
		agrees[t] = s.agrees(t, r)
		equal = equal && agrees[t] && s.State().Digest(t) == r.Digests[t]
	}
	if equal {
		advance(&s.catchUp.agreedAt, requested)
	}
	for t, age := range map[Topic]time.Duration{Operator: r.Age, Upstreams: r.EntriesAge} {
		if age >= 0 && agrees[t] {
			at := requested.Add(-age)
			s.confirm(t, at)
			advance(&s.peersConfirmedAt[t], at)
		}
	}
}

// agrees reports whether the replica certainly has what another host knows of a topic.
// If both are at the same position and differ, one of them has missed something, and
// this host lists the topic anew.
func (s *Syncer) agrees(t Topic, r Reply) bool {
	if int(t) >= len(r.Digests) {
		return false
	}
	own, other := s.State().Digest(t), r.Digests[t]
	if own.Position != other.Position || own.Sum == other.Sum {
		return own.Position >= other.Position
	}
	if now := clock.Now(); s.relistedAt[t] == 0 || now.Sub(s.relistedAt[t]) >= relistInterval {
		s.relistedAt[t] = now
		event.ReplicaDiffers.Info("Topic", t, "Position", own.Position, "Sum", own.Sum, "OtherSum", other.Sum)
		s.relist[t].Store(true)
	}
	return false
}

// hasRecentPeers reports whether other hosts send recent records of a topic. They
// tell no age for those of software versions, which are read too rarely.
func (s *Syncer) hasRecentPeers(t Topic) bool {
	if t == Software {
		t = Operator
	}
	at := clock.Instant(s.peersConfirmedAt[t].Load())
	return at != 0 && clock.Now().Sub(at) < maxPeerStaleness
}
