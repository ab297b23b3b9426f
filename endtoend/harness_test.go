package endtoend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/settings"
)

const (
	// waitLimit bounds the wait for a condition; a passing run needs far less.
	waitLimit = 30 * time.Second
	// waitInterval is the time between two looks at a condition.
	waitInterval = 20 * time.Millisecond
	// longestLine bounds a line of output in bytes; goroutines of a crash are long.
	longestLine = 1 << 20
	// dumpLimit bounds the wait for the goroutines of a process.
	dumpLimit   = 2 * time.Second
	operatorKey = "operators-test"
	accountKey  = "mill-key"
	accountName = "mill"
)

// programs are the built binaries.
var programs struct {
	router, emulator string
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "kumquathoist")
	if err != nil {
		panic(err)
	}
	programs.router = filepath.Join(dir, "kumquathoist")
	programs.emulator = filepath.Join(dir, "emulator")
	build(programs.router, "..")
	build(programs.emulator, "../emulator")
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func build(out, pkg string) {
	if output, err := exec.Command("go", "build", "-race", "-o", out, pkg).CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building %s: %v\n%s", pkg, err, output))
	}
}

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	// done is closed when the process has ended, wholeLog when its output was
	// read.
	done, wholeLog chan struct{}
	mu             sync.Mutex
	log            bytes.Buffer
	line           chan string
}

// start runs a program and ends it with the test.
func start(t *testing.T, name, program string, args ...string) *process {
	t.Helper()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), "KUMQUATHOIST_PEER_SECRET=peers-test", "KUMQUATHOIST_OPERATOR_SECRET="+operatorKey)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout, cmd.Stderr = writer, writer
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = writer.Close()
	p := &process{name: name, cmd: cmd, done: make(chan struct{}), wholeLog: make(chan struct{}), line: make(chan string, 1)}
	go p.read(reader)
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		select {
		case <-p.done:
			t.Logf("%s had ended before the test: %v", name, cmd.ProcessState)
		default:
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		if t.Failed() {
			// The runtime prints what each goroutine waits for.
			_ = cmd.Process.Signal(syscall.SIGQUIT)
			select {
			case <-p.done:
			case <-time.After(dumpLimit):
			}
		}
		_ = cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			select {
			case <-p.wholeLog:
			case <-time.After(dumpLimit):
			}
			t.Logf("output of %s:\n%s", name, p.output())
		}
	})
	return p
}

