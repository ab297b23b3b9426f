package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

// The users' bounds of requests around planned work.
const (
	// lossSlack is how long a request that no engine has received must have been pending to
	// count as read.
	lossSlack = 200 * time.Millisecond
	// stopMargin is how long after its grace time a stop still counts as planned work.
	stopMargin = time.Second
	// lateSend is how long after the signal a request may be sent whose engine may still be
	// at work in the last share graceEnd of the grace time.
	lateSend = 3 * time.Second
	graceEnd = 1.0 / 6
	// configApplyLimit is how long hosts may take to apply a configuration, configMargin how
	// much longer it counts as planned work.
	configApplyLimit = 2 * time.Second
	configMargin     = time.Second
	// Beside configurations, requests count if they are cut over maxCutRatio times as often
	// as at other times, and have used no more than maxUsedShare of their time.
	maxCutRatio  = 3
	maxUsedShare = 0.7
)

// signalTime is when a host got a signal.
type signalTime struct {
	host *host
	at   time.Time
}

// lossCheck checks that requests have whole answers around planned work.
type lossCheck struct {
	work     map[string][]engineWork
	refusals map[string][]time.Time
	// stops are all planned stops, hangUps when hosts got SIGHUP, changes the
	// configurations that were written.
	stops   []stop
	hangUps []signalTime
	changes []termsChange
	// deadline is the callers' time limit.
	deadline time.Duration
	// gap is the longest usual pause of a stream.
	gap time.Duration
	// calm reports whether a host had no unplanned fault between two times.
	calm func(h *host, from, until time.Time) bool
	// allSilent reports whether all engines were stopped from one time until another.
	allSilent func(from, until time.Time) bool
}

// checkLosses checks the requests around planned work where engines are processes.
func (fi *faultInjector) checkLosses(calls []*call) []string {
	if len(fi.processes) == 0 {
		return nil
	}
	return lossCheck{fi.allWork(), fi.allRefusals(), fi.plannedStops, fi.hangUps, fi.changes, fi.tempo.deadline, fi.tempo.gap, fi.calmBetween, fi.allSilent}.violations(calls)
}

// violations returns the violations that the stops, the calls and the work show.
func (l lossCheck) violations(calls []*call) []string {
	var found []string
	for _, s := range l.stops {
		if !s.inTime && l.calm(s.host, s.at.Add(-hostCalm), s.ended) {
			found = append(found, fmt.Sprintf("%s outlived its grace time after the signal at %s", s.host.name, s.at.Format(logTime)))
		}
	}
	var beside []*call
	for _, c := range calls {
		if !l.isCut(c) {
			continue
		}
		if text := l.duringStop(c); text != "" {
			found = append(found, l.describe(c, text))
		} else if text := l.afterHangUp(c); text != "" {
			found = append(found, l.describe(c, text))
		} else {
			beside = append(beside, c)
		}
	}
	for _, c := range l.besideChanges(beside, calls) {
		found = append(found, l.describe(c, "beside a configuration"))
	}
	return found
}

// isCut reports whether a call was read and ended without a whole answer though neither its
// engine nor its time nor an unplanned fault excuses that.
func (l lossCheck) isCut(c *call) bool {
	work := l.work[c.id]
	switch {
	case c.answer.Status != 0 && c.answer.Whole, c.gaveUp, c.written.IsZero():
		return false
	case len(work) == 0 && len(l.refusals[c.id]) == 0 && c.ended.Sub(c.written) <= lossSlack:
		return false
	case c.ended.Sub(c.sent) >= l.limit(c):
		return false
	case !l.calm(c.host, c.sent.Add(-hostCalm), c.ended):
		return false
	case len(work) == 0:
		return true
	}
	last := slices.MaxFunc(work, func(a, b engineWork) int { return a.end(c.ended).Compare(b.end(c.ended)) })
	return last.killed.IsZero() || last.killed.After(c.ended)
}

// limit returns the time that a call had.
func (l lossCheck) limit(c *call) time.Duration {
	return min(l.deadline, shortestTimeoutWithin(l.deadline, l.changes, c.sent, c.ended))
}

