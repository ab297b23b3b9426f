// Package soak runs hosts as separate processes under random faults and
// checks what callers and upstreams observe.
//
// Plan draws the faults from a seed: signals to the hosts, upstreams that crash
// and leave, connections that a proxy delays, resets and silences, a store that
// is unavailable, silent or loses answers and history, and changes of the
// configuration and of weights. PlanRefusals adds upstreams that send copies of their
// refusals. Faults come in series and overlap.
package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// startTimeout limits the wait for the hosts to become ready, recoveryTimeout
	// that for each condition after the last fault.
	startTimeout    = 30 * time.Second
	recoveryTimeout = 45 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 50 * time.Millisecond
	// faultFreeBefore is how long a host must have been without faults before a
	// stop whose answers are checked.
	faultFreeBefore = 2 * time.Second
	// linkDelay is the delay that a delayed link adds to each chunk of data.
	linkDelay = 80 * time.Millisecond
)

// Options configures a run.
type Options struct {
	// Program is the path of the daemon's program. Older is that of an earlier one, or
	// "": then hosts begin with it and are replaced by hosts with Program one after the
	// other, or the other way round with an odd seed.
	Program, Older string
	Seed           uint64
	// Span is how long callers send requests.
	Span time.Duration
	// Hosts, Engines, Services and Callers are the numbers of each.
	Hosts, Engines, Services, Callers int
	// EngineProgram is the path of a program that serves one engine when it is run with
	// EngineArgument, or "". With it, engines and plain services are processes of their
	// own, and the faults are those of PlanSilences.
	EngineProgram string
	// Stops draws the faults of PlanStops in place of those of PlanSilences. It needs
	// EngineProgram.
	Stops bool
	// RefusalCopies adds the faults of PlanRefusals.
	RefusalCopies bool
	// OutputDir is a folder for the hosts' output of a run with violations, or
	// "".
	OutputDir string
}

// Report is the result of a run.
type Report struct {
	Faults, Calls, Answered int
	// Stops counts the planned stops whose answers were checked.
	Stops int
	// Violations describes each violated guarantee.
	Violations []string
}

// Run runs the soak with one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, trace.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var wait conc.WaitGroup
	defer wait.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d, err := newDeployment(ctx, &wait, o, dir)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return Report{}, err
	}
	ready := d.await(startTimeout, func() bool { return d.unreadyHost() == "" })
	if err := ctx.Err(); err != nil {
		return Report{}, trace.Wrap(err, "the soak was interrupted")
	}
	if !ready {
		return Report{}, trace.ConnectionProblem(nil, "%s", d.describeUnready())
	}
	plan, calls := append(planFaults(o), planReplacements(o)...), &recorder{}
	report := Report{Faults: len(plan)}
	calling, stopCalling := context.WithTimeout(ctx, o.Span)
	var callers, faults conc.WaitGroup
	if o.EngineProgram == "" {
		callers.Go(func() { d.sendCrasher(calling, o.Seed) })
	}
	for i := range o.Callers {
		callers.Go(func() { d.runCaller(calling, i, o.Seed, calls) })
	}
	fi := &faultInjector{deployment: d, faultUntil: map[*host]time.Time{}, faultSpans: map[*host][]faultSpan{}}
	d.setCrashHandler(fi.restartCrashed)
	fi.runPlan(&faults, plan)
	callers.Wait()
	stopCalling()
	faults.Wait()
	report.Violations = append(d.unreplacedHosts(o), d.awaitRecovery(calls)...)
	if err := ctx.Err(); err != nil {
		return Report{}, trace.Wrap(err, "the soak was interrupted")
	}
	all := calls.all()
	report.Violations = append(report.Violations, d.check(all, fi.stops)...)
	report.Violations = append(report.Violations, fi.checkStatus(all)...)
	report.Violations = append(report.Violations, fi.checkProcesses(all)...)
	report.Violations = append(report.Violations, fi.checkLosses(all)...)
	report.Calls, report.Stops = len(all), fi.checkedStops()
	for _, c := range all {
		if c.answer.Status == http.StatusOK && c.answer.Whole {
			report.Answered++
		}
	}
	if len(report.Violations) > 0 && o.OutputDir != "" {
		if err := d.saveOutput(o.OutputDir, all, report.Violations); err != nil {
			return report, err
		}
	}
	return report, nil
}

