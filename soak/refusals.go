package soak

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/standin"
)

// refusalKinds holds the kinds that are drawn beside the others where upstreams send copies
// of their refusals.
var refusalKinds = []Kind{CopyRefusals, CopyRefusals, CopyRefusals, RefuseRequests, RefuseRequests, RefuseAndMove, RefuseAndMove, RestartInPlace, RestartInPlace}

const (
	// maxRefusals is how many requests an upstream refuses at most, maxMoveDelay the
	// maximum time from that to new target weights.
	maxRefusals  = 8
	maxMoveDelay = 800 * time.Millisecond
	// pauseShare is the reciprocal of the share of refusals that ask for a pause.
	pauseShare = 4
	// maxEarlier is the maximum number of earlier IDs, maxEarlierPause the maximum time
	// between two of these.
	maxEarlier      = 4
	maxEarlierPause = 300 * time.Millisecond
)

// PlanRefusals returns the faults by which requests meet connections on which they were
// refused, in series that overlap, and the times in which upstreams send copies of their
// refusals.
func PlanRefusals(seed uint64, span time.Duration) []Fault {
	begin, end := time.Duration(leadShare*float64(span)), time.Duration((1-recoveryShare)*float64(span))
	return planSeries(rand.New(rand.NewPCG(seed, 11)), refusalKinds, begin, end)
}

// drawCopies draws the copies of refusals.
func drawCopies(random *rand.Rand) *standin.RefusalCopies {
	return &standin.RefusalCopies{
		Count: []int{1, 1, 1, 2, 3}[random.IntN(5)], Late: []time.Duration{0, 0, 2 * time.Millisecond, 20 * time.Millisecond}[random.IntN(4)],
		Early: random.IntN(4) == 0, Close: random.IntN(4) == 0, ControlCalls: random.IntN(4) > 0,
	}
}

// injectRefusals carries out a fault of PlanRefusals.
func (fi *faultInjector) injectRefusals(f Fault) {
	random := rand.New(rand.NewPCG(uint64(f.Target), uint64(f.Variant)))
	switch f.Kind {
	case CopyRefusals:
		fi.copyRefusals(drawCopies(random))
		fi.pause(2 * f.For)
		fi.copyRefusals(nil)
	case RefuseRequests:
		if random.IntN(pauseShare) == 0 {
			fi.places()[f.Target%len(fi.places())].Trouble(standin.PlatformTrouble{RejectFor: f.For})
			return
		}
		fi.trouble(random, standin.PlatformTrouble{Fault: standin.FullFault, Times: 1 + random.IntN(maxRefusals)})
	case RefuseAndMove:
		fi.trouble(random, standin.PlatformTrouble{Fault: standin.FullFault, Times: 1 + random.IntN(maxRefusals)})
		fi.pause(time.Duration(random.Int64N(int64(maxMoveDelay))))
		fi.trouble(random, standin.PlatformTrouble{Fault: standin.NoRoomFault, Times: 1 + random.IntN(maxRefusals)})
		fi.setNextWeights()
	case RestartInPlace:
		fi.restartInPlace(random)
	}
}

// copyRefusals has all upstreams send copies of their refusals; nil ends that, unless
// another fault wants it.
func (fi *faultInjector) copyRefusals(c *standin.RefusalCopies) {
	fi.deployment.mu.Lock()
	switch {
	case c != nil:
		fi.copyFaults++
		fi.copies = *c
	case fi.copyFaults > 1:
		fi.copyFaults--
	default:
		fi.copyFaults, fi.copies = 0, standin.RefusalCopies{}
	}
	copies := fi.copies
	fi.deployment.mu.Unlock()
	for _, u := range fi.places() {
		u.Trouble(standin.PlatformTrouble{Copies: &copies})
	}
}

// troubled is an upstream that can go wrong.
type troubled interface {
	Trouble(t standin.PlatformTrouble)
	Entry() map[string]any
}

// places returns the upstreams that run now.
func (d *deployment) places() []troubled {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []troubled
	for _, u := range d.upstreams {
		all = append(all, u.current)
	}
	for _, e := range d.processes {
		all = append(all, e.latest())
	}
	return all
}

// drawPlaces draws a share of n places, at least one.
func drawPlaces(random *rand.Rand, n int) []int {
	share := silenceShares[random.IntN(len(silenceShares))]
	return random.Perm(n)[:max(1, int(share*float64(n)))]
}

// trouble makes some or all upstreams go wrong.
func (d *deployment) trouble(random *rand.Rand, t standin.PlatformTrouble) {
	places := d.places()
	for _, i := range drawPlaces(random, len(places)) {
		places[i].Trouble(t)
	}
}

