package storenode_test

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// hostMemoryMB is the memory of a small host.
	hostMemoryMB = 128
	// callerCount callers send requests to an upstream whose answers have no end, for
	// loadTime.
	callerCount = 200
	loadTime    = 2 * time.Second
)

// hostProcess is a host as a process of its own, whose memory can be measured.
type hostProcess struct {
	*testHost

	pid   int
	ended chan error
}

// buildDaemon builds the daemon without the race detector, which takes a multiple of the
// memory.
func buildDaemon(t *testing.T) (program string) {
	t.Helper()
	program = filepath.Join(t.TempDir(), "kumquathoist")
	if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
		t.Fatalf("building the daemon: %v\n%s", err, out)
	}
	return program
}

// process starts a host as a process with little memory.
func (d *deployment) process(program string) *hostProcess {
	d.t.Helper()
	dir := d.t.TempDir()
	s := d.settings(0)
	s.Machine.MemoryMB = cmp.Or(d.memoryMB, hostMemoryMB)
	raw, err := yaml.Marshal(s)
	d.is.NoErr(err)
	path := filepath.Join(dir, "settings.yaml")
	d.is.NoErr(os.WriteFile(path, raw, 0o600))
	cmd := exec.Command(program, "run", "--settings", path)
	cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	var output standin.Output
	cmd.Stdout, cmd.Stderr = &output, &output
	d.is.NoErr(cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	d.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		if d.t.Failed() {
			lines := strings.Split(output.String(), "\n")
			d.t.Log(strings.Join(lines[max(0, len(lines)-20):], "\n"))
		}
	})
	p := &hostProcess{&testHost{settings: s}, cmd.Process.Pid, ended}
	d.awaitReady(p.testHost)
	return p
}

// peakBytes returns the largest amount of memory that the process has used.
func (p *hostProcess) peakBytes(t *testing.T) int {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// endlessAnswer is an answer that begins with a text and then repeats another. OWN in it
// stands for the header fields of an answer to the request.
type endlessAnswer struct {
	name, service, path, begin, repeat string
	// pause is the time between two repeats.
	pause time.Duration
}

// TestEndlessBytesFitIntoMemory guards against hosts that run out of memory, and end with
// the requests of all callers, since an upstream sends bytes without end: in answers to
// requests, and in its reports, answers to orders and cache events.
func TestEndlessBytesFitIntoMemory(t *testing.T) {
	const (
		ok       = "HTTP/1.1 200 OK\r\n"
		failed   = "HTTP/1.1 500 Error\r\n"
		rejected = "HTTP/1.1 503 Full\r\nX-Not-Executed: true\r\n"
		chunks   = "Transfer-Encoding: chunked\r\n\r\n"
		stream   = ok + "OWNContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n" + chunks
	)
	fast, chunk := strings.Repeat("a", 64<<10), "1000\r\n"+strings.Repeat("a", 4096)+"\r\n"
	program := buildDaemon(t)
	for _, tt := range []endlessAnswer{
		{"no head", "models", "/flag/a", "", strings.Repeat("\xf5", 4096), 0},
		{"a line of a head", "models", "/flag/a", ok + "X-Long: ", fast, 0},
		{"header lines", "models", "/full/a", ok, strings.Repeat("X-More: b\r\n", 400), 0},
		{"informational heads", "models", "/flag/a", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), 0},
		{"an event", "models", "/full/a", stream, chunk, 0},
		{"events", "models", "/full/a", stream, "9\r\ndata: a\n\n\r\n", 0},
		{"a large event, the rest a little at a time", "models", "/full/a", stream + strings.Repeat(chunk, 60), "1\r\na\r\n", 50 * time.Millisecond},
		{"an event without framing", "models", "/flag/a", ok + "OWN\r\n", fast, 0},
		{"a body", "desk", "/read/a", ok + "OWN\r\n", fast, 0},
		{"a body with a length", "desk", "/read/a", ok + "OWNContent-Length: 1000000000000\r\n\r\n", fast, 0},
		{"a body in chunks", "desk", "/post/a", ok + "OWN" + chunks, chunk, 0},
		{"a failure", "desk", "/read/a", failed + "OWN" + chunks, chunk, 0},
		{"a rejection", "desk", "/read/a", rejected + "OWN" + chunks, chunk, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newDeployment(t, 0, 3, 2)
			h := d.process(program)
			tt.start(d)
			var callers conc.WaitGroup
			start := time.Now()
			for i := range callerCount {
				callers.Go(func() {
					for n := 0; time.Since(start) < loadTime; n++ {
						tt.send(d, h.testHost, fmt.Sprint("e", i, "-", n))
					}
				})
			}
			statuses := map[int]int{} // of requests to the other service
			for i := 0; time.Since(start) < loadTime; i++ {
				host, path := serviceHost, "/post/b"
				if tt.service == "desk" {
					host, path = modelHost, "/full/b"
				}
				statuses[d.do(h.testHost, "POST", host, path, fmt.Sprint("g", i), prompt, "body").status]++
			}
			callers.Wait()
			select {
			case err := <-h.ended:
				t.Fatalf("the host has ended: %v", err)
			default:
			}
			peak := h.peakBytes(t)
			t.Logf("peak of %d MB; statuses of other requests: %v", peak>>20, statuses)
			d.is.True(peak <= hostMemoryMB<<20)
			d.is.True(statuses[http.StatusOK] > 0)
		})
	}
}

