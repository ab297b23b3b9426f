package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/soak"
	"github.com/kumquathoist/kumquathoist/standin"
)

// program is the daemon's program, built with the race detector.
var program string

// TestMain makes the test's program stand in for one engine, too.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == soak.EngineArgument {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if err := standin.ServePlatformProcess(ctx, os.Stdin, os.Stdout); err != nil {
			panic(err)
		}
		return
	}
	if len(os.Args) == 2 && os.Args[1] == stoppedParentArgument {
		stopAnEngine()
		return
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "kumquathoist")
	if out, err := exec.Command("go", "build", "-race", "-o", program, "..").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("building the daemon: %v\n%s", err, out))
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// TestPlan checks that a seed always gives the same faults, that they lie within
// the run, and that every kind occurs.
func TestPlan(t *testing.T) {
	is := is.New(t)
	const span = 20 * time.Second
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(200) {
		plan := soak.Plan(seed, span)
		is.Equal(plan, soak.Plan(seed, span))
		for i, f := range plan {
			is.True(f.At >= span/10 && f.At <= span*3/4)
			is.True(i == 0 || f.At >= plan[i-1].At)
			kinds[f.Kind] = true
		}
	}
	is.Equal(len(kinds), 24) // each kind is drawn
}

// TestPlanSilences checks the same of the faults of engines that are processes.
func TestPlanSilences(t *testing.T) {
	is := is.New(t)
	const span = 20 * time.Second
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(100) {
		plan := soak.PlanSilences(seed, span)
		is.Equal(plan, soak.PlanSilences(seed, span))
		for i, f := range plan {
			is.True(f.At >= span/10 && f.At <= span*3/4+time.Second)
			is.True(i == 0 || f.At >= plan[i-1].At)
			is.True(f.Kind != soak.SilenceEngines || f.For >= 300*time.Millisecond && f.For <= 3*time.Second)
			kinds[f.Kind] = true
		}
	}
	is.Equal(len(kinds), 7) // each kind is drawn
}

// TestPlanStops checks the same of the faults around stops of hosts.
func TestPlanStops(t *testing.T) {
	is := is.New(t)
	const span = 20 * time.Second
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(100) {
		plan := soak.PlanStops(seed, span)
		is.Equal(plan, soak.PlanStops(seed, span))
		for i, f := range plan {
			is.True(f.At >= span/10 && f.At <= span*3/4)
			is.True(i == 0 || f.At >= plan[i-1].At)
			is.True(f.Kind != soak.RefuseAround || f.For >= 400*time.Millisecond && f.For <= time.Second)
			kinds[f.Kind] = true
		}
	}
	is.Equal(len(kinds), 10) // each kind is drawn
}

// TestPlanRefusals checks the same of the faults around copies of refusals.
func TestPlanRefusals(t *testing.T) {
	is := is.New(t)
	const span = 20 * time.Second
	kinds := map[soak.Kind]bool{}
	for seed := range uint64(100) {
		plan := soak.PlanRefusals(seed, span)
		is.Equal(plan, soak.PlanRefusals(seed, span))
		for _, f := range plan {
			is.True(f.At >= span/10 && f.At <= span*3/4)
			kinds[f.Kind] = true
		}
	}
	is.Equal(len(kinds), 4) // each kind is drawn
}

// TestProcessTrouble has a process refuse a request and send a copy of the refusal in
// front of the next answer.
func TestProcessTrouble(t *testing.T) {
	is := is.New(t)
	e, err := standin.StartPlatformProcess(standin.PlatformProcessOptions{ID: "e", Service: "models", Zone: "north", Model: "m1", Weights: 3}, os.Args[0], soak.EngineArgument)
	is.NoErr(err)
	defer e.Kill()
	version, err := e.Weights()
	is.NoErr(err)
	is.Equal(version, int64(3))
	e.Trouble(standin.PlatformTrouble{Copies: &standin.RefusalCopies{Count: 1}, Fault: standin.FullFault, Times: 1})
	// What the process reads is carried out some time later: it refuses one of the requests.
	for n := 0; len(e.Refusals()) == 0; n++ {
		conn, err := net.Dial("tcp4", e.Address)
		is.NoErr(err)
		in, statuses := bufio.NewReader(conn), []int{}
		send := func() {
			is.NoErr(standin.PlatformRequest{ID: fmt.Sprint(n), Method: http.MethodGet, Host: "h", Path: "/", Deadline: time.Minute}.Write(conn))
			a, err := standin.ReadPlatformAnswer(in)
			is.NoErr(err)
			statuses = append(statuses, a.Status)
		}
		send()
		if statuses[0] == http.StatusServiceUnavailable {
			send()
			a, err := standin.ReadPlatformAnswer(in)
			is.NoErr(err)
			is.Equal(append(statuses, a.Status), []int{503, 503, 200})
			for len(e.Refusals()) == 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(e.Refusals()[0].ID, fmt.Sprint(n))
			is.Equal(e.Refusals()[0].Refusal, 503)
		}
		_ = conn.Close()
	}
}

