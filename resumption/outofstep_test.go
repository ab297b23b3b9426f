package resumption_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/replica"
	"github.com/kumquathoist/kumquathoist/resumption"
	"github.com/kumquathoist/kumquathoist/software"
)

// topicStore is the platform's store as hosts read it. Keys of upstreams' records end
// in their software version.
type topicStore struct {
	mu   sync.Mutex
	logs [3][]replica.Record
}

func (s *topicStore) add(t replica.Topic, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[t] = append(s.logs[t], replica.Record{Key: key, Offset: int64(len(s.logs[t])), Value: []byte{1}})
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*topicStore

	silent atomic.Bool
}

func (s *hostStore) Newest(ctx context.Context, t replica.Topic) (replica.Delta, error) {
	d, err := s.Read(ctx, t, 0, 0)
	d.Full = true
	return d, err
}

func (s *hostStore) Read(ctx context.Context, t replica.Topic, from int64, wait time.Duration) (replica.Delta, error) {
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		log := s.logs[t]
		s.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return replica.Delta{}, ctx.Err()
		case s.silent.Load():
			continue
		case int64(len(log)) > from, !time.Now().Before(end):
			return replica.Delta{Topic: t, Position: int64(len(log)), Records: log[min(from, int64(len(log))):]}, nil
		}
	}
}

// hostPeers ask the other host, unless they are cut off.
type hostPeers struct {
	other *atomic.Pointer[replica.Syncer]
	cut   atomic.Bool
}

func (p *hostPeers) Pull(_ context.Context, positions []int64) (replica.Reply, error) {
	other := p.other.Load()
	if p.cut.Load() || other == nil {
		return replica.Reply{}, errDown
	}
	return other.Answer(positions), nil
}

func decodeTopics(t replica.Topic, key string, _ []byte) (replica.Decoded, error) {
	switch t {
	case replica.Operator:
		c := catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "models"}}, nil, nil)
		return replica.Decoded{Catalog: &c}, nil
	case replica.Software:
		v := software.NewVersions(software.Left{Version: "v1"})
		return replica.Decoded{Software: &v}, nil
	}
	return replica.Decoded{Entry: &discovery.Entry{ID: key, Service: "models", Software: key}}, nil
}

// pair are two hosts that know one software version.
type pair struct {
	store *topicStore
	// stores and peers are those of each host.
	stores  [2]*hostStore
	peers   [2]*hostPeers
	ledgers [2]*resumption.Ledger
	syncers [2]*replica.Syncer
}

func newPair(t *testing.T) *pair {
	p := &pair{store: &topicStore{}}
	p.store.add(replica.Operator, "config")
	p.store.add(replica.Upstreams, "v1")
	p.store.add(replica.Software, "models")
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	var pointers [2]atomic.Pointer[replica.Syncer]
	for i := range 2 {
		p.stores[i], p.peers[i] = &hostStore{topicStore: p.store}, &hostPeers{other: &pointers[1-i]}
		p.syncers[i] = replica.NewSyncer(ctx, &wait, replica.Options{Store: p.stores[i], Peers: p.peers[i], Decode: decodeTopics, ReadsStore: func() bool { return true }})
		pointers[i].Store(p.syncers[i])
		p.ledgers[i] = resumption.New(ctx, &wait, resumption.Options{
			Host: string(rune('a' + i)), Store: &fakeStore{versions: map[string]software.Versions{}}, Replica: p.syncers[i],
			WritesVersions: func() bool { return false }, Hosts: func() int { return 2 }, Metrics: tally.NoopScope,
		})
	}
	for i := range 2 {
		await(t, "the host knows the only version", func() bool {
			return p.find(i) == software.Origin{Version: "v1", Known: true, Source: software.OnlyVersion}
		})
	}
	return p
}

// find looks up a stream of which there is no record.
func (p *pair) find(host int) software.Origin {
	return p.ledgers[host].Find(context.Background(), "models", "s1")
}

// TestHostOutOfStepTakesNoVersionForTheOnlyOne cuts a host off while upstreams of a
// second version join, and has it look up a stream that the other host may have begun.
func TestHostOutOfStepTakesNoVersionForTheOnlyOne(t *testing.T) {
	for name, c := range map[string]struct{ store, peers bool }{
		"from the store and the other host": {true, true},
		"from the store":                    {true, false},
		"from the other host":               {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			p.stores[0].silent.Store(c.store)
			p.peers[0].cut.Store(c.peers)
			p.store.add(replica.Upstreams, "v2")
			await(t, "the other host knows both versions", func() bool { return !p.find(1).Known })
			is.True(!p.find(0).Known)
			p.stores[0].silent.Store(false)
			p.peers[0].cut.Store(false)
			is.True(!p.find(0).Known)
		})
	}
}

// TestOnlyVersionServesWithoutStore checks that streams go on at the only version
// while the store answers no host.
func TestOnlyVersionServesWithoutStore(t *testing.T) {
	p := newPair(t)
	for _, s := range p.stores {
		s.silent.Store(true)
	}
	for range 5 {
		is.New(t).Equal(p.find(0), software.Origin{Version: "v1", Known: true, Source: software.OnlyVersion})
	}
}
