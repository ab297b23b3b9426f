// Package soak runs hosts as separate processes under random faults and
// checks what callers and upstreams see.
//
// The faults come from a seed (Plan): signals to the hosts, upstreams that
// crash and leave, connections that are delayed, reset and silenced by a
// proxy, a store that is away, slow to answer or forgets, and changes of the
// configuration and of weights. They come in series and overlap.
package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// startLimit bounds the wait for hosts to be ready, calmLimit that for all
	// to be well after the last fault.
	startLimit = 30 * time.Second
	calmLimit  = 45 * time.Second
	// look is the time between two looks at a condition.
	look = 50 * time.Millisecond
	// quietBefore is how long a host must have met no other fault before a stop
	// whose answers are checked.
	quietBefore = 2 * time.Second
	// shortDelay is how long a delayed link holds up each piece.
	shortDelay = 80 * time.Millisecond
)

// Options is what a run needs.
type Options struct {
	// Program is the path of the daemon's program.
	Program string
	Seed    uint64
	// Span is how long callers send requests.
	Span time.Duration
	// Hosts, Engines, Services and Callers are how many of each run.
	Hosts, Engines, Services, Callers int
	// Keep is a folder for the hosts' output of a run that found something
	// wrong, or "".
	Keep string
}

// Report is what a run found.
type Report struct {
	Faults, Calls, Answered int
	// Stops counts the planned stops whose answers were checked.
	Stops int
	// Wrong are the broken promises.
	Wrong []string
}

// Run runs one seed.
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
	w, err := newWorld(ctx, &wait, o, dir)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return Report{}, err
	}
	ready := w.await(startLimit, func() bool { return w.unready() == "" })
	if err := ctx.Err(); err != nil {
		return Report{}, trace.Wrap(err, "the soak was interrupted")
	}
	if !ready {
		return Report{}, trace.ConnectionProblem(nil, "the hosts did not get ready:\n%s", w.hosts[0].output.String())
	}
	plan, calls := Plan(o.Seed, o.Span), &recorder{}
	report := Report{Faults: len(plan)}
	calling, stopCalling := context.WithTimeout(ctx, o.Span)
	var callers, faults conc.WaitGroup
	callers.Go(func() { w.sendCrasher(calling, o.Seed) })
	for i := range o.Callers {
		callers.Go(func() { w.caller(calling, i, o.Seed, calls) })
	}
	s := &strikes{world: w, struck: map[*host]time.Time{}, touched: map[*host][]touch{}}
	w.tell(s.crashed)
	s.follow(&faults, plan)
	callers.Wait()
	stopCalling()
	faults.Wait()
	report.Wrong = append(report.Wrong, w.calm(calls)...)
	if err := ctx.Err(); err != nil {
		return Report{}, trace.Wrap(err, "the soak was interrupted")
	}
	all := calls.all()
	report.Wrong = append(report.Wrong, w.check(all, s.stops)...)
	report.Wrong = append(report.Wrong, s.checkStanding(all)...)
	report.Calls, report.Stops = len(all), len(s.stops)
	for _, c := range all {
		if c.answer.Status == http.StatusOK && c.answer.Whole {
			report.Answered++
		}
	}
	if len(report.Wrong) > 0 && o.Keep != "" {
		if err := w.keep(o.Keep); err != nil {
			return report, err
		}
	}
	return report, nil
}

// strikes carries faults out.
type strikes struct {
	*world

	// mu guards the fields below.
	mu sync.Mutex
	// struck tells until when a host's process or the links of its callers
	// meet a fault, upstreams the same of any upstream, and busy what is being
	// ended and started again.
	struck    map[*host]time.Time
	touched   map[*host][]touch
	upstreams time.Time
	busy      sync.Map
	stops     []stop
}

// follow carries out a plan, unless the soak is interrupted.
func (s *strikes) follow(wait *conc.WaitGroup, plan []Fault) {
	began := time.Now()
	for _, f := range plan {
		wait.Go(func() {
			s.pause(time.Until(began.Add(f.At)))
			if s.ctx.Err() == nil {
				s.strike(f)
			}
		})
	}
}

// touch notes that a host meets a fault until a time, and tells whether it was
// without one before.
func (s *strikes) touch(h *host, until time.Time) (quiet bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	quiet = time.Since(s.struck[h]) > quietBefore
	s.touched[h] = append(s.touched[h], touch{time.Now(), until})
	if until.After(s.struck[h]) {
		s.struck[h] = until
	}
	return quiet
}

