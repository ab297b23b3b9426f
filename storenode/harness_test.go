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
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/storenode"
)

const (
	// soon bounds waits for what must come to pass; nothing is measured by it.
	soon = 30 * time.Second
	look = 10 * time.Millisecond

	modelHost   = "models.example"
	serviceHost = "desk.example"
	goodKey     = "key-of-mill"
	aloneKey    = "key-of-grocer"
)

// world is a small deployment: a store, engines, services and hosts.
type world struct {
	t        testing.TB
	is       *is.I
	store    *standin.PlatformStore
	engines  []*standin.PlatformEngine
	services []*standin.PlatformEngine
	hosts    []*testHost
	version  int
	// weightsMillis is how long older weights may answer; 0 for the usual time.
	weightsMillis int
	// pulsePort is the port that all hosts use for pulses.
	pulsePort string
}

// testHost is a running daemon.
type testHost struct {
	*storenode.Site

	settings settings.Settings
	// kill ends the daemon at once.
	kill func()
}

// newWorld starts a deployment and waits until every host is ready.
func newWorld(t testing.TB, hosts, engines, services int) *world {
	t.Helper()
	t.Setenv("SITE_TEST_SECRET", "secret")
	w := &world{t: t, is: is.New(t)}
	var err error
	w.store, err = standin.NewPlatformStore()
	w.is.NoErr(err)
	t.Cleanup(w.store.Close)
	for i := range engines {
		w.engines = append(w.engines, w.engine(fmt.Sprintf("engine-%d", i), "models", "m1"))
	}
	for i := range services {
		w.services = append(w.services, w.engine(fmt.Sprintf("desk-%d", i), "desk", ""))
	}
	w.configure(nil)
	for i := range hosts {
		w.host(i)
	}
	for _, h := range w.hosts {
		w.awaitReady(h)
	}
	return w
}

// engine starts an upstream and puts its entry into the store.
func (w *world) engine(id, service, model string) *standin.PlatformEngine {
	e, err := standin.NewPlatformEngine(id, service, "north", model)
	w.is.NoErr(err)
	w.t.Cleanup(e.Close)
	w.store.Put("keyed.servers", e.ID, e.Entry())
	return e
}

// route returns a route of the configuration.
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
func (w *world) configure(change func(map[string]any)) {
	w.version += 3
	config := map[string]any{
		"version": w.version,
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
			map[string]any{"name": "grocer", "api_keys": []any{aloneKey}, "isolated": true, "priority": 3},
		},
	}
	if change != nil {
		change(config)
	}
	w.store.Put("keyed.op", "config", config)
}

// address returns an address of an IP that is free now.
func (w *world) address(ip string) string {
	l, err := net.Listen("tcp4", ip+":0")
	w.is.NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// pulses returns the address for pulses at an IP; all hosts use one port.
func (w *world) pulses(ip string) string {
	if w.pulsePort == "" {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		w.is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, w.pulsePort, err = net.SplitHostPort(conn.LocalAddr().String())
		w.is.NoErr(err)
	}
	return net.JoinHostPort(ip, w.pulsePort)
}

// bindTries is how often a host is started: another program may take a port
// between its choice and its use.
const bindTries = 10

// host starts a daemon at an address of its own in the loopback range.
func (w *world) host(i int) *testHost {
	for try := 0; ; try++ {
		h, err := w.start(i)
		if err == nil {
			w.hosts = append(w.hosts, h)
			return h
		}
		if try == bindTries {
			w.is.NoErr(err)
		}
		if len(w.hosts) == 0 {
			w.pulsePort = ""
		}
	}
}

// start starts a daemon once.
func (w *world) start(i int) (*testHost, error) {
	ip := fmt.Sprintf("127.0.0.%d", i+1)
	s := settings.Default()
	s.Host = settings.Host{Name: fmt.Sprintf("host-%d", i), FailureDomain: "north", Region: "r"}
	s.Listen = settings.Listen{
		Callers: w.address(ip), Peers: w.address(ip), Addresses: w.address(ip), Readiness: w.address(ip), Pulses: w.pulses(ip),
	}
	s.Platform = settings.Platform{Store: w.store.Address()}
	if len(w.hosts) > 0 {
		s.Platform.Seeds = []string{w.hosts[0].settings.Listen.Peers}
	}
	s.Secrets.Peers = settings.Source{Environment: "SITE_TEST_SECRET"}
	s.Machine = settings.Machine{MemoryMB: 512, Descriptors: 4096}
	s.Bounds = settings.Bounds{LeaseMillis: 1000, WeightsMillis: cmp.Or(w.weightsMillis, 6000), GraceSeconds: 8, RepeatRatio: 0.2, RepeatWindowSeconds: 10, RepeatSlack: 50}
	ctx, cancel := context.WithCancel(context.Background())
	n, err := storenode.New(ctx, s)
	if err != nil {
		cancel()
		return nil, err
	}
	kill := func() { cancel(); n.Wait() }
	w.t.Cleanup(kill)
	return &testHost{Site: n, settings: s, kill: kill}, nil
}

// await waits until a condition holds.
func (w *world) await(what string, holds func() bool) {
	w.t.Helper()
	for deadline := time.Now().Add(soon); !holds(); time.Sleep(look) {
		if time.Now().After(deadline) {
			w.t.Fatalf("never: %s", what)
		}
	}
}

func (w *world) awaitReady(h *testHost) {
	w.t.Helper()
	w.await("the host is ready", func() bool {
		resp, err := http.Get("http://" + h.settings.Listen.Readiness + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	// broken tells that the answer had no end.
	broken bool
	// closes tells that the connection ends with it.
	closes bool
}

// client sends one request over a connection of its own.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (w *world) client(h *testHost) *client {
	conn, err := net.Dial("tcp4", h.settings.Listen.Callers)
	w.is.NoErr(err)
	w.t.Cleanup(func() { _ = conn.Close() })
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
		return answer{broken: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err != nil, resp.Close}
}

// do sends a request and reads its answer.
func (w *world) do(h *testHost, method, host, path, id string, headers map[string]string, body string) answer {
	c := w.client(h)
	defer func() { _ = c.conn.Close() }()
	c.write(method, host, path, id, headers, body)
	return c.read()
}

// prompt is what a request to a model says of its prompt.
var prompt = map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Prompt-Prefix": "aa:300,bb:500,cc:200"}

// upstreams returns all engines and services.
func (w *world) upstreams() []*standin.PlatformEngine {
	return append(append([]*standin.PlatformEngine{}, w.engines...), w.services...)
}

// ran counts the runs of a request at all upstreams, arrived its arrivals.
func (w *world) ran(id string) int {
	n := 0
	for _, e := range w.upstreams() {
		n += e.Ran()[id]
	}
	return n
}

func (w *world) arrived(id string) int {
	n := 0
	for _, e := range w.upstreams() {
		for _, head := range e.Seen() {
			if head.Get("X-Attempt-Id") == id {
				n++
			}
		}
	}
	return n
}

// addresses asks a host which addresses to use.
func (w *world) addresses(h *testHost) []string {
	resp, err := http.Get("http://" + h.settings.Listen.Addresses + "/resolve?name=" + modelHost + "&region=r&zone=north")
	w.is.NoErr(err)
	defer resp.Body.Close()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	w.is.NoErr(json.NewDecoder(resp.Body).Decode(&a))
	return a.Addresses
}
