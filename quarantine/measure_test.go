package quarantine_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

const (
	measuredEngines = 24
	// innocentsPerEngine is how many innocent requests are in their first
	// tokens on an engine when it is lost.
	innocentsPerEngine = 8
	// shareDelay is the time until a record reaches the other hosts.
	shareDelay = 50 * time.Millisecond
	// crashDelay is how long a crasher runs before its engine is lost.
	crashDelay = 200 * time.Millisecond
)

// trials is the number of seeds for each row.
var trials = flag.Int("trials", 10, "seeds of each row of TestMeasure")

// delivery is a record in flight to one host.
type delivery struct {
	host   int
	due    time.Duration
	record quarantine.Record
}

// simulation is a set of hosts that share records with a delay.
type simulation struct {
	random   *rand.Rand
	now      time.Duration
	tables   []quarantine.Table
	inFlight []delivery
	serial   int
}

func newSimulation(hosts int, random *rand.Rand) *simulation {
	return &simulation{random: random, tables: make([]quarantine.Table, hosts)}
}

// share adds a record at one host and sends it to the others.
func (s *simulation) share(from int, r quarantine.Record) {
	s.serial++
	r.ID, r.At = fmt.Sprint(s.serial), start.Add(s.now)
	for host := range s.tables {
		due := s.now + shareDelay
		if host == from {
			due = s.now
		}
		s.inFlight = append(s.inFlight, delivery{host, due, r})
	}
	s.advance(0)
}

// advance advances the time and delivers the records that are due.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	s.inFlight = slices.DeleteFunc(s.inFlight, func(d delivery) bool {
		if d.due > s.now {
			return false
		}
		s.tables[d.host], _ = s.tables[d.host].With(start.Add(s.now), d.record)
		return true
	})
}

func (s *simulation) verdict(host int, p quarantine.Fingerprint) quarantine.Verdict {
	return s.tables[host].Verdict(p, start.Add(s.now))
}

// lose records the loss of an engine for the requests on it.
func (s *simulation) lose(engine int, requests []quarantine.Fingerprint) {
	for _, p := range requests {
		s.share(s.random.IntN(len(s.tables)), quarantine.Record{Fingerprint: p, Engine: fmt.Sprint(engine)})
	}
}

// innocents returns new requests that don't crash their engine.
func (s *simulation) innocents() []quarantine.Fingerprint {
	var all []quarantine.Fingerprint
	for range innocentsPerEngine {
		s.serial++
		all = append(all, quarantine.Fingerprint(fmt.Sprint("innocent-", s.serial)))
	}
	return all
}

// answer records answers to requests, given by other engines.
func (s *simulation) answer(requests []quarantine.Fingerprint) {
	for _, p := range requests {
		s.share(s.random.IntN(len(s.tables)), quarantine.Record{Fingerprint: p, Answered: true})
	}
}

// simulateCrasher sends a crasher to hosts, to all at once or to one after the
// other. It returns the number of engines lost until all hosts refuse it, and
// of innocent requests that were quarantined.
func simulateCrasher(hosts int, atOnce bool, seed uint64) (lost, quarantined int) {
	s := newSimulation(hosts, rand.New(rand.NewPCG(seed, 2)))
	for round := range 20 {
		senders := []int{round % hosts}
		if atOnce {
			senders = s.random.Perm(hosts)
		}
		senders = slices.DeleteFunc(senders, func(h int) bool { return s.verdict(h, "crasher") == quarantine.Quarantined })
		s.advance(crashDelay)
		for _, host := range senders {
			engine := s.random.IntN(measuredEngines)
			others := s.innocents()
			s.lose(engine, others)
			s.share(host, quarantine.Record{Fingerprint: "crasher", Engine: fmt.Sprint(engine)})
			lost++
			quarantined += s.countQuarantined(others)
			s.answer(others)
		}
		s.advance(time.Second)
	}
	return lost, quarantined
}

// countQuarantined counts the requests that any host refuses.
func (s *simulation) countQuarantined(requests []quarantine.Fingerprint) int {
	count := 0
	for _, p := range requests {
		for host := range s.tables {
			if s.verdict(host, p) == quarantine.Quarantined {
				count++
				break
			}
		}
	}
	return count
}

// simulateOutage loses engines within a second for reasons other than a
// request, while their requests resume on other engines. It returns how many
// requests were hit and how many quarantined.
func simulateOutage(hosts, engines int, seed uint64) (hit, quarantined int) {
	s := newSimulation(hosts, rand.New(rand.NewPCG(seed, 3)))
	on := make([][]quarantine.Fingerprint, measuredEngines)
	var all []quarantine.Fingerprint
	for e := range on {
		on[e] = s.innocents()
	}
	for _, engine := range s.random.Perm(measuredEngines)[:engines] {
		s.lose(engine, on[engine])
		all = append(all, on[engine]...)
		s.advance(time.Second / time.Duration(engines))
		for _, p := range on[engine] {
			next := s.random.IntN(measuredEngines)
			on[next] = append(on[next], p)
		}
		on[engine] = nil
	}
	return len(all), s.countQuarantined(slices.Compact(slices.Sorted(slices.Values(all))))
}

// TestMeasure prints the table of docs/MEASUREMENTS.md and checks its bounds.
func TestMeasure(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		for _, hosts := range []int{1, 3, 9} {
			total, maximum, innocents := 0, 0, 0
			for seed := range uint64(*trials) {
				lost, quarantined := simulateCrasher(hosts, atOnce, seed)
				total, maximum, innocents = total+lost, max(maximum, lost), innocents+quarantined
			}
			t.Logf("%d hosts, at once %v: engines lost per crasher: mean %.2f, maximum %d; innocents quarantined: %d of %d",
				hosts, atOnce, float64(total)/float64(*trials), maximum, innocents, total*innocentsPerEngine)
			if !atOnce && maximum > 5 || innocents > 0 {
				t.Errorf("%d hosts: %d engines lost, %d innocents quarantined", hosts, maximum, innocents)
			}
		}
	}
	for _, engines := range []int{1, 2, 3, 6, 12} {
		hit, quarantined := 0, 0
		for seed := range uint64(*trials) {
			h, q := simulateOutage(9, engines, seed)
			hit, quarantined = hit+h, quarantined+q
		}
		t.Logf("%d of %d engines lost within a second for other reasons: %d of %d requests quarantined (%.3f%%)",
			engines, measuredEngines, quarantined, hit, 100*float64(quarantined)/float64(hit))
	}
}
