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

// testTimeout limits a wait; a passing run needs far less.
const testTimeout = 20 * time.Second

// fakeLog is an in-memory log with faults.
type fakeLog struct {
	mu      sync.Mutex
	records []registry.Record
	// readErr and appendErr are the errors that calls return.
	readErr, appendErr error
	// failAfterFirst returns one record from the first read and fails all
	// further reads.
	failAfterFirst bool
	// readOffsets holds the offsets of all reads.
	readOffsets []int64
	// loseAnswers is how many appends take effect but return an error.
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
	sleep(ctx, time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readOffsets = append(l.readOffsets, from)
	if l.readErr != nil {
		return registry.Page{}, l.readErr
	}
	if l.failAfterFirst {
		l.readErr = errLogDown
		return registry.Page{Records: l.records[:1], Next: int64(len(l.records))}, nil
	}
	p := registry.Page{Next: int64(len(l.records)), NowMillis: time.Now().UnixMilli()}
	if from < p.Next {
		p.Records = append(p.Records, l.records[from:]...)
	}
	return p, nil
}

func (l *fakeLog) recordCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// fakePeers gives the same answer to every call.
type fakePeers struct {
	mu        sync.Mutex
	offer     Offer
	err       error
	confirmed int64
	fetches   int
	// delay is how long a fetch takes.
	delay time.Duration
}

func (p *fakePeers) fetchCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fetches
}

func (p *fakePeers) Fetch(ctx context.Context, _ string, _ int64) (Offer, error) {
	sleep(ctx, p.delay)
	if ctx.Err() != nil {
		return Offer{}, ctx.Err()
	}
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

// startSyncer starts a syncer with one peer.
func startSyncer(t testing.TB, log *fakeLog, peers *fakePeers) *Syncer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	syncer := New(ctx, &wait, Options{
		Host: "host-1", Log: log, Peers: peers, Retention: time.Hour, SnapshotShare: 0.5, Metrics: tally.NoopScope,
		Members: func() []registry.Host {
			return []registry.Host{{Name: "host-1", Peers: "127.0.0.1:1"}, {Name: "host-2", Peers: "127.0.0.1:2"}}
		},
	})
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return syncer
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition was not met in time")
}

var firstEdit = document.Edit{ID: "a", Section: document.RoutingSection, Author: "ana", Body: "WasteWeight: 0.1"}

// newOffer returns the offer of a peer that has folded firstEdit, under the
// given version of the rules.
func newOffer(t *testing.T, rules int) Offer {
	t.Helper()
	raw, err := document.EncodeEdit(firstEdit)
	is.New(t).NoErr(err)
	snapshot := document.New().Fold(document.Record{Data: raw}).Transfer("host-2")
	snapshot.Rules = rules
	state, err := json.Marshal(snapshot)
	is.New(t).NoErr(err)
	return Offer{Position: 0, State: state, CurrentAge: -1}
}

var errLogDown = trace.ConnectionProblem(nil, "the log is down")

// TestPublish checks the result that an operator gets for an edit.
func TestPublish(t *testing.T) {
	refused := trace.ConnectionProblem(&net.OpError{Op: "dial", Err: errors.New("refused")}, "no answer")
	for _, c := range []struct {
		name     string
		log      *fakeLog
		peers    *fakePeers
		body     string
		accepted bool
		unknown  bool
		// minRecords and maxRecords limit the records on the log at the end.
		minRecords, maxRecords int
	}{
		{"accepted", &fakeLog{}, &fakePeers{confirmed: 9}, firstEdit.Body, true, false, 1, 1},
		{"answer lost", &fakeLog{loseAnswers: 1}, &fakePeers{confirmed: 9}, firstEdit.Body, true, false, 1, 2},
		{"log refuses to connect", &fakeLog{appendErr: refused}, &fakePeers{}, firstEdit.Body, false, false, 0, 0},
		{"log down", &fakeLog{appendErr: errLogDown}, &fakePeers{}, firstEdit.Body, false, true, 0, 0},
		{"no other host confirms", &fakeLog{}, &fakePeers{confirmed: -1}, firstEdit.Body, false, true, 1, 1},
		{"bad body", &fakeLog{}, &fakePeers{}, "Colour: red", false, false, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			syncer := startSyncer(t, c.log, c.peers)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			e := firstEdit
			e.Body = c.body
			result, err := syncer.Publish(ctx, e)
			is.Equal(result.Accepted, c.accepted)
			is.Equal(trace.IsConnectionProblem(err), c.unknown)
			is.Equal(err == nil, c.accepted)
			is.True(c.log.recordCount() >= c.minRecords && c.log.recordCount() <= c.maxRecords)
			if c.accepted { // Publishing it again under the same ID has no effect.
				again, err := syncer.Publish(context.Background(), e)
				is.NoErr(err)
				is.Equal(again, result)
				e.Body = "WasteWeight: 0.9"
				_, err = syncer.Publish(context.Background(), e)
				is.True(trace.IsBadParameter(err)) // The ID belongs to another edit.
			}
		})
	}
}

