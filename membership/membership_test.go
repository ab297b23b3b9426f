package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/membership"
)

// network delivers messages between views in memory.
type network struct {
	random *rand.Rand
	now    time.Time
	views  map[string]membership.View
	names  []string
	list   []membership.ListedHost
	queue  []delivery
	// dropped reports whether a message from one host to another is lost.
	dropped func(from, to string) bool
	// frozen hosts neither tick nor receive; their messages are queued.
	frozen     map[string]bool
	loss       float64
	sent       int
	maxRecords int
}

type delivery struct {
	from string
	out  membership.Outgoing
	at   time.Time
}

func identity(i int) membership.Identity {
	return membership.Identity{
		Name: fmt.Sprintf("host-%02d", i), Region: fmt.Sprintf("region-%d", i%2),
		FailureDomain: fmt.Sprintf("domain-%d", i%4), Callers: "c", Peers: fmt.Sprintf("p-%d", i),
	}
}

// newNetwork starts hosts that know each other from the host list if listed.
func newNetwork(hosts int, listed bool, seed uint64) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), views: map[string]membership.View{},
		dropped: func(_, _ string) bool { return false }, frozen: map[string]bool{},
	}
	for i := range hosts {
		if listed {
			n.list = append(n.list, membership.ListedHost{Identity: identity(i)})
		}
	}
	for i := range hosts {
		n.start(i, 100)
	}
	return n
}

// start starts or restarts a host.
func (n *network) start(i int, incarnation int64) {
	id := identity(i)
	if _, ok := n.views[id.Name]; !ok {
		n.names = append(n.names, id.Name)
	}
	n.views[id.Name] = membership.New(id, incarnation, n.now)
	n.step(id.Name, membership.HostList{Hosts: n.list})
}

// step applies an input at a host and sends its messages with small delays.
// With loss, some are dropped and some are duplicated late.
func (n *network) step(name string, in membership.Input) {
	before := n.views[name].Self().Incarnation
	v, out := n.views[name].Step(in, n.now, n.random)
	if v.Self().Incarnation < before {
		panic("the incarnation decreased")
	}
	n.views[name] = v
	for _, o := range out {
		n.sent++
		n.maxRecords = max(n.maxRecords, len(o.Message.Records))
		if n.dropped(name, o.To.Name) || n.random.Float64() < n.loss {
			continue
		}
		n.queue = append(n.queue, delivery{name, o, n.now.Add(time.Duration(n.random.IntN(50)) * time.Millisecond)})
		if n.loss > 0 && n.random.IntN(10) == 0 {
			n.queue = append(n.queue, delivery{name, o, n.now.Add(time.Duration(n.random.IntN(3000)) * time.Millisecond)})
		}
	}
}

// run simulates the network for a duration.
func (n *network) run(d time.Duration) {
	const slice = 20 * time.Millisecond
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(slice) {
		queue := n.queue
		n.queue = nil
		for _, m := range queue {
			to := m.out.To.Name
			_, runs := n.views[to]
			switch {
			case n.frozen[to] || m.at.After(n.now):
				n.queue = append(n.queue, m)
			case runs:
				n.step(to, membership.Received{Message: m.out.Message})
			}
		}
		if n.now.UnixMilli()%membership.TickInterval.Milliseconds() == 0 {
			for _, name := range n.names {
				if _, runs := n.views[name]; runs && !n.frozen[name] {
					n.step(name, membership.Tick{})
				}
			}
		}
	}
}

// kill stops a host without announcing it.
func (n *network) kill(name string) { delete(n.views, name) }

// disagreement describes a view that does not show exactly the running hosts as
// live, or returns "".
func (n *network) disagreement() string {
	for _, name := range n.names {
		v, runs := n.views[name]
		if !runs {
			continue
		}
		hosts := v.Hosts()
		if len(hosts) != len(n.views) {
			return fmt.Sprintf("%s shows %d hosts of %d", name, len(hosts), len(n.views))
		}
		for _, h := range hosts {
			if _, runs := n.views[h.Name]; !runs || h.State != membership.Live {
				return fmt.Sprintf("%s shows %s as %d", name, h.Name, h.State)
			}
		}
	}
	return ""
}

// stateAt returns the state of a host in another host's view.
func (n *network) stateAt(at, name string) membership.State {
	for _, h := range n.views[at].Hosts() {
		if h.Name == name {
			return h.State
		}
	}
	return membership.Failed
}

