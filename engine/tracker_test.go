package engine_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// world is a set of hosts before a set of engines, in one process.
type world struct {
	mu       sync.Mutex
	document document.Document
	reports  map[string]upstream.CacheReport
	hosts    []registry.Host
	trackers map[string]*engine.Tracker
	// silent names the hosts that don't answer others.
	silent map[string]bool
	// alone names the hosts that see only themselves on the host list.
	alone map[string]bool
	// asks and bytes count calls between hosts and the size of their messages.
	asks, bytes int
}

// Events implements the reporter: an engine without a report is down.
func (w *world) Events(_ context.Context, address string, _ uint64) (upstream.CacheReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	report, ok := w.reports[address]
	if !ok {
		return report, errors.New("down")
	}
	return report, nil
}

// Look implements the asker.
func (w *world) Look(ctx context.Context, address string, r *peerpb.LookRequest) (*peerpb.LookReply, error) {
	w.mu.Lock()
	target, silent := w.trackers[address], w.silent[address]
	w.asks++
	w.mu.Unlock()
	if silent {
		return nil, errors.New("silent")
	}
	if target == nil {
		return w.stub(r), nil
	}
	reply, err := target.Look(ctx, r)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += proto.Size(r) + proto.Size(reply)
	return reply, err
}

// stub answers in place of a host that does not run.
func (w *world) stub(r *peerpb.LookRequest) *peerpb.LookReply {
	reply := &peerpb.LookReply{}
	for range r.GetEngines() {
		reply.Looks = append(reply.Looks, &peerpb.EngineLook{
			Known: true, Reachable: true, Incarnation: 1796338800000000000, Version: "v1",
			Queued: 3, Running: 9, AgeMillis: 700, Levels: 2, TrustPercent: 97,
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytes += proto.Size(r) + proto.Size(reply)
	return reply
}

// entries returns the host list as a host sees it.
func (w *world) entries(h registry.Host) []registry.Host {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.alone[h.Name] {
		return []registry.Host{h}
	}
	return w.hosts
}

// newWorld starts hosts before engines that hold nothing.
func newWorld(t testing.TB, hosts, engines int) *world { return startWorld(t, hosts, hosts, engines) }

// startWorld starts the first of some hosts before a world prepared so.
func startWorld(t testing.TB, running, hosts, engines int, prepare ...func(*world)) *world {
	w := &world{reports: map[string]upstream.CacheReport{}, trackers: map[string]*engine.Tracker{}, silent: map[string]bool{}, alone: map[string]bool{}}
	pool := document.Pool{Name: "engines", Kind: document.EnginePool}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		pool.Upstreams = append(pool.Upstreams, document.Upstream{Name: name, Address: name})
		w.reports[name] = upstream.CacheReport{Load: upstream.Load{Name: name, Incarnation: 1, Version: "v1"}}
	}
	w.document.Capacity.Pools = []document.Pool{pool}
	w.document.Models.Models = []document.Model{{Name: "m", Pool: "engines", Version: "v1"}}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		w.hosts = append(w.hosts, registry.Host{Name: name, Peers: name})
	}
	for _, change := range prepare {
		change(w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	for _, h := range w.hosts[:running] {
		tracker := engine.NewTracker(ctx, &wait, engine.Options{
			Host: h.Name, Reporter: w, Asker: w, Document: func() document.Document { return w.document },
			Entries: func() []registry.Host { return w.entries(h) }, Leaving: func(string) bool { return false }, Metrics: tally.NoopScope,
		})
		w.mu.Lock()
		w.trackers[h.Name] = tracker
		w.mu.Unlock()
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return w
}

// await waits until a host knows the first engine as the condition says.
func (w *world) await(t testing.TB, host string, holds func(engine.Status) bool) {
	t.Helper()
	for range 500 {
		if holds(w.trackers[host].Status("engine-0")) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s never came to know it: %+v", host, w.trackers[host].Status("engine-0"))
}

func known(s engine.Status) bool { return s.Known }

// report changes what the first engine reports.
func (w *world) report(change func(*upstream.CacheReport)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.reports["engine-0"]
	change(&r)
	w.reports["engine-0"] = r
}

func (w *world) choose(host string, r request.Request, tried ...string) (engine.Choice, bool) {
	return w.trackers[host].Choose(context.Background(), w.document.Capacity.Pools[0], w.document.Models.Models[0], r, tried)
}

// ask returns a request of an account with a long shared part.
func ask(account string) request.Request {
	shared := []byte(strings.Repeat("a", 2*prefix.PieceBytes))
	return request.Request{Account: account, Model: "m", Levels: [][]byte{shared, []byte("question")}}
}

// cache makes the first engine report that it holds the shared part of the
// requests of account mill for weights v1.
func (w *world) cache() {
	scope := prefix.Scope{Account: "mill", Model: "m", Weights: "v1"}
	w.report(func(r *upstream.CacheReport) {
		var changes []string
		for _, k := range prefix.Pieces(scope, ask("mill").Levels[0]) {
			changes = append(changes, "+"+k.String())
		}
		r.Runs = []upstream.EventRun{{First: 1, Changes: changes}}
	})
}

// TestBeliefIsNeverUsedAgainstItsSource tries to make a choice rely on what a
// dead engine, another account or older weights had cached.
func TestBeliefIsNeverUsedAgainstItsSource(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	w.cache()
	for host := range w.trackers {
		w.await(t, host, known)
	}
	eventually(t, func() bool { c, ok := w.choose("host-0", ask("mill")); return ok && c.CachedTokens > 0 })
	for host := range w.trackers {
		c, ok := w.choose(host, ask("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 2*prefix.PieceTokens) // every host knows by its keeper
		is.Equal(c.Incarnation, "1")                   // and the call says what it relies on
		c, ok = w.choose(host, ask("other"))
		is.True(ok)
		is.Equal(c.CachedTokens, 0) // another account has the same text
		is.Equal(c.Incarnation, "")
	}
	// Every host sends the prompt and expects it to be cached; then the engine
	// restarts empty.
	for host, tracker := range w.trackers {
		c, _ := w.choose(host, ask("mill"))
		tracker.Started(c)(engine.Report{Answered: true, Incarnation: "1", Weights: "v1"})
	}
	w.report(func(r *upstream.CacheReport) { r.Incarnation, r.Runs = 2, nil })
	for host := range w.trackers {
		w.await(t, host, func(s engine.Status) bool { return s.Incarnation == 2 })
		c, ok := w.choose(host, ask("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 0)
	}
	// The engine loads other weights: it gets no work, whatever it holds.
	w.cache()
	w.report(func(r *upstream.CacheReport) { r.Version = "v2" })
	for host := range w.trackers {
		w.await(t, host, func(s engine.Status) bool { return s.Version == "v2" })
		_, ok := w.choose(host, ask("mill"))
		is.True(!ok)
	}
	// The document moves to the weights: nothing of the older ones counts.
	w.document.Models.Models[0].Version = "v2"
	for host := range w.trackers {
		c, ok := w.choose(host, ask("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 0)
	}
}

// TestHostsWithoutKeepers checks that hosts choose alike with no keeper's
// answer, and still send nothing to an engine that is known to be down.
func TestHostsWithoutKeepers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, 12)
	for i := range w.hosts {
		w.silent[fmt.Sprintf("host-%d", i)] = true
	}
	first, ok := w.choose("host-0", ask("mill"))
	is.True(ok)
	for host := range w.trackers {
		c, ok := w.choose(host, ask("mill"))
		is.True(ok)
		is.Equal(c.Upstream, first.Upstream)
	}
	c, ok := w.choose("host-1", ask("mill"), first.Upstream.Name)
	is.True(ok)
	is.True(c.Upstream.Name != first.Upstream.Name) // a tried engine is not chosen again
	ended := w.trackers["host-2"].Started(first)
	ended(engine.Report{})
	c, ok = w.choose("host-2", ask("mill"))
	is.True(ok)
	is.True(c.Upstream.Name != first.Upstream.Name) // it failed a moment ago
}

// TestTwoKeepers checks that two hosts that both take themselves for the
// keeper of an engine believe and choose alike.
func TestTwoKeepers(t *testing.T) {
	is := is.New(t)
	// Both take the engine for theirs and find the prompt there from the first poll on.
	w := startWorld(t, 2, 2, 1, (*world).cache, func(w *world) {
		w.alone["host-0"], w.alone["host-1"] = true, true
	})
	for host, tracker := range w.trackers {
		eventually(t, func() bool {
			reply, err := tracker.Look(context.Background(), &peerpb.LookRequest{Engines: []string{"engine-0"}})
			return err == nil && reply.GetLooks()[0].GetKnown()
		})
		is.True(tracker.Keeps("engine-0"))
		c, ok := w.choose(host, ask("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 2*prefix.PieceTokens)
	}
	is.Equal(w.asks, 0)
}

// TestDeadEngineGetsNoWork checks that the keeper's word reaches other hosts.
func TestDeadEngineGetsNoWork(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 1)
	w.cache()
	for host := range w.trackers {
		w.await(t, host, known)
	}
	w.mu.Lock()
	delete(w.reports, "engine-0")
	w.mu.Unlock()
	for host := range w.trackers {
		w.await(t, host, func(s engine.Status) bool { return s.Known && !s.Reachable })
		_, ok := w.choose(host, ask("mill"))
		is.True(!ok)
	}
}

func eventually(t testing.TB, holds func() bool) {
	t.Helper()
	for range 500 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("it never came to be")
}

// TestExpectationNamesItsIncarnation checks that a host that hears of no
// keeper still says which incarnation its own sends went to.
func TestExpectationNamesItsIncarnation(t *testing.T) {
	is := is.New(t)
	w := startWorld(t, 1, 2, 1)
	w.silent["host-0"], w.silent["host-1"] = true, true
	w.mu.Lock()
	w.hosts = w.hosts[1:]
	w.mu.Unlock()
	tracker := w.trackers["host-0"]
	eventually(t, func() bool { return !tracker.Keeps("engine-0") })
	c, ok := w.choose("host-0", ask("mill"))
	is.True(ok)
	is.Equal(c.CachedTokens, 0)
	tracker.Started(c)(engine.Report{Answered: true, Incarnation: "7", Weights: "v1"})
	c, ok = w.choose("host-0", ask("mill"))
	is.True(ok)
	is.Equal(c.CachedTokens, 2*prefix.PieceTokens)
	is.Equal(c.Incarnation, "7")
}