// planFaults returns the faults of a run.
func planFaults(o Options) []Fault {
	plan := Plan
	switch {
	case o.Stops:
		plan = PlanStops
	case o.EngineProgram != "":
		plan = PlanSilences
	}
	faults := plan(o.Seed, o.Span)
	if o.RefusalCopies {
		faults = append(faults, PlanRefusals(o.Seed, o.Span)...)
	}
	return faults
}

// faultInjector carries out faults.
type faultInjector struct {
	*deployment

	// mu guards the fields below.
	mu sync.Mutex
	// faultUntil holds the end of the last fault of each host's process or of its
	// links to callers, faultSpans all of these faults, and upstreamFaultUntil the
	// end of the last fault of any upstream. restarting holds the hosts and
	// upstreams that are being restarted.
	faultUntil         map[*host]time.Time
	faultSpans         map[*host][]faultSpan
	upstreamFaultUntil time.Time
	restarting         sync.Map
	stops              []stop
	// plannedStops holds all planned stops, stops those without other faults around them.
	plannedStops []stop
	// hangUps holds when hosts got SIGHUP.
	hangUps []signalTime
}

// runPlan carries out a plan unless the soak is interrupted.
func (fi *faultInjector) runPlan(wait *conc.WaitGroup, plan []Fault) {
	began := time.Now()
	for _, f := range plan {
		wait.Go(func() {
			fi.pause(time.Until(began.Add(f.At)))
			if fi.ctx.Err() == nil {
				fi.inject(f)
			}
		})
	}
}

// recordFault records a fault of a host until a time.
func (fi *faultInjector) recordFault(h *host, until time.Time) {
	fi.recordSpan(h, faultSpan{from: time.Now(), until: until})
}

// recordSpan records a fault of a host, and reports whether the host had been without
// faults for faultFreeBefore.
func (fi *faultInjector) recordSpan(h *host, span faultSpan) (faultFree bool) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	until := span.until
	faultFree = time.Since(fi.faultUntil[h]) > faultFreeBefore
	fi.faultSpans[h] = append(fi.faultSpans[h], span)
	if until.After(fi.faultUntil[h]) {
		fi.faultUntil[h] = until
	}
	return faultFree
}

// recordUpstreamFault records a fault of an upstream, which may truncate streams.
func (fi *faultInjector) recordUpstreamFault(until time.Time) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	if until.After(fi.upstreamFaultUntil) {
		fi.upstreamFaultUntil = until
	}
}

// inject carries out one fault and waits for its end.
func (fi *faultInjector) inject(f Fault) {
	h, until := fi.hosts[f.Target%len(fi.hosts)], time.Now().Add(f.For)
	switch f.Kind {
	case KillHost, PauseHost, StopHost, StopAgain, HangUp, ReplaceHost:
		fi.signalHost(f, h, until)
	case KillEngine, LeaveEngine:
		u := fi.upstreamAt(f.Target)
		if _, loaded := fi.restarting.LoadOrStore(u, true); loaded {
			return
		}
		defer fi.restarting.Delete(u)
		fi.recordUpstreamFault(until.Add(2 * entryRemovalDelay))
		// If the restart fails, the address stays empty and the checks at the end
		// of the run report it.
		_ = fi.replaceUpstream(u, f.Kind == LeaveEngine)
	case FailEngine:
		fi.recordUpstreamFault(until.Add(callDeadline))
		fault := []standin.PlatformFault{standin.ResetFault, standin.CutFault, standin.FullFault, standin.ErrorFault, standin.ExtraFault, standin.SilentFault, standin.LostOrderFault, standin.NoRoomFault}
		fi.current(fi.upstreamAt(f.Target)).Fail(fault[f.Variant%len(fault)], 1+f.Variant%4)
	case AskRetryAfter, AnnounceLeaving:
		fi.changeStatus(f)
	case DelayLink, ResetLink, SilenceLink:
		fi.disturbLink(f, h, until)
	case DelayPeers, ResetPeers, SilencePeers, LoseLoadReports, ReorderLoadReports:
		fi.disturbPeers(f, h)
	case RefuseStore:
		fi.store.Refuse("", []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[f.Variant%2])
		fi.pause(f.For)
		fi.store.Refuse("", 0)
	case SilenceStore:
		end := fi.store.Mute()
		fi.pause(f.For)
		end()
	case LoseStoreAnswers:
		fi.store.LoseAnswers(1 + f.Variant%3)
	case TrimStoreHistory:
		fi.store.Trim([]string{standin.PlatformOperators, standin.PlatformUpstreams}[f.Variant%2])
	case Configure:
		fi.rotateKey([]string{"mill", "grocer"}[f.Variant%2])
	case SetTargetWeights:
		fi.setNextWeights()
	case FailOrderer:
		fi.failOrderer(f)
	default:
		fi.injectProcessFault(f)
	}
}

