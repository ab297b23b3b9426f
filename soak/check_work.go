package soak

import (
	"fmt"
	"time"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// maxSharedWork is how long two engines may work on one request, and hostCalm how
	// long a host must have been without faults to be held to it (the users' rules).
	maxSharedWork = 400 * time.Millisecond
	hostCalm      = 3 * time.Second
)

// workCheck checks what engines that are processes did for the calls.
type workCheck struct {
	work map[string][]engineWork
	// refusals are the times at which engines refused a request.
	refusals map[string][]time.Time
	// changes are the configurations that were written.
	changes []termsChange
	// faultFree reports whether a host had no fault between two times.
	faultFree func(h *host, from, until time.Time) bool
	// brokeOff reports whether a call ended with the engine to which it had been sent last.
	brokeOff func(c *call) bool
}

// checkProcesses checks what engines that are processes did, if any are.
func (fi *faultInjector) checkProcesses(calls []*call) []string {
	if len(fi.processes) == 0 {
		return nil
	}
	return workCheck{fi.allWork(), fi.allRefusals(), fi.changes, fi.faultFreeBetween, fi.brokeOff}.violations(calls)
}

// violations returns the violations that the calls and the work show.
func (w workCheck) violations(calls []*call) []string {
	var found []string
	for _, c := range calls {
		if text := w.sharedWork(c); text != "" {
			found = append(found, text)
		}
		if text := w.lost(c); text != "" {
			found = append(found, text)
		}
	}
	return found
}

// sharedWork describes two engines that worked on a call for too long, or returns "".
func (w workCheck) sharedWork(c *call) string {
	work := w.work[c.id]
	for j, second := range work {
		for _, first := range work[:j] {
			shared := overlap(first.periods, second.periods)
			if shared > maxSharedWork && w.faultFree(c.host, second.run.Began.Add(-hostCalm), second.run.Began.Add(maxSharedWork)) {
				return fmt.Sprintf("two engines worked on %s of %s (%s) for %v: %v", c.id, c.host.name, c.kind, shared, work)
			}
		}
	}
	return ""
}

// overlap returns how long two lists of periods overlap.
func overlap(a, b []standin.PlatformPeriod) time.Duration {
	var total time.Duration
	for _, x := range a {
		for _, y := range b {
			from, until := x.From, x.Until
			if y.From.After(from) {
				from = y.From
			}
			if y.Until.Before(until) {
				until = y.Until
			}
			total += max(0, until.Sub(from))
		}
	}
	return total
}

// lost describes a call whose connection the host closed without a complete answer
// though nothing excused that, or returns "".
func (w workCheck) lost(c *call) string {
	work, took := w.work[c.id], c.ended.Sub(c.sent)
	switch {
	case c.answer.Status != 0 && c.answer.Whole, c.gaveUp, c.isPartial():
		return ""
	case took >= min(processDeadline, shortestTimeout(w.changes, c.sent, c.ended)):
		return ""
	case len(work) == 0 && c.ended.Sub(c.lastByte()) < closeRaceWindow:
		// The request crossed the close of its connection.
		return ""
	case !w.faultFree(c.host, c.sent.Add(-hostCalm), c.ended), w.brokeOff(c):
		return ""
	}
	for _, at := range w.refusals[c.id] {
		// Engines refused to go on with it.
		if len(work) > 0 && at.After(work[0].run.Began) && at.Before(c.ended) {
			return ""
		}
	}
	for _, e := range work {
		if !e.killed.IsZero() && e.killed.Before(c.ended) {
			return ""
		}
	}
	return fmt.Sprintf("%s of %s lost its connection after %v at %s: %s, engines %v", c.id, c.host.name, took, c.ended.Format(logTime), c.outcome(), work)
}
