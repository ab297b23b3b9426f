package revision

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/registry"
)

// testLimit bounds a wait; a passing run needs far less.
const testLimit = 20 * time.Second

// fakeLog is a log in memory.
type fakeLog struct {
	mu      sync.Mutex
	records []registry.Record
	// readErr and appendErr are what calls fail with.
	readErr, appendErr error
	// dieAfterFirst gives one record and then fails every read.
	dieAfterFirst bool
	// from holds the offsets that were read from.
	from []int64
	// loseAnswers is how many appends take effect and lose their answer.
	loseAnswers int
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (registry.AppendResult, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.appendErr != nil {
		return registry.AppendResult{}, l.appendErr
	}
	l.records = append(l.records, registry.Record{Offset: int64(len(l.records)), AppendedMillis: time.Now().UnixMilli(), Data: data})
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return registry.AppendResult{}, trace.ConnectionProblem(nil, "the answer was lost")
	}
	return registry.AppendResult{Offset: int64(len(l.records) - 1)}, nil
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, _ time.Duration) (registry.Page, error) {
	pause(ctx, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.from = append(l.from, from)
	if l.readErr != nil {
		return registry.Page{}, l.readErr
	}
	if l.dieAfterFirst {
		l.readErr = errDown
		return registry.Page{Records: l.records[:1], Next: int64(len(l.records))}, nil
	}
	p := registry.Page{Next: int64(len(l.records)), NowMillis: time.Now().UnixMilli()}
	if from < p.Next {
		p.Records = append(p.Records, l.records[from:]...)
	}
	return p, nil
}

func (l *fakeLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// fakePeers answers every call alike.
type fakePeers struct {
	mu        sync.Mutex
	offer     Offer
	err       error
	confirmed int64
	fetches   int
}

func (p *fakePeers) asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fetches
}

func (p *fakePeers) Fetch(context.Context, string, int64) (Offer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetches++
	return p.offer, p.err
}

func (p *fakePeers) Announce(_ context.Context, _ string, position int64) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(p.confirmed, position), p.err
}

// startKeeper starts a keeper with one peer.
func startKeeper(t testing.TB, log *fakeLog, peers *fakePeers) *Keeper {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	k := New(ctx, &wait, Options{
		Host: "host-1", Log: log, Peers: peers, Retention: time.Hour, SnapshotShare: 0.5, Metrics: tally.NoopScope,
		Members: func() []registry.Host {
			return []registry.Host{{Name: "host-1", Peers: "127.0.0.1:1"}, {Name: "host-2", Peers: "127.0.0.1:2"}}
		},
	})
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return k
}

func eventually(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testLimit); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("it never came to be")
}

var firstEdit = document.Edit{ID: "a", Section: document.RoutingSection, Author: "ana", Body: "WasteWeight: 0.1"}

// offerOf returns what a peer offers that has folded an edit.
func offerOf(t *testing.T, rules int) Offer {
	t.Helper()
	raw, err := document.EncodeEdit(firstEdit)
	is.New(t).NoErr(err)
	snapshot := document.New().Fold(document.Record{Data: raw}).Transfer("host-2")
	snapshot.Rules = rules
	state, err := json.Marshal(snapshot)
	is.New(t).NoErr(err)
	return Offer{Position: 0, State: state, CurrentAge: -1}
}

var errDown = trace.ConnectionProblem(nil, "the log is down")