// TestProcessWork checks which work a stopped and killed engine reports.
func TestProcessWork(t *testing.T) {
	is := is.New(t)
	const prefill, silence = 400 * time.Millisecond, 700 * time.Millisecond
	e, err := standin.StartPlatformProcess(standin.PlatformProcessOptions{ID: "e", Service: "desk", Zone: "north", Prefill: prefill}, os.Args[0], soak.EngineArgument)
	is.NoErr(err)
	defer e.Kill()
	send := func() *net.TCPConn {
		conn, err := net.Dial("tcp4", e.Address)
		is.NoErr(err)
		is.NoErr(standin.PlatformRequest{ID: "x", Method: http.MethodGet, Host: "h", Path: "/", Deadline: time.Minute}.Write(conn))
		return conn.(*net.TCPConn)
	}
	awaitRuns := func(n int) standin.PlatformRun {
		for len(e.Runs()) < n {
			time.Sleep(time.Millisecond)
		}
		return e.Runs()[n-1]
	}
	conn := send()
	defer func() { _ = conn.Close() }()
	awaitRuns(1)
	e.Pause()
	time.Sleep(silence)
	e.Resume()
	answer, err := standin.ReadPlatformAnswer(bufio.NewReader(conn))
	is.NoErr(err)
	is.Equal(answer.Status, http.StatusOK)
	for e.Runs()[0].Ended.IsZero() {
		time.Sleep(time.Millisecond)
	}
	run := e.Runs()[0]
	periods := e.Work(run)
	is.Equal(len(periods), 2) // before and after the silence
	is.True(periods[1].From.Sub(periods[0].Until) >= silence)
	is.Equal(periods[1].Until, run.Ended)
	is.Equal(e.WorkAfter(run, periods[1].From), run.Ended.Sub(periods[1].From))
	other := send()
	defer func() { _ = other.Close() }()
	second := awaitRuns(2)
	e.Pause()
	e.Kill()
	periods = e.Work(second)
	is.Equal(len(periods), 1) // it did not work after it was stopped
	is.True(periods[0].Until.Before(e.Killed()))
}

// TestStoppedProcessOutlivesTheShellThatStartedIt has a shell with job control start an
// engine's parent in the background and end while the engine is stopped.
func TestStoppedProcessOutlivesTheShellThatStartedIt(t *testing.T) {
	is := is.New(t)
	r, w, err := os.Pipe()
	is.NoErr(err)
	defer func() { _ = r.Close() }()
	shell := exec.Command("sh", "-c", `"$0" `+stoppedParentArgument+` & exec sleep 0.7`, os.Args[0])
	shell.Stdout = w
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	is.NoErr(shell.Run())
	_ = w.Close()
	out, err := io.ReadAll(r)
	is.NoErr(err)
	is.Equal(string(out), "answered\n")
}

// stoppedParentArgument makes the test's program stop an engine for a while and tell
// whether it answers afterwards.
const stoppedParentArgument = "stopped-parent"

// stopAnEngine does what stoppedParentArgument says.
func stopAnEngine() {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // the parent survives
	e, err := standin.StartPlatformProcess(standin.PlatformProcessOptions{ID: "e", Service: "desk", Zone: "north"}, os.Args[0], soak.EngineArgument)
	if err != nil {
		panic(err)
	}
	defer e.Kill()
	e.Pause()
	time.Sleep(1500 * time.Millisecond)
	e.Resume()
	client := http.Client{Timeout: 10 * time.Second}
	if resp, err := client.Get("http://" + e.Address + "/"); err == nil {
		_ = resp.Body.Close()
		fmt.Println("answered")
	}
}