// start has the first upstream of the service answer all that it is asked so, also orders
// and questions for its status and its cache events.
func (a endlessAnswer) start(d *deployment) {
	endless, err := standin.NewEndless(standin.EndlessOptions{Begin: func(id string) string {
		return strings.ReplaceAll(a.begin, "OWN", fmt.Sprintf("X-Attempt-Id: %s\r\nX-Response-Stamp: s.%s\r\n", id, id))
	}, Repeat: a.repeat, Pause: a.pause})
	d.is.NoErr(err)
	d.t.Cleanup(endless.Close)
	faulty := d.engines[0]
	if a.service == "desk" {
		faulty = d.services[0]
	}
	entry := faulty.Entry()
	entry["address"] = endless.Address()
	d.store.Put("keyed.servers", faulty.ID, entry)
	d.store.NameWeights("m1", 2)
}

// send sends a request to the service.
func (a endlessAnswer) send(d *deployment, h *testHost, id string) {
	host, method := modelHost, "POST"
	if a.service == "desk" {
		host = serviceHost
	}
	if strings.HasPrefix(a.path, "/read") {
		method = "GET"
	}
	headers := maps.Clone(prompt)
	headers["X-Deadline-Ms"] = "1500"
	d.do(h, method, host, a.path, id, headers, bodyOf(method))
}

// TestLargeRequestsFitIntoMemory guards against hosts that run out of memory, and end with
// the requests of all callers, since many callers send the largest requests at once. The
// host answers each: it serves as many as fit and refuses the others at once.
func TestLargeRequestsFitIntoMemory(t *testing.T) {
	const bodyBytes, requests = 4 << 20, 30 // together they are as large as the memory
	d := newDeployment(t, 0, 3, 0)
	d.configure(func(config map[string]any) {
		config["limits"].(map[string]any)["max_body_bytes"] = bodyBytes
	})
	for _, e := range d.engines {
		e.Fail(standin.PauseFault, requests)
	}
	h := d.process(buildDaemon(t))
	body := strings.Repeat("x", bodyBytes)
	var callers conc.WaitGroup
	statuses := make([]int, requests)
	for i := range requests {
		callers.Go(func() {
			statuses[i] = d.do(h.testHost, "POST", modelHost, "/full/a", fmt.Sprint("l", i), prompt, body).status
		})
		time.Sleep(loadTime / requests)
	}
	callers.Wait()
	select {
	case err := <-h.ended:
		t.Fatalf("the host has ended: %v", err)
	default:
	}
	counts := map[int]int{}
	for _, status := range statuses {
		counts[status]++
	}
	peak := h.peakBytes(t)
	t.Logf("peak of %d MB; statuses: %v", peak>>20, counts)
	d.is.True(peak <= hostMemoryMB<<20)
	d.is.True(counts[http.StatusOK] > 0)
	d.is.Equal(counts[http.StatusOK]+counts[http.StatusServiceUnavailable], requests)
}
