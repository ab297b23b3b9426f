package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	modelService, plainService = "models", "desk"
	modelHost, plainHost       = "models.example", "desk.example"
	model                      = "m1"
	// lease is how long after one host's order another may order an engine.
	lease = time.Second
	// graceSeconds is how long a stopping host may take.
	graceSeconds = 8
	// lapse is how long after its crash an upstream's entry is removed.
	lapse = 1500 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 30 * time.Millisecond
)

// domains are the failure domains of hosts.
var domains = []string{"north", "south"}

// world is a running deployment.
type world struct {
	ctx  context.Context
	wait *conc.WaitGroup
	dir  string

	store *standin.PlatformStore
	hosts []*host
	// pulsePort is the port of all hosts for pulses, announcedPort that of the
	// forwarders before them; each host has an IP of its own.
	pulsePort, announcedPort string
	// mu guards the fields below.
	mu        sync.Mutex
	upstreams []*upstream
	// past are upstreams that have ended; they are still asked what ran there.
	past    []*standin.PlatformEngine
	started int
	crasher crasher
	// crashed is told of upstreams that the crasher has ended, ends tells when.
	crashed func(*upstream)
	ends    []time.Time
	version int
	weights int64
	// keys are those of the accounts now, taken those that were taken away.
	keys  map[string]string
	taken []credential
}

// credential is a key of an account.
type credential struct{ account, key string }

// host is a host with its links.
type host struct {
	*process

	name string
	// callers is the address that callers are told, door the proxy before it,
	// store that to the store, peers that which other hosts use.
	callers, readiness, addresses string
	door, store, peers            *proxy
	pulses                        *forwarder
}

// upstream is a place where one upstream after the other runs.
type upstream struct {
	service, model string
	link           *proxy
	// now is guarded by the world's mu.
	now *standin.PlatformEngine
}

