// Package rig starts the router's processes before stand-ins for the users' platform, for
// the cases of the second review.
package rig

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

// The exit codes of a case.
const (
	// Held means that the rule held.
	Held = iota
	// Broken means that the rule was broken.
	Broken
	// Failed means that the case could not run.
	Failed
)

const (
	// Program is the router, as the deploy file builds it.
	Program = "target/kumquathoist"
	// ModelHost is the host of the route to engines.
	ModelHost = "models.example"
	// DeskHost is the host of the routes to the plain service.
	DeskHost = "desk.example"
	// Key is the key of the only client account.
	Key = "key-of-mill"
	// Model is the model of the engines.
	Model = "m1"
	// readyTimeout limits the start of a router.
	readyTimeout = 15 * time.Second
	pollInterval = 10 * time.Millisecond
	// beatInterval is the platform's heartbeat_ms.
	beatInterval = 1200 * time.Millisecond
)

// Site holds the figures of a small deployment's sheet.
type Site struct {
	// MemoryMB and Descriptors are those of a machine.
	MemoryMB, Descriptors int
	// LeaseMillis and RepeatSlack are the bounds lease_ms and budget_slack.
	LeaseMillis, RepeatSlack int
	// ObjectiveMillis and GapMillis are those of the full streams, PostTimeoutMillis is the
	// timeout_ms of the requests to the plain service.
	ObjectiveMillis, GapMillis, PostTimeoutMillis int
	// EngineConnections and DeskConnections are the limits of connections to one upstream.
	EngineConnections, DeskConnections int
}

// The small deployments.
var (
	HalvorsenMatch = Site{MemoryMB: 284, Descriptors: 4100, LeaseMillis: 3000, RepeatSlack: 58, ObjectiveMillis: 1000, GapMillis: 600, PostTimeoutMillis: 800, EngineConnections: 370, DeskConnections: 110}
	KupolaPlan     = Site{MemoryMB: 134, Descriptors: 4100, LeaseMillis: 3000, RepeatSlack: 52, ObjectiveMillis: 600, GapMillis: 400, PostTimeoutMillis: 1500, EngineConnections: 360, DeskConnections: 96}
)

// Deployment is a small deployment: a store, upstreams and routers.
type Deployment struct {
	Site

	Store *standin.PlatformStore

	dir       string
	upstreams []*standin.PlatformEngine
	routers   []*Router
	seed      string
	// ports are the ports for load reports and relayed requests, alike on all machines.
	pulses, relays string
	started        time.Time
	stopBeats      chan struct{}
	beats          sync.WaitGroup
	// mu guards the record.
	mu     sync.Mutex
	record io.Writer
}

// New returns a deployment of a site without upstreams and routers, whose record is written to
// a file.
func New(site Site, record string) (*Deployment, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "kumquathoist-review-")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewPlatformStore()
	if err != nil {
		return nil, err
	}
	d := &Deployment{Site: site, Store: store, dir: dir, started: time.Now(), record: file, stopBeats: make(chan struct{})}
	if d.pulses, err = freePort("udp4"); err != nil {
		return nil, err
	}
	if d.relays, err = freePort("tcp4"); err != nil {
		return nil, err
	}
	return d, nil
}

// Record writes a line to the record and to the output.
func (d *Deployment) Record(format string, values ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(d.started).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = io.WriteString(d.record, line)
	fmt.Print(line)
}

// Beat begins to have the upstreams write their entries again and again, as engines do.
func (d *Deployment) Beat() {
	d.beats.Go(func() {
		for {
			select {
			case <-d.stopBeats:
				return
			case <-time.After(beatInterval):
			}
			for _, u := range d.upstreams {
				d.Register(u)
			}
		}
	})
}

// Close ends all processes and stand-ins.
func (d *Deployment) Close() {
	close(d.stopBeats)
	d.beats.Wait()
	for _, r := range d.routers {
		r.Kill()
	}
	for _, u := range d.upstreams {
		u.Close()
	}
	d.Store.Close()
	_ = os.RemoveAll(d.dir)
}

// Upstream starts a stand-in for an engine, or for the plain service if the model is "", and
// registers it.
func (d *Deployment) Upstream(id, service, model string) (*standin.PlatformEngine, error) {
	u, err := standin.NewPlatformEngine(id, service, "north", model)
	if err != nil {
		return nil, err
	}
	d.upstreams = append(d.upstreams, u)
	d.Register(u)
	return u, nil
}

// Register writes the entry of an upstream.
func (d *Deployment) Register(u *standin.PlatformEngine) {
	d.Store.Put("keyed.servers", u.ID, u.Entry())
}

// route returns a route of the configuration.
func (d *Deployment) route(name, host, prefix, kind, service string, timeoutMillis int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": timeoutMillis,
		"target_latency_ms": d.ObjectiveMillis, "target_gap_ms": d.GapMillis, "priority": 1, "max_attempts": 2, "resumable": resumable, "sticky": service == "models",
	}
}

// Configure writes a version of the configuration.
func (d *Deployment) Configure(version int) {
	d.Store.Put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{
			d.route("full", ModelHost, "/full/", "streaming", "models", 15000, true),
			d.route("post", DeskHost, "/post/", "non_idempotent", "desk", d.PostTimeoutMillis, false),
			d.route("read", DeskHost, "/read/", "idempotent", "desk", d.PostTimeoutMillis, false),
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_connections": d.EngineConnections, "engine": map[string]any{"slots": 64, "moves": true, "models": []any{map[string]any{"name": Model}}}},
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": d.DeskConnections},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "mill", "api_keys": []any{Key}}},
	})
}

