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

// network plays hosts whose messages arrive in the next step, or are lost.
type network struct {
	random *rand.Rand
	loss   float64
	views  []*loadreport.View
	peers  []loadreport.Peer
	down   map[int]bool
	// cut separates hosts with an odd number from the others.
	cut    bool
	now    clock.Instant
	number uint64
	// sent counts the messages of the last step, bytes what each host has sent
	// with their headers.
	sent  int
	bytes []int
	// loads are what each host has at engines.
	loads map[loadreport.Engine]loadreport.Load
}

// engine is the one at which each host has one request.
const engine = loadreport.Engine(5)

func newNetwork(hosts, domains int, loss float64) *network {
	n := &network{
		random: rand.New(rand.NewPCG(7, 8)), loss: loss, down: map[int]bool{}, now: clock.Instant(time.Hour),
		bytes: make([]int, hosts), loads: map[loadreport.Engine]loadreport.Load{engine: {Running: 1}},
	}
	for i := range hosts {
		n.peers = append(n.peers, loadreport.Peer{Host: loadreport.Name(fmt.Sprint("host", i)), Domain: loadreport.Name(fmt.Sprint("domain", i%domains))})
	}
	for i := range hosts {
		n.views = append(n.views, n.start(i))
	}
	return n
}

// start returns the view of a host that starts now.
func (n *network) start(i int) *loadreport.View {
	v := loadreport.NewView(n.peers[i].Host, n.peers[i].Domain, n.now)
	var others []loadreport.Peer
	for j, p := range n.peers {
		if j != i {
			others = append(others, p)
		}
	}
	v.WithPeers(others)
	return v
}

// deliver hands a message to some hosts.
func (n *network) deliver(from int, m encoder, wanted func(loadreport.Peer) bool, take func(i int, v *loadreport.View)) {
	const headers = 28 // bytes of IP and UDP
	size := headers + len(m.Encode(nil))
	for i, p := range n.peers {
		if i == from || !wanted(p) {
			continue
		}
		n.sent++
		n.bytes[from] += size
		severed := n.cut && i%2 != from%2
		if !n.down[i] && !severed && n.random.Float64() >= n.loss {
			take(i, n.views[i])
		}
	}
}

// step plays one interval of all hosts.
func (n *network) step() {
	n.now = n.now.Add(150 * time.Millisecond)
	n.number++
	n.sent = 0
	for from, v := range n.views {
		if n.down[from] {
			continue
		}
		inDomain := func(p loadreport.Peer) bool { return p.Domain == n.peers[from].Domain }
		if s, gathers := v.Summarize(n.loads, n.number, n.now); gathers {
			n.deliver(from, s, inDomain, func(_ int, v *loadreport.View) { v.Summary(s, n.now) })
			gatherers := v.Others(n.now)
			n.deliver(from, s, func(p loadreport.Peer) bool { return gatherers[p.Host] }, func(i int, v *loadreport.View) {
				if v.Summary(s, n.now) && v.Gatherer(n.now) == n.peers[i].Host {
					n.deliver(i, s, func(p loadreport.Peer) bool { return p.Domain == n.peers[i].Domain }, func(_ int, v *loadreport.View) { v.Summary(s, n.now) })
				}
			})
			continue
		}
		v.Told(n.loads)
		direct, gatherer := v.Direct(), v.Gatherer(n.now)
		p := loadreport.Pulse{Host: n.peers[from].Host, Number: n.number, Loads: n.loads}
		n.deliver(from, p, func(o loadreport.Peer) bool { return direct || o.Host == gatherer }, func(_ int, v *loadreport.View) { v.Report(p, n.now) })
	}
}

func (n *network) steps(count int) {
	for range count {
		n.step()
	}
}

// elsewhere returns what the living hosts believe of the engine, the least and
// the most.
func (n *network) elsewhere() (least, most int) {
	least = 1 << 30
	for i, v := range n.views {
		if !n.down[i] {
			sum := v.Elsewhere(engine, n.now).Running
			least, most = min(least, sum), max(most, sum)
		}
	}
	return least, most
}

// TestGather covers sizes with and without gatherers: every host knows what
// all others have, at a number of messages that grows with the hosts and not
// with their square.
func TestGather(t *testing.T) {
	for _, c := range []struct{ hosts, domains, messages int }{
		{6, 3, 6 * 5}, {17, 3, 17 * 16}, {18, 3, 120}, {68, 3, 400}, {75, 4, 550}, {340, 6, 2800},
	} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(c.hosts, c.domains, 0)
			n.steps(5)
			least, most := n.elsewhere()
			is.Equal(least, c.hosts-1)
			is.Equal(most, c.hosts-1)
			is.True(n.sent <= c.messages)
			for i, v := range n.views {
				for j, p := range n.peers {
					is.True(i == j || v.Alive(p.Host, n.now) && v.Heard(p.Host, n.now))
				}
			}
		})
	}
}

