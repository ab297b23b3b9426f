package main

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/host"
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/peer"
	"github.com/kumquathoist/kumquathoist/peerpb"
	"github.com/kumquathoist/kumquathoist/registry"
)

const (
	// headerBytes is the size of the TCP and IP headers of a write and its
	// acknowledgement.
	headerBytes = 2 * 52
	// upstreamsPerHost is the number of upstream hosts listed for each host.
	upstreamsPerHost = 2
	// eventTimeout bounds the wait until every host has seen an event.
	eventTimeout = 60 * time.Second
)

// membershipCommand measures the heartbeats of many hosts in one process.
type membershipCommand struct {
	Hosts  []int `default:"3,9,30,100,340" help:"Numbers of hosts to measure."`
	Settle int   `default:"15" help:"Seconds before the measurement."`
	Span   int   `default:"20" help:"Seconds that traffic is measured."`
}

// Run prints one row for each number of hosts.
func (c *membershipCommand) Run(ctx context.Context) error {
	fmt.Println("| hosts | messages sent/s | bytes sent/s | with headers | host list bytes/s | CPU % of a core | heap KB | failed: first, last | leaving: last | started: last |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
	for _, count := range c.Hosts {
		if err := c.measure(ctx, count); err != nil {
			return err
		}
	}
	return nil
}

// hostList is a host list in the same process. Its answer is decoded on each
// read, as an answer of the platform would be.
type hostList struct {
	answer atomic.Pointer[[]byte]
	bytes  atomic.Int64
}

// Hosts returns the listed hosts.
func (l *hostList) Hosts(context.Context) ([]registry.Host, error) {
	raw := *l.answer.Load()
	l.bytes.Add(int64(len(raw)))
	var hosts []registry.Host
	return hosts, json.Unmarshal(raw, &hosts)
}

// member is one host of the measurement.
type member struct {
	*host.Directory

	pool   *peer.Pool
	server *peer.Server
	cancel context.CancelFunc
}

// cluster holds the hosts of one measurement.
type cluster struct {
	list    *hostList
	members []*member
	wait    conc.WaitGroup
}

// start starts another host.
func (c *cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	credentials := peer.Credentials{Secret: "measurement"}
	server, err := peer.NewServer("127.0.0.1:0", credentials)
	if err != nil {
		cancel()
		return err
	}
	m := &member{pool: peer.NewPool(credentials), server: server, cancel: cancel}
	i := len(c.members)
	m.Directory = host.NewDirectory(ctx, &c.wait, host.Options{
		Self:   membership.Identity{Name: fmt.Sprintf("host-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%6), Region: fmt.Sprintf("region-%d", i%2)},
		List:   c.list,
		Pool:   m.pool,
		Status: func() membership.Tick { return membership.Tick{} },
	})
	if err := peerpb.DRPCRegisterMemberships(server, m.Directory); err != nil {
		cancel()
		return err
	}
	c.wait.Go(func() {
		defer m.pool.Close()
		_ = server.Serve(ctx)
	})
	m.Announce("127.0.0.1:1", server.Address())
	c.members = append(c.members, m)
	return nil
}

// publish puts every host and upstreamsPerHost upstream hosts for each of them
// on the host list.
func (c *cluster) publish() {
	var hosts []registry.Host
	for _, m := range c.members {
		self := m.Self
		hosts = append(hosts, registry.Host{
			Name: self.Name, Role: registry.EntryHost, FailureDomain: self.FailureDomain, Region: self.Region,
			State: registry.Live, Callers: "127.0.0.1:1", Peers: m.server.Address(),
		})
		for j := range upstreamsPerHost {
			hosts = append(hosts, registry.Host{
				Name: fmt.Sprintf("engine-%s-%d", self.Name, j), Role: registry.UpstreamHost,
				FailureDomain: self.FailureDomain, Region: self.Region, State: registry.Live,
			})
		}
	}
	raw, _ := json.Marshal(hosts)
	c.list.answer.Store(&raw)
}

// measure starts a number of hosts, measures them and prints their row.
func (c *membershipCommand) measure(ctx context.Context, count int) error {
	ctx, cancel := context.WithCancel(ctx)
	hosts := &cluster{list: &hostList{}}
	empty := []byte("[]")
	hosts.list.answer.Store(&empty)
	defer hosts.wait.Wait()
	defer cancel()
	for range count {
		if err := hosts.start(ctx); err != nil {
			return err
		}
	}
	hosts.publish()
	pause(ctx, c.Settle)
	before := hosts.usage()
	pause(ctx, c.Span)
	rate := hosts.usage().since(before).perHostSecond(count, c.Span)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	fmt.Printf("| %d | %.1f | %.0f | %.0f | %.0f | %.3f | %.0f |", count, rate.writes, rate.sent, rate.sent+headerBytes*rate.writes,
		rate.list, rate.cpu*100, float64(memory.HeapAlloc+memory.StackInuse)/1024/float64(count))
	first, last := hosts.measureEvents(ctx)
	fmt.Printf(" %.1f s, %.1f s | %.2f s | %.2f s |\n", first.Seconds(), last[0].Seconds(), last[1].Seconds(), last[2].Seconds())
	return nil
}

// measureEvents kills a host, makes another leave and starts a new one. It
// returns the times until the first host shows the failure and until the last
// host shows the failure, the departure and the start.
func (c *cluster) measureEvents(ctx context.Context) (first time.Duration, last [3]time.Duration) {
	victim, leaver := c.members[0], c.members[1]
	others := c.members[2:]
	victim.cancel()
	first, last[0] = awaitMembers(others, func(m *member) bool { return stateOf(m, victim.Self.Name) == membership.Failed })
	leaver.Leave()
	_, last[1] = awaitMembers(others, func(m *member) bool { return stateOf(m, leaver.Self.Name) == membership.Leaving })
	started := time.Now()
	if c.start(ctx) != nil {
		return first, last
	}
	name := c.members[len(c.members)-1].Self.Name
	awaitMembers(others, func(m *member) bool { return stateOf(m, name) == membership.Live })
	last[2] = time.Since(started)
	return first, last
}

// stateOf returns the state that a host shows for another one, Failed if it shows
// none.
func stateOf(m *member, name string) membership.State {
	for _, h := range m.Hosts() {
		if h.Name == name {
			return h.State
		}
	}
	return membership.Failed
}

// awaitMembers waits until a condition holds for every member and returns the times
// until it holds for the first and for the last of them.
func awaitMembers(members []*member, holds func(*member) bool) (first, last time.Duration) {
	begin := time.Now()
	for time.Since(begin) < eventTimeout {
		count := 0
		for _, m := range members {
			if holds(m) {
				count++
			}
		}
		if count > 0 && first == 0 {
			first = time.Since(begin)
		}
		if count == len(members) {
			return first, time.Since(begin)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return first, eventTimeout
}

// consumption is the total usage of the hosts, or the usage per host and second.
type consumption struct{ writes, sent, list, cpu float64 }

func (c *cluster) usage() consumption {
	var u consumption
	for _, m := range c.members {
		u.writes += float64(m.pool.Writes() + m.server.Writes())
		u.sent += float64(m.pool.Sent() + m.server.Sent())
	}
	u.list = float64(c.list.bytes.Load())
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
	return u
}

func (u consumption) since(before consumption) consumption {
	return consumption{u.writes - before.writes, u.sent - before.sent, u.list - before.list, u.cpu - before.cpu}
}

func (u consumption) perHostSecond(hosts, seconds int) consumption {
	n := float64(hosts * seconds)
	return consumption{u.writes / n, u.sent / n, u.list / n, u.cpu / n}
}

// pause waits for a number of seconds or until the context ends.
func pause(ctx context.Context, seconds int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(seconds) * time.Second):
	}
}
