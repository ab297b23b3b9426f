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

// deployment runs hosts and engines in one process.
type deployment struct {
	mu       sync.Mutex
	document document.Document
	reports  map[string]upstream.CacheReport
	hosts    []registry.Host
	trackers map[string]*engine.Tracker
	// unresponsive holds the names of hosts that don't reply to other hosts.
	unresponsive map[string]bool
	// isolated holds the names of hosts that see only themselves in the host list.
	isolated map[string]bool
	// queries and messageBytes count the calls between hosts and the size of
	// their messages.
	queries, messageBytes int
}

// Events implements engine.reporter. An engine without a report is down.
func (d *deployment) Events(_ context.Context, address string, _ uint64) (upstream.CacheReport, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	report, ok := d.reports[address]
	if !ok {
		return report, errors.New("down")
	}
	return report, nil
}

// Look implements engine.peerQuerier.
func (d *deployment) Look(ctx context.Context, address string, r *peerpb.LookRequest) (*peerpb.LookReply, error) {
	d.mu.Lock()
	target, unresponsive := d.trackers[address], d.unresponsive[address]
	d.queries++
	d.mu.Unlock()
	if unresponsive {
		return nil, errors.New("unresponsive")
	}
	if target == nil {
		return d.stubReply(r), nil
	}
	reply, err := target.Look(ctx, r)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messageBytes += proto.Size(r) + proto.Size(reply)
	return reply, err
}