// NameWeights names the newest weights of the model.
func (d *Deployment) NameWeights(version int64) {
	d.Record("weights %d are named", version)
	d.Store.NameWeights(Model, version)
}

// Router is a router on a machine of its own address.
type Router struct {
	Name string
	// Callers, Ready, Peers and Addresses are addresses of the router. It takes relayed requests
	// at Relays, and other routers send them to Relayed.
	Callers, Ready, Peers, Relays, Relayed, Addresses string
	// Pid is the number of its process.
	Pid int

	program string
	file    string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// Options are those of a router that differ from the usual ones.
type Options struct {
	// Store is the address of the store; "" for that of the deployment.
	Store string
	// RelayProxy is set if the router takes relayed requests at another port than the one
	// that other routers use, where a proxy listens.
	RelayProxy bool
}

// Router writes the settings of a router and starts it.
func (d *Deployment) Router(name string) (*Router, error) { return d.RouterWith(name, Options{}) }

// RouterWith writes the settings of a router with options and starts it.
func (d *Deployment) RouterWith(name string, o Options) (*Router, error) {
	ip := fmt.Sprintf("127.0.0.%d", len(d.routers)+1)
	r := &Router{Name: name, program: Program, Relays: net.JoinHostPort(ip, d.relays), file: filepath.Join(d.dir, name+".yaml")}
	r.Relayed = r.Relays
	if o.RelayProxy {
		port, err := freePort("tcp4")
		if err != nil {
			return nil, err
		}
		r.Relays = net.JoinHostPort(ip, port)
	}
	store := cmp.Or(o.Store, d.Store.Address())
	metrics := ""
	for _, a := range []*string{&r.Callers, &r.Ready, &r.Peers, &r.Addresses, &metrics} {
		port, err := freePort("tcp4")
		if err != nil {
			return nil, err
		}
		*a = net.JoinHostPort(ip, port)
	}
	if d.seed == "" {
		d.seed = r.Peers
	}
	settings := fmt.Sprintf(`Host:
  Name: %q
  FailureDomain: "north"
  Region: "r"
Listen:
  Callers: %q
  Peers: %q
  Addresses: %q
  Readiness: %q
  Metrics: %q
  Pulses: %q
  Relays: %q
Platform:
  Store: %q
  Seeds: [%q]
Machine:
  MemoryMB: %d
  Descriptors: %d
Bounds:
  LeaseMillis: %d
  WeightsMillis: 6000
  GraceSeconds: 8
  RepeatRatio: 0.2
  RepeatWindowSeconds: 10
  RepeatSlack: %d
`, name, r.Callers, r.Peers, r.Addresses, r.Ready, metrics, net.JoinHostPort(ip, d.pulses), r.Relays, store, d.seed, d.MemoryMB, d.Descriptors, d.LeaseMillis, d.RepeatSlack)
	if err := os.WriteFile(r.file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	d.routers = append(d.routers, r)
	return r, r.Start()
}

// Start starts the process with the command and the environment of the deploy file.
func (r *Router) Start() error {
	r.cmd = exec.Command(r.program, "run", "--settings", r.file)
	r.cmd.Env = append(os.Environ(), "KUMQUATHOIST_PEER_SECRET=platform-internal", "GOMAXPROCS=1", "GOGC=150")
	if keep := os.Getenv("KEEP_LOGS"); keep != "" { // a folder
		log, err := os.OpenFile(filepath.Join(keep, r.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer func() { _ = log.Close() }()
		r.cmd.Stdout, r.cmd.Stderr = log, log
	}
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	r.Pid, r.ended = r.cmd.Process.Pid, make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // a killed process has no other end
		close(ended)
	}(r.cmd, r.ended)
	return nil
}

// Kill ends the process at once.
func (r *Router) Kill() {
	_ = r.cmd.Process.Kill() // fails only if it has ended
	<-r.ended
}

// Ended returns a channel that is closed when the process has ended.
func (r *Router) Ended() <-chan struct{} { return r.ended }

// AwaitReady waits until the router says that it is ready.
func (r *Router) AwaitReady() error {
	return Await("router "+r.Name+" is ready", readyTimeout, func() bool { return standin.PlatformReady(r.Ready) })
}

// Await waits until a condition holds.
func Await(condition string, timeout time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(timeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return errors.New("timed out waiting until " + condition)
		}
	}
	return nil
}

// Ordinary returns an ordinary request to the plain service.
func Ordinary(id string) standin.PlatformRequest {
	return standin.PlatformRequest{ID: id, Method: http.MethodPost, Host: DeskHost, Path: "/post/a", Key: Key, Deadline: 3 * time.Second, Body: "body"}
}

// Exit ends the case with a code, or with Failed after an error.
func Exit(code int, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		code = Failed
	}
	os.Exit(code)
}

// Troubled reports whether the case brings about its disruption.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }

// freePort returns an unused port.
func freePort(network string) (string, error) {
	var address net.Addr
	if network == "udp4" {
		c, err := net.ListenPacket(network, "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = c.Close() }()
		address = c.LocalAddr()
	} else {
		l, err := net.Listen(network, "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer func() { _ = l.Close() }()
		address = l.Addr()
	}
	_, port, err := net.SplitHostPort(address.String())
	return port, err
}
