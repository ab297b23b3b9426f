package loadreport_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/loadreport"
)

// network simulates hosts whose messages arrive within the same step or are lost.
type network struct {
	rng    *rand.Rand
	loss   float64
	views  []*loadreport.View
	peers  []loadreport.Peer
	failed map[int]bool
	// partitioned separates hosts with an odd number from the others.
	partitioned bool
	now         clock.Instant
	sequence    uint64
	// sent counts the messages of the last step, bytes the bytes that each host
	// has sent, including IP and UDP headers.
	sent  int
	bytes []int
	// loads are the loads that each host puts on engines.
	loads map[loadreport.EngineHash]loadreport.Load
}

// engine is the engine at which each host has one running request.
const engine = loadreport.EngineHash(5)

func newNetwork(hosts, domains int, loss float64) *network {
	n := &network{
		rng: rand.New(rand.NewPCG(7, 8)), loss: loss, failed: map[int]bool{}, now: clock.Instant(time.Hour),
		bytes: make([]int, hosts), loads: map[loadreport.EngineHash]loadreport.Load{engine: {Running: 1}},
	}
	for i := range hosts {
		n.peers = append(n.peers, loadreport.Peer{Host: loadreport.HashName(fmt.Sprint("host", i)), Domain: loadreport.HashName(fmt.Sprint("domain", i%domains))})
	}
	for i := range hosts {
		n.views = append(n.views, n.start(i))
	}
	return n
}

// start returns the view of a host that is just starting.
func (n *network) start(i int) *loadreport.View {
	v := loadreport.NewView(n.peers[i].Host, n.peers[i].Domain, n.now)
	var others []loadreport.Peer
	for j, p := range n.peers {
		if j != i {
			others = append(others, p)
		}
	}
	v.SetPeers(others)
	return v
}

// deliver sends a message to the hosts that match.
func (n *network) deliver(from int, m encoder, match func(loadreport.Peer) bool, receive func(i int, v *loadreport.View)) {
	const headers = 28 // bytes of IP and UDP
	size := headers + len(m.Encode(nil))
	for i, p := range n.peers {
		if i == from || !match(p) {
			continue
		}
		n.sent++
		n.bytes[from] += size
		blocked := n.partitioned && i%2 != from%2
		if !n.failed[i] && !blocked && n.rng.Float64() >= n.loss {
			receive(i, n.views[i])
		}
	}
}

// step simulates one interval of all hosts.
func (n *network) step() {
	n.now = n.now.Add(150 * time.Millisecond)
	n.sequence++
	n.sent = 0
	for from, v := range n.views {
		if n.failed[from] {
			continue
		}
		inDomain := func(p loadreport.Peer) bool { return p.Domain == n.peers[from].Domain }
		if s, ok := v.Summarize(n.loads, n.sequence, n.now); ok {
			n.deliver(from, s, inDomain, func(_ int, v *loadreport.View) { v.ReceiveSummary(s, n.now) })
			aggregators := v.OtherAggregators(n.now)
			n.deliver(from, s, func(p loadreport.Peer) bool { return aggregators[p.Host] }, func(i int, v *loadreport.View) {
				if v.ReceiveSummary(s, n.now) && v.Aggregator(n.now) == n.peers[i].Host {
					n.deliver(i, s, func(p loadreport.Peer) bool { return p.Domain == n.peers[i].Domain }, func(_ int, v *loadreport.View) { v.ReceiveSummary(s, n.now) })
				}
			})
			continue
		}
		v.SetLastSent(n.loads)
		direct, aggregator := v.Direct(), v.Aggregator(n.now)
		r := loadreport.Report{Host: n.peers[from].Host, Sequence: n.sequence, Loads: n.loads}
		n.deliver(from, r, func(o loadreport.Peer) bool { return direct || o.Host == aggregator }, func(_ int, v *loadreport.View) { v.ReceiveReport(r, n.now) })
	}
}

func (n *network) steps(count int) {
	for range count {
		n.step()
	}
}

// remoteRunning returns the minimum and maximum over all living hosts of the
// running requests that they assume other hosts to have at the engine.
func (n *network) remoteRunning() (minimum, maximum int) {
	minimum = 1 << 30
	for i, v := range n.views {
		if !n.failed[i] {
			sum := v.RemoteLoad(engine, n.now).Running
			minimum, maximum = min(minimum, sum), max(maximum, sum)
		}
	}
	return minimum, maximum
}

// TestReportsReachAllHosts covers systems with and without aggregators: every
// host knows the load of all others, and the number of messages grows linearly
// with the number of hosts.
func TestReportsReachAllHosts(t *testing.T) {
	for _, c := range []struct{ hosts, domains, messages int }{
		{6, 3, 6 * 5}, {17, 3, 17 * 16}, {18, 3, 120}, {68, 3, 400}, {75, 4, 550}, {340, 6, 2800},
	} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(c.hosts, c.domains, 0)
			n.steps(5)
			minimum, maximum := n.remoteRunning()
			is.Equal(minimum, c.hosts-1)
			is.Equal(maximum, c.hosts-1)
			is.True(n.sent <= c.messages)
			for i, v := range n.views {
				for j, p := range n.peers {
					is.True(i == j || v.Alive(p.Host, n.now) && v.SeenRecently(p.Host, n.now))
				}
			}
		})
	}
}