// stubReply returns the reply of a host that has no tracker.
func (d *deployment) stubReply(r *peerpb.LookRequest) *peerpb.LookReply {
	reply := &peerpb.LookReply{}
	for range r.GetEngines() {
		reply.Looks = append(reply.Looks, &peerpb.EngineLook{
			Known: true, Reachable: true, Incarnation: 1796338800000000000, Version: "v1",
			Queued: 3, Running: 9, AgeMillis: 700, Levels: 2, TrustPercent: 97,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.messageBytes += proto.Size(r) + proto.Size(reply)
	return reply
}

// entries returns the host list as seen by a host.
func (d *deployment) entries(h registry.Host) []registry.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isolated[h.Name] {
		return []registry.Host{h}
	}
	return d.hosts
}

// newDeployment starts hosts and engines with empty caches.
func newDeployment(t testing.TB, hosts, engines int) *deployment {
	return startDeployment(t, hosts, hosts, engines)
}

// startDeployment applies prepare to a deployment and starts trackers for the
// first of its hosts.
func startDeployment(t testing.TB, running, hosts, engines int, prepare ...func(*deployment)) *deployment {
	d := &deployment{reports: map[string]upstream.CacheReport{}, trackers: map[string]*engine.Tracker{}, unresponsive: map[string]bool{}, isolated: map[string]bool{}}
	pool := document.Pool{Name: "engines", Kind: document.EnginePool}
	for i := range engines {
		name := fmt.Sprintf("engine-%d", i)
		pool.Upstreams = append(pool.Upstreams, document.Upstream{Name: name, Address: name})
		d.reports[name] = upstream.CacheReport{Load: upstream.Load{Name: name, Incarnation: 1, Version: "v1"}}
	}
	d.document.Capacity.Pools = []document.Pool{pool}
	d.document.Models.Models = []document.Model{{Name: "m", Pool: "engines", Version: "v1"}}
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		d.hosts = append(d.hosts, registry.Host{Name: name, Peers: name})
	}
	for _, change := range prepare {
		change(d)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	for _, h := range d.hosts[:running] {
		tracker := engine.NewTracker(ctx, &wait, engine.Options{
			Host: h.Name, Reporter: d, PeerQuerier: d, Document: func() document.Document { return d.document },
			Entries: func() []registry.Host { return d.entries(h) }, Leaving: func(string) bool { return false }, Metrics: tally.NoopScope,
		})
		d.mu.Lock()
		d.trackers[h.Name] = tracker
		d.mu.Unlock()
	}
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return d
}

// awaitStatus waits until the first engine's status at a host meets the condition.
func (d *deployment) awaitStatus(t testing.TB, host string, holds func(engine.Status) bool) {
	t.Helper()
	for range 500 {
		if holds(d.trackers[host].Status("engine-0")) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("status at %s did not meet the condition in time: %+v", host, d.trackers[host].Status("engine-0"))
}

func isKnown(s engine.Status) bool { return s.Known }

// updateReport changes the report of the first engine.
func (d *deployment) updateReport(change func(*upstream.CacheReport)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.reports["engine-0"]
	change(&r)
	d.reports["engine-0"] = r
}

func (d *deployment) choose(host string, r request.Request, tried ...string) (engine.Choice, bool) {
	return d.trackers[host].Choose(context.Background(), d.document.Capacity.Pools[0], d.document.Models.Models[0], r, tried)
}

// promptRequest returns a request of an account with a long shared prefix.
func promptRequest(account string) request.Request {
	shared := []byte(strings.Repeat("a", 2*prefix.PieceBytes))
	return request.Request{Account: account, Model: "m", Levels: [][]byte{shared, []byte("question")}}
}

// reportCachedPrompt makes the first engine report that it has cached the
// shared prefix of the requests of account mill for weights v1.
func (d *deployment) reportCachedPrompt() {
	scope := prefix.Scope{Account: "mill", Model: "m", Weights: "v1"}
	d.updateReport(func(r *upstream.CacheReport) {
		var changes []string
		for _, k := range prefix.Pieces(scope, promptRequest("mill").Levels[0]) {
			changes = append(changes, "+"+k.String())
		}
		r.Runs = []upstream.EventRun{{First: 1, Changes: changes}}
	})
}

// TestCacheIsNotAssumedForAnotherSource checks that no choice relies on what an
// earlier incarnation, another account or older weights had cached.
func TestCacheIsNotAssumedForAnotherSource(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3, 1)
	d.reportCachedPrompt()
	for host := range d.trackers {
		d.awaitStatus(t, host, isKnown)
	}
	eventually(t, func() bool { c, ok := d.choose("host-0", promptRequest("mill")); return ok && c.CachedTokens > 0 })
	for host := range d.trackers {
		c, ok := d.choose(host, promptRequest("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 2*prefix.PieceTokens) // every host knows it from the owner
		is.Equal(c.Incarnation, "1")                   // and the choice requires the incarnation that it relies on
		c, ok = d.choose(host, promptRequest("other"))
		is.True(ok)
		is.Equal(c.CachedTokens, 0) // another account has the same text
		is.Equal(c.Incarnation, "")
	}
	// Every host sends the prompt and expects it to be cached; then the engine
	// restarts empty.
	for host, tracker := range d.trackers {
		c, _ := d.choose(host, promptRequest("mill"))
		tracker.Started(c)(engine.Report{Answered: true, Incarnation: "1", Weights: "v1"})
	}
	d.updateReport(func(r *upstream.CacheReport) { r.Incarnation, r.Runs = 2, nil })
	for host := range d.trackers {
		d.awaitStatus(t, host, func(s engine.Status) bool { return s.Incarnation == 2 })
		c, ok := d.choose(host, promptRequest("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 0)
	}
	// The engine loads other weights: it gets no requests, whatever it has cached.
	d.reportCachedPrompt()
	d.updateReport(func(r *upstream.CacheReport) { r.Version = "v2" })
	for host := range d.trackers {
		d.awaitStatus(t, host, func(s engine.Status) bool { return s.Version == "v2" })
		_, ok := d.choose(host, promptRequest("mill"))
		is.True(!ok)
	}
	// The document switches to these weights: parts cached for the old ones don't count.
	d.document.Models.Models[0].Version = "v2"
	for host := range d.trackers {
		c, ok := d.choose(host, promptRequest("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 0)
	}
}

// TestChoiceWithoutOwners checks that hosts make the same choice without a
// reply of any owner, and still avoid an engine that is known to be down.
func TestChoiceWithoutOwners(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 4, 12)
	for i := range d.hosts {
		d.unresponsive[fmt.Sprintf("host-%d", i)] = true
	}
	first, ok := d.choose("host-0", promptRequest("mill"))
	is.True(ok)
	for host := range d.trackers {
		c, ok := d.choose(host, promptRequest("mill"))
		is.True(ok)
		is.Equal(c.Upstream, first.Upstream)
	}
	c, ok := d.choose("host-1", promptRequest("mill"), first.Upstream.Name)
	is.True(ok)
	is.True(c.Upstream.Name != first.Upstream.Name) // a tried engine is not chosen again
	ended := d.trackers["host-2"].Started(first)
	ended(engine.Report{})
	c, ok = d.choose("host-2", promptRequest("mill"))
	is.True(ok)
	is.True(c.Upstream.Name != first.Upstream.Name) // it has just failed
}

// TestTwoOwners checks that two hosts that both consider themselves the owner of
// an engine assume the same cached parts and make the same choice.
func TestTwoOwners(t *testing.T) {
	is := is.New(t)
	// Both own the engine and find the prompt cached from the first poll on.
	d := startDeployment(t, 2, 2, 1, (*deployment).reportCachedPrompt, func(d *deployment) {
		d.isolated["host-0"], d.isolated["host-1"] = true, true
	})
	for host, tracker := range d.trackers {
		eventually(t, func() bool {
			reply, err := tracker.Look(context.Background(), &peerpb.LookRequest{Engines: []string{"engine-0"}})
			return err == nil && reply.GetLooks()[0].GetKnown()
		})
		is.True(tracker.Owns("engine-0"))
		c, ok := d.choose(host, promptRequest("mill"))
		is.True(ok)
		is.Equal(c.CachedTokens, 2*prefix.PieceTokens)
	}
	is.Equal(d.queries, 0)
}

// TestDeadEngineGetsNoWork checks that other hosts learn from the owner that an
// engine is down.
func TestDeadEngineGetsNoWork(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3, 1)
	d.reportCachedPrompt()
	for host := range d.trackers {
		d.awaitStatus(t, host, isKnown)
	}
	d.mu.Lock()
	delete(d.reports, "engine-0")
	d.mu.Unlock()
	for host := range d.trackers {
		d.awaitStatus(t, host, func(s engine.Status) bool { return s.Known && !s.Reachable })
		_, ok := d.choose(host, promptRequest("mill"))
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
	t.Fatal("condition not met in time")
}

// TestExpectedCacheNamesItsIncarnation checks that a choice that relies on a
// host's own earlier requests, without a reply of an owner, requires the
// incarnation that these requests went to.
func TestExpectedCacheNamesItsIncarnation(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, 1, 2, 1)
	d.unresponsive["host-0"], d.unresponsive["host-1"] = true, true
	d.mu.Lock()
	d.hosts = d.hosts[1:]
	d.mu.Unlock()
	tracker := d.trackers["host-0"]
	eventually(t, func() bool { return !tracker.Owns("engine-0") })
	c, ok := d.choose("host-0", promptRequest("mill"))
	is.True(ok)
	is.Equal(c.CachedTokens, 0)
	tracker.Started(c)(engine.Report{Answered: true, Incarnation: "7", Weights: "v1"})
	c, ok = d.choose("host-0", promptRequest("mill"))
	is.True(ok)
	is.Equal(c.CachedTokens, 2*prefix.PieceTokens)
	is.Equal(c.Incarnation, "7")
}