// restartInPlace lists some or all upstreams under earlier IDs, too, and restarts one of
// these at its address under a new ID. The earlier entries stay in the store for
// entryRemovalDelay after the last of them.
func (fi *faultInjector) restartInPlace(random *rand.Rand) {
	var restarts conc.WaitGroup
	defer restarts.Wait()
	for n, i := range drawPlaces(random, len(fi.places())) {
		upstream, restart := fi.restarter(i)
		pauses := make([]time.Duration, 1+random.IntN(maxEarlier))
		for j := range pauses {
			pauses[j] = time.Duration(random.Int64N(int64(maxEarlierPause)))
		}
		restarts.Go(func() {
			if _, loaded := fi.restarting.LoadOrStore(upstream, true); loaded {
				return
			}
			defer fi.restarting.Delete(upstream)
			var earlier []string
			// Only one restarts: what runs at several engines that end within seconds is
			// taken for the cause.
			if n == 0 {
				fi.recordUpstreamFault(time.Now().Add(2 * entryRemovalDelay))
				// If the restart fails, the checks at the end of the run report it.
				id, _ := restart()
				earlier = append(earlier, id)
			}
			for _, pause := range pauses {
				earlier = append(earlier, fi.listEarlier(i))
				fi.pause(pause)
			}
			fi.pause(entryRemovalDelay)
			for _, id := range earlier {
				fi.store.Put(standin.PlatformUpstreams, id, nil)
			}
		})
	}
}

// listEarlier lists the upstream at a place under an earlier ID, too, as if it had just
// restarted, and returns that.
func (d *deployment) listEarlier(i int) (id string) {
	entry := d.places()[i].Entry()
	d.mu.Lock()
	d.startCount++
	id = fmt.Sprintf("%s-%d", entry["service"], d.startCount)
	d.mu.Unlock()
	entry["born"] = time.Now().Add(-time.Minute).UnixMilli()
	d.store.Put(standin.PlatformUpstreams, id, entry)
	return id
}

// restarter returns the upstream at a place, and what restarts it there and returns its
// earlier ID.
func (d *deployment) restarter(i int) (upstream any, restart func() (earlier string, err error)) {
	if len(d.processes) > 0 {
		e := d.processes[i]
		return e, func() (string, error) { return d.restartProcessInPlace(e) }
	}
	u := d.upstreamAt(i)
	return u, func() (string, error) { return d.restartUpstreamInPlace(u) }
}

// restartUpstreamInPlace restarts an upstream and returns its earlier ID.
func (d *deployment) restartUpstreamInPlace(u *upstream) (earlier string, err error) {
	d.mu.Lock()
	old := u.current
	d.ended = append(d.ended, old)
	d.mu.Unlock()
	u.link.setTarget("127.0.0.1:1")
	old.Close()
	u.link.reset()
	return old.ID, d.startUpstream(u, false)
}

// restartProcessInPlace restarts a process and returns its earlier ID.
func (d *deployment) restartProcessInPlace(e *engineProcess) (earlier string, err error) {
	old := e.latest()
	old.Kill()
	return old.Options.ID, d.startProcess(e, false, old.Address)
}

// checkMemories checks that no request went on from the memory of another one.
func (d *deployment) checkMemories(report func(string, ...any)) {
	for _, e := range d.all() {
		for _, a := range e.Arrivals() {
			checkMemory(e.ID, a.ID, a.Memory, report)
		}
	}
	for id, work := range d.allWork() {
		for _, w := range work {
			checkMemory(w.engine, id, w.run.Memory, report)
		}
	}
}

// checkMemory checks the memory, if any, that a request asked an engine for.
func checkMemory(engine, id, memory string, report func(string, ...any)) {
	if memory != "" && !strings.HasSuffix(memory, "/h-"+id) {
		report("%s reached %s with the memory %s of another request", id, engine, memory)
	}
}

// checkAcceptedOrders checks that engines in the soak's own process carried out each order
// that a host takes for accepted.
func (d *deployment) checkAcceptedOrders(report func(string, ...any)) {
	carriedOut := map[string]map[int64]bool{}
	for _, e := range d.all() {
		if carriedOut[e.ID] == nil {
			carriedOut[e.ID] = map[int64]bool{}
		}
		for _, o := range e.Orders() {
			if o.Accepted {
				carriedOut[e.ID][o.Fence] = true
			}
		}
	}
	for _, h := range d.hosts {
		for _, text := range unacceptedOrders(h.output.String(), carriedOut) {
			report("%s takes an order %s for accepted that was not", h.name, text)
		}
	}
}

// acceptedOrder matches a host's line on an order that it takes for accepted.
var acceptedOrder = regexp.MustCompile(fmt.Sprintf(`Event=%d .*Upstream="([^"]+)" .*Fence=(\d+) .*Accepted=true`, event.LoadOrdered.Number))

// unacceptedOrders describes the orders that a host's output takes for accepted, though
// the engines, if known, carried out none with their fencing numbers.
func unacceptedOrders(output string, carriedOut map[string]map[int64]bool) []string {
	var found []string
	for _, m := range acceptedOrder.FindAllStringSubmatch(output, -1) {
		fence, err := strconv.ParseInt(m[2], 10, 64)
		if fences := carriedOut[m[1]]; fences != nil && (err != nil || !fences[fence]) {
			found = append(found, fmt.Sprintf("to %s with the fencing number %s", m[1], m[2]))
		}
	}
	return found
}
