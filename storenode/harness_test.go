package storenode_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/storenode"
)

const (
	// awaitTimeout limits waits for conditions that must become true. No test
	// checks a duration against it.
	awaitTimeout = 30 * time.Second
	pollInterval = 10 * time.Millisecond

	modelHost   = "models.example"
	serviceHost = "desk.example"
	goodKey     = "key-of-mill"
	isolatedKey = "key-of-grocer"
)

// deployment is a store with engines, services and hosts.
type deployment struct {
	t        testing.TB
	is       *is.I
	store    *standin.PlatformStore
	engines  []*standin.PlatformEngine
	services []*standin.PlatformEngine
	hosts    []*testHost
	version  int
	// weightsMillis is how long replaced weights may answer; 0 means the default.
	weightsMillis int
	// leaseMillis is how long a host's order keeps others from an engine; 0 means the
	// default.
	leaseMillis int
	// graceSeconds is the grace time of a planned stop; 0 means the default.
	graceSeconds float64
	// descriptors is the number of descriptors of a host, memoryMB the memory of a host
	// process; 0 means the default.
	descriptors, memoryMB int
	// loadReportPort and relayPort are the ports of all hosts for load reports and
	// for relayed requests.
	loadReportPort, relayPort string
	// southFrom is the first host in the failure domain "south"; the others, and all
	// if it is 0, are in "north".
	southFrom int
	// dialers open the connections of some hosts to upstreams.
	dialers map[int]*cutDialer
	// withoutRelays holds the hosts that take no relayed requests, like earlier programs.
	withoutRelays map[int]bool
	// restore brings the store back from an older copy.
	restore func()
}

// testHost is a running daemon.
type testHost struct {
	*storenode.Node

	settings settings.Settings
	// kill ends the daemon without a planned stop.
	kill func()
}

// newDeployment starts a deployment and waits until all hosts are ready.
func newDeployment(t testing.TB, hosts, engines, services int) *deployment {
	t.Helper()
	t.Setenv("SITE_TEST_SECRET", "secret")
	d := &deployment{t: t, is: is.New(t)}
	var err error
	d.store, err = standin.NewPlatformStore()
	d.is.NoErr(err)
	t.Cleanup(d.store.Close)
	for i := range engines {
		d.engines = append(d.engines, d.engine(fmt.Sprintf("engine-%d", i), "models", "m1"))
	}
	for i := range services {
		d.services = append(d.services, d.engine(fmt.Sprintf("desk-%d", i), "desk", ""))
	}
	d.configure(nil)
	for i := range hosts {
		d.host(i)
	}
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	return d
}

// engine starts an upstream and puts its entry into the store.
func (d *deployment) engine(id, service, model string) *standin.PlatformEngine {
	e, err := standin.NewPlatformEngine(id, service, "north", model)
	d.is.NoErr(err)
	d.t.Cleanup(e.Close)
	d.store.Put("keyed.servers", e.ID, e.Entry())
	return e
}

// route returns a route for the configuration.
func route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 5000, "target_latency_ms": 1000,
		"priority": 1, "service": service, "max_attempts": 2,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// configure writes the next version of the configuration.
func (d *deployment) configure(change func(map[string]any)) {
	d.version += 3
	config := map[string]any{
		"version": d.version,
		"routes": []any{
			route("full", modelHost, "/full/", "streaming", "models", map[string]any{"resumable": true, "sticky": true}),
			route("flag", modelHost, "/flag/", "streaming", "models", map[string]any{"sticky": true, "max_attempts": 1}),
			route("post", serviceHost, "/post/", "non_idempotent", "desk", nil),
			route("read", serviceHost, "/read/", "idempotent", "desk", nil),
			route("open", serviceHost, "/open/", "idempotent", "desk", map[string]any{"public": true}),
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/health", "max_connections": 100, "engine": map[string]any{"slots": 64, "moves": true, "models": []any{map[string]any{"name": "m1"}}}},
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": 100},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{
			map[string]any{"name": "mill", "api_keys": []any{goodKey}},
			map[string]any{"name": "grocer", "api_keys": []any{isolatedKey}, "isolated": true, "priority": 3},
		},
	}
	if change != nil {
		change(config)
	}
	d.store.Put("keyed.op", "config", config)
}

// address returns an unused address at an IP.
func (d *deployment) address(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	d.is.NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// chooseAddresses sets unused addresses at an IP, which differ from each other and from one
// more.
func (d *deployment) chooseAddresses(ip, other string, chosen ...*string) {
	addresses, err := standin.UnusedAddresses(ip, len(chosen)+1)
	d.is.NoErr(err)
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == other })
	for i, address := range chosen {
		*address = addresses[i]
	}
}

// loadReportAddress returns the address for load reports at an IP. All hosts use
// the same port.
func (d *deployment) loadReportAddress(ip string) string {
	if d.loadReportPort == "" {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		d.is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, d.loadReportPort, err = net.SplitHostPort(conn.LocalAddr().String())
		d.is.NoErr(err)
	}
	return net.JoinHostPort(ip, d.loadReportPort)
}

// relayAddress returns the address for relayed requests at an IP. All hosts use the
// same port.
func (d *deployment) relayAddress(ip string) string {
	if d.relayPort == "" {
		_, port, err := net.SplitHostPort(d.address("127.0.0.1"))
		d.is.NoErr(err)
		d.relayPort = port
	}
	return net.JoinHostPort(ip, d.relayPort)
}

