package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// PlatformProcessOptions configures an engine or a plain service in a process of its
// own. Its entry is written by whoever starts it.
type PlatformProcessOptions struct {
	// ID, Service, Zone, Model and Software are those of a PlatformEngine.
	ID, Service, Zone, Model, Software string
	// Advertised, if set, replaces the process's own IP:port in its entry.
	Advertised string
	// Events is the number of events of a stream; 0 means the default.
	Events int
	// Prefill is the time to the first event or a plain answer, Interval that between
	// two events.
	Prefill, Interval time.Duration
	// Weights is the version of the weights; 0 means 1. LoadTime is how long a load of
	// others takes.
	Weights  int64
	LoadTime time.Duration
	// MoveTime is how long a move copies memory after the run has stopped.
	MoveTime time.Duration
	// Address is the IP:port to listen at, or "" for a free port.
	Address string
}

// processLine is a line that the process writes: its address, then its runs, refusals and
// stalls.
type processLine struct {
	Address string           `json:",omitempty"`
	Run     *PlatformRun     `json:",omitempty"`
	Refusal *PlatformArrival `json:",omitempty"`
	// Stall is a time in which the process did not run.
	Stall *PlatformPeriod `json:",omitempty"`
}

// ServePlatformProcess runs an engine. The first value of in are its options, further ones
// are troubles. It writes its address, its runs, refusals and stalls to out, and ends when
// in does or the context ends.
func ServePlatformProcess(ctx context.Context, in io.Reader, out io.Writer) error {
	decoder := json.NewDecoder(in)
	var o PlatformProcessOptions
	if err := decoder.Decode(&o); err != nil {
		return trace.Wrap(err, "reading the options")
	}
	e, err := NewPlatformEngineAt(cmp.Or(o.Address, "127.0.0.1:0"), o.ID, o.Service, o.Zone, o.Model)
	if err != nil {
		return trace.Wrap(err)
	}
	defer e.Close()
	var mu sync.Mutex
	encoder := json.NewEncoder(out)
	write := func(l processLine) {
		mu.Lock()
		defer mu.Unlock()
		_ = encoder.Encode(l) // the parent has ended if this fails, and so will this process
	}
	e.mu.Lock()
	e.prefill, e.eventInterval, e.eventCount = o.Prefill, o.Interval, o.Events
	e.observeRun = func(r PlatformRun) { write(processLine{Run: &r}) }
	e.observeRefusal = func(a PlatformArrival) { write(processLine{Refusal: &a}) }
	if o.Weights > 0 {
		e.weights = o.Weights
	}
	e.loadTime, e.moveTime = o.LoadTime, o.MoveTime
	e.mu.Unlock()
	write(processLine{Address: e.Address()})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go WatchStalls(ctx, func(p PlatformPeriod) { write(processLine{Stall: &p}) })
	ended := make(chan error, 1)
	go func() {
		for {
			var t PlatformTrouble
			if err := decoder.Decode(&t); err != nil {
				ended <- err
				return
			}
			e.Trouble(t)
		}
	}()
	select {
	case <-ctx.Done():
		return nil
	case err := <-ended:
		if errors.Is(err, io.EOF) {
			return nil
		}
		return trace.Wrap(err, "reading a trouble")
	}
}

// PlatformProcess is an engine or a plain service in a process of its own, which signals
// can stop.
type PlatformProcess struct {
	Options PlatformProcessOptions
	// Address is the process's IP:port.
	Address string

	startMillis int64
	cmd         *exec.Cmd
	input       io.WriteCloser
	// ended is closed when the process has ended and its output was read.
	ended chan struct{}
	// mu guards the fields below.
	mu       sync.Mutex
	runs     []PlatformRun
	refusals []PlatformArrival
	pauses   []PlatformPeriod
	stalls   []PlatformPeriod
	killed   time.Time
}

// StartPlatformProcess starts a program that calls ServePlatformProcess with its standard
// input and output.
func StartPlatformProcess(o PlatformProcessOptions, program string, arguments ...string) (*PlatformProcess, error) {
	cmd := exec.Command(program, arguments...)
	cmd.Stderr = os.Stderr
	// A shell that ends would hang up on a stopped process of its own group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err, "starting an engine")
	}
	p := &PlatformProcess{Options: o, startMillis: time.Now().UnixMilli(), cmd: cmd, input: input, ended: make(chan struct{})}
	decoder := json.NewDecoder(output)
	var first processLine
	err = errors.Join(json.NewEncoder(input).Encode(o), decoder.Decode(&first))
	p.Address = first.Address
	go func(err error) {
		defer close(p.ended)
		for err == nil {
			var l processLine
			if err = decoder.Decode(&l); err == nil {
				p.record(l)
			}
		}
		_ = cmd.Wait() // a killed process has no other end
	}(err)
	if err != nil {
		p.Kill()
		return nil, trace.Wrap(err, "starting an engine")
	}
	return p, nil
}

