package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/standin"
)

// logTime is the form of times in descriptions.
const logTime = "15:04:05.000"

// EngineArgument is the argument with which Options.EngineProgram runs as one engine.
const EngineArgument = "platform-engine"

// engineProcess is a place at which one engine's process runs after another.
type engineProcess struct {
	service, model string
	// mu guards the fields below.
	mu      sync.Mutex
	current *standin.PlatformProcess
	// ended holds the processes that ran here before.
	ended []*standin.PlatformProcess
	// silences is the number of silences that the current process is in.
	silences int
}

// silence stops the process until the returned function is called, and every other one
// that was returned meanwhile.
func (e *engineProcess) silence() (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.current
	e.silences++
	p.Pause()
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.current != p {
			return
		}
		if e.silences--; e.silences == 0 {
			p.Resume()
		}
	}
}

// use makes a new process the current one.
func (e *engineProcess) use(p *standin.PlatformProcess) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		e.ended = append(e.ended, e.current)
	}
	e.current, e.silences = p, 0
}

// latest returns the current process.
func (e *engineProcess) latest() *standin.PlatformProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// all returns the processes that ran here.
func (e *engineProcess) all() []*standin.PlatformProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append(slices.Clone(e.ended), e.current)
}

// startProcesses starts engines and plain services as processes.
func (d *deployment) startProcesses(o Options) error {
	d.wait.Go(func() { standin.WatchStalls(d.ctx, d.recordStall) })
	for i := range o.Engines + o.Services {
		e := &engineProcess{service: modelService, model: model}
		if i >= o.Engines {
			e.service, e.model = []string{plainService, otherPlainService}[(i-o.Engines)%2], ""
		}
		if err := d.startProcess(e, false, ""); err != nil {
			return err
		}
		d.processes = append(d.processes, e)
	}
	return nil
}

// killProcesses ends the engines that are processes.
func (d *deployment) killProcesses() {
	for _, e := range d.processes {
		e.current.Kill()
	}
}

// startProcess starts a process at a place and writes its entry to the store. An address
// of "" is a new one.
func (d *deployment) startProcess(e *engineProcess, reusesName bool, address string) error {
	d.mu.Lock()
	d.startCount++
	o := standin.PlatformProcessOptions{ID: fmt.Sprintf("%s-%d", e.service, d.startCount), Service: e.service, Zone: domains[d.startCount%len(domains)], Model: e.model, Software: "v0", Prefill: d.tempo.prefill, Interval: d.tempo.intervalOf(d.seed, d.startCount), Events: d.tempo.events, Weights: d.weights, LoadTime: d.loadTime, Address: address}
	copies := d.copies
	d.mu.Unlock()
	if e.current != nil && reusesName {
		o.ID = e.current.Options.ID
	}
	p, err := standin.StartPlatformProcess(o, d.engineProgram, EngineArgument)
	if err != nil {
		return trace.Wrap(err)
	}
	p.Trouble(standin.PlatformTrouble{Copies: &copies})
	e.use(p)
	d.store.Put(standin.PlatformUpstreams, o.ID, p.Entry())
	return nil
}

// replaceProcess kills an engine's process and starts another. With leaves, the store
// first shows the old one as leaving.
func (d *deployment) replaceProcess(e *engineProcess, leaves bool) error {
	old := e.current
	if leaves {
		entry := old.Entry()
		entry["state"] = "draining"
		d.store.Put(standin.PlatformUpstreams, old.Options.ID, entry)
		d.pause(leavingPeriod)
	}
	old.Kill()
	d.pause(entryRemovalDelay)
	d.store.Put(standin.PlatformUpstreams, old.Options.ID, nil)
	return d.startProcess(e, d.crasher.reusesNames, "")
}

// allSilent reports whether all engines that had not ended were stopped from one time until
// another.
func (d *deployment) allSilent(from, until time.Time) bool {
	if !from.Before(until) || len(d.processes) == 0 {
		return false
	}
	covers := func(p standin.PlatformPeriod) bool {
		return !p.From.After(from) && (p.Until.IsZero() || !p.Until.Before(until))
	}
	for _, e := range d.processes {
		if e.service != modelService {
			continue
		}
		for _, p := range e.all() {
			if ended := p.Killed(); (ended.IsZero() || ended.After(from)) && !slices.ContainsFunc(p.Pauses(), covers) {
				return false
			}
		}
	}
	return true
}

