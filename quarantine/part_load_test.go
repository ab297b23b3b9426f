package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

const (
	// freeCrashes is the number of crashes by requests with one part after which
	// at most lateArrivals of them may reach engines later than learnTime.
	freeCrashes  = 5
	lateArrivals = 3
	learnTime    = 3 * time.Second
	// tick is the step of the simulated time.
	tick = 10 * time.Millisecond
)

// partLoad describes the load of a simulation of hosts and engines.
type partLoad struct {
	hosts, engines int
	// perSecond is the rate of requests, deadlyShare the share with the deadly
	// part, retries how often a lost request is sent again.
	perSecond, deadlyShare float64
	retries                int
	// delay is the time until a record reaches the other hosts.
	delay time.Duration
	// outages is the rate of engines that crash for other reasons; each takes
	// outageSize engines at once.
	outages    float64
	outageSize int
	seed       uint64
}

// simRequest is a request at an engine.
type simRequest struct {
	quarantine.Content
	host, engine, retries int
	deadly                bool
	sent, starts, ends    time.Duration
}

// partSimulation plays a partLoad.
type partSimulation struct {
	partLoad
	*simulation

	down    []time.Duration
	running []*simRequest
	serial  int
	deadly  quarantine.Fingerprint
	// crashes are the times at which deadly requests crashed engines, arrivals
	// those at which they reached engines.
	crashes, arrivals []time.Duration
	sent, refused     int
	// wrongVerdicts counts refusals of requests without the deadly part.
	wrongVerdicts int
}

func newPartSimulation(l partLoad) *partSimulation {
	return &partSimulation{partLoad: l, simulation: newSimulation(l.hosts, rand.New(rand.NewPCG(l.seed, 7))), down: make([]time.Duration, l.engines), deadly: part("deadly")}
}

// shareAll adds records at one host and sends them to the others.
func (s *partSimulation) shareAll(from int, records []quarantine.Record) {
	now := start.Add(s.now)
	for _, r := range s.tables[from].WithLossCounts(now, records...) {
		s.serial++
		r.ID, r.At = fmt.Sprint(s.serial), now
		for host := range s.tables {
			due := s.now + s.delay
			if host == from {
				due = s.now
			}
			s.inFlight = append(s.inFlight, delivery{host, due, r})
		}
	}
	s.advance(0)
}

// play runs the load for a time.
func (s *partSimulation) play(d time.Duration) {
	for end := s.now + d; s.now < end; s.advance(tick) {
		if s.random.Float64() < s.perSecond*tick.Seconds() {
			s.send(s.newRequest())
		}
		if s.random.Float64() < s.outages*tick.Seconds() {
			for _, e := range s.random.Perm(s.engines)[:s.outageSize] {
				s.crash(e)
			}
		}
		s.step()
	}
}

func (s *partSimulation) newRequest() *simRequest {
	s.serial++
	r := &simRequest{Content: content(fmt.Sprint("account-", s.random.IntN(3)), fmt.Sprint("q", s.serial), fmt.Sprint("first-", s.random.IntN(2)), fmt.Sprint("doc-", s.random.IntN(40)))}
	r.host, r.retries = s.random.IntN(s.hosts), s.retries
	if s.random.Float64() < s.deadlyShare {
		r.deadly, r.Account = true, "account-0"
		r.Parts = []quarantine.Fingerprint{part("first-0"), part("doc-0"), s.deadly}
	}
	return r
}