// TestSilentEngines runs a short soak whose engines are processes that fall silent.
func TestSilentEngines(t *testing.T) {
	runSeed(t, soak.Options{Seed: 11, Span: 8 * time.Second, Hosts: 3, Engines: 6, Services: 4, Callers: 40, EngineProgram: os.Args[0]})
}

// TestStreamsAreCutAroundStops runs a short soak in which hosts are stopped beside engines
// that refuse streams that move.
func TestStreamsAreCutAroundStops(t *testing.T) {
	runSeed(t, soak.Options{Seed: 50020, Span: 15 * time.Second, Hosts: 4, Engines: 6, Services: 4, Callers: 48, EngineProgram: os.Args[0], Stops: true, RefusalCopies: true})
}

// TestRefusalCopies runs short soaks whose upstreams send copies of their refusals. Before
// the first fix, requests that such a copy seemed to refuse ran, some of them twice.
func TestRefusalCopies(t *testing.T) {
	for _, o := range []soak.Options{
		{Seed: 47102, Span: 10 * time.Second, Hosts: 3, Engines: 4, Services: 3, Callers: 48},
		{Seed: 47003, Span: 10 * time.Second, Hosts: 3, Engines: 6, Services: 4, Callers: 48, EngineProgram: os.Args[0]},
	} {
		o.RefusalCopies = true
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) { runSeed(t, o) })
	}
}

// TestSeeds runs short soaks of a few hosts, and seeds that once found faults.
func TestSeeds(t *testing.T) {
	for _, o := range []soak.Options{
		{Seed: 1, Span: 6 * time.Second, Hosts: 3, Engines: 4, Services: 2, Callers: 8},
		{Seed: 2, Span: 6 * time.Second, Hosts: 3, Engines: 4, Services: 2, Callers: 8},
		// A call and a read that crash upstreams were retried without limit.
		{Seed: 5003, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		{Seed: 5004, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// A host received SIGHUP before it handled signals, and ended.
		{Seed: 8029, Span: 12 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// The stand-in carried out orders that were meant for another instance.
		{Seed: 9002, Span: 10 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// Requests that share a part crash engines.
		{Seed: 21012, Span: 10 * time.Second, Hosts: 4, Engines: 5, Services: 2, Callers: 16},
		// Requests to services that another request had crashed were refused like that one.
		{Seed: 52010, Span: 10 * time.Second, Hosts: 6, Engines: 5, Services: 2, Callers: 16},
		// An engine loaded weights for a host that was killed. Whenever it refused
		// the other hosts, they assumed newer weights than it had, and never ordered
		// it again.
		{Seed: 2009, Span: 14 * time.Second, Hosts: 3, Engines: 6, Services: 2, Callers: 24},
	} {
		t.Run(fmt.Sprint(o.Seed), func(t *testing.T) { runSeed(t, o) })
	}
}

// runSeed runs a soak that must show no violations.
func runSeed(t *testing.T, o soak.Options) {
	t.Helper()
	is := is.New(t)
	o.Program, o.OutputDir = program, t.TempDir()
	report, err := soak.Run(context.Background(), o)
	is.NoErr(err)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	if t.Failed() {
		logTails(t, o.OutputDir)
	}
	is.True(report.Answered > 0)
}

// logTails logs the last bytes of each host's output, and more of what tells of the
// violations.
func logTails(t *testing.T, dir string) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Error(err)
	}
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		maxBytes := 8 << 10
		if filepath.Base(path) == "violations.log" {
			maxBytes *= 4
		}
		t.Logf("%s ends with\n%s", filepath.Base(path), raw[max(0, len(raw)-maxBytes):])
	}
}

// TestInterrupted checks that an interrupted soak returns the context's error and
// no violations.
func TestInterrupted(t *testing.T) {
	for _, after := range []time.Duration{0, 4 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), after)
			defer cancel()
			report, err := soak.Run(ctx, soak.Options{Program: program, Seed: 1, Span: time.Minute, Hosts: 2, Engines: 2, Services: 1, Callers: 2})
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.Equal(report.Violations, nil)
		})
	}
}