// TestBytesPerHost limits the bandwidth of the busiest host to a part of a
// 10 Mbit/s link: a third with load at each of 60 engines in a system of 68 or
// 75 hosts, a quarter without any load in one of 340.
func TestBytesPerHost(t *testing.T) {
	const link, seconds = 1_250, 3
	for _, c := range []struct{ hosts, domains, engines, kilobytes int }{
		{68, 3, 60, link / 3}, {75, 4, 60, link / 3}, {340, 6, 0, link / 4},
	} {
		t.Run(fmt.Sprint(c.hosts, " hosts, ", c.engines, " engines"), func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(c.hosts, c.domains, 0)
			n.loads = map[loadreport.EngineHash]loadreport.Load{}
			for e := range c.engines {
				n.loads[loadreport.HashEngine(fmt.Sprint("engine", e))] = loadreport.Load{Running: 2, Waiting: [loadreport.Ranks]int{0, 12_000}}
			}
			n.steps(10)
			clear(n.bytes)
			n.steps(seconds * 1000 / 150)
			kilobytes := slices.Max(n.bytes) / seconds / 1000
			t.Logf("the busiest host sends %d kB/s", kilobytes)
			is.True(kilobytes <= c.kilobytes)
		})
	}
}

// TestLoadsUnderFaults simulates lost messages and hosts that fail, restart and
// are partitioned. The load of failed hosts counts for at most two seconds, and
// within a second of the end of a fault all hosts know the loads of the others
// again.
func TestLoadsUnderFaults(t *testing.T) {
	is := is.New(t)
	const hosts = 68
	n := newNetwork(hosts, 3, 0.03)
	n.steps(10)
	for range 40 {
		failed := map[int]bool{}
		for range 1 + n.rng.IntN(20) {
			failed[n.rng.IntN(hosts)] = true
		}
		n.failed = failed
		n.steps(14)
		minimum, maximum := n.remoteRunning()
		is.True(maximum <= hosts-len(failed))
		is.True(minimum >= (hosts-len(failed))*9/10) // one in thirty messages is lost
		for i, v := range n.views {
			for j := range failed {
				is.True(failed[i] || !v.Alive(n.peers[j].Host, n.now))
			}
		}
		for i := range failed {
			n.views[i] = n.start(i)
		}
		n.failed = map[int]bool{}
		n.steps(7)
		minimum, _ = n.remoteRunning()
		is.True(minimum >= (hosts-1)*9/10)
		n.partitioned = true
		n.steps(14)
		_, maximum = n.remoteRunning()
		is.True(maximum <= hosts/2)
		n.partitioned = false
		n.steps(7)
		minimum, _ = n.remoteRunning()
		is.True(minimum >= (hosts-1)*9/10)
	}
}

// TestMembersUnderLoss drops messages while hosts fail and recover: at most one
// query in ten thousand reports a living host as not alive, and at most one in a
// thousand as not recently seen.
func TestMembersUnderLoss(t *testing.T) {
	is := is.New(t)
	const hosts = 68
	n := newNetwork(hosts, 3, 0.03)
	n.steps(10)
	queries, notAlive, notRecent := 0, 0, 0
	for range 200 {
		i := n.rng.IntN(hosts)
		n.failed[i] = true
		n.steps(1 + n.rng.IntN(5))
		delete(n.failed, i)
		n.steps(1 + n.rng.IntN(5))
		for i, v := range n.views {
			for j, p := range n.peers {
				if i == j {
					continue
				}
				queries++
				if !v.Alive(p.Host, n.now) {
					notAlive++
				}
				if !v.SeenRecently(p.Host, n.now) {
					notRecent++
				}
			}
		}
	}
	t.Logf("%d not alive, %d of %d not recently seen", notAlive, notRecent, queries)
	is.True(notAlive*10_000 <= queries)
	is.True(notRecent*1000 <= queries)
}

// BenchmarkRemoteLoad queries the remote load of each of 60 engines, as the
// routing decision for one request does, in a system of 68 hosts in three
// failure domains.
func BenchmarkRemoteLoad(b *testing.B) {
	now := clock.Instant(time.Hour)
	v := loadreport.NewView(0, 0, now)
	var peers []loadreport.Peer
	for host := uint64(1); host < 68; host++ {
		peers = append(peers, loadreport.Peer{Host: host, Domain: host % 3})
	}
	v.SetPeers(peers)
	b.ReportAllocs()
	for range b.N {
		for e := range 60 {
			v.RemoteLoad(loadreport.EngineHash(e), now)
		}
	}
}