// record adds a run, its end, a refusal or a stall.
func (p *PlatformProcess) record(l processLine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.Refusal != nil {
		p.refusals = append(p.refusals, *l.Refusal)
	}
	if l.Stall != nil {
		p.stalls = append(p.stalls, *l.Stall)
	}
	if l.Run == nil {
		return
	}
	r := *l.Run
	if i := slices.IndexFunc(p.runs, func(known PlatformRun) bool { return known.Number == r.Number }); i >= 0 {
		p.runs[i] = r
		return
	}
	p.runs = append(p.runs, r)
}

// Entry returns the process's entry for the store.
func (p *PlatformProcess) Entry() map[string]any {
	e := PlatformEngine{
		ID: p.Options.ID, Service: p.Options.Service, Zone: p.Options.Zone, Model: p.Options.Model, Software: p.Options.Software, Advertised: p.Options.Advertised,
		Slots: defaultSlots, startMillis: p.startMillis, weights: max(1, p.Options.Weights),
	}
	if e.Advertised == "" {
		e.Advertised = p.Address
	}
	return e.Entry()
}

// Pause stops the process until Resume. It returns once the process has stopped.
func (p *PlatformProcess) Pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.pauses); n > 0 && p.pauses[n-1].Until.IsZero() {
		return
	}
	p.pauses = append(p.pauses, PlatformPeriod{From: time.Now()})
	_ = p.cmd.Process.Signal(syscall.SIGSTOP) // fails only if it has ended
	for errors.Is(unix.Waitid(unix.P_PID, p.cmd.Process.Pid, nil, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil), syscall.EINTR) {
	}
}

// Resume lets a stopped process go on.
func (p *PlatformProcess) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.pauses); n > 0 && p.pauses[n-1].Until.IsZero() {
		p.pauses[n-1].Until = time.Now()
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // fails only if it has ended
	}
}

// Trouble makes the process go wrong.
func (p *PlatformProcess) Trouble(t PlatformTrouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(p.input).Encode(t) // fails only if it has ended
}

// Weights asks the process for the version of its weights.
func (p *PlatformProcess) Weights() (int64, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + p.Address + "/report")
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	var r struct {
		Models []struct{ Version int64 } `json:"models"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&r); err != nil || len(r.Models) == 0 {
		return 0, trace.BadParameter("no report from %s: %v", p.Options.ID, err)
	}
	return r.Models[0].Version, nil
}

// Kill ends the process.
func (p *PlatformProcess) Kill() {
	p.mu.Lock()
	if p.killed.IsZero() {
		p.killed = time.Now()
	}
	p.mu.Unlock()
	_ = p.cmd.Process.Kill() // fails only if it has ended
	_ = p.input.Close()
	<-p.ended
}

// Runs returns the runs that the process has reported.
func (p *PlatformProcess) Runs() []PlatformRun {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.runs)
}

// Pauses returns when the process was stopped, and Stalls when it did not run, as it
// noticed itself.
func (p *PlatformProcess) Pauses() []PlatformPeriod {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.pauses)
}

// Stalls is described with Pauses.
func (p *PlatformProcess) Stalls() []PlatformPeriod {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.stalls)
}

// Refusals returns the refusals that the process has reported.
func (p *PlatformProcess) Refusals() []PlatformArrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.refusals)
}

// Killed returns when the process was killed, or zero.
func (p *PlatformProcess) Killed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// Work returns the times in which the process worked on a run and was not stopped, in
// order.
func (p *PlatformProcess) Work(r PlatformRun) []PlatformPeriod {
	p.mu.Lock()
	defer p.mu.Unlock()
	begin, end := r.Began, r.Ended
	switch {
	case end.IsZero() && !p.killed.IsZero():
		end = p.killed
	case end.IsZero():
		end = time.Now()
	}
	var periods []PlatformPeriod
	add := func(until time.Time) {
		if until.After(begin) {
			periods = append(periods, PlatformPeriod{begin, until})
		}
	}
	for _, pause := range p.pauses {
		if !pause.From.Before(end) {
			break
		}
		add(pause.From)
		if pause.Until.IsZero() {
			return periods
		}
		if pause.Until.After(begin) {
			begin = pause.Until
		}
	}
	add(end)
	return periods
}

// Awake returns the parts of Work in which the process got a processor, as far as it has
// reported.
func (p *PlatformProcess) Awake(r PlatformRun) []PlatformPeriod {
	stalls := p.Stalls()
	var periods []PlatformPeriod
	for _, work := range p.Work(r) {
		periods = append(periods, work.Outside(stalls)...)
	}
	return periods
}

// AwakeAfter returns how long the process worked on a run after an instant, without the
// times in which it was stopped or got no processor.
func (p *PlatformProcess) AwakeAfter(r PlatformRun, from time.Time) time.Duration {
	return lengthAfter(p.Awake(r), from)
}

// WorkAfter returns how long the process worked on a run after an instant, without the
// times in which it was stopped.
func (p *PlatformProcess) WorkAfter(r PlatformRun, from time.Time) time.Duration {
	return lengthAfter(p.Work(r), from)
}

// lengthAfter returns how much of some periods comes after an instant.
func lengthAfter(periods []PlatformPeriod, from time.Time) time.Duration {
	var work time.Duration
	for _, period := range periods {
		if from.After(period.From) {
			period.From = from
		}
		work += max(0, period.Until.Sub(period.From))
	}
	return work
}