// failOrderer sets new target weights, waits until a host orders an engine to
// load them, sets newer ones and pauses or kills that host, so that another host
// must soon order the engine.
func (fi *faultInjector) failOrderer(f Fault) {
	since := time.Now()
	fi.setNextWeights()
	var holder string
	fi.await(maxFaultTime, func() bool {
		for _, e := range fi.all() {
			if orders := e.Orders(); len(orders) > 0 && orders[len(orders)-1].At.After(since) {
				holder = orders[len(orders)-1].Holder
			}
		}
		return holder != ""
	})
	for _, h := range fi.hosts {
		if h.name == holder {
			f.Kind = []Kind{PauseHost, KillHost}[f.Variant%2]
			fi.setNextWeights()
			fi.signalHost(f, h, time.Now().Add(f.For))
		}
	}
}

// signalHost sends signals to a host's process.
func (fi *faultInjector) signalHost(f Fault, h *host, until time.Time) {
	switch f.Kind {
	case HangUp:
		if fi.await(maxFaultTime, h.hangUp) {
			fi.mu.Lock()
			fi.hangUps = append(fi.hangUps, signalTime{h, time.Now()})
			fi.mu.Unlock()
		}
		return
	case ReplaceHost:
		fi.replaceHost(f, h)
		return
	}
	if _, loaded := fi.restarting.LoadOrStore(h, true); loaded {
		return
	}
	defer fi.restarting.Delete(h)
	if f.Kind == PauseHost {
		fi.recordFault(h, until)
		h.signal(syscall.SIGSTOP)
		fi.pause(f.For)
		h.signal(syscall.SIGCONT)
		return
	}
	if f.Kind == StopAgain {
		fi.stopAgain(f, h)
		return
	}
	fi.restart(f, h)
}

// disturbLink disturbs the connections to an upstream, from callers to a host, or
// from a host to the store.
func (fi *faultInjector) disturbLink(f Fault, h *host, until time.Time) {
	link := h.storeProxy
	switch f.Variant % 3 {
	case 0:
		link = fi.upstreamAt(f.Target).link
		fi.recordUpstreamFault(until.Add(callDeadline))
	case 1:
		link = h.callerProxy
		fi.recordFault(h, until.Add(callDeadline))
	}
	fi.applyLinkFault(f, link)
}

// applyLinkFault disturbs a link for the duration of the fault.
func (fi *faultInjector) applyLinkFault(f Fault, link *proxy) {
	silences := []linkFault{{dropToServer: true}, {dropToCaller: true}, {dropToServer: true, dropToCaller: true}}
	switch f.Kind {
	case DelayLink, DelayPeers:
		link.setFault(linkFault{delay: linkDelay})
	case ResetLink, ResetPeers:
		link.reset()
		return
	case SilenceLink, SilencePeers:
		link.setFault(silences[f.Variant/3%len(silences)])
	}
	fi.pause(f.For)
	link.setFault(linkFault{})
	link.reset()
}

// disturbPeers disturbs the traffic from other hosts to one host for the duration
// of the fault.
func (fi *faultInjector) disturbPeers(f Fault, h *host) {
	switch f.Kind {
	case LoseLoadReports:
		h.loadReportForwarder.setFaults(1, false)
	case ReorderLoadReports:
		h.loadReportForwarder.setFaults(0.5, true)
	default:
		fi.applyLinkFault(f, h.peerProxy)
		return
	}
	fi.pause(f.For)
	h.loadReportForwarder.setFaults(0, false)
}