// bindAttempts limits the attempts to start a host: another program may take a
// port between its choice and its use.
const bindAttempts = 10

// host starts a daemon at its own address in the loopback range.
func (d *deployment) host(i int) *testHost {
	for attempt := 0; ; attempt++ {
		h, err := d.start(i)
		if err == nil {
			d.hosts = append(d.hosts, h)
			return h
		}
		if attempt == bindAttempts {
			d.is.NoErr(err)
		}
		if len(d.hosts) == 0 {
			d.loadReportPort, d.relayPort = "", ""
		}
	}
}

// start starts a daemon once.
func (d *deployment) start(i int) (*testHost, error) {
	s := d.settings(i)
	ctx, cancel := context.WithCancel(context.Background())
	var n *storenode.Node
	var err error
	if dialer := d.dialers[i]; dialer != nil {
		n, err = storenode.NewNode(ctx, s, dialer)
	} else {
		n, err = storenode.New(ctx, s)
	}
	if err != nil {
		cancel()
		return nil, err
	}
	kill := func() { cancel(); n.Wait() }
	d.t.Cleanup(kill)
	return &testHost{Node: n, settings: s, kill: kill}, nil
}

// settings returns the settings of a host.
func (d *deployment) settings(i int) settings.Settings {
	ip := fmt.Sprintf("127.0.0.%d", i+1)
	s := settings.Default()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), FailureDomain: "north", Region: "r"}
	if d.southFrom > 0 && i >= d.southFrom {
		s.Host.FailureDomain = "south"
	}
	s.Listen = settings.Listen{Pulses: d.loadReportAddress(ip), Relays: d.relayAddress(ip)}
	d.chooseAddresses(ip, s.Listen.Relays, &s.Listen.Callers, &s.Listen.Peers, &s.Listen.Addresses, &s.Listen.Readiness)
	if d.withoutRelays[i] {
		s.Listen.Relays = ""
	}
	s.Platform = settings.Platform{Store: d.store.Address()}
	if len(d.hosts) > 0 {
		s.Platform.Seeds = []string{d.hosts[0].settings.Listen.Peers}
	}
	s.Secrets.Peers = settings.Source{Environment: "SITE_TEST_SECRET"}
	s.Machine = settings.Machine{MemoryMB: 512, Descriptors: cmp.Or(d.descriptors, 4096)}
	s.Bounds = settings.Bounds{LeaseMillis: cmp.Or(d.leaseMillis, 1000), WeightsMillis: cmp.Or(d.weightsMillis, 6000), GraceSeconds: cmp.Or(d.graceSeconds, 8), RepeatRatio: 0.2, RepeatWindowSeconds: 10, RepeatSlack: 50}
	return s
}

// await waits until a condition holds.
func (d *deployment) await(condition string, holds func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			d.t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func (d *deployment) awaitReady(h *testHost) {
	d.t.Helper()
	d.await("the host is ready", func() bool {
		resp, err := http.Get("http://" + h.settings.Listen.Readiness + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// answer is an answer as a client received it.
type answer struct {
	status int
	header http.Header
	body   string
	// truncated reports whether the answer ended early.
	truncated bool
	// closes reports whether the connection closes after the answer.
	closes bool
}

// client sends requests over its own connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (d *deployment) client(h *testHost) *client {
	conn, err := net.Dial("tcp4", h.settings.Listen.Callers)
	d.is.NoErr(err)
	d.t.Cleanup(func() { _ = conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

// write sends a request.
func (c *client) write(method, host, path, id string, headers map[string]string, body string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n", method, path, host, id)
	if _, ok := headers["X-Deadline-Ms"]; !ok {
		b.WriteString("X-Deadline-Ms: 4000\r\n")
	}
	if _, ok := headers["X-Api-Key"]; !ok {
		fmt.Fprintf(&b, "X-Api-Key: %s\r\n", goodKey)
	}
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	_, _ = io.WriteString(c.conn, b.String()+"\r\n"+body)
}

// read reads an answer.
func (c *client) read() answer {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return answer{truncated: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err != nil, resp.Close}
}

// do sends a request and reads its answer.
func (d *deployment) do(h *testHost, method, host, path, id string, headers map[string]string, body string) answer {
	c := d.client(h)
	defer func() { _ = c.conn.Close() }()
	c.write(method, host, path, id, headers, body)
	return c.read()
}

// prompt holds headers that describe the prompt of a request to a model.
var prompt = map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Prompt-Prefix": "aa:300,bb:500,cc:200"}

// upstreams returns all engines and services.
func (d *deployment) upstreams() []*standin.PlatformEngine {
	return append(append([]*standin.PlatformEngine{}, d.engines...), d.services...)
}

// executions counts the executions of a request at all upstreams.
func (d *deployment) executions(id string) int {
	n := 0
	for _, e := range d.upstreams() {
		n += e.Ran()[id]
	}
	return n
}

// arrivals counts the arrivals of a request at all upstreams.
func (d *deployment) arrivals(id string) int {
	n := 0
	for _, e := range d.upstreams() {
		for _, head := range e.Seen() {
			if head.Get("X-Attempt-Id") == id {
				n++
			}
		}
	}
	return n
}

// addresses queries a host for the addresses to use.
func (d *deployment) addresses(h *testHost) []string {
	resp, err := http.Get("http://" + h.settings.Listen.Addresses + "/resolve?name=" + modelHost + "&region=r&zone=north")
	d.is.NoErr(err)
	defer resp.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	d.is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
	return a.Addresses
}
