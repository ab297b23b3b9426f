package availability_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/availability"
	"github.com/kumquathoist/kumquathoist/clock"
)

func hostNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("host-", i))
	}
	return names
}

// TestPartOf checks that the parts of all hosts add up to the limit, and that no
// part is so small that rounding it up would matter.
func TestPartOf(t *testing.T) {
	for _, hosts := range []int{1, 2, 9, 68, 340} {
		for _, perSecond := range []float64{0, 0.1, 0.5, 1, 3.7, 20, 1000, availability.MaxLimit} {
			t.Run(fmt.Sprint(hosts, "/", perSecond), func(t *testing.T) {
				is := is.New(t)
				names, sum, sharers := hostNames(hosts), 0.0, 0.0
				for _, name := range names {
					if part := availability.PartOf("engine", perSecond, name, names); part > 0 {
						sum += part
						sharers++
					}
				}
				is.True(sum <= max(perSecond, 0.2)*1.001)
				is.True(sum >= max(perSecond, 0.2)*0.999)
				is.True(sharers <= perSecond/2+2)
			})
		}
	}
	is.New(t).True(availability.PartOf("engine", 3, "alone", nil) == 3)
}

// limitSimulation plays hosts that send as many requests to one upstream as they
// may.
type limitSimulation struct {
	names    []string
	statuses []availability.Status
	limit    float64
	// peerDelay is the time until a report reaches the other hosts, answerDelay
	// that until an answer arrives.
	peerDelay, answerDelay time.Duration
	// demand is the rate of requests of each host.
	demand   float64
	arrivals []clock.Instant
	pending  []func(now clock.Instant) bool
}

// at runs a function at a time.
func (s *limitSimulation) at(due clock.Instant, run func(now clock.Instant)) {
	s.pending = append(s.pending, func(now clock.Instant) bool {
		if now.Before(due) {
			return false
		}
		run(now)
		return true
	})
}

func (s *limitSimulation) step(now clock.Instant, random *rand.Rand, tick time.Duration) {
	pending := s.pending
	s.pending = nil
	for _, run := range pending {
		if !run(now) {
			s.pending = append(s.pending, run)
		}
	}
	for i := range s.statuses {
		if s.statuses[i].NeedsPart(now) {
			perSecond, _, _ := s.statuses[i].Limit(now)
			s.statuses[i] = s.statuses[i].WithPart(availability.PartOf("engine", perSecond, s.names[i], s.names), now)
		}
		if random.Float64() >= s.demand*tick.Seconds() || !s.statuses[i].Accepts(0, now) {
			continue
		}
		s.statuses[i] = s.statuses[i].WithSend(now)
		s.arrivals = append(s.arrivals, now)
		limit := s.limit
		s.at(now.Add(s.answerDelay), func(now clock.Instant) { s.answer(i, limit, now) })
	}
}

// answer passes the limit that an answer names to its host, and to the others.
func (s *limitSimulation) answer(host int, limit float64, now clock.Instant) {
	if limit < 0 {
		s.statuses[host] = s.statuses[host].WithoutLimit()
		return
	}
	var isNew bool
	if s.statuses[host], isNew = s.statuses[host].WithLimit(limit, availability.Answer, now); !isNew {
		return
	}
	s.at(now.Add(s.peerDelay), func(now clock.Instant) {
		for i := range s.statuses {
			if i != host {
				s.statuses[i], _ = s.statuses[i].WithLimit(limit, availability.Peer, now)
			}
		}
	})
}

