package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// crasherMark marks the path of the request that crashes upstreams.
	crasherMark = "crasher"
	// crasherPause is the mean time between two sends of that request.
	crasherPause = 400 * time.Millisecond
	// deadlyPart is the prompt part of different requests that crash engines.
	deadlyPart = "deadly"
	// At most crasherMaxLate upstreams may crash later than crasherGrace after the
	// first crasherFreeLosses crashes, or partFreeLosses by requests that share
	// only a part.
	crasherFreeLosses = 3
	partFreeLosses    = 5
	crasherGrace      = 3 * time.Second
	crasherMaxLate    = 3
)

// crasher describes a request that crashes every upstream that executes it, or
// requests that do so and share a prompt part. The seed determines its
// properties.
type crasher struct {
	kind       string
	crashPoint standin.PlatformCrashPoint
	// byPart means that the requests differ and share deadlyPart.
	byPart bool
	// reusesNames means that crashed upstreams restart with the same names.
	reusesNames bool
}

func newCrasher(seed uint64) crasher {
	random := rand.New(rand.NewPCG(seed, 3))
	c := crasher{kind: callKinds[random.IntN(len(callKinds))], crashPoint: standin.BeforeHead, reusesNames: random.IntN(2) == 0}
	if c.kind == "flag" || c.kind == "full" {
		c.crashPoint = []standin.PlatformCrashPoint{standin.BeforeHead, standin.AfterHead, standin.AfterEvent}[random.IntN(3)]
		c.byPart = random.IntN(2) == 1
	}
	return c
}

// freeLosses returns the number of crashes that the hosts need to learn from.
func (c crasher) freeLosses() int {
	if c.byPart {
		return partFreeLosses
	}
	return crasherFreeLosses
}

// arm makes the requests crash an upstream.
func (c crasher) arm(e *standin.PlatformEngine, crashed func()) {
	if c.byPart {
		e.CrashOnPart(deadlyPart, c.crashPoint, crashed)
		return
	}
	e.CrashOn(crasherMark, c.crashPoint, crashed)
}

// sendCrasher sends the request to random hosts until the context ends.
func (d *deployment) sendCrasher(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	for n := 0; ctx.Err() == nil; n++ {
		d.pause(time.Duration(random.Int64N(int64(2 * crasherPause))))
		h := d.hosts[random.IntN(len(d.hosts))]
		raw, err := net.DialTimeout("tcp4", h.callerProxy.address(), time.Second)
		if err != nil {
			continue
		}
		c := &call{id: fmt.Sprintf("%s-%d", crasherMark, n), kind: d.crasher.kind, account: "mill", host: h, isCrasher: true}
		d.sendRequest(newConnection(raw), c)
		_ = raw.Close()
	}
}

// setCrashHandler sets the function that is called for each upstream that the
// request crashes.
func (d *deployment) setCrashHandler(handler func(*upstream)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onCrash = handler
}

func (d *deployment) handleCrash(u *upstream) {
	d.mu.Lock()
	handler := d.onCrash
	d.mu.Unlock()
	handler(u)
}

// restartCrashed restarts an upstream that the request has crashed.
func (fi *faultInjector) restartCrashed(u *upstream) {
	fi.deployment.mu.Lock()
	fi.crashTimes = append(fi.crashTimes, time.Now())
	fi.deployment.mu.Unlock()
	if _, loaded := fi.restarting.LoadOrStore(u, true); loaded {
		return
	}
	defer fi.restarting.Delete(u)
	fi.recordUpstreamFault(time.Now().Add(2 * entryRemovalDelay))
	// If the restart fails, the address stays empty and the checks at the end of
	// the run report it.
	_ = fi.replaceUpstream(u, false)
}

// checkCrasher checks the limit on crashes that happen after the hosts had time to
// learn of the first ones.
func (d *deployment) checkCrasher(report func(string, ...any)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	free := d.crasher.freeLosses()
	if len(d.crashTimes) <= free {
		return
	}
	late := 0
	for _, at := range d.crashTimes {
		if at.Sub(d.crashTimes[free-1]) > crasherGrace {
			late++
		}
	}
	if late > crasherMaxLate {
		report("%s requests that crash upstreams (by a part: %v) crashed %d, %d of them after the hosts should have stopped them", d.crasher.kind, d.crasher.byPart, len(d.crashTimes), late)
	}
}