// TestStartWithoutLog checks the start of a host that can't read the log.
func TestStartWithoutLog(t *testing.T) {
	for _, c := range []struct {
		name   string
		peers  *fakePeers
		ready  bool
		reason string
	}{
		{"a peer answers", &fakePeers{offer: newOffer(t, 1)}, true, "the log does not answer this host"},
		{"no peer answers", &fakePeers{err: errLogDown}, false, "neither the log nor another host provided a configuration"},
		{"a peer is busy", &fakePeers{offer: Offer{Position: 5}}, false, "neither the log nor another host provided a configuration"},
		{"a peer has newer rules", &fakePeers{offer: newOffer(t, 2)}, false, "neither the log nor another host provided a configuration"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			syncer := startSyncer(t, &fakeLog{readErr: errLogDown}, c.peers)
			eventually(t, func() bool { return syncer.Status().Reason == c.reason && syncer.Ready() == c.ready })
			is.Equal(syncer.Status().StaleSeconds, -1.0) // It was never known to be current.
		})
	}
}

// TestFetchThatTakesLongSucceeds has the fetch of a state take longer than other
// calls may, as a large one does over a slow connection.
func TestFetchThatTakesLongSucceeds(t *testing.T) {
	is := is.New(t)
	peers := &fakePeers{offer: newOffer(t, 1), delay: 3 * peerTimeout / 2}
	peers.offer.CurrentAge = 0
	syncer := startSyncer(t, &fakeLog{readErr: errLogDown}, peers)
	eventually(t, syncer.Ready)
	is.Equal(syncer.State().Position(), int64(0))
	// The peer may have been current only when the fetch began.
	stale := syncer.Status().StaleSeconds
	is.True(stale >= peers.delay.Seconds())
}

// TestPartlyReadLogIsNotServed checks that a host does not serve an older
// revision if it knows that the log has records that it could not read.
func TestPartlyReadLogIsNotServed(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{failAfterFirst: true}
	for _, body := range []string{"WasteWeight: 0.1", "WasteWeight: 0.2"} {
		raw, err := document.EncodeEdit(document.Edit{ID: body, Section: document.RoutingSection, Base: int64(log.recordCount()), Body: body})
		is.NoErr(err)
		_, err = log.Append(context.Background(), "", raw)
		is.NoErr(err)
	}
	peers := &fakePeers{err: errLogDown}
	syncer := startSyncer(t, log, peers)
	eventually(t, func() bool { return peers.fetchCount() > 3 && syncer.State().Position() == 0 })
	is.True(!syncer.Ready())
}

// TestStartFetchesFromPeersFirst checks that a restarted host does not fold the
// whole log if a peer has already done it.
func TestStartFetchesFromPeersFirst(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	raw, err := document.EncodeEdit(firstEdit)
	is.NoErr(err)
	_, err = log.Append(context.Background(), "", raw)
	is.NoErr(err)
	syncer := startSyncer(t, log, &fakePeers{offer: newOffer(t, 1)})
	eventually(t, syncer.Ready)
	log.mu.Lock()
	defer log.mu.Unlock()
	is.Equal(log.readOffsets[0], int64(1))
}

// TestSnapshotDelayOrdersWriters checks that one host writes snapshots
// immediately and that each other host waits longer than the previous one.
func TestSnapshotDelayOrdersWriters(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c"}
	delays := map[time.Duration]bool{}
	for _, h := range hosts {
		delays[SnapshotDelay(h, hosts, time.Hour)] = true
	}
	is.Equal(len(delays), 3)
	is.True(delays[0])
	is.Equal(SnapshotDelay("unlisted", nil, time.Hour), time.Duration(0))
}