// touchUpstreams notes a fault of an upstream, which may break streams.
func (s *strikes) touchUpstreams(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.upstreams) {
		s.upstreams = until
	}
}

// strike carries out one fault and waits for its end.
func (s *strikes) strike(f Fault) {
	h, until := s.hosts[f.Target%len(s.hosts)], time.Now().Add(f.For)
	switch f.Kind {
	case KillHost, PauseHost, StopHost, HangUp:
		s.signalHost(f, h, until)
	case KillEngine, LeaveEngine:
		u := s.place(f.Target)
		if _, taken := s.busy.LoadOrStore(u, true); taken {
			return
		}
		defer s.busy.Delete(u)
		s.touchUpstreams(until.Add(2 * lapse))
		// A place that can't start another upstream stays empty, which the end
		// of the run shows.
		_ = s.replaceUpstream(u, f.Kind == LeaveEngine)
	case FailEngine:
		s.touchUpstreams(until.Add(callDeadline))
		fault := []standin.PlatformFault{standin.ResetFault, standin.CutFault, standin.FullFault, standin.ErrorFault, standin.ExtraFault, standin.SilentFault, standin.LostOrderFault, standin.NoRoomFault}
		s.current(s.place(f.Target)).Fail(fault[f.Variant%len(fault)], 1+f.Variant%4)
	case RestEngine, SayLeaving:
		s.say(f)
	case DelayLink, ResetLink, SilenceLink:
		s.harmLink(f, h, until)
	case DelayPeers, ResetPeers, SilencePeers, LosePulses, GarblePulses:
		s.harmPeers(f, h)
	case RefuseStore:
		s.store.Refuse("", []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[f.Variant%2])
		s.pause(f.For)
		s.store.Refuse("", 0)
	case MuteStore:
		end := s.store.Mute()
		s.pause(f.For)
		end()
	case LoseStore:
		s.store.LoseAnswers(1 + f.Variant%3)
	case TrimStore:
		s.store.Trim([]string{standin.PlatformOperators, standin.PlatformUpstreams}[f.Variant%2])
	case Configure:
		s.changeKey([]string{"mill", "grocer"}[f.Variant%2])
	case NameWeights:
		s.nameWeights()
	case StrikeOrderer:
		s.strikeOrderer(f)
	}
}

// strikeOrderer names weights, strikes the host that orders an engine to load
// them, and names others, so that another host orders soon.
func (s *strikes) strikeOrderer(f Fault) {
	since := time.Now()
	s.nameWeights()
	var holder string
	s.await(longestFault, func() bool {
		for _, e := range s.all() {
			if orders := e.Orders(); len(orders) > 0 && orders[len(orders)-1].At.After(since) {
				holder = orders[len(orders)-1].Holder
			}
		}
		return holder != ""
	})
	for _, h := range s.hosts {
		if h.name == holder {
			f.Kind = []Kind{PauseHost, KillHost}[f.Variant%2]
			s.nameWeights()
			s.signalHost(f, h, time.Now().Add(f.For))
		}
	}
}

// signalHost sends signals to a host's process.
func (s *strikes) signalHost(f Fault, h *host, until time.Time) {
	if f.Kind == HangUp {
		s.await(longestFault, h.hangUp)
		return
	}
	if _, taken := s.busy.LoadOrStore(h, true); taken {
		return
	}
	defer s.busy.Delete(h)
	switch f.Kind {
	case PauseHost:
		s.touch(h, until)
		h.signal(syscall.SIGSTOP)
		s.pause(f.For)
		h.signal(syscall.SIGCONT)
		return
	case KillHost:
		s.touch(h, until)
		h.end(syscall.SIGKILL, time.Second)
	case StopHost:
		quiet := s.touch(h, time.Now())
		at := time.Now()
		inTime := h.end(syscall.SIGTERM, graceSeconds*time.Second)
		s.mu.Lock()
		if quiet && !s.struck[h].After(at) {
			s.stops = append(s.stops, stop{host: h, at: at, ended: time.Now(), inTime: inTime, upstreams: s.upstreams.Add(quietBefore).After(at)})
		}
		s.mu.Unlock()
		s.touch(h, time.Now())
	}
	s.pause(f.For / 4)
	// A host that can't be started is missed at the end.
	_ = h.start()
}

