package revision

import (
	"context"
	"encoding/json"
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
	// exchangeInterval is the mean time between two questions to one peer.
	exchangeInterval = time.Second
	// startInterval is the mean time between two rounds of questions of a host
	// that is not ready.
	startInterval = 300 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout = time.Second
	// startFanout is how many peers a host asks that is not ready.
	startFanout = 8
	// announceFanout is how many peers a host tells of a newer position.
	announceFanout = 3
	// logGrace is how long a host waits for the log to give what a peer told
	// of, before it fetches the peer's state.
	logGrace = 250 * time.Millisecond
	// maxServing is how many peers may fetch a state from one host at a time.
	maxServing = 8
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

// pick chooses peers with the process's randomness.
func (k *Keeper) pick(count int) []registry.Host {
	return Pick(k.Members(), k.Host, count, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// exchange asks peers for a newer configuration until the context ends: many
// of them until this host is ready, then one at a time.
func (k *Keeper) exchange(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-k.greeted:
	}
	for ctx.Err() == nil {
		if k.Ready() {
			k.exchangeOnce(ctx)
			continue
		}
		k.askMany(ctx)
		k.measure()
		pause(ctx, jitter(startInterval))
	}
}

// exchangeOnce waits for its turn or for news of a newer position, and asks
// one peer.
func (k *Keeper) exchangeOnce(ctx context.Context) {
	chosen := k.pick(1)
	select {
	case <-ctx.Done():
		return
	case <-time.After(jitter(exchangeInterval)):
	case news := <-k.heard:
		if k.reached(ctx, news.position) {
			return
		}
		chosen = slices.DeleteFunc(k.pick(math.MaxInt), func(h registry.Host) bool { return h.Name != news.sender })
	}
	for _, h := range chosen {
		_ = k.ask(ctx, h.Peers)
	}
	k.measure()
}

// news is a position that another host told of.
type news struct {
	sender   string
	position int64
}

// Heard takes the position that another host's heartbeat told. It does not
// block.
func (k *Keeper) Heard(sender string, position int64) {
	if position <= k.State().Position() {
		return
	}
	select {
	case k.heard <- news{sender, position}:
	default:
	}
}

// reached waits a moment for the log to give a position that another host
// told of, so that the state is fetched only from where the log does not.
func (k *Keeper) reached(ctx context.Context, position int64) bool {
	ctx, cancel := context.WithTimeout(ctx, logGrace)
	defer cancel()
	for {
		k.mu.Lock()
		changed, down, at := k.changed, k.logDown, k.replica.Position()
		k.mu.Unlock()
		if at >= position || down {
			return at >= position
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

// askMany asks several peers at once; a host that the log does not serve is
// ready with what they gave. A peer whose answer can't be used may
// have something newer, so that the host is not ready then.
func (k *Keeper) askMany(ctx context.Context) {
	var answered atomic.Int64
	calls := pool.New().WithErrors()
	for _, h := range k.pick(startFanout) {
		calls.Go(func() error {
			err := k.ask(ctx, h.Peers)
			if trace.IsConnectionProblem(err) {
				return nil
			}
			answered.Add(1)
			return err
		})
	}
	err := calls.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.told = err == nil && answered.Load() > 0
	k.settle()
}

// ask asks one peer for a newer configuration and takes it.
func (k *Keeper) ask(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := k.State().Position()
	offer, err := k.Peers.Fetch(ctx, address, asked)
	if err != nil {
		return trace.ConnectionProblem(err, "asking peer %s", address)
	}
	if len(offer.State) > 0 {
		if err := k.adopt(address, offer.State); err != nil {
			event.StateUnusable.Error(err, "Peer", address)
			return trace.BadParameter("the state of peer %s can't be used: %v", address, err)
		}
	} else if offer.Position > asked {
		return trace.LimitExceeded("peer %s has a newer state and is busy", address)
	}
	k.learn(offer)
	return nil
}

// adopt takes a state from a peer if it is newer than this host's.
func (k *Keeper) adopt(address string, raw []byte) error {
	var snapshot document.Snapshot
	if err := json.Unmarshal(raw, &snapshot); err != nil {
		return trace.Wrap(err, "decoding a state")
	}
	var failure error
	k.update(func(r document.Replica) document.Replica {
		next, err := r.Adopt(snapshot)
		if err != nil {
			failure = err
			return r
		}
		if next.Position() > r.Position() {
			event.StateFetched.Info("Peer", address, "Position", next.Position())
			k.Metrics.Counter("configuration_states_fetched").Inc(1)
		}
		return next
	})
	return failure
}

// learn takes what a peer knows of being current.
func (k *Keeper) learn(offer Offer) {
	if k.differs(offer) {
		k.update(func(r document.Replica) document.Replica {
			r.Conflict = fmt.Sprintf("another checksum at offset %d", offer.Position)
			return r
		})
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if offer.CurrentAge < 0 || offer.Position != k.replica.Position() {
		return
	}
	if at := time.Now().Add(-offer.CurrentAge - callTimeout); at.After(k.current) {
		k.current = at
	}
}

// differs tells whether a peer folded the same records to another state.
func (k *Keeper) differs(offer Offer) bool {
	state := k.State()
	sum := state.LastChecksum()
	return offer.Position == state.Position() && offer.Checksum != "" && sum != "" && offer.Checksum != sum
}

// measure updates the gauges.
func (k *Keeper) measure() {
	s := k.Status()
	k.Metrics.Gauge("configuration_staleness_seconds").Update(s.StaleSeconds)
	halted := 0.0
	if k.State().Halt != "" {
		halted = 1
	}
	k.Metrics.Gauge("configuration_halted").Update(halted)
}

// announce tells a few peers of each newer position.
func (k *Keeper) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.advanced:
		}
		k.tell(ctx, announceFanout, k.State().Position())
	}
}

// tell tells peers of a position and returns how many then have it, of how
// many that were asked.
func (k *Keeper) tell(ctx context.Context, fanout int, position int64) (have, asked int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	chosen := k.pick(fanout)
	var count atomic.Int64
	calls := pool.New()
	for _, h := range chosen {
		calls.Go(func() {
			if at, err := k.Peers.Announce(ctx, h.Peers, position); err == nil && at >= position {
				count.Add(1)
			}
		})
	}
	calls.Wait()
	return int(count.Load()), len(chosen)
}