// TestPublish checks what an operator is told about an edit.
func TestPublish(t *testing.T) {
	refused := trace.ConnectionProblem(&net.OpError{Op: "dial", Err: errors.New("refused")}, "no answer")
	for _, c := range []struct {
		name    string
		log     *fakeLog
		peers   *fakePeers
		body    string
		verdict bool
		unknown bool
		// records is how many records the log may hold in the end.
		least, most int
	}{
		{"accepted", &fakeLog{}, &fakePeers{confirmed: 9}, firstEdit.Body, true, false, 1, 1},
		{"answer lost", &fakeLog{loseAnswers: 1}, &fakePeers{confirmed: 9}, firstEdit.Body, true, false, 1, 2},
		{"log refuses to connect", &fakeLog{appendErr: refused}, &fakePeers{}, firstEdit.Body, false, false, 0, 0},
		{"log down", &fakeLog{appendErr: errDown}, &fakePeers{}, firstEdit.Body, false, true, 0, 0},
		{"no other host confirms", &fakeLog{}, &fakePeers{confirmed: -1}, firstEdit.Body, false, true, 1, 1},
		{"bad body", &fakeLog{}, &fakePeers{}, "Colour: red", false, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := startKeeper(t, c.log, c.peers)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			e := firstEdit
			e.Body = c.body
			v, err := k.Publish(ctx, e)
			is.Equal(v.Accepted, c.verdict)
			is.Equal(trace.IsConnectionProblem(err), c.unknown)
			is.Equal(err == nil, c.verdict)
			is.True(c.log.count() >= c.least && c.log.count() <= c.most)
			if c.verdict { // Sent again under its ID it takes no effect.
				again, err := k.Publish(context.Background(), e)
				is.NoErr(err)
				is.Equal(again, v)
				e.Body = "WasteWeight: 0.9"
				_, err = k.Publish(context.Background(), e)
				is.True(trace.IsBadParameter(err)) // The ID is taken.
			}
		})
	}
}

// TestStartWithoutLog checks what a host does that can't read the log.
func TestStartWithoutLog(t *testing.T) {
	for _, c := range []struct {
		name   string
		peers  *fakePeers
		ready  bool
		reason string
	}{
		{"a peer lives", &fakePeers{offer: offerOf(t, 1)}, true, "the log does not answer this host"},
		{"no peer answers", &fakePeers{err: errDown}, false, "neither the log nor another host gave a configuration"},
		{"a peer is busy", &fakePeers{offer: Offer{Position: 5}}, false, "neither the log nor another host gave a configuration"},
		{"a peer has newer rules", &fakePeers{offer: offerOf(t, 2)}, false, "neither the log nor another host gave a configuration"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := startKeeper(t, &fakeLog{readErr: errDown}, c.peers)
			eventually(t, func() bool { return k.Status().Reason == c.reason && k.Ready() == c.ready })
			is.Equal(k.Status().StaleSeconds, -1.0) // It never knew that it was current.
		})
	}
}

// TestHalfReadLogIsNotServed checks that a host which knows that the log has
// more than it could read does not serve the older revision.
func TestHalfReadLogIsNotServed(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{dieAfterFirst: true}
	for _, body := range []string{"WasteWeight: 0.1", "WasteWeight: 0.2"} {
		raw, err := document.EncodeEdit(document.Edit{ID: body, Section: document.RoutingSection, Base: int64(log.count()), Body: body})
		is.NoErr(err)
		_, err = log.Append(context.Background(), "", raw)
		is.NoErr(err)
	}
	peers := &fakePeers{err: errDown}
	k := startKeeper(t, log, peers)
	eventually(t, func() bool { return peers.asked() > 3 && k.State().Position() == 0 })
	is.True(!k.Ready())
}

// TestStartAsksPeersFirst checks that a restarted host does not fold all that
// the log keeps when a peer has folded it.
func TestStartAsksPeersFirst(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	raw, err := document.EncodeEdit(firstEdit)
	is.NoErr(err)
	_, err = log.Append(context.Background(), "", raw)
	is.NoErr(err)
	k := startKeeper(t, log, &fakePeers{offer: offerOf(t, 1)})
	eventually(t, k.Ready)
	log.mu.Lock()
	defer log.mu.Unlock()
	is.Equal(log.from[0], int64(1))
}

// TestTurnOrdersWriters checks that one host writes snapshots at once and each
// other one waits longer.
func TestTurnOrdersWriters(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c"}
	seen := map[time.Duration]bool{}
	for _, h := range hosts {
		seen[Turn(h, hosts, time.Hour)] = true
	}
	is.Equal(len(seen), 3)
	is.True(seen[0])
	is.Equal(Turn("unlisted", nil, time.Hour), time.Duration(0))
}