// send sends a request to an engine that is up, unless it is refused.
func (s *partSimulation) send(r *simRequest) {
	s.sent++
	for _, f := range r.Fingerprints() {
		if c := s.tables[r.host].Classify(f, start.Add(s.now)); c.Verdict == quarantine.Quarantined && c.AppliesTo(r.Account) {
			s.refused++
			if !r.deadly {
				s.wrongVerdicts++
			}
			return
		}
	}
	var up []int
	for e, until := range s.down {
		if s.now >= until {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	r.engine, r.sent = up[s.random.IntN(len(up))], s.now
	r.starts = s.now + time.Duration(50+s.random.IntN(600))*time.Millisecond
	r.ends = r.starts + 100*time.Millisecond
	s.running = append(s.running, r)
	if r.deadly {
		s.arrivals = append(s.arrivals, s.now)
	}
}

// step starts deadly requests and ends the others.
func (s *partSimulation) step() {
	for _, r := range slices.Clone(s.running) {
		if !slices.Contains(s.running, r) {
			continue
		}
		switch {
		case r.deadly && s.now >= r.starts:
			s.crashes = append(s.crashes, s.now)
			s.crash(r.engine)
		case s.now >= r.ends:
			s.running = slices.DeleteFunc(s.running, func(o *simRequest) bool { return o == r })
			for _, f := range r.Fingerprints() {
				if s.verdict(r.host, f) != quarantine.Clean {
					s.shareAll(r.host, []quarantine.Record{{Fingerprint: f, Answered: true}})
				}
			}
		}
	}
}

// crash loses an engine with the requests on it, which are sent again.
func (s *partSimulation) crash(engine int) {
	s.down[engine] = s.now + 3*time.Second
	var lost []*simRequest
	s.running = slices.DeleteFunc(s.running, func(r *simRequest) bool {
		if r.engine == engine {
			lost = append(lost, r)
		}
		return r.engine == engine
	})
	for _, r := range lost {
		var records []quarantine.Record
		for depth, f := range r.Fingerprints() {
			records = append(records, quarantine.Record{Fingerprint: f, Depth: depth, Account: r.Account, Engine: fmt.Sprint(engine), Incarnation: fmt.Sprint(s.down[engine]), Sent: start.Add(r.sent)})
		}
		s.shareAll(r.host, records)
	}
	for _, r := range lost {
		if r.retries--; r.retries >= 0 {
			s.send(r)
		}
	}
}

// late counts the arrivals of deadly requests later than allowed.
func (s *partSimulation) late() int {
	if len(s.crashes) < freeCrashes {
		return 0
	}
	count := 0
	for _, at := range s.arrivals {
		if at > s.crashes[freeCrashes-1]+learnTime {
			count++
		}
	}
	return count
}

// TestDeadlyPartUnderLoad plays requests with a deadly part among others.
func TestDeadlyPartUnderLoad(t *testing.T) {
	for _, l := range []partLoad{
		{hosts: 9, engines: 12, perSecond: 17, deadlyShare: 0.05, retries: 1, delay: 50 * time.Millisecond},
		{hosts: 9, engines: 12, perSecond: 17, deadlyShare: 0.3, retries: 1, delay: 50 * time.Millisecond},
		{hosts: 6, engines: 9, perSecond: 70, deadlyShare: 0.05, retries: 0, delay: 50 * time.Millisecond},
		{hosts: 9, engines: 12, perSecond: 17, deadlyShare: 0.05, retries: 1, delay: time.Second},
		{hosts: 68, engines: 60, perSecond: 90, deadlyShare: 0.02, retries: 1, delay: 100 * time.Millisecond},
		{hosts: 9, engines: 12, perSecond: 17, deadlyShare: 0.05, retries: 1, delay: 50 * time.Millisecond, outages: 0.5, outageSize: 1},
		{hosts: 9, engines: 12, perSecond: 17, deadlyShare: 0.1, retries: 1, delay: 50 * time.Millisecond, outages: 0.1, outageSize: 6},
		{hosts: 1, engines: 2, perSecond: 5, deadlyShare: 0.1, retries: 1},
	} {
		t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
			crashes, wrong, sent := 0, 0, 0
			for seed := range uint64(*trials) {
				l.seed = seed
				s := newPartSimulation(l)
				s.play(25 * time.Second)
				if late := s.late(); late > lateArrivals {
					t.Errorf("seed %d: %d requests with the deadly part reached engines too late; %d crashes", seed, late, len(s.crashes))
				}
				crashes, wrong, sent = crashes+len(s.crashes), wrong+s.wrongVerdicts, sent+s.sent
			}
			t.Logf("crashes by the part: mean %.1f; others refused: %d of %d", float64(crashes)/float64(*trials), wrong, sent)
			if 100*wrong > sent {
				t.Errorf("%d of %d other requests were refused", wrong, sent)
			}
		})
	}
}

// TestOutagesQuarantineNoPart plays engines that crash for other reasons.
func TestOutagesQuarantineNoPart(t *testing.T) {
	for _, l := range []partLoad{
		{hosts: 9, engines: 12, perSecond: 17, retries: 1, delay: 50 * time.Millisecond, outages: 1, outageSize: 1},
		{hosts: 9, engines: 12, perSecond: 17, retries: 1, delay: 50 * time.Millisecond, outages: 0.2, outageSize: 12},
		{hosts: 9, engines: 12, perSecond: 90, retries: 0, delay: time.Second, outages: 0.5, outageSize: 4},
		{hosts: 6, engines: 3, perSecond: 5, retries: 1, delay: 50 * time.Millisecond, outages: 0.5, outageSize: 1},
	} {
		t.Run(fmt.Sprintf("%+v", l), func(t *testing.T) {
			wrong, sent := 0, 0
			for seed := range uint64(*trials) {
				l.seed = seed
				s := newPartSimulation(l)
				s.play(25 * time.Second)
				wrong, sent = wrong+s.wrongVerdicts, sent+s.sent
			}
			t.Logf("refused: %d of %d", wrong, sent)
			if 500*wrong > sent {
				t.Errorf("%d of %d requests were refused", wrong, sent)
			}
		})
	}
}
