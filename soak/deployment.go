package soak

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
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
	// otherPlainService may serve the plain routes where engines are processes.
	otherPlainService    = "annex"
	modelHost, plainHost = "models.example", "desk.example"
	model                = "m1"
	// leaseTime is how long after one host's order no other host may order an
	// engine.
	leaseTime = time.Second
	// graceSeconds is the time limit for a host to stop.
	graceSeconds = 8
	// entryRemovalDelay is the time from an upstream's crash to the removal of its
	// entry in the store.
	entryRemovalDelay = 1500 * time.Millisecond
	// softwareVersions is the number of software versions of engines, if they differ.
	softwareVersions = 3
	// eventPause is the time between two events of a stream.
	eventPause = 30 * time.Millisecond
)

// domains holds the failure domains of the hosts.
var domains = []string{"north", "south"}

// deployment is a running set of hosts, upstreams and a store.
type deployment struct {
	ctx  context.Context
	wait *conc.WaitGroup
	dir  string

	store *standin.PlatformStore
	hosts []*host
	// loadReportPort is the port of all hosts for load reports, announcedPort
	// that of the forwarders in front of them, relayPort that for relayed requests;
	// each host has its own IP.
	loadReportPort, announcedPort, relayPort string
	// mu guards the fields below.
	mu        sync.Mutex
	upstreams []*upstream
	// ended holds the upstreams that have ended; the checks still read what they
	// executed.
	ended      []*standin.PlatformEngine
	startCount int
	crasher    crasher
	// mixesSoftware means that engines have several software versions.
	mixesSoftware bool
	// onCrash is called for each upstream that the crasher request has crashed,
	// and crashTimes holds the times of the crashes.
	onCrash    func(*upstream)
	crashTimes []time.Time
	version    int
	weights    int64
	// loadTime is how long engines load weights.
	loadTime time.Duration
	// keys holds the current key of each account, revokedKeys the former ones.
	keys        map[string]string
	revokedKeys []credential
	// terms are those of the newest configuration, changes all that were written.
	terms   terms
	changes []termsChange
	// stalls are the times in which the soak's own process did not run.
	stalls []standin.PlatformPeriod

	// processes holds the engines that are processes, which engineProgram serves.
	processes     []*engineProcess
	engineProgram string
	tempo         tempo
	// stops means that the run has the faults of PlanStops; seed is that of the run.
	stops bool
	seed  uint64

	// copies are those that all upstreams send of their refusals, copyFaults the number
	// of faults that want them.
	copies     standin.RefusalCopies
	copyFaults int
}

// credential is an account with one of its keys.
type credential struct{ account, key string }

// host is a host process with the proxies in front of it.
type host struct {
	*process

	name string
	// callerAddress is where the host listens for callers, callerProxy the proxy
	// in front of it, storeProxy the one to the store, and peerProxy the one that
	// other hosts connect to.
	callerAddress, readinessAddress, addressesAddress string
	callerProxy, storeProxy, peerProxy                *proxy
	loadReportForwarder                               *forwarder
}

// loadTimes are how long engines load weights, by seed.
var loadTimes = []time.Duration{0, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}

// upstream is an address at which one upstream runs after another.
type upstream struct {
	service, model string
	link           *proxy
	// current is guarded by the deployment's mu.
	current *standin.PlatformEngine
}

