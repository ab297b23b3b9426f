package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// program is the daemon, as the deploy file builds it.
	program = "target/kumquathoist"
	// startLimit is how long all hosts may take to become ready.
	startLimit = 20 * time.Second
	// settleTime is the platform's stable_window_ms: from then on a host that was
	// just started is in touch.
	settleTime = 3 * time.Second
	// stopLimit is the platform's grace_s.
	stopLimit = 8 * time.Second
	// hostCount is the number of hosts.
	hostCount = 3
	// configApplyTime is the platform's config_apply_ms.
	configApplyTime = 2 * time.Second
)

// domains are the failure domains of the hosts.
var domains = []string{"abbotsford", "chilliwack", "langley"}

// ports are those that a host listens on. As on the platform, they are the same on
// all hosts, which have an IP each.
type ports struct{ callers, peers, addresses, readiness, metrics, pulses, relays string }

// host is a daemon in a process of its own.
type host struct {
	name, ip string
	index    int
	ports    ports
	cmd      *exec.Cmd
	ended    chan struct{}
}

// deployment is a store and a set of hosts.
type deployment struct {
	*trial

	store    *standin.PlatformStore
	hosts    []*host
	memoryMB int
}

// settingsFormat is deploy/settings.yaml.tmpl with the values of a small site.
const settingsFormat = `Host:
  Name: "%s"
  FailureDomain: "%s"
  Region: "fraser-valley"
Listen:
  Callers: "%s"
  Peers: "%s"
  Addresses: "%s"
  Readiness: "%s"
  Metrics: "%s"
  Pulses: "%s"
  Relays: "%s"
Platform:
  Store: "%s"
  Seeds: ["%s"]
Machine:
  MemoryMB: %d
  Descriptors: 4100
Bounds:
  LeaseMillis: 3000
  WeightsMillis: 6000
  GraceSeconds: 8
  RepeatRatio: 0.2
  RepeatWindowSeconds: 10
  RepeatSlack: 58
`

// newDeployment starts a store with one configuration and upstreams.
func newDeployment(t *trial, c standin.PlatformConfiguration, engines ...*engine) (*deployment, error) {
	store, err := standin.NewPlatformStore()
	if err != nil {
		return nil, err
	}
	d := &deployment{trial: t, store: store, memoryMB: 284}
	store.Configure(c)
	store.NameWeights(modelName, 1)
	for _, e := range engines {
		e.onLoaded = func(e *engine) { store.Put(standin.PlatformUpstreams, e.id, e.entry()) }
		e.onLoaded(e)
	}
	return d, nil
}

// startHosts starts all hosts and waits until they are ready.
func (d *deployment) startHosts(ctx context.Context) error {
	p, err := freePorts()
	if err != nil {
		return err
	}
	base := 20 + os.Getpid()%200
	for i := range hostCount {
		h := &host{index: i, name: fmt.Sprintf("front-%s-%d", domains[i%len(domains)], 1+i/len(domains)), ip: fmt.Sprintf("127.%d.1.%d", base, 2+i), ports: p}
		d.hosts = append(d.hosts, h)
		if err := d.start(h); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(startLimit); ; {
		ready := 0
		for _, h := range d.hosts {
			if standin.PlatformReady(h.at(p.readiness)) {
				ready++
			}
		}
		if ready == hostCount {
			return sleep(ctx, settleTime)
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d hosts are ready", ready, hostCount)
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
}

// start starts one host.
func (d *deployment) start(h *host) error {
	p := h.ports
	seed := d.hosts[0].at(p.peers)
	text := fmt.Sprintf(settingsFormat, h.name, domains[h.index%len(domains)], h.at(p.callers), h.at(p.peers), h.at(p.addresses), h.at(p.readiness), h.at(p.metrics), h.at(p.pulses), h.at(p.relays), d.store.Address(), seed, d.memoryMB)
	path := filepath.Join(d.dir, h.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(program, "run", "--settings", path)
	h.cmd.Env = append(os.Environ(), "KUMQUATHOIST_PEER_SECRET=platform-internal", "GOMAXPROCS=1", "GOGC=150")
	h.cmd.Stdout, h.cmd.Stderr = output, output
	if err := h.cmd.Start(); err != nil {
		return errors.Join(err, output.Close())
	}
	h.ended = make(chan struct{})
	go func() {
		err := h.cmd.Wait()
		d.logf("%s has ended: %v", h.name, err)
		_ = output.Close()
		close(h.ended)
	}()
	return nil
}

// at returns the host's IP with a port.
func (h *host) at(port string) string { return net.JoinHostPort(h.ip, port) }

// callers returns the address for clients.
func (h *host) callers() string { return h.at(h.ports.callers) }

// close ends all processes and the store.
func (d *deployment) close() {
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	limit := time.After(stopLimit + time.Second)
	for _, h := range d.hosts {
		if h.ended == nil {
			continue
		}
		select {
		case <-h.ended:
		case <-limit:
			_ = h.cmd.Process.Kill()
			<-h.ended
		}
	}
	d.store.Close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, h := range d.hosts {
			raw, err := os.ReadFile(filepath.Join(d.dir, h.name+".log"))
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), raw, 0o600)
			}
		}
	}
}

// freePorts returns ports that are free now.
func freePorts() (ports, error) {
	var p ports
	for _, port := range []*string{&p.callers, &p.peers, &p.addresses, &p.readiness, &p.metrics, &p.relays} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return p, err
		}
		defer func() { _ = l.Close() }()
		*port = l.Addr().String()[strings.LastIndexByte(l.Addr().String(), ':')+1:]
	}
	u, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		return p, err
	}
	defer func() { _ = u.Close() }()
	p.pulses = u.LocalAddr().String()[strings.LastIndexByte(u.LocalAddr().String(), ':')+1:]
	return p, nil
}

// sleep waits, or returns an error if the case has run out of time.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