// read keeps the output and passes on the first line about listening.
func (p *process) read(r io.Reader) {
	defer close(p.wholeLog)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	found := false
	for scanner.Scan() {
		p.mu.Lock()
		p.log.WriteString(scanner.Text() + "\n")
		p.mu.Unlock()
		if !found && strings.Contains(scanner.Text(), "listening") {
			found = true
			p.line <- scanner.Text()
		}
	}
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// logged tells whether the output holds a text.
func (p *process) logged(text string) bool { return strings.Contains(p.output(), text) }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// listening returns the line in which the process tells its addresses.
func (p *process) listening(t *testing.T) string {
	t.Helper()
	select {
	case line := <-p.line:
		return line
	case <-p.done:
	case <-time.After(waitLimit):
	}
	t.Fatalf("%s did not listen:\n%s", p.name, p.output())
	return ""
}

// emulated is a running stand-in.
type emulated struct {
	*process
	address string
}

func startEmulator(t *testing.T, kind string, args ...string) *emulated {
	t.Helper()
	p := start(t, kind, programs.emulator, append([]string{kind}, args...)...)
	return &emulated{p, strings.TrimPrefix(p.listening(t), "listening ")}
}

func (e *emulated) url() string { return "http://" + e.address }

// faults puts faults into the stand-in.
func (e *emulated) faults(t *testing.T, f any) {
	t.Helper()
	call(t, http.MethodPost, e.url()+"/faults", nil, f, nil)
}

// router is a running daemon.
type router struct {
	*process
	name, callers, peers, operators string
}

// system is a set of running processes.
type system struct {
	log, hostList, service *emulated
	engines                []*emulated
	routers                []*router
	// configure changes the settings of routers that are started.
	configure func(*settings.Settings)
}

// options sets the size of a system.
type options struct {
	routers, engines int
	engineArgs       []string
	// configure changes the settings of every router; the system has its
	// stand-ins by then.
	configure func(*system, *settings.Settings)
}

var addresses = regexp.MustCompile(`Callers="([^"]+)" Peers="([^"]+)" Operators="([^"]+)"`)

// startSystem starts a system with a configuration in force everywhere.
func startSystem(t *testing.T, o options) *system {
	t.Helper()
	s := &system{
		log:      startEmulator(t, "log"),
		hostList: startEmulator(t, "host-list"),
		service:  startEmulator(t, "service", "--name", "approvals"),
	}
	for i := range o.engines {
		args := append([]string{"--name", fmt.Sprintf("engine-%d", i+1)}, o.engineArgs...)
		s.engines = append(s.engines, startEmulator(t, "engine", args...))
	}
	if o.configure != nil {
		s.configure = func(conf *settings.Settings) { o.configure(s, conf) }
	}
	for i := range o.routers {
		s.routers = append(s.routers, s.startRouter(t, fmt.Sprintf("host-%d", i+1)))
	}
	s.publish(t, document.CapacitySection, s.capacity())
	s.publish(t, document.ModelsSection, document.Models{Models: []document.Model{{Name: "matcher", Pool: "engines", Version: "v1"}}})
	s.publish(t, document.AccountsSection, document.Accounts{Accounts: []document.Account{{Name: accountName, KeyHash: document.HashKey(accountKey), Weight: 1}}})
	for _, r := range s.routers {
		s.awaitServing(t, r)
	}
	return s
}

// startRouter starts a daemon and puts it on the host list.
func (s *system) startRouter(t *testing.T, name string) *router {
	t.Helper()
	conf := settings.Default()
	conf.Host = settings.Host{Name: name, FailureDomain: "abbotsford", Region: "fraser-valley"}
	conf.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"}
	conf.Platform = settings.Platform{Log: s.log.url(), HostList: s.hostList.url()}
	conf.Stop = settings.Stop{AddressSeconds: 1, StreamSeconds: 20}
	if s.configure != nil {
		s.configure(&conf)
	}
	raw, err := yaml.Marshal(conf)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	p := start(t, name, programs.router, "run", "--settings", path)
	m := addresses.FindStringSubmatch(p.listening(t))
	r := &router{process: p, name: name, callers: m[1], peers: m[2], operators: m[3]}
	s.list(t, r, registry.Live)
	return r
}

// list puts a router on the host list.
func (s *system) list(t *testing.T, r *router, state registry.HostState) {
	t.Helper()
	call(t, http.MethodPut, s.hostList.url()+"/hosts", nil, registry.Host{
		Name: r.name, Role: registry.EntryHost, FailureDomain: "abbotsford", Region: "fraser-valley",
		State: state, Callers: r.callers, Peers: r.peers,
	}, nil)
}

// capacity lists the stand-ins as pools.
func (s *system) capacity() document.Capacity {
	engines := document.Pool{Name: "engines", Kind: document.EnginePool}
	for i, e := range s.engines {
		engines.Upstreams = append(engines.Upstreams, document.Upstream{
			Name: fmt.Sprintf("engine-%d", i+1), Address: e.address, FailureDomain: "abbotsford",
		})
	}
	service := document.Pool{Name: "approvals", Kind: document.ServicePool, Upstreams: []document.Upstream{
		{Name: "approvals-1", Address: s.service.address, FailureDomain: "abbotsford"},
	}}
	return document.Capacity{Pools: []document.Pool{engines, service}}
}

// publish publishes a section with the command line and returns its output.
func (s *system) publish(t *testing.T, section document.Section, body any) string {
	t.Helper()
	raw, err := yaml.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "section.yaml")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	output, err := s.command(0, "publish", string(section), path)
	if err != nil {
		t.Fatalf("publishing %s: %v\n%s", section, err, output)
	}
	return output
}

// command runs an operators' command against a router.
func (s *system) command(router int, name string, args ...string) (string, error) {
	args = append([]string{name, "--host", "http://" + s.routers[router].operators}, args...)
	cmd := exec.Command(programs.router, args...)
	// The race detector sleeps for a second at the exit of each program.
	cmd.Env = append(os.Environ(), "KUMQUATHOIST_OPERATOR_SECRET="+operatorKey, "GORACE=atexit_sleep_ms=0")
	output, err := cmd.CombinedOutput()
	return string(output), err
}

// awaitServing waits until a router lists the model to the account.
func (s *system) awaitServing(t *testing.T, r *router) {
	t.Helper()
	eventually(t, r.name+" serves", func() bool {
		body, status := r.send(t, http.MethodPost, "/v1/completions", nil, `{"model":"matcher","prompt":"ready?","max_tokens":1}`)
		return status == http.StatusOK && strings.Contains(body, "finish_reason")
	})
}

// send sends a request of the account to the router's callers' address.
func (r *router) send(t *testing.T, method, path string, header map[string]string, body string) (string, int) {
	t.Helper()
	resp, err := r.open(method, path, header, body)
	if err != nil {
		return err.Error(), 0
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error(), 0
	}
	return string(raw), resp.StatusCode
}

// open sends a request and returns the open answer.
func (r *router) open(method, path string, header map[string]string, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.callers+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

// runs returns how often each key ran at the plain service.
func (s *system) runs(t *testing.T) map[string]int {
	t.Helper()
	var counts struct{ Runs map[string]int }
	call(t, http.MethodGet, s.service.url()+"/counts", nil, nil, &counts)
	return counts.Runs
}

// call sends JSON and decodes the JSON answer.
func call(t *testing.T, method, url string, header map[string]string, body, into any) {
	t.Helper()
	is := is.New(t)
	var raw []byte
	if body != nil {
		var err error
		raw, err = json.Marshal(body)
		is.NoErr(err)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(raw))
	is.NoErr(err)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusOK)
	if into != nil {
		is.NoErr(json.NewDecoder(resp.Body).Decode(into))
	}
}

// eventually waits until a condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(waitInterval) {
		if holds() {
			return
		}
	}
	t.Fatalf("it never came to be that %s", what)
}