// harmLink harms the connections of an upstream, of a host's callers, or of a
// host to the store.
func (s *strikes) harmLink(f Fault, h *host, until time.Time) {
	link := h.store
	switch f.Variant % 3 {
	case 0:
		link = s.place(f.Target).link
		s.touchUpstreams(until.Add(callDeadline))
	case 1:
		link = h.door
		s.touch(h, until.Add(callDeadline))
	}
	s.disturb(f, link)
}

// disturb harms a link for as long as the fault lasts.
func (s *strikes) disturb(f Fault, link *proxy) {
	harms := []harm{{toServer: true}, {toCaller: true}, {toServer: true, toCaller: true}}
	switch f.Kind {
	case DelayLink, DelayPeers:
		link.set(harm{delay: shortDelay})
	case ResetLink, ResetPeers:
		link.reset()
		return
	case SilenceLink, SilencePeers:
		link.set(harms[f.Variant/3%len(harms)])
	}
	s.pause(f.For)
	link.set(harm{})
	link.reset()
}

// harmPeers harms what other hosts send to one for as long as the fault lasts.
func (s *strikes) harmPeers(f Fault, h *host) {
	switch f.Kind {
	case LosePulses:
		h.pulses.set(1, false)
	case GarblePulses:
		h.pulses.set(0.5, true)
	default:
		s.disturb(f, h.peers)
		return
	}
	s.pause(f.For)
	h.pulses.set(0, false)
}

// await waits until a condition holds.
func (w *world) await(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); !holds(); w.pause(look) {
		if time.Now().After(deadline) || w.ctx.Err() != nil {
			return false
		}
	}
	return true
}

// unready names a host that doesn't say that it is ready, or returns "".
func (w *world) unready() string {
	for _, h := range w.hosts {
		if !standin.PlatformReady(h.readiness) {
			return h.name + " is not"
		}
	}
	return ""
}

// calm waits until the deployment is well again after the last fault, and
// returns what is not.
func (w *world) calm(calls *recorder) []string {
	conditions := []struct {
		text string
		// missing returns what the condition still misses, or "".
		missing func() string
	}{
		{"all hosts are ready", w.unready},
		{"all engines have the newest weights", w.outdated},
		{"every host serves every kind of request", func() string {
			for _, h := range w.hosts {
				for _, kind := range []string{"full", "flag", "post", "read"} {
					if c := w.calmCall(calls, h, kind, credential{"mill", w.key("mill")}); c.answer.Status != http.StatusOK {
						return fmt.Sprintf("%s answered %s with %+v", h.name, c.id, c.answer)
					}
				}
			}
			return ""
		}},
		{"every host refuses keys that were taken away", func() string {
			for _, h := range w.hosts {
				for _, taken := range w.taken {
					if c := w.calmCall(calls, h, "read", taken); c.answer.Status != http.StatusUnauthorized {
						return fmt.Sprintf("%s answered %s with %+v", h.name, c.id, c.answer)
					}
				}
			}
			return ""
		}},
	}
	var wrong []string
	for _, c := range conditions {
		missing := ""
		if !w.await(calmLimit, func() bool { missing = c.missing(); return missing == "" }) {
			wrong = append(wrong, fmt.Sprintf("after the last fault it never came to pass that %s: %s", c.text, missing))
		}
	}
	return wrong
}

// outdated names an engine without the newest weights, or returns "".
func (w *world) outdated() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.upstreams {
		if u.model != "" && u.now.Weights() != w.weights {
			return fmt.Sprintf("%s has version %d of %d", u.now.ID, u.now.Weights(), w.weights)
		}
	}
	return ""
}

// calmCall sends a host one request on a new connection.
func (w *world) calmCall(calls *recorder, h *host, kind string, by credential) *call {
	c := &call{id: by.account + "-calm-" + h.name + "-" + kind + time.Now().Format("150405.000000000"), kind: kind, account: by.account, host: h}
	raw, err := net.DialTimeout("tcp4", h.callers, time.Second)
	if err != nil {
		return c
	}
	defer func() { _ = raw.Close() }()
	w.send(&connection{Conn: raw, in: bufio.NewReader(raw)}, c, by.key)
	calls.add(c)
	return c
}