// newWorld starts a deployment.
func newWorld(ctx context.Context, wait *conc.WaitGroup, o Options, dir string) (*world, error) {
	w := &world{ctx: ctx, wait: wait, dir: dir, keys: map[string]string{"mill": "key-mill-0", "grocer": "key-grocer-0"}, weights: 1, crasher: newCrasher(o.Seed)}
	var err error
	if w.store, err = standin.NewPlatformStore(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := w.choosePorts(); err != nil {
		return nil, err
	}
	for range o.Engines {
		if err := w.addUpstream(modelService, model); err != nil {
			return nil, err
		}
	}
	for range o.Services {
		if err := w.addUpstream(plainService, ""); err != nil {
			return nil, err
		}
	}
	w.configure()
	for i := range o.Hosts {
		if err := w.addHost(o.Program, i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// choosePorts chooses the ports of pulses: those that the kernel gives now.
func (w *world) choosePorts() error {
	for _, port := range []*string{&w.pulsePort, &w.announcedPort} {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return trace.Wrap(err, "choosing a port for pulses")
		}
		defer func() { _ = conn.Close() }()
		if _, *port, err = net.SplitHostPort(conn.LocalAddr().String()); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (w *world) addUpstream(service, model string) error {
	link, err := newProxy(w.ctx, w.wait, "127.0.0.1", "")
	if err != nil {
		return trace.Wrap(err, "listening for an upstream")
	}
	u := &upstream{service: service, model: model, link: link}
	w.mu.Lock()
	w.upstreams = append(w.upstreams, u)
	w.mu.Unlock()
	return w.startUpstream(u)
}

// startUpstream starts an upstream in its place and writes its entry.
func (w *world) startUpstream(u *upstream) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	id := fmt.Sprintf("%s-%d", u.service, w.started)
	if u.now != nil && w.crasher.keepsName {
		id = u.now.ID
	}
	e, err := standin.NewPlatformEngine(id, u.service, "north", u.model)
	if err != nil {
		return trace.Wrap(err, "starting an upstream")
	}
	e.Advertised = u.link.address()
	e.Pace(eventPause)
	e.Load(w.weights)
	e.CrashOn(crasherMark, w.crasher.point, func() { w.told(u) })
	u.link.point(e.Address())
	u.now = e
	w.store.Register(e)
	return nil
}

// current returns the upstream that runs at a place.
func (w *world) current(u *upstream) *standin.PlatformEngine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return u.now
}

// replaceUpstream ends an upstream and starts another in its place. One that
// leaves says so first.
func (w *world) replaceUpstream(u *upstream, leaves bool) error {
	w.mu.Lock()
	old := u.now
	w.past = append(w.past, old)
	w.mu.Unlock()
	if leaves {
		old.Leave()
		w.store.Register(old)
		w.pause(lapse)
	}
	u.link.point("127.0.0.1:1")
	old.Close()
	u.link.reset()
	w.pause(lapse)
	w.store.Remove(old)
	return w.startUpstream(u)
}

func (w *world) pause(d time.Duration) {
	select {
	case <-w.ctx.Done():
	case <-time.After(d):
	}
}

// all returns every upstream that ever ran.
func (w *world) all() []*standin.PlatformEngine {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := append([]*standin.PlatformEngine{}, w.past...)
	for _, u := range w.upstreams {
		all = append(all, u.now)
	}
	return all
}

// place returns an upstream's place by any number.
func (w *world) place(n int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[n%len(w.upstreams)]
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	route := func(name, host, kind, service string) standin.PlatformRoute {
		return standin.PlatformRoute{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Service: service, Timeout: 6000, Objective: 1000, Gap: 300, Priority: 1, MaxUpstreams: 2}
	}
	full := route("full", modelHost, "streaming", modelService)
	full.Resumable = true
	c := standin.PlatformConfiguration{
		Version: w.version,
		Routes: []standin.PlatformRoute{
			full, route("flag", modelHost, "streaming", modelService),
			route("post", plainHost, "non_idempotent", plainService), route("read", plainHost, "idempotent", plainService),
		},
		Services: []standin.PlatformService{
			{Name: modelService, Connections: 100, Engine: &standin.PlatformEngineKind{Slots: 64, Moves: true, Models: []standin.PlatformModel{{Name: model}}}},
			{Name: plainService, Connections: 100},
		},
		Limits: standin.PlatformLimits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
	for name, key := range w.keys {
		c.Accounts = append(c.Accounts, standin.PlatformAccount{Name: name, Keys: []string{key}, Isolated: name == "grocer"})
	}
	w.store.Configure(c)
}

// changeKey gives an account another key.
func (w *world) changeKey(account string) {
	w.mu.Lock()
	w.taken = append(w.taken, credential{account, w.keys[account]})
	w.keys[account] = fmt.Sprintf("key-%s-%d", account, w.version)
	w.mu.Unlock()
	w.configure()
}

// key returns an account's key.
func (w *world) key(account string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[account]
}

// nameWeights names the next weights.
func (w *world) nameWeights() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.weights++
	w.store.NameWeights(model, w.weights)
}

// reserve sets addresses of an IP to free ones, which nobody else is given
// until they are released.
func reserve(ip string, addresses ...*string) (release func(), err error) {
	var held []net.Listener
	release = func() {
		for _, l := range held {
			_ = l.Close()
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			release()
			return nil, trace.Wrap(err, "choosing a port")
		}
		held = append(held, l)
		*a = l.Addr().String()
	}
	return release, nil
}

// addHost starts a host at an IP of its own in the loopback range.
func (w *world) addHost(program string, i int) error {
	ip := fmt.Sprintf("127.0.%d.%d", 1+i/200, 2+i%200)
	s := settings.Default()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), FailureDomain: domains[i%len(domains)], Region: "r"}
	s.Listen.Pulses = net.JoinHostPort(ip, w.pulsePort)
	release, err := reserve(ip, &s.Listen.Callers, &s.Listen.Peers, &s.Listen.Addresses, &s.Listen.Readiness)
	if err != nil {
		return err
	}
	defer release()
	store, err := newProxy(w.ctx, w.wait, ip, w.store.Address())
	if err != nil {
		return trace.Wrap(err)
	}
	door, err := newProxy(w.ctx, w.wait, ip, s.Listen.Callers)
	if err != nil {
		return trace.Wrap(err)
	}
	peers, err := newProxy(w.ctx, w.wait, ip, s.Listen.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	s.Listen.AnnouncedPeers = peers.address()
	pulses, err := newForwarder(w.ctx, w.wait, net.JoinHostPort(ip, w.announcedPort), s.Listen.Pulses)
	if err != nil {
		return trace.Wrap(err)
	}
	if s.Listen.AnnouncedPulsesPort, err = strconv.Atoi(w.announcedPort); err != nil {
		return trace.Wrap(err)
	}
	s.Platform = settings.Platform{Store: store.address()}
	if len(w.hosts) > 0 {
		s.Platform.Seeds = []string{w.hosts[0].seed}
	}
	s.Secrets.Peers = settings.Source{Environment: SecretVariable}
	s.Machine = settings.Machine{MemoryMB: 512, Descriptors: 4096}
	s.Bounds = settings.Bounds{LeaseMillis: int(lease.Milliseconds()), WeightsMillis: 6000, GraceSeconds: graceSeconds, RepeatRatio: 0.2, RepeatWindowSeconds: 10, RepeatSlack: 50}
	raw, err := yaml.Marshal(s)
	if err != nil {
		return trace.Wrap(err, "writing settings")
	}
	path := filepath.Join(w.dir, s.Host.Name+".yaml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return trace.Wrap(err, "writing settings")
	}
	h := &host{
		process: &process{program: program, settings: path, ip: ip, seed: peers.address()}, name: s.Host.Name,
		callers: s.Listen.Callers, readiness: s.Listen.Readiness, addresses: s.Listen.Addresses, door: door, store: store, peers: peers, pulses: pulses,
	}
	w.hosts = append(w.hosts, h)
	release()
	return h.start()
}

// close ends all processes and stand-ins.
func (w *world) close() {
	var ends conc.WaitGroup
	for _, h := range w.hosts {
		ends.Go(func() {
			h.signal(syscall.SIGCONT)
			h.end(syscall.SIGKILL, time.Second)
		})
	}
	ends.Wait()
	for _, e := range w.all() {
		e.Close()
	}
	w.store.Close()
}

// keep writes the hosts' output to a folder.
func (w *world) keep(dir string) error {
	for _, h := range w.hosts {
		if err := os.WriteFile(filepath.Join(dir, h.name+".log"), []byte(h.output.String()), 0o600); err != nil {
			return trace.Wrap(err, "keeping the output of %s", h.name)
		}
	}
	return nil
}
