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
	// headerBytes is what each write and its acknowledgement add on the wire.
	headerBytes = 2 * 52
	// upstreamsPerHost is how many upstream hosts the list shows for each host.
	upstreamsPerHost = 2
	// eventLimit bounds the wait for an event to reach every host.
	eventLimit = 60 * time.Second
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

// hostList is a host list in the same process; its answers are decoded as if
// they came from the platform.
type hostList struct {
	answer atomic.Pointer[[]byte]
	bytes  atomic.Int64
}

// Hosts implements the list that a directory reads.
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

// cluster is the hosts of one measurement.
type cluster struct {
	list    *hostList
	members []*member
	wait    conc.WaitGroup
}

// start starts one more host.
func (k *cluster) start(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	credentials := peer.Credentials{Secret: "measurement"}
	server, err := peer.NewServer("127.0.0.1:0", credentials)
	if err != nil {
		cancel()
		return err
	}
	m := &member{pool: peer.NewPool(credentials), server: server, cancel: cancel}
	i := len(k.members)
	m.Directory = host.NewDirectory(ctx, &k.wait, host.Options{
		Self:   membership.Identity{Name: fmt.Sprintf("host-%03d", i), FailureDomain: fmt.Sprintf("domain-%d", i%6), Region: fmt.Sprintf("region-%d", i%2)},
		List:   k.list,
		Pool:   m.pool,
		Status: func() membership.Tick { return membership.Tick{} },
	})
	if err := peerpb.DRPCRegisterMemberships(server, m.Directory); err != nil {
		cancel()
		return err
	}
	k.wait.Go(func() {
		defer m.pool.Close()
		_ = server.Serve(ctx)
	})
	m.Announce("127.0.0.1:1", server.Address())
	k.members = append(k.members, m)
	return nil
}

// publish shows every host that runs on the host list, and some upstreams.
func (k *cluster) publish() {
	var hosts []registry.Host
	for _, m := range k.members {
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
	k.list.answer.Store(&raw)
}

// measure runs a number of hosts and prints their row.
func (c *membershipCommand) measure(ctx context.Context, count int) error {
	ctx, cancel := context.WithCancel(ctx)
	k := &cluster{list: &hostList{}}
	empty := []byte("[]")
	k.list.answer.Store(&empty)
	defer k.wait.Wait()
	defer cancel()
	for range count {
		if err := k.start(ctx); err != nil {
			return err
		}
	}
	k.publish()
	pause(ctx, c.Settle)
	before := k.usage()
	pause(ctx, c.Span)
	rate := k.usage().since(before).each(count, c.Span)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	fmt.Printf("| %d | %.1f | %.0f | %.0f | %.0f | %.3f | %.0f |", count, rate.writes, rate.sent, rate.sent+headerBytes*rate.writes,
		rate.list, rate.cpu*100, float64(memory.HeapAlloc+memory.StackInuse)/1024/float64(count))
	first, last := k.events(ctx)
	fmt.Printf(" %.1f s, %.1f s | %.2f s | %.2f s |\n", first.Seconds(), last[0].Seconds(), last[1].Seconds(), last[2].Seconds())
	return nil
}

// events kills a host, lets one leave and starts one, and returns when the
// first host and the last one showed the failure, and the last the others.
func (k *cluster) events(ctx context.Context) (first time.Duration, last [3]time.Duration) {
	victim, leaver := k.members[0], k.members[1]
	others := k.members[2:]
	victim.cancel()
	first, last[0] = spread(others, func(m *member) bool { return state(m, victim.Self.Name) == membership.Failed })
	leaver.Leave()
	_, last[1] = spread(others, func(m *member) bool { return state(m, leaver.Self.Name) == membership.Leaving })
	started := time.Now()
	if k.start(ctx) != nil {
		return first, last
	}
	name := k.members[len(k.members)-1].Self.Name
	spread(others, func(m *member) bool { return state(m, name) == membership.Live })
	last[2] = time.Since(started)
	return first, last
}

// state returns the state in which a host shows another one.
func state(m *member, name string) membership.State {
	for _, h := range m.Hosts() {
		if h.Name == name {
			return h.State
		}
	}
	return membership.Failed
}

// spread returns when a condition held for the first member and for the last.
func spread(members []*member, holds func(*member) bool) (first, last time.Duration) {
	begin := time.Now()
	for time.Since(begin) < eventLimit {
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
	return first, eventLimit
}

// consumption is what the hosts used so far, or in each second.
type consumption struct{ writes, sent, list, cpu float64 }

func (k *cluster) usage() consumption {
	var u consumption
	for _, m := range k.members {
		u.writes += float64(m.pool.Writes() + m.server.Writes())
		u.sent += float64(m.pool.Sent() + m.server.Sent())
	}
	u.list = float64(k.list.bytes.Load())
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano()).Seconds()
	return u
}

func (u consumption) since(before consumption) consumption {
	return consumption{u.writes - before.writes, u.sent - before.sent, u.list - before.list, u.cpu - before.cpu}
}

func (u consumption) each(hosts, seconds int) consumption {
	n := float64(hosts * seconds)
	return consumption{u.writes / n, u.sent / n, u.list / n, u.cpu / n}
}

// pause waits for some seconds or the end of the context.
func pause(ctx context.Context, seconds int) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(seconds) * time.Second):
	}
}