// TestFaults injects each fault into 12 hosts for 20 s, and checks the victim's
// state during the fault and that all hosts agree afterwards.
func TestFaults(t *testing.T) {
	victim := identity(3).Name
	region := func(name string) bool { return name[len(name)-1]%2 == 1 }
	faults := []struct {
		name         string
		inject, heal func(n *network)
		during       membership.State
		observer     string
		recovery     time.Duration
	}{
		{"freeze and resume", func(n *network) { n.frozen[victim] = true }, func(n *network) { n.frozen[victim] = false }, membership.Failed, "host-00", 20 * time.Second},
		{"one-way partition towards one observer", func(n *network) {
			n.dropped = func(from, to string) bool { return from == victim && to == "host-07" }
		}, func(n *network) { n.dropped = func(_, _ string) bool { return false } }, membership.Live, "host-00", 20 * time.Second},
		{"partition between regions", func(n *network) {
			n.dropped = func(from, to string) bool { return region(from) != region(to) }
		}, func(n *network) { n.dropped = func(_, _ string) bool { return false } }, membership.Failed, "host-00", 40 * time.Second},
		{"crash and restart with a clock set back", func(n *network) { n.kill(victim) }, func(n *network) { n.start(3, 50) }, membership.Failed, "host-00", 20 * time.Second},
		{"leaving", func(n *network) { n.step(victim, membership.Leave{}) }, func(n *network) { n.start(3, 500) }, membership.Leaving, "host-00", 20 * time.Second},
		{"empty host list", func(n *network) {
			for _, name := range n.names {
				n.step(name, membership.HostList{})
			}
		}, func(*network) {}, membership.Live, "host-00", 20 * time.Second},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			is := is.New(t)
			n := newNetwork(12, true, 7)
			n.run(10 * time.Second)
			is.Equal(n.disagreement(), "")
			f.inject(n)
			n.run(20 * time.Second)
			is.Equal(n.stateAt(f.observer, victim), f.during)
			f.heal(n)
			n.run(f.recovery)
			is.Equal(n.disagreement(), "")
		})
	}
}

// TestHostsWithoutHostList checks that hosts find each other through one known
// host.
func TestHostsWithoutHostList(t *testing.T) {
	is := is.New(t)
	n := newNetwork(9, false, 11)
	n.list = []membership.ListedHost{{Identity: identity(0)}}
	for _, name := range n.names {
		n.step(name, membership.HostList{Hosts: n.list})
	}
	n.run(30 * time.Second)
	is.Equal(n.disagreement(), "")
}

// TestListedHostWithoutHeartbeats checks that a host known only from the host
// list is live for a grace period, then fails, and is removed once it is no
// longer listed.
func TestListedHostWithoutHeartbeats(t *testing.T) {
	is := is.New(t)
	n := newNetwork(4, true, 13)
	listedOnly := identity(9)
	list := append(append([]membership.ListedHost{}, n.list...), membership.ListedHost{Identity: listedOnly})
	for _, name := range n.names {
		n.step(name, membership.HostList{Hosts: list})
	}
	n.run(5 * time.Second)
	is.Equal(n.stateAt("host-00", listedOnly.Name), membership.Live)
	n.run(25 * time.Second)
	is.Equal(n.stateAt("host-00", listedOnly.Name), membership.Failed)
	for _, name := range n.names {
		n.step(name, membership.HostList{Hosts: n.list})
	}
	n.run(70 * time.Second)
	is.Equal(n.disagreement(), "")
}

// TestPausedHostSuspectsNobody checks that a host that was paused, and lost all
// messages meanwhile, suspects no other host.
func TestPausedHostSuspectsNobody(t *testing.T) {
	is := is.New(t)
	n := newNetwork(6, true, 17)
	n.run(10 * time.Second)
	n.frozen["host-03"] = true
	n.dropped = func(_, to string) bool { return to == "host-03" }
	n.run(20 * time.Second)
	n.frozen["host-03"] = false
	n.step("host-03", membership.Tick{})
	for _, h := range n.views["host-03"].Hosts() {
		is.Equal(h.State, membership.Live)
	}
}

// TestDepartureSpreads checks that a leaving upstream that only one host's list
// shows becomes known to all hosts, and expires.
func TestDepartureSpreads(t *testing.T) {
	is := is.New(t)
	n := newNetwork(12, true, 19)
	n.run(10 * time.Second)
	n.step("host-04", membership.HostList{Hosts: n.list, Departing: []string{"engine-1"}})
	n.run(3 * time.Second)
	for _, name := range n.names {
		is.True(n.views[name].Departing("engine-1"))
	}
	n.run(11 * time.Minute)
	is.True(!n.views["host-00"].Departing("engine-1"))
}

// TestStartWithFailedHost starts unlisted hosts while one listed host has
// failed. The other hosts must learn of a newcomer soon, even if the failed
// host is its only heartbeat target.
func TestStartWithFailedHost(t *testing.T) {
	for count, newcomers := range map[int]int{3: 30, 30: 3} {
		for newcomer := count; newcomer < count+newcomers; newcomer++ {
			is := is.New(t)
			n := newNetwork(count, true, uint64(newcomer))
			n.run(5 * time.Second)
			n.kill("host-00")
			n.run(8 * time.Second)
			n.start(newcomer, 100)
			n.run(4 * time.Second)
			for name := range n.views {
				is.Equal(n.stateAt(name, identity(newcomer).Name), membership.Live)
			}
		}
	}
}

// ExampleState_String shows the name of a state in logs.
func ExampleState_String() {
	fmt.Println(membership.Suspect)
	// Output: Suspect
}