// newDeployment starts a deployment.
func newDeployment(ctx context.Context, wait *conc.WaitGroup, o Options, dir string) (*deployment, error) {
	d := &deployment{ctx: ctx, wait: wait, dir: dir, keys: map[string]string{"mill": "key-mill-0", "grocer": "key-grocer-0"}, weights: 1, crasher: newCrasher(o.Seed), mixesSoftware: o.Seed%3 != 0, loadTime: loadTimes[o.Seed%uint64(len(loadTimes))], terms: usualTerms, engineProgram: o.EngineProgram, tempo: usualTempo, stops: o.Stops, seed: o.Seed}
	var err error
	if d.store, err = standin.NewPlatformStore(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.choosePorts(); err != nil {
		return nil, err
	}
	if err := d.addUpstreams(o); err != nil {
		d.killProcesses()
		return nil, err
	}
	d.configure()
	for i := range o.Hosts {
		if err := d.addHost(o, i); err != nil {
			d.killProcesses()
			return nil, err
		}
	}
	return d, nil
}

// choosePorts sets the ports that all hosts share to free ones.
func (d *deployment) choosePorts() error {
	for _, port := range []*string{&d.loadReportPort, &d.announcedPort} {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		if err != nil {
			return trace.Wrap(err, "choosing a port for load reports")
		}
		defer func() { _ = conn.Close() }()
		if _, *port, err = net.SplitHostPort(conn.LocalAddr().String()); err != nil {
			return trace.Wrap(err)
		}
	}
	var relays string
	release, err := reservePorts("127.0.0.1", &relays)
	if err != nil {
		return err
	}
	defer release()
	_, d.relayPort, err = net.SplitHostPort(relays)
	return trace.Wrap(err)
}

// addUpstreams starts the engines and plain services.
func (d *deployment) addUpstreams(o Options) error {
	if o.EngineProgram != "" {
		d.tempo = newTempo(o.Seed)
		if o.Stops {
			d.tempo = newStopTempo(o.Seed)
			d.terms.timeout, d.loadTime = stopDeadline, max(d.loadTime, minStopLoadTime)
		}
		return d.startProcesses(o)
	}
	for i := range o.Engines + o.Services {
		service, name := modelService, model
		if i >= o.Engines {
			service, name = plainService, ""
		}
		if err := d.addUpstream(service, name); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) addUpstream(service, model string) error {
	link, err := newProxy(d.ctx, d.wait, "127.0.0.1", "")
	if err != nil {
		return trace.Wrap(err, "listening for an upstream")
	}
	u := &upstream{service: service, model: model, link: link}
	d.mu.Lock()
	d.upstreams = append(d.upstreams, u)
	d.mu.Unlock()
	return d.startUpstream(u, false)
}

// startUpstream starts an upstream at an address and writes its entry to the
// store.
func (d *deployment) startUpstream(u *upstream, reusesName bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startCount++
	id := fmt.Sprintf("%s-%d", u.service, d.startCount)
	if u.current != nil && reusesName {
		id = u.current.ID
	}
	e, err := standin.NewPlatformEngine(id, u.service, "north", u.model)
	if err != nil {
		return trace.Wrap(err, "starting an upstream")
	}
	if u.model != "" {
		e.MarksEvents = true
		e.Software = d.software(u)
	}
	e.Advertised = u.link.address()
	e.Pace(eventPause)
	e.Load(d.weights)
	e.LoadTakes(d.loadTime)
	e.CopyRefusals(d.copies)
	d.crasher.arm(e, func() { d.handleCrash(u) })
	u.link.setTarget(e.Address())
	u.current = e
	d.store.Register(e)
	return nil
}

// software returns the software version of the next engine at an address. Engines
// that keep their names keep their version. The caller holds mu.
func (d *deployment) software(u *upstream) string {
	switch {
	case !d.mixesSoftware:
		return "v0"
	case u.current != nil && d.crasher.reusesNames:
		return u.current.Software
	}
	return fmt.Sprintf("v%d", d.startCount%softwareVersions)
}

// current returns the upstream that runs at an address.
func (d *deployment) current(u *upstream) *standin.PlatformEngine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return u.current
}

// replaceUpstream ends an upstream and starts another at its address. With
// leaves, the store first shows the old one as leaving.
func (d *deployment) replaceUpstream(u *upstream, leaves bool) error {
	d.mu.Lock()
	old := u.current
	d.ended = append(d.ended, old)
	d.mu.Unlock()
	if leaves {
		old.Leave()
		d.store.Register(old)
		d.pause(entryRemovalDelay)
	}
	u.link.setTarget("127.0.0.1:1")
	old.Close()
	u.link.reset()
	d.pause(entryRemovalDelay)
	d.store.Remove(old)
	return d.startUpstream(u, d.crasher.reusesNames)
}

func (d *deployment) pause(delay time.Duration) {
	select {
	case <-d.ctx.Done():
	case <-time.After(delay):
	}
}

// all returns every upstream, including the ended ones.
func (d *deployment) all() []*standin.PlatformEngine {
	d.mu.Lock()
	defer d.mu.Unlock()
	upstreams := append([]*standin.PlatformEngine{}, d.ended...)
	for _, u := range d.upstreams {
		// While an upstream is being replaced, it is among the ended ones, too.
		if !slices.Contains(d.ended, u.current) {
			upstreams = append(upstreams, u.current)
		}
	}
	return upstreams
}

// upstreamAt returns the upstream at an index, modulo their number.
func (d *deployment) upstreamAt(n int) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[n%len(d.upstreams)]
}

