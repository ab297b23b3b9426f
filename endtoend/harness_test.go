package endtoend

import (
	"bufio"
	"bytes"
	"cmp"
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
	// waitTimeout bounds the wait for a condition; a passing run needs far less.
	waitTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// maxLineBytes bounds a line of output; the goroutine dump of a crash has long
	// lines.
	maxLineBytes = 1 << 20
	// dumpTimeout bounds the wait for the goroutine dump of a process.
	dumpTimeout = 2 * time.Second
	operatorKey = "operators-test"
	accountKey  = "mill-key"
	accountName = "mill"
)

// programs holds the paths of the built binaries.
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
	// done is closed when the process has exited, outputRead when its whole
	// output has been read.
	done, outputRead chan struct{}
	mu               sync.Mutex
	log              bytes.Buffer
	listeningLine    chan string
}

// start starts a program and kills it at the end of the test.
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
	p := &process{name: name, cmd: cmd, done: make(chan struct{}), outputRead: make(chan struct{}), listeningLine: make(chan string, 1)}
	go p.read(reader)
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		select {
		case <-p.done:
			t.Logf("%s exited before the test ended: %v", name, cmd.ProcessState)
		default:
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		if t.Failed() {
			// On SIGQUIT the Go runtime dumps all goroutines.
			_ = cmd.Process.Signal(syscall.SIGQUIT)
			select {
			case <-p.done:
			case <-time.After(dumpTimeout):
			}
		}
		_ = cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			select {
			case <-p.outputRead:
			case <-time.After(dumpTimeout):
			}
			t.Logf("output of %s:\n%s", name, p.output())
		}
	})
	return p
}

// read stores the output and sends the first line that contains "listening" to
// listeningLine.
func (p *process) read(r io.Reader) {
	defer close(p.outputRead)
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	sent := false
	for scanner.Scan() {
		p.mu.Lock()
		p.log.WriteString(scanner.Text() + "\n")
		p.mu.Unlock()
		if !sent && strings.Contains(scanner.Text(), "listening") {
			sent = true
			p.listeningLine <- scanner.Text()
		}
	}
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// hasLogged reports whether the output contains a text.
func (p *process) hasLogged(text string) bool { return strings.Contains(p.output(), text) }

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// awaitListening waits for the output line with the addresses of the process and
// returns it.
func (p *process) awaitListening(t *testing.T) string {
	t.Helper()
	select {
	case line := <-p.listeningLine:
		return line
	case <-p.done:
	case <-time.After(waitTimeout):
	}
	t.Fatalf("%s did not listen:\n%s", p.name, p.output())
	return ""
}

// emulator is a running stand-in.
type emulator struct {
	*process
	address string
}

func startEmulator(t *testing.T, kind string, args ...string) *emulator {
	t.Helper()
	p := start(t, kind, programs.emulator, append([]string{kind}, args...)...)
	return &emulator{p, strings.TrimPrefix(p.awaitListening(t), "listening ")}
}

func (e *emulator) url() string { return "http://" + e.address }

// setFaults sets the faults that the stand-in injects.
func (e *emulator) setFaults(t *testing.T, f any) {
	t.Helper()
	callJSON(t, http.MethodPost, e.url()+"/faults", nil, f, nil)
}

// router is a running daemon.
type router struct {
	*process
	name, callers, peers, operators string
}

// system is a set of running processes.
type system struct {
	log, hostList, service *emulator
	// program is the router's.
	program string
	engines []*emulator
	routers []*router
	// configure, if set, changes the settings of each router before it starts.
	configure func(*settings.Settings)
}

// options holds the options of a system.
type options struct {
	routers, engines int
	engineArgs       []string
	// program is the router's; "" means the one with the race detector.
	program string
	// configure changes the settings of every router; the stand-ins of the
	// system are running when it is called.
	configure func(*system, *settings.Settings)
}

var listeningAddresses = regexp.MustCompile(`Callers="([^"]+)" Peers="([^"]+)" Operators="([^"]+)"`)

// startSystem starts a system, publishes its configuration and waits until every
// router serves requests.
func startSystem(t *testing.T, o options) *system {
	t.Helper()
	s := &system{
		program:  cmp.Or(o.program, programs.router),
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

// startRouter starts a router and puts it on the host list.
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
	p := start(t, name, s.program, "run", "--settings", path)
	m := listeningAddresses.FindStringSubmatch(p.awaitListening(t))
	r := &router{process: p, name: name, callers: m[1], peers: m[2], operators: m[3]}
	s.putOnHostList(t, r, registry.Live)
	return r
}

// putOnHostList sets the entry of a router on the host list.
func (s *system) putOnHostList(t *testing.T, r *router, state registry.HostState) {
	t.Helper()
	callJSON(t, http.MethodPut, s.hostList.url()+"/hosts", nil, registry.Host{
		Name: r.name, Role: registry.EntryHost, FailureDomain: "abbotsford", Region: "fraser-valley",
		State: state, Callers: r.callers, Peers: r.peers,
	}, nil)
}

// capacity returns a capacity section with the stand-ins as pools.
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

// publish publishes a section with the command-line client and returns its
// output.
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
	output, err := s.runCommand(0, "publish", string(section), path)
	if err != nil {
		t.Fatalf("publishing %s: %v\n%s", section, err, output)
	}
	return output
}

// runCommand runs an operator command against a router.
func (s *system) runCommand(router int, name string, args ...string) (string, error) {
	args = append([]string{name, "--host", "http://" + s.routers[router].operators}, args...)
	cmd := exec.Command(programs.router, args...)
	// By default the race detector sleeps for a second when a program exits.
	cmd.Env = append(os.Environ(), "KUMQUATHOIST_OPERATOR_SECRET="+operatorKey, "GORACE=atexit_sleep_ms=0")
	output, err := cmd.CombinedOutput()
	return string(output), err
}

// awaitServing waits until a router answers a completion request of the account.
func (s *system) awaitServing(t *testing.T, r *router) {
	t.Helper()
	eventually(t, r.name+" serves", func() bool {
		body, status := r.send(t, http.MethodPost, "/v1/completions", nil, `{"model":"matcher","prompt":"ready?","max_tokens":1}`)
		return status == http.StatusOK && strings.Contains(body, "finish_reason")
	})
}

// send sends a request of the account to a router and returns the body and the
// status of the answer, or the error text and 0.
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

// open sends a request of the account and returns the answer with its body open.
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

// executions returns how often the plain service executed each idempotency key.
func (s *system) executions(t *testing.T) map[string]int {
	t.Helper()
	var counts struct{ Runs map[string]int }
	callJSON(t, http.MethodGet, s.service.url()+"/counts", nil, nil, &counts)
	return counts.Runs
}

// callJSON sends a JSON request and decodes the JSON answer.
func callJSON(t *testing.T, method, url string, header map[string]string, body, into any) {
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

// eventually waits until a condition holds and fails the test if it times out.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", condition)
}