// duringStop describes when a stop cut a call, or returns "".
func (l lossCheck) duringStop(c *call) string {
	for _, s := range l.stops {
		if !s.covers(c) {
			continue
		}
		if c.sent.After(s.at.Add(lateSend)) || !l.workedAtEnd(c, s) {
			return fmt.Sprintf("%v after SIGTERM at %s, sent %v after it", c.ended.Sub(s.at), s.at.Format(logTime), c.sent.Sub(s.at))
		}
	}
	return ""
}

// covers reports whether a call ended while the stop of its host was planned work.
func (s stop) covers(c *call) bool {
	return s.host == c.host && !c.ended.Before(s.at) && !c.ended.After(s.at.Add(graceSeconds*time.Second+stopMargin))
}

// workedAtEnd reports whether an engine worked on a call in the end of a stop's grace time.
// Where a request may run once, or once its stream pauses for longer than usual all engines
// are silent until it ends, no other can take it from one that is silent.
func (l lossCheck) workedAtEnd(c *call, s stop) bool {
	grace := graceSeconds * time.Second
	end := []standin.PlatformPeriod{{From: s.at.Add(grace - time.Duration(graceEnd*float64(grace))), Until: s.at.Add(grace)}}
	for _, w := range l.work[c.id] {
		periods := w.periods
		if c.kind == "flag" || c.kind == "post" || l.allSilent(w.lastWork(c.ended).Add(l.gap), c.ended) {
			periods = w.span(c.ended)
		}
		if overlap(periods, end) > 0 {
			return true
		}
	}
	return false
}

// afterHangUp describes when a call was cut after SIGHUP, or returns "".
func (l lossCheck) afterHangUp(c *call) string {
	for _, h := range l.hangUps {
		if h.host == c.host && !c.sent.After(h.at.Add(configApplyLimit)) && c.ended.After(h.at) && !l.stopped(c) {
			return fmt.Sprintf("%v after SIGHUP at %s, sent %v after it", c.ended.Sub(h.at), h.at.Format(logTime), c.sent.Sub(h.at))
		}
	}
	return ""
}

// stopped reports whether a call ended during a stop of its host.
func (l lossCheck) stopped(c *call) bool {
	return slices.ContainsFunc(l.stops, func(s stop) bool { return s.covers(c) })
}

// besideChanges returns the cut calls that count beside configurations.
func (l lossCheck) besideChanges(cut, all []*call) []*call {
	isBeside := func(c *call) bool {
		for _, change := range l.changes {
			if !c.ended.Before(change.at) && !c.ended.After(change.at.Add(configApplyLimit+configMargin)) {
				return true
			}
		}
		return false
	}
	type count struct{ cut, all int }
	beside, other := map[*host]count{}, map[*host]count{}
	add := func(c *call, n count) {
		counts := other
		if isBeside(c) {
			counts = beside
		}
		counts[c.host] = count{counts[c.host].cut + n.cut, counts[c.host].all + n.all}
	}
	for _, c := range all {
		add(c, count{all: 1})
	}
	for _, c := range cut {
		add(c, count{cut: 1})
	}
	var found []*call
	for _, c := range cut {
		b, o := beside[c.host], other[c.host]
		used := float64(c.ended.Sub(c.sent)) / float64(l.limit(c))
		if isBeside(c) && used <= maxUsedShare && !l.stopped(c) && b.cut*o.all > maxCutRatio*o.cut*b.all {
			found = append(found, c)
		}
	}
	return found
}

// describe describes a cut call.
func (l lossCheck) describe(c *call, when string) string {
	text := fmt.Sprintf("%s of %s was cut %s, after %v of %v: %s, engines %v", c.id, c.host.name, when, c.ended.Sub(c.sent), l.limit(c), c.outcome(), l.work[c.id])
	for _, at := range l.refusals[c.id] {
		text += " refused " + at.Format(logTime)
	}
	return text
}

// checkedStops returns the number of planned stops whose answers were checked.
func (fi *faultInjector) checkedStops() int {
	if len(fi.processes) == 0 {
		return len(fi.stops)
	}
	return len(fi.plannedStops)
}