// await waits for a condition and reports whether it held within the limit.
func (d *deployment) await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); !holds(); d.pause(pollInterval) {
		if time.Now().After(deadline) || d.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// describeUnready describes the hosts that are not ready, with their output.
func (d *deployment) describeUnready() string {
	var b strings.Builder
	for _, h := range d.hosts {
		if !standin.PlatformReady(h.readinessAddress) {
			fmt.Fprintf(&b, "%s is not ready; %s\n%s\n", h.name, strings.Join(h.problems(), "; "), h.output.String())
		}
	}
	return b.String()
}

// unreadyHost describes a host that does not report itself ready, or returns "".
func (d *deployment) unreadyHost() string {
	for _, h := range d.hosts {
		if !standin.PlatformReady(h.readinessAddress) {
			return h.name + " is not ready"
		}
	}
	return ""
}

// awaitRecovery waits until the deployment has recovered from the last fault, and
// returns the conditions that do not hold in time.
func (d *deployment) awaitRecovery(calls *recorder) []string {
	conditions := []struct {
		text string
		// missing describes why the condition does not hold, or returns "".
		missing func() string
	}{
		{"all hosts are ready", d.unreadyHost},
		{"all engines have the newest weights", d.outdatedEngine},
		{"every host serves every kind of request", func() string {
			var wait conc.WaitGroup
			missing := make([]string, len(d.hosts))
			for i, h := range d.hosts {
				wait.Go(func() { missing[i] = d.unservedKind(calls, h) })
			}
			wait.Wait()
			return strings.Join(missing, "")
		}},
		{"every host rejects revoked keys", func() string {
			for _, h := range d.hosts {
				for _, revoked := range d.revokedKeys {
					if c := d.sendRecoveryCall(calls, h, "read", revoked); c.answer.Status != http.StatusUnauthorized {
						return fmt.Sprintf("%s answered %s with %+v", h.name, c.id, c.answer)
					}
				}
			}
			return ""
		}},
	}
	var violations []string
	for _, c := range conditions {
		missing := ""
		if !d.await(recoveryTimeout, func() bool { missing = c.missing(); return missing == "" }) {
			violations = append(violations, fmt.Sprintf("did not recover after the last fault (%s): %s", c.text, missing))
		}
	}
	return violations
}

// outdatedEngine describes an engine without the newest weights, or returns "".
func (d *deployment) outdatedEngine() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		if u.model != "" && u.current.Weights() != d.weights {
			return fmt.Sprintf("%s has version %d of %d", u.current.ID, u.current.Weights(), d.weights)
		}
	}
	for _, e := range d.processes {
		p := e.latest()
		if e.model == "" {
			continue
		}
		if version, err := p.Weights(); err != nil || version != d.weights {
			return fmt.Sprintf("%s has version %d of %d (%v)", p.Options.ID, version, d.weights, err)
		}
	}
	return ""
}

// unservedKind describes a kind of request that a host does not serve, or returns "".
func (d *deployment) unservedKind(calls *recorder, h *host) string {
	for _, kind := range []string{"full", "flag", "post", "read"} {
		if c := d.sendRecoveryCall(calls, h, kind, credential{"mill", d.key("mill")}); c.answer.Status != http.StatusOK {
			return fmt.Sprintf("%s answered %s with %+v", h.name, c.id, c.answer)
		}
	}
	return ""
}

// sendRecoveryCall sends one request to a host on a new connection.
func (d *deployment) sendRecoveryCall(calls *recorder, h *host, kind string, by credential) *call {
	c := &call{id: by.account + "-calm-" + h.name + "-" + kind + time.Now().Format("150405.000000000"), kind: kind, account: by.account, host: h}
	raw, err := net.DialTimeout("tcp4", h.callerAddress, time.Second)
	if err != nil {
		return c
	}
	defer func() { _ = raw.Close() }()
	d.sendWithKey(newConnection(raw), c, by.key)
	calls.add(c)
	return c
}