// configure writes the next version of the configuration to the store.
func (d *deployment) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 2
	d.changes = append(d.changes, termsChange{time.Now(), d.terms})
	millis := func(t time.Duration) int { return int(t.Milliseconds()) }
	route := func(name, host, kind, service string) standin.PlatformRoute {
		return standin.PlatformRoute{Name: name, Host: host, Prefix: "/" + name + "/", Kind: kind, Service: service, Timeout: millis(d.terms.timeout), Objective: millis(d.tempo.objective), Gap: millis(d.tempo.gap), Priority: 1, MaxUpstreams: 2}
	}
	full := route("full", modelHost, "streaming", modelService)
	full.Resumable = true
	c := standin.PlatformConfiguration{
		Version: d.version,
		Routes: []standin.PlatformRoute{
			full, route("flag", modelHost, "streaming", modelService),
			route("post", plainHost, "non_idempotent", d.terms.plainService), route("read", plainHost, "idempotent", d.terms.plainService),
		},
		Services: []standin.PlatformService{
			{Name: modelService, Connections: 100, Engine: &standin.PlatformEngineKind{Slots: 64, Moves: true, Models: []standin.PlatformModel{{Name: model}}}},
			{Name: plainService, Connections: 100},
		},
		Limits: standin.PlatformLimits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeout: 3000, IdleTimeout: millis(d.terms.idleTimeout)},
	}
	if d.engineProgram != "" {
		c.Services = append(c.Services, standin.PlatformService{Name: otherPlainService, Connections: 100})
	}
	if d.terms.extra {
		c.Routes = append(c.Routes, route("extra", plainHost, "idempotent", plainService))
	}
	for name, key := range d.keys {
		c.Accounts = append(c.Accounts, standin.PlatformAccount{Name: name, Keys: []string{key}, Isolated: name == "grocer"})
	}
	d.store.Configure(c)
}

// rotateKey gives an account a new key and revokes the old one.
func (d *deployment) rotateKey(account string) {
	d.mu.Lock()
	d.revokedKeys = append(d.revokedKeys, credential{account, d.keys[account]})
	d.keys[account] = fmt.Sprintf("key-%s-%d", account, d.version)
	d.mu.Unlock()
	d.configure()
}

// key returns an account's current key.
func (d *deployment) key(account string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keys[account]
}

// setNextWeights sets the target weights to the next version.
func (d *deployment) setNextWeights() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weights++
	d.store.NameWeights(model, d.weights)
}

// reservePorts sets addresses of an IP to free ports, which stay reserved until
// release is called.
func reservePorts(ip string, addresses ...*string) (release func(), err error) {
	var listeners []net.Listener
	release = func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
		if err != nil {
			release()
			return nil, trace.Wrap(err, "choosing a port")
		}
		listeners = append(listeners, l)
		*a = l.Addr().String()
	}
	return release, nil
}

