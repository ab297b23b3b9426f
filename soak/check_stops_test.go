package soak

import (
	"cmp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// stoppedAt returns a stop of a host that lasted for its whole grace time.
func stoppedAt(h *host, millis int) stop {
	return stop{host: h, at: at(millis), ended: at(millis + 7900), inTime: true}
}

// ended returns work whose run ended.
func ended(w engineWork, millis int) engineWork {
	w.run.Ended = at(millis)
	return w
}

// lossRow is a made-up call around planned work.
type lossRow struct {
	name string
	// kind is that of the call; "" means full.
	kind string
	// sent, written and ended are in milliseconds after the signal at 0; a written of
	// notWritten means that the request was not sent whole.
	sent, written, ended int
	work                 []engineWork
	refused              []time.Time
	status               int
	whole, gaveUp        bool
	fault                int
	// silent is when all engines were stopped, in milliseconds from and until.
	silent [2]int
	want   bool
}

// notWritten marks a request that was not sent whole.
const notWritten = -1

// violations checks a row's call.
func (r lossRow) violations(l lossCheck, h *host) []string {
	c := &call{id: "x", kind: cmp.Or(r.kind, "full"), host: h, sent: at(r.sent), ended: at(r.ended), gaveUp: r.gaveUp, answer: standin.PlatformAnswer{Status: r.status, Whole: r.whole}}
	if r.written != notWritten {
		c.written = at(r.written)
	}
	l.work, l.refusals, l.deadline, l.gap = map[string][]engineWork{"x": r.work}, map[string][]time.Time{"x": r.refused}, 15*time.Second, 200*time.Millisecond
	l.calm = faultAt(r.fault)
	l.allSilent = func(from, until time.Time) bool {
		return from.Before(until) && !from.Before(at(r.silent[0])) && !until.After(at(r.silent[1]))
	}
	return l.violations([]*call{c})
}

func TestCutByStop(t *testing.T) {
	refused := []time.Time{at(1000)}
	for _, r := range []lossRow{
		{name: "cut during the stop", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, status: 200, fault: noFault, want: true},
		{name: "closed without an answer", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, fault: noFault, want: true},
		{name: "whole", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, status: 200, whole: true, fault: noFault},
		{name: "a whole failure", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, status: 504, whole: true, fault: noFault},
		{name: "the caller gave up", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, status: 200, gaveUp: true, fault: noFault},
		{name: "not sent whole", written: notWritten, ended: 2000, fault: noFault},
		{name: "cut before the signal", sent: -3000, written: -3000, ended: -1, work: []engineWork{worked("a", -2990, -1)}, status: 200, fault: noFault},
		{name: "cut up to a second after the grace time", sent: 3500, written: 3500, ended: 9000, work: []engineWork{worked("a", 3510, 6000)}, status: 200, fault: noFault, want: true},
		{name: "cut later", sent: 3500, written: 3500, ended: 9001, work: []engineWork{worked("a", 3510, 6000)}, status: 200, fault: noFault},
		{name: "closed at once, at no engine", ended: 200, fault: noFault},
		{name: "closed later, at no engine", ended: 201, fault: noFault, want: true},
		{name: "closed soon after a slow body, at no engine", written: 900, ended: 1100, fault: noFault},
		{name: "closed later after a slow body, at no engine", written: 900, ended: 1101, fault: noFault, want: true},
		{name: "closed at once, though an engine had refused it", written: 990, ended: 1050, refused: refused, fault: noFault, want: true},
		{name: "closed at once, though an engine had begun", ended: 100, work: []engineWork{worked("a", 10, 100)}, fault: noFault, want: true},
		{name: "cut when engines refuse to go on", ended: 1001, work: []engineWork{worked("a", 10, 990)}, refused: refused, status: 200, fault: noFault, want: true},
		{name: "the engine broke off", ended: 2000, work: []engineWork{killed(worked("a", 10, 1990), 1990)}, status: 200, fault: noFault},
		{name: "the engine broke off later", ended: 2000, work: []engineWork{killed(worked("a", 10, 2000), 2001)}, status: 200, fault: noFault, want: true},
		{name: "an earlier engine broke off", ended: 4000, work: []engineWork{killed(worked("a", 10, 990), 990), worked("b", 1000, 4000)}, status: 200, fault: noFault, want: true},
		{name: "the engine broke off to which the stream had returned", ended: 4000, work: []engineWork{killed(worked("a", 10, 990, 2000, 3990), 3990), ended(worked("b", 1500, 1990), 1990)}, status: 200, fault: noFault},
		{name: "the deadline", sent: -9000, written: -9000, ended: 6000, work: []engineWork{worked("a", -8990, 6000)}, status: 200, fault: noFault},
		{name: "before the deadline", sent: -8000, written: -8000, ended: 6000, work: []engineWork{worked("a", -7990, 6000)}, status: 200, fault: noFault, want: true},
		{name: "at work in the end of the grace time", sent: -1000, written: -1000, ended: 7700, work: []engineWork{worked("a", -990, 6700)}, status: 200, fault: noFault},
		{name: "at work shortly before", sent: -1000, written: -1000, ended: 7700, work: []engineWork{worked("a", -990, 6600)}, status: 200, fault: noFault, want: true},
		{name: "silent in the end of the grace time", sent: -1000, written: -1000, ended: 7700, work: []engineWork{worked("a", -990, 6000, 8500, 9000)}, status: 200, fault: noFault, want: true},
		{name: "silent in the end, as all engines are", sent: -1000, written: -1000, ended: 7700, work: []engineWork{worked("a", -990, 6000, 8500, 9000)}, status: 200, fault: noFault, silent: [2]int{6200, 8500}},
		{name: "silent in the end, another engine fell silent later", sent: -1000, written: -1000, ended: 7700, work: []engineWork{worked("a", -990, 6000, 8500, 9000)}, status: 200, fault: noFault, silent: [2]int{6201, 8500}, want: true},
		{name: "silent in the end, another engine woke sooner", sent: -1000, written: -1000, ended: 7700, work: []engineWork{worked("a", -990, 6000, 8500, 9000)}, status: 200, fault: noFault, silent: [2]int{6000, 7699}, want: true},
		{name: "silent as all engines are, but ended before the end", sent: -1000, written: -1000, ended: 7700, work: []engineWork{ended(worked("a", -990, 6000), 6000)}, status: 200, fault: noFault, silent: [2]int{6000, 8500}, want: true},
		{name: "silent as all engines are, cut too soon", sent: -1000, written: -1000, ended: 6600, work: []engineWork{worked("a", -990, 6000, 8500, 9000)}, status: 200, fault: noFault, silent: [2]int{6000, 8500}, want: true},
		{name: "silent as all engines are, sent late", sent: 3001, written: 3001, ended: 7700, work: []engineWork{worked("a", 3010, 6000, 8500, 9000)}, status: 200, fault: noFault, silent: [2]int{6000, 8500}, want: true},
		{name: "silent in the end, may run once", kind: "flag", sent: -1000, written: -1000, ended: 7700, work: []engineWork{worked("a", -990, 6000, 8500, 9000)}, status: 200, fault: noFault},
		{name: "ended before the end, may run once", kind: "flag", sent: -1000, written: -1000, ended: 7700, work: []engineWork{ended(worked("a", -990, 6000), 6000)}, status: 200, fault: noFault, want: true},
		{name: "sent late, silent in the end, may run once", kind: "flag", sent: 3001, written: 3001, ended: 7700, work: []engineWork{worked("a", 3010, 6000)}, status: 200, fault: noFault, want: true},
		{name: "sent up to 3 s after the signal, at work in the end", sent: 3000, written: 3000, ended: 7700, work: []engineWork{worked("a", 3010, 7700)}, status: 200, fault: noFault},
		{name: "sent later, at work in the end", sent: 3001, written: 3001, ended: 7700, work: []engineWork{worked("a", 3010, 7700)}, status: 200, fault: noFault, want: true},
		{name: "an unplanned fault shortly before", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, status: 200, fault: -2900},
		{name: "an unplanned fault meanwhile", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, status: 200, fault: 1000},
		{name: "an unplanned fault long before", ended: 2000, work: []engineWork{worked("a", 10, 2000)}, status: 200, fault: -3100, want: true},
	} {
		t.Run(r.name, func(t *testing.T) {
			is, h := is.New(t), &host{name: "h"}
			found := r.violations(lossCheck{stops: []stop{stoppedAt(h, 0)}}, h)
			is.Equal(len(found), map[bool]int{true: 1}[r.want])
			is.True(!r.want || strings.Contains(found[0], "after SIGTERM"))
			is.Equal(r.violations(lossCheck{stops: []stop{stoppedAt(&host{}, 0)}}, h), nil) // another host stops
		})
	}
}

func TestCutInOneOfTwoStops(t *testing.T) {
	is, h := is.New(t), &host{}
	r := lossRow{sent: 1000, written: 1000, ended: 9500, work: []engineWork{worked("a", 1010, 9500)}, status: 200, fault: noFault}
	is.Equal(r.violations(lossCheck{stops: []stop{stoppedAt(h, 0)}}, h), nil)
	is.Equal(len(r.violations(lossCheck{stops: []stop{stoppedAt(h, 0), stoppedAt(h, 9000)}}, h)), 1)
	r.ended = 7700
	is.Equal(r.violations(lossCheck{stops: []stop{stoppedAt(h, 0)}}, h), nil) // at work in the end
}

func TestRouteTimeout(t *testing.T) {
	is, h := is.New(t), &host{}
	l := lossCheck{stops: []stop{stoppedAt(h, 0)}, changes: []termsChange{{at(-60_000), terms{timeout: 12 * time.Second}}}}
	r := lossRow{sent: -9000, written: -9000, ended: 3000, work: []engineWork{worked("a", -8990, 3000)}, status: 200, fault: noFault}
	is.Equal(r.violations(l, h), nil)
	r.ended--
	is.Equal(len(r.violations(l, h)), 1)
}

func TestCutByHangUp(t *testing.T) {
	work := []engineWork{worked("a", 10, 4000)}
	for _, r := range []lossRow{
		{name: "sent before, cut after", sent: -1000, written: -1000, ended: 4000, work: work, status: 200, fault: noFault, want: true},
		{name: "sent up to 2 s after", sent: 2000, written: 2000, ended: 4000, work: work, status: 200, fault: noFault, want: true},
		{name: "sent later", sent: 2001, written: 2001, ended: 4000, work: work, status: 200, fault: noFault},
		{name: "cut before", sent: -1000, written: -1000, ended: 0, work: work, status: 200, fault: noFault},
		{name: "whole", sent: -1000, written: -1000, ended: 4000, work: work, status: 200, whole: true, fault: noFault},
	} {
		t.Run(r.name, func(t *testing.T) {
			is, h := is.New(t), &host{}
			found := r.violations(lossCheck{hangUps: []signalTime{{h, at(0)}}}, h)
			is.Equal(len(found), map[bool]int{true: 1}[r.want])
			is.Equal(r.violations(lossCheck{hangUps: []signalTime{{&host{}, at(0)}}}, h), nil) // another host
		})
	}
}

// TestAllowedEndOfStopAfterHangUp checks that SIGHUP does not count what a stop may cut.
func TestAllowedEndOfStopAfterHangUp(t *testing.T) {
	is, h := is.New(t), &host{}
	r := lossRow{sent: 1000, written: 1000, ended: 7700, work: []engineWork{worked("a", 1010, 7700)}, status: 200, fault: noFault}
	is.Equal(r.violations(lossCheck{stops: []stop{stoppedAt(h, 0)}, hangUps: []signalTime{{h, at(500)}}}, h), nil)
}

func TestCutBesideConfigurations(t *testing.T) {
	h := &host{}
	l := lossCheck{changes: []termsChange{{at(0), terms{timeout: 10 * time.Second}}}, deadline: 15 * time.Second, calm: faultAt(noFault), refusals: map[string][]time.Time{}}
	cut := func(id string, sent, ended int) *call {
		return &call{id: id, host: h, sent: at(sent), written: at(sent), ended: at(ended), answer: standin.PlatformAnswer{Status: 200}}
	}
	whole := func(ended int) *call {
		c := cut("whole", ended-1000, ended)
		c.answer.Whole = true
		return c
	}
	beside, late, old := cut("beside", 0, 3000), cut("late", 0, 3001), cut("old", -5000, 2001)
	for _, c := range []struct {
		name  string
		calls []*call
		want  int
	}{
		{"cut beside a configuration", []*call{beside, whole(9000)}, 1},
		{"cut later", []*call{late, whole(2000)}, 0},
		{"cut as often at other times", []*call{beside, whole(2000), late, whole(9000)}, 0},
		{"cut thrice as often", []*call{beside, late, whole(9000), whole(9000)}, 0},
		{"cut four times as often", []*call{beside, late, whole(9000), whole(9000), whole(9000)}, 1},
		{"had used seven tenths of its time", []*call{old, whole(9000)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l.work = map[string][]engineWork{"beside": {worked("a", 10, 3000)}, "late": {worked("a", 10, 3001)}, "old": {worked("a", -4990, 2001)}}
			is.Equal(len(l.violations(c.calls)), c.want)
		})
	}
}

func TestOutlivedGraceTime(t *testing.T) {
	is, h := is.New(t), &host{name: "h"}
	s := stoppedAt(h, 0)
	is.Equal(lossCheck{stops: []stop{s}, calm: faultAt(noFault)}.violations(nil), nil)
	s.inTime = false
	is.Equal(len(lossCheck{stops: []stop{s}, calm: faultAt(noFault)}.violations(nil)), 1)
	is.Equal(lossCheck{stops: []stop{s}, calm: faultAt(-2000)}.violations(nil), nil)
}

// TestPartialBodies checks that a body in chunks whose end was not sent counts as unread.
func TestPartialBodies(t *testing.T) {
	is, h := is.New(t), &host{}
	s := stoppedAt(h, 0)
	c := &call{host: h, sent: at(0), ended: at(1000), chunks: 2}
	is.True(!s.interrupted(c, 0))
	c.written = at(900)
	is.True(!s.interrupted(c, 0)) // crossed the close of its connection
	c.written = at(800)
	is.True(s.interrupted(c, 0))
	c.chunks, c.written = 0, time.Time{}
	is.True(s.interrupted(c, 0))
	c.gaveUp = true
	is.True(!s.interrupted(c, 0))
}