// TestGatherBytes holds what the busiest host sends to a part of a link of
// 10 Mbit/s: a third with something at each of 60 engines in a system of 68 or
// 75 hosts, a quarter with nothing at any in one of 340.
func TestGatherBytes(t *testing.T) {
	const link, seconds = 1_250, 3
	for _, c := range []struct{ hosts, domains, engines, kilobytes int }{
		{68, 3, 60, link / 3}, {75, 4, 60, link / 3}, {340, 6, 0, link / 4},
	} {
		t.Run(fmt.Sprint(c.hosts, " hosts, ", c.engines, " engines"), func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(c.hosts, c.domains, 0)
			n.loads = map[loadreport.Engine]loadreport.Load{}
			for e := range c.engines {
				n.loads[loadreport.Short(fmt.Sprint("engine", e))] = loadreport.Load{Running: 2, Waiting: [loadreport.Ranks]int{0, 12_000}}
			}
			n.steps(10)
			clear(n.bytes)
			n.steps(seconds * 1000 / 150)
			most := slices.Max(n.bytes) / seconds / 1000
			t.Logf("the busiest host sends %d kB/s", most)
			is.True(most <= c.kilobytes)
		})
	}
}

// TestGatherUnderFaults plays lost messages, hosts that fail, restart and are
// cut off. Hosts that fail count for at most two seconds, and within a second
// of the end of a fault all hosts know again what the others have.
func TestGatherUnderFaults(t *testing.T) {
	is := is.New(t)
	const hosts = 68
	n := newNetwork(hosts, 3, 0.03)
	n.steps(10)
	for range 40 {
		failed := map[int]bool{}
		for range 1 + n.random.IntN(20) {
			failed[n.random.IntN(hosts)] = true
		}
		n.down = failed
		n.steps(14)
		least, most := n.elsewhere()
		is.True(most <= hosts-len(failed))
		is.True(least >= (hosts-len(failed))*9/10) // a message in thirty is lost
		for i, v := range n.views {
			for j := range failed {
				is.True(failed[i] || !v.Alive(n.peers[j].Host, n.now))
			}
		}
		for i := range failed {
			n.views[i] = n.start(i)
		}
		n.down = map[int]bool{}
		n.steps(7)
		least, _ = n.elsewhere()
		is.True(least >= (hosts-1)*9/10)
		n.cut = true
		n.steps(14)
		_, most = n.elsewhere()
		is.True(most <= hosts/2)
		n.cut = false
		n.steps(7)
		least, _ = n.elsewhere()
		is.True(least >= (hosts-1)*9/10)
	}
}

// TestMembersUnderLoss loses messages while hosts fail and come back: few living
// hosts count as silent, one look in ten thousand, or as not heard of just now,
// one in a thousand.
func TestMembersUnderLoss(t *testing.T) {
	is := is.New(t)
	const hosts = 68
	n := newNetwork(hosts, 3, 0.03)
	n.steps(10)
	pairs, silent, unheard := 0, 0, 0
	for range 200 {
		i := n.random.IntN(hosts)
		n.down[i] = true
		n.steps(1 + n.random.IntN(5))
		delete(n.down, i)
		n.steps(1 + n.random.IntN(5))
		for i, v := range n.views {
			for j, p := range n.peers {
				if i == j {
					continue
				}
				pairs++
				if !v.Alive(p.Host, n.now) {
					silent++
				}
				if !v.Heard(p.Host, n.now) {
					unheard++
				}
			}
		}
	}
	t.Logf("%d silent, %d of %d not heard of", silent, unheard, pairs)
	is.True(silent*10_000 <= pairs)
	is.True(unheard*1000 <= pairs)
}

// BenchmarkElsewhere asks what other hosts have at each of 60 engines, as the
// choice for one request does, in a system of 68 hosts in three failure
// domains.
func BenchmarkElsewhere(b *testing.B) {
	now := clock.Instant(time.Hour)
	v := loadreport.NewView(0, 0, now)
	var peers []loadreport.Peer
	for host := uint64(1); host < 68; host++ {
		peers = append(peers, loadreport.Peer{Host: host, Domain: host % 3})
	}
	v.WithPeers(peers)
	b.ReportAllocs()
	for range b.N {
		for e := range 60 {
			v.Elsewhere(loadreport.Engine(e), now)
		}
	}
}
