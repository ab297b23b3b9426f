package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// crasherMark stands in the path of the request that ends upstreams.
	crasherMark = "crasher"
	// crasherPause is the mean time until that request comes again.
	crasherPause = 400 * time.Millisecond
	// crasherLosses is how many upstreams may end under it before the bound on
	// further sends holds, crasherSettled how long after that, crasherSends
	// the bound.
	crasherLosses  = 3
	crasherSettled = 3 * time.Second
	crasherSends   = 3
)

// crasher is a request that ends whatever runs it, as the seed has it.
type crasher struct {
	kind  string
	point standin.PlatformCrashPoint
	// keepsName tells that upstreams come back under their names.
	keepsName bool
}

func newCrasher(seed uint64) crasher {
	random := rand.New(rand.NewPCG(seed, 3))
	c := crasher{kind: kindsOfCall[random.IntN(len(kindsOfCall))], point: standin.BeforeHead, keepsName: random.IntN(2) == 0}
	if c.kind == "flag" || c.kind == "full" {
		c.point = []standin.PlatformCrashPoint{standin.BeforeHead, standin.AfterHead, standin.AfterEvent}[random.IntN(3)]
	}
	return c
}

// sendCrasher sends the request to one host after the other until the context
// ends.
func (w *world) sendCrasher(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	for n := 0; ctx.Err() == nil; n++ {
		w.pause(time.Duration(random.Int64N(int64(2 * crasherPause))))
		h := w.hosts[random.IntN(len(w.hosts))]
		raw, err := net.DialTimeout("tcp4", h.door.address(), time.Second)
		if err != nil {
			continue
		}
		c := &call{id: fmt.Sprintf("%s-%d", crasherMark, n), kind: w.crasher.kind, account: "mill", host: h, crasher: true}
		w.do(&connection{Conn: raw, in: bufio.NewReader(raw)}, c)
		_ = raw.Close()
	}
}

// tell has a function told of upstreams that the crasher ends.
func (w *world) tell(crashed func(*upstream)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = crashed
}

func (w *world) told(u *upstream) {
	w.mu.Lock()
	crashed := w.crashed
	w.mu.Unlock()
	crashed(u)
}

// crashed starts an upstream again that the request has ended.
func (s *strikes) crashed(u *upstream) {
	s.world.mu.Lock()
	s.ends = append(s.ends, time.Now())
	s.world.mu.Unlock()
	if _, taken := s.busy.LoadOrStore(u, true); taken {
		return
	}
	defer s.busy.Delete(u)
	s.touchUpstreams(time.Now().Add(2 * lapse))
	// A place that can't start another upstream stays empty, which the end of
	// the run shows.
	_ = s.replaceUpstream(u, false)
}

// checkCrasher bounds how many upstreams end under the request after hosts had
// time to hear of the first ones.
func (w *world) checkCrasher(report func(string, ...any)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.ends) <= crasherLosses {
		return
	}
	late := 0
	for _, at := range w.ends {
		if at.Sub(w.ends[crasherLosses-1]) > crasherSettled {
			late++
		}
	}
	if late > crasherSends {
		report("a %s request that ends upstreams ended %d, %d of them late", w.crasher.kind, len(w.ends), late)
	}
}