// TestLimitUnderLoad plays hosts with more demand than an upstream takes. In no 4 s
// may it get more than one and a half times its limit and five requests, from 3 s
// after it named it; most of what it takes is used.
func TestLimitUnderLoad(t *testing.T) {
	const tick = 10 * time.Millisecond
	for _, hosts := range []int{1, 3, 9, 68, 340} {
		for _, limit := range []float64{0, 0.3, 1, 4, 15, 100} {
			for _, peerDelay := range []time.Duration{100 * time.Millisecond, time.Second} {
				t.Run(fmt.Sprint(hosts, "/", limit, "/", peerDelay), func(t *testing.T) {
					is := is.New(t)
					random := rand.New(rand.NewPCG(uint64(hosts), uint64(limit*10)))
					s := &limitSimulation{
						names: hostNames(hosts), statuses: make([]availability.Status, hosts), limit: limit,
						peerDelay: peerDelay, answerDelay: 200 * time.Millisecond, demand: max(2, 3*limit/float64(hosts)),
					}
					for now := begin; now.Before(begin.Add(40 * time.Second)); now = now.Add(tick) {
						s.step(now, random, tick)
					}
					counted := 0
					for i, first := range s.arrivals {
						if first.Before(begin.Add(3*time.Second + s.answerDelay)) {
							continue
						}
						counted++
						n := 0
						for _, at := range s.arrivals[i:] {
							if at.Sub(first) <= 4*time.Second {
								n++
							}
						}
						is.True(float64(n) <= 1.5*4*limit+5)
					}
					is.True(float64(counted) >= 0.6*limit*36)
				})
			}
		}
	}
}

// TestLimitEnds checks that a limit ends with an answer without it, with another
// incarnation, and some time after the last report.
func TestLimitEnds(t *testing.T) {
	is := is.New(t)
	s, isNew := availability.Status{}.Of(1).WithLimit(0, availability.Answer, begin)
	is.True(isNew)
	s = s.WithPart(0, begin)
	is.True(!s.Accepts(0, begin.Add(19*time.Second)))
	is.True(s.RetryAfter(begin) > 0)
	is.True(s.WithoutLimit().Accepts(0, begin))
	is.True(s.Of(2).Accepts(0, begin))
	is.True(s.Accepts(0, begin.Add(20*time.Second)))
	s, isNew = s.WithLimit(0, availability.Answer, begin.Add(time.Second))
	is.True(!isNew) // the other hosts know
	_, isNew = s.WithLimit(0, availability.Answer, begin.Add(5*time.Second))
	is.True(isNew)
	_, isNew = s.WithLimit(1, availability.Answer, begin.Add(time.Second))
	is.True(isNew)
}

// TestReturnQueue checks that refused callers return one after the other.
func TestReturnQueue(t *testing.T) {
	is := is.New(t)
	var q availability.ReturnQueue
	var waits []time.Duration
	for range 4 {
		var wait time.Duration
		q, wait = q.With(time.Second, 2, begin)
		waits = append(waits, wait)
	}
	is.Equal(waits, []time.Duration{time.Second, 1500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond})
	for range 100 {
		_, last := q.With(0, 2, begin)
		is.True(last <= 10*time.Second)
		q, _ = q.With(0, 2, begin)
	}
	_, wait := q.With(0, 2, begin.Add(time.Minute))
	is.Equal(wait, time.Duration(0)) // those before have returned
	_, wait = q.With(time.Second, 0, begin)
	is.Equal(wait, time.Second)
}

// TestLimitProbe checks that one request is due after some time without a report,
// so that the end of a limit is noticed.
func TestLimitProbe(t *testing.T) {
	is := is.New(t)
	s, _ := availability.Status{}.WithLimit(0, availability.Answer, begin)
	is.True(!s.WithPart(0, begin).LimitProbeDue(begin.Add(6 * time.Second)))
	s = s.WithPart(0.1, begin).WithSend(begin).WithSend(begin)
	is.True(!s.LimitProbeDue(begin.Add(6 * time.Second))) // its part is used up
	is.True(s.LimitProbeDue(begin.Add(11 * time.Second)))
	s, _ = s.WithLimit(0, availability.Peer, begin.Add(10*time.Second))
	is.True(!s.LimitProbeDue(begin.Add(11 * time.Second)))
}

// BenchmarkPartOf divides a limit among the hosts of the largest deployment.
func BenchmarkPartOf(b *testing.B) {
	names := hostNames(340)
	b.ReportAllocs()
	for range b.N {
		availability.PartOf("engine", 20, "host-7", names)
	}
}
