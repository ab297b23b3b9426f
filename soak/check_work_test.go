package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// start is when the calls of the tests are sent.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the instant some milliseconds after start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// worked returns the work of an engine in the given periods, each two numbers of
// milliseconds.
func worked(engine string, millis ...int) engineWork {
	w := engineWork{engine: engine, run: standin.PlatformRun{Began: at(millis[0])}}
	for i := 0; i < len(millis); i += 2 {
		w.periods = append(w.periods, standin.PlatformPeriod{From: at(millis[i]), Until: at(millis[i+1])})
	}
	return w
}

// killed returns work whose engine was killed.
func killed(w engineWork, millis int) engineWork {
	w.killed = at(millis)
	return w
}

// faultAt returns whether hosts were without faults if they had one at an instant.
func faultAt(millis int) func(*host, time.Time, time.Time) bool {
	return func(_ *host, from, until time.Time) bool { return at(millis).Before(from) || at(millis).After(until) }
}

// noFault is an instant long before all calls.
const noFault = -60_000

func TestSharedWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		work  []engineWork
		fault int
		want  bool
	}{
		{"one engine", []engineWork{worked("a", 0, 5000)}, noFault, false},
		{"one after the other", []engineWork{worked("a", 0, 1000), worked("b", 1000, 3000)}, noFault, false},
		{"the first stops in time", []engineWork{worked("a", 0, 1400), worked("b", 1000, 3000)}, noFault, false},
		{"the first works on", []engineWork{worked("a", 0, 1401), worked("b", 1000, 3000)}, noFault, true},
		{"the first is stopped and stops when it wakes", []engineWork{worked("a", 0, 900, 2000, 2300), worked("b", 1000, 3000)}, noFault, false},
		{"the first wakes and works on", []engineWork{worked("a", 0, 900, 2000, 2500), worked("b", 1000, 3000)}, noFault, true},
		{"the first works on in two parts", []engineWork{worked("a", 0, 900, 1100, 1350, 2000, 2200), worked("b", 1000, 3000)}, noFault, true},
		{"the second is stopped meanwhile", []engineWork{worked("a", 0, 3000), worked("b", 1000, 1300, 3000, 4000)}, noFault, false},
		{"the third meets the first", []engineWork{worked("a", 0, 900, 4000, 4500), worked("b", 1000, 2000), worked("c", 3000, 5000)}, noFault, true},
		{"each of three stops in time", []engineWork{worked("a", 0, 1300), worked("b", 1000, 2300), worked("c", 2000, 5000)}, noFault, false},
		{"the host had a fault before", []engineWork{worked("a", 0, 3000), worked("b", 1000, 3000)}, -1900, false},
		{"the host had a fault long before", []engineWork{worked("a", 0, 3000), worked("b", 1000, 3000)}, -2100, true},
		{"the host has a fault later", []engineWork{worked("a", 0, 3000), worked("b", 1000, 3000)}, 2000, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := workCheck{work: map[string][]engineWork{"x": c.work}, faultFree: faultAt(c.fault)}
			found := w.violations([]*call{{id: "x", host: &host{}, sent: at(0), ended: at(5000), answer: standin.PlatformAnswer{Status: 200, Whole: true}}})
			is.Equal(len(found) > 0, c.want)
			is.True(!c.want || strings.HasPrefix(found[0], "two engines worked on x"))
		})
	}
}

func TestLost(t *testing.T) {
	work := []engineWork{worked("a", 10, 3000)}
	for _, c := range []struct {
		name           string
		work           []engineWork
		status         int
		whole          bool
		gaveUp         bool
		ended          int
		fault          int
		brokeOff, want bool
	}{
		{"a whole answer", work, 200, true, false, 3000, noFault, false, false},
		{"a failure", work, 504, true, false, 3000, noFault, false, false},
		{"closed without an answer", work, 0, false, false, 3000, noFault, false, true},
		{"closed in the middle of an answer", work, 200, false, false, 3000, noFault, false, true},
		{"closed soon after it was passed on", work, 0, false, false, 100, noFault, false, true},
		{"closed without being passed on", nil, 0, false, false, 200, noFault, false, true},
		{"crossed the close", nil, 0, false, false, 199, noFault, false, false},
		{"the caller left", work, 200, false, true, 3000, noFault, false, false},
		{"the deadline passed", work, 200, false, false, 10000, noFault, false, false},
		{"the timeout passed", work, 200, false, false, 4000, noFault, false, false},
		{"its engine was killed", []engineWork{killed(worked("a", 10, 3000), 2900)}, 200, false, false, 3000, noFault, false, false},
		{"its engine was killed later", []engineWork{killed(worked("a", 10, 3000), 3100)}, 200, false, false, 3000, noFault, false, true},
		{"one of two engines was killed", []engineWork{killed(worked("a", 10, 1000), 1000), worked("b", 1100, 3000)}, 200, false, false, 3000, noFault, false, false},
		{"the host had a fault before", work, 0, false, false, 3000, -2900, false, false},
		{"the host had a fault long before", work, 0, false, false, 3000, -3100, false, true},
		{"the engine to which it was sent last was killed", work, 200, false, false, 3000, noFault, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := workCheck{work: map[string][]engineWork{"x": c.work}, faultFree: faultAt(c.fault), brokeOff: func(*call) bool { return c.brokeOff }, changes: []termsChange{{at(-9000), terms{timeout: 2 * time.Second}}, {at(-4000), terms{timeout: 4 * time.Second}}}}
			found := w.violations([]*call{{id: "x", host: &host{}, sent: at(0), ended: at(c.ended), gaveUp: c.gaveUp, answer: standin.PlatformAnswer{Status: c.status, Whole: c.whole}}})
			is.Equal(len(found) > 0, c.want)
			is.True(!c.want || strings.Contains(found[0], "lost its connection"))
		})
	}
}

func TestLostAfterRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused []time.Time
		want    bool
	}{
		{"no engine refused to go on", nil, true},
		{"an engine refused to go on", []time.Time{at(2500)}, false},
		{"an engine refused it before it ran elsewhere", []time.Time{at(5)}, true},
		{"an engine refused it after the end", []time.Time{at(3100)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := workCheck{work: map[string][]engineWork{"x": {worked("a", 10, 2400)}}, refusals: map[string][]time.Time{"x": c.refused}, faultFree: faultAt(noFault), brokeOff: func(*call) bool { return false }}
			found := w.violations([]*call{{id: "x", host: &host{}, sent: at(0), ended: at(3000), answer: standin.PlatformAnswer{Status: 200}}})
			is.Equal(len(found) > 0, c.want)
		})
	}
}

func TestCheckMemory(t *testing.T) {
	is := is.New(t)
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	checkMemory("e", "x", "", report)
	checkMemory("e", "x", "127.0.0.1:1/h-x", report)
	is.Equal(found, nil)
	checkMemory("e", "x", "127.0.0.1:1/h-y", report)
	is.Equal(found, []string{"x reached e with the memory 127.0.0.1:1/h-y of another request"})
}

func TestUnacceptedOrders(t *testing.T) {
	is := is.New(t)
	const log = `I0101 load.go:116] "load ordered" Event=6104 Upstream="a" Model="m1" Weights=2 Fence=1 Expected=0 Accepted=true Answered=true
I0101 load.go:116] "load ordered" Event=6104 Upstream="a" Model="m1" Weights=2 Fence=2 Expected=0 Accepted=false Answered=true
I0101 load.go:116] "load ordered" Event=6104 Upstream="b" Model="m1" Weights=2 Fence=3 Expected=0 Accepted=true Answered=true
`
	is.Equal(unacceptedOrders(log, map[string]map[int64]bool{"a": {1: true}, "b": {3: true}}), nil)
	is.Equal(unacceptedOrders(log, map[string]map[int64]bool{"a": {}, "b": {1: true}}), []string{"to a with the fencing number 1", "to b with the fencing number 3"})
}

func TestShortestTimeout(t *testing.T) {
	is := is.New(t)
	changes := []termsChange{{at(0), terms{timeout: 6 * time.Second}}, {at(1000), terms{timeout: 4 * time.Second}}, {at(2000), terms{timeout: 8 * time.Second}}}
	is.Equal(shortestTimeout(changes, at(0), at(500)), 6*time.Second)
	is.Equal(shortestTimeout(changes, at(0), at(1500)), 4*time.Second)
	is.Equal(shortestTimeout(changes, at(4900), at(6000)), 4*time.Second) // may still be in force
	is.Equal(shortestTimeout(changes, at(5100), at(6000)), 8*time.Second)
}

func TestBrokeOff(t *testing.T) {
	const log = `I0101 handler.go:434] "try failed" Event=2102 Request="x" Upstream="a" Outcome="Broken" Status=200 Reason="unexpected EOF"
I0101 handler.go:434] "try failed" Event=2102 Request="y" Upstream="c" Outcome="Broken" Status=200 Reason="unexpected EOF"
I0101 handler.go:434] "try failed" Event=2102 Request="x" Upstream="b" Outcome="Broken" Status=0 Reason="reset"
I0101 broken.go:89] "stream broken" Event=2106 Request="x" After="4"
`
	is := is.New(t)
	is.Equal(lastBroken(log, "x"), "b")
	is.Equal(lastBroken(log, "z"), "")
	is.Equal(lastBroken(log+`I0101 handler.go:434] "try failed" Event=2102 Request="x" Upstream="a" Outcome="TurnedAway" Status=503 Reason=""`+"\n", "x"), "")
	is.True(!endedWith(time.Time{}, at(3000)))
	is.True(!endedWith(at(2799), at(3000)))
	is.True(endedWith(at(2800), at(3000)))
	is.True(endedWith(at(3000), at(3000)))
	is.True(!endedWith(at(3001), at(3000)))
}