// addHost starts a host with its own IP in the loopback range.
func (d *deployment) addHost(o Options, i int) error {
	// Soaks that run beside each other use different addresses.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+i/200, 2+i%200)
	s := settings.Default()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), FailureDomain: domains[i%len(domains)], Region: "r"}
	s.Listen.Pulses = net.JoinHostPort(ip, d.loadReportPort)
	s.Listen.Relays = net.JoinHostPort(ip, d.relayPort)
	// The relay port is the same on all hosts: nothing else may take it here.
	relays, err := net.Listen("tcp4", s.Listen.Relays)
	if err != nil {
		return trace.Wrap(err, "listening at the port for relayed requests")
	}
	defer func() { _ = relays.Close() }()
	release, err := reservePorts(ip, &s.Listen.Callers, &s.Listen.Peers, &s.Listen.Addresses, &s.Listen.Readiness)
	if err != nil {
		return err
	}
	defer release()
	storeProxy, err := newProxy(d.ctx, d.wait, ip, d.store.Address())
	if err != nil {
		return trace.Wrap(err)
	}
	callerProxy, err := newProxy(d.ctx, d.wait, ip, s.Listen.Callers)
	if err != nil {
		return trace.Wrap(err)
	}
	peerProxy, err := newProxy(d.ctx, d.wait, ip, s.Listen.Peers)
	if err != nil {
		return trace.Wrap(err)
	}
	s.Listen.AnnouncedPeers = peerProxy.address()
	loadReportForwarder, err := newForwarder(d.ctx, d.wait, net.JoinHostPort(ip, d.announcedPort), s.Listen.Pulses)
	if err != nil {
		return trace.Wrap(err)
	}
	if s.Listen.AnnouncedPulsesPort, err = strconv.Atoi(d.announcedPort); err != nil {
		return trace.Wrap(err)
	}
	s.Platform = settings.Platform{Store: storeProxy.address()}
	if len(d.hosts) > 0 {
		s.Platform.Seeds = []string{d.hosts[0].peerAddress}
	}
	s.Secrets.Peers = settings.Source{Environment: SecretVariable}
	s.Machine = settings.Machine{MemoryMB: 512, Descriptors: 4096}
	s.Bounds = settings.Bounds{LeaseMillis: int(leaseTime.Milliseconds()), WeightsMillis: 6000, GraceSeconds: graceSeconds, RepeatRatio: 0.2, RepeatWindowSeconds: 10, RepeatSlack: 50}
	first, other := build{program: o.Program}, build{program: o.Older}
	if first.settings, err = d.writeSettings(s, "newer"); err != nil {
		return err
	}
	s.Listen.Relays = "" // optional, and newer than some programs
	if other.settings, err = d.writeSettings(s, "older"); err != nil {
		return err
	}
	if o.Older != "" && o.Seed%2 == 0 {
		first, other = other, first
	}
	h := &host{
		process: &process{build: first, other: other, ip: ip, peerAddress: peerProxy.address()}, name: s.Host.Name,
		callerAddress: s.Listen.Callers, readinessAddress: s.Listen.Readiness, addressesAddress: s.Listen.Addresses, callerProxy: callerProxy, storeProxy: storeProxy, peerProxy: peerProxy, loadReportForwarder: loadReportForwarder,
	}
	d.hosts = append(d.hosts, h)
	release()
	_ = relays.Close()
	return h.start()
}

// writeSettings writes the settings of one of a host's builds and returns their path.
func (d *deployment) writeSettings(s settings.Settings, build string) (path string, err error) {
	raw, err := yaml.Marshal(s)
	if err != nil {
		return "", trace.Wrap(err, "writing settings")
	}
	path = filepath.Join(d.dir, fmt.Sprintf("%s-%s.yaml", s.Host.Name, build))
	return path, trace.Wrap(os.WriteFile(path, raw, 0o600), "writing settings")
}

// close stops all processes and stand-ins.
func (d *deployment) close() {
	var stopping conc.WaitGroup
	for _, h := range d.hosts {
		stopping.Go(func() {
			h.signal(syscall.SIGCONT)
			h.end(syscall.SIGKILL, time.Second)
		})
	}
	stopping.Wait()
	for _, e := range d.all() {
		e.Close()
	}
	d.killProcesses()
	d.store.Close()
}

// saveOutput writes the hosts' output to a folder and, if engines are processes, the
// calls, what the processes did and what tells of the violations.
func (d *deployment) saveOutput(dir string, calls []*call, violations []string) error {
	for _, h := range d.hosts {
		if err := os.WriteFile(filepath.Join(dir, h.name+".log"), []byte(h.output.String()), 0o600); err != nil {
			return trace.Wrap(err, "saving the output of %s", h.name)
		}
	}
	if len(d.processes) == 0 {
		return nil
	}
	for name, text := range map[string]string{"calls.log": d.describeCalls(calls), "violations.log": d.describeViolations(calls, violations)} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			return trace.Wrap(err, "saving %s", name)
		}
	}
	return nil
}