// allWork returns what the processes did, by request and in the order of the beginning.
func (d *deployment) allWork() map[string][]engineWork {
	work := map[string][]engineWork{}
	for _, e := range d.processes {
		for _, p := range e.all() {
			for _, r := range p.Runs() {
				work[r.Request] = append(work[r.Request], engineWork{engine: p.Options.ID, run: r, periods: p.Awake(r), killed: p.Killed()})
			}
		}
	}
	for _, w := range work {
		slices.SortFunc(w, func(a, b engineWork) int { return a.run.Began.Compare(b.run.Began) })
	}
	return work
}

// allRefusals returns when the processes refused requests, by request.
func (d *deployment) allRefusals() map[string][]time.Time {
	refusals := map[string][]time.Time{}
	for _, e := range d.processes {
		for _, p := range e.all() {
			for _, r := range p.Refusals() {
				refusals[r.ID] = append(refusals[r.ID], r.At)
			}
		}
	}
	return refusals
}

// describeCalls describes the configurations, the calls and what the processes did.
func (d *deployment) describeCalls(calls []*call) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%+v\n", d.tempo)
	for _, c := range d.changes {
		fmt.Fprintf(&b, "%s %+v\n", c.at.Format(logTime), c.terms)
	}
	work, refusals := d.allWork(), d.allRefusals()
	for _, c := range calls {
		fmt.Fprintf(&b, "%s-%s %s at %s: %s, engines %v", c.sent.Format(logTime), c.ended.Format(logTime), c.id, c.host.name, c.outcome(), work[c.id])
		for _, at := range refusals[c.id] {
			fmt.Fprintf(&b, " refused %s", at.Format(logTime))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// recordStall records a time in which the soak's own process did not run.
func (d *deployment) recordStall(p standin.PlatformPeriod) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalls = append(d.stalls, p)
}

// maxDescribedCalls and maxDescribedLines bound what describeViolations says of calls,
// and of one call.
const (
	maxDescribedCalls = 4
	maxDescribedLines = 16
)

// describeViolations describes when processes were stopped and when they did not run, as
// they noticed themselves, and quotes the hosts' lines of some calls that violations name.
func (d *deployment) describeViolations(calls []*call, violations []string) string {
	d.mu.Lock()
	stalls := slices.Clone(d.stalls)
	d.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "the soak did not run %v\n", stalls)
	for _, e := range d.processes {
		for _, p := range e.all() {
			fmt.Fprintf(&b, "%s was stopped %v and did not run %v\n", p.Options.ID, p.Pauses(), p.Stalls())
		}
	}
	named := slices.DeleteFunc(slices.Clone(calls), func(c *call) bool {
		return !slices.ContainsFunc(violations, func(v string) bool { return strings.Contains(v, c.id+" ") })
	})
	for _, c := range named[:min(len(named), maxDescribedCalls)] {
		var lines []string
		for _, h := range d.hosts {
			for line := range strings.Lines(h.output.String()) {
				if strings.Contains(line, fmt.Sprintf("Request=%q", c.id)) {
					lines = append(lines, h.name+" "+line)
				}
			}
		}
		b.WriteString(strings.Join(lines[:min(len(lines), maxDescribedLines)], ""))
	}
	return b.String()
}

// outcome describes how a call ended.
func (c *call) outcome() string {
	return fmt.Sprintf("%s status %d whole %t gave up %t bytes %d", c.kind, c.answer.Status, c.answer.Whole, c.gaveUp, len(c.answer.Body))
}

// engineWork is what one engine's process did for a request.
type engineWork struct {
	engine string
	run    standin.PlatformRun
	// periods are the times in which the process worked on it, was not stopped and got a
	// processor.
	periods []standin.PlatformPeriod
	// killed is when the process was killed, or zero.
	killed time.Time
}

// end returns the end of the work, at most an instant.
func (w engineWork) end(until time.Time) time.Time {
	for _, end := range []time.Time{w.run.Ended, w.killed} {
		if !end.IsZero() && end.Before(until) {
			until = end
		}
	}
	return until
}

// lastWork returns when the engine last worked on the request before an instant.
func (w engineWork) lastWork(before time.Time) time.Time {
	last := w.run.Began
	for _, p := range w.periods {
		if p.From.Before(before) {
			last = p.Until
		}
	}
	return last
}

// span returns the time from the beginning of the work to its end, or up to an instant.
func (w engineWork) span(until time.Time) []standin.PlatformPeriod {
	return []standin.PlatformPeriod{{From: w.run.Began, Until: w.end(until)}}
}

// String describes the work.
func (w engineWork) String() string {
	s := w.engine
	if w.run.Moved {
		s += " (moved)"
	}
	for _, p := range w.periods {
		s += " " + p.String()
	}
	if !w.killed.IsZero() {
		s += " killed " + w.killed.Format(logTime)
	}
	return s
}
