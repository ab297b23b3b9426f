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
	// besides is how many innocent requests are in their first tokens on an
	// engine when it is lost.
	besides = 8
	// shareDelay is how late a record reaches the other hosts.
	shareDelay = 50 * time.Millisecond
	// untilLoss is how long a request runs before its engine is lost.
	untilLoss = 200 * time.Millisecond
)

// trials is how many seeds each row runs over.
var trials = flag.Int("trials", 10, "seeds of each row of TestMeasure")

// delayed is a record on its way to one host.
type delayed struct {
	host   int
	due    time.Duration
	record quarantine.Record
}

// fleet is a set of hosts that share records with a delay.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	tables []quarantine.Table
	wire   []delayed
	serial int
}

func newFleet(hosts int, random *rand.Rand) *fleet {
	return &fleet{random: random, tables: make([]quarantine.Table, hosts)}
}

// share adds a record at one host and sends it to the others.
func (f *fleet) share(from int, r quarantine.Record) {
	f.serial++
	r.ID, r.At = fmt.Sprint(f.serial), start.Add(f.now)
	for host := range f.tables {
		due := f.now + shareDelay
		if host == from {
			due = f.now
		}
		f.wire = append(f.wire, delayed{host, due, r})
	}
	f.pass(0)
}

// pass lets time pass and delivers what is due.
func (f *fleet) pass(d time.Duration) {
	f.now += d
	f.wire = slices.DeleteFunc(f.wire, func(w delayed) bool {
		if w.due > f.now {
			return false
		}
		f.tables[w.host], _ = f.tables[w.host].With(start.Add(f.now), w.record)
		return true
	})
}

func (f *fleet) verdict(host int, p quarantine.Fingerprint) quarantine.Verdict {
	return f.tables[host].Verdict(p, start.Add(f.now))
}

// lose takes an engine with the requests on it. The innocent ones go on at
// other engines and are answered there, unless those are lost too.
func (f *fleet) lose(engine int, with []quarantine.Fingerprint) {
	for _, p := range with {
		f.share(f.random.IntN(len(f.tables)), quarantine.Record{Fingerprint: p, Engine: fmt.Sprint(engine)})
	}
}

// innocents returns requests that run beside others.
func (f *fleet) innocents() []quarantine.Fingerprint {
	var all []quarantine.Fingerprint
	for range besides {
		f.serial++
		all = append(all, quarantine.Fingerprint(fmt.Sprint("innocent-", f.serial)))
	}
	return all
}

// answer answers requests at other engines.
func (f *fleet) answer(with []quarantine.Fingerprint) {
	for _, p := range with {
		f.share(f.random.IntN(len(f.tables)), quarantine.Record{Fingerprint: p, Answered: true})
	}
}

// crashers lets a caller send a crasher to hosts, at once to all of them or
// to one after the other, and returns the engines lost until all refuse it.
func crashers(hosts int, atOnce bool, seed uint64) (lost, condemned int) {
	f := newFleet(hosts, rand.New(rand.NewPCG(seed, 2)))
	for round := range 20 {
		senders := []int{round % hosts}
		if atOnce {
			senders = f.random.Perm(hosts)
		}
		senders = slices.DeleteFunc(senders, func(h int) bool { return f.verdict(h, "crasher") == quarantine.Condemned })
		f.pass(untilLoss)
		for _, host := range senders {
			engine := f.random.IntN(measuredEngines)
			others := f.innocents()
			f.lose(engine, others)
			f.share(host, quarantine.Record{Fingerprint: "crasher", Engine: fmt.Sprint(engine)})
			lost++
			condemned += f.condemned(others)
			f.answer(others)
		}
		f.pass(time.Second)
	}
	return lost, condemned
}

// condemned counts requests that some host refuses.
func (f *fleet) condemned(with []quarantine.Fingerprint) int {
	count := 0
	for _, p := range with {
		for host := range f.tables {
			if f.verdict(host, p) == quarantine.Condemned {
				count++
				break
			}
		}
	}
	return count
}

// unrelated loses engines for other reasons, several within a second, while
// requests go on elsewhere; it returns the requests hit and condemned.
func unrelated(hosts, engines int, seed uint64) (hit, condemned int) {
	f := newFleet(hosts, rand.New(rand.NewPCG(seed, 3)))
	on := make([][]quarantine.Fingerprint, measuredEngines)
	var all []quarantine.Fingerprint
	for e := range on {
		on[e] = f.innocents()
	}
	for _, engine := range f.random.Perm(measuredEngines)[:engines] {
		f.lose(engine, on[engine])
		all = append(all, on[engine]...)
		f.pass(time.Second / time.Duration(engines))
		for _, p := range on[engine] {
			next := f.random.IntN(measuredEngines)
			on[next] = append(on[next], p)
		}
		on[engine] = nil
	}
	return len(all), f.condemned(slices.Compact(slices.Sorted(slices.Values(all))))
}

// TestMeasure prints the table of docs/MEASUREMENTS.md and holds it to its
// bounds.
func TestMeasure(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		for _, hosts := range []int{1, 3, 9} {
			total, most, innocents := 0, 0, 0
			for seed := range uint64(*trials) {
				lost, condemned := crashers(hosts, atOnce, seed)
				total, most, innocents = total+lost, max(most, lost), innocents+condemned
			}
			t.Logf("%d hosts, at once %v: engines lost per crasher: mean %.2f, most %d; innocents condemned: %d of %d",
				hosts, atOnce, float64(total)/float64(*trials), most, innocents, total*besides)
			if !atOnce && most > 5 || innocents > 0 {
				t.Errorf("%d hosts: %d engines lost, %d innocents condemned", hosts, most, innocents)
			}
		}
	}
	for _, engines := range []int{1, 2, 3, 6, 12} {
		hit, condemned := 0, 0
		for seed := range uint64(*trials) {
			h, c := unrelated(9, engines, seed)
			hit, condemned = hit+h, condemned+c
		}
		t.Logf("%d of %d engines lost within a second for other reasons: %d of %d requests condemned (%.3f%%)",
			engines, measuredEngines, condemned, hit, 100*float64(condemned)/float64(hit))
	}
}
