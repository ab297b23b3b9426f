package retrybudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

// TestOutage plays an outage in which every request fails once: nine hosts
// together stay below the bound in every window.
func TestOutage(t *testing.T) {
	is := is.New(t)
	bound := retrybudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	const hosts, perSecond = 9, 12
	counts := make([]retrybudget.Allowance, hosts)
	now := clock.Instant(time.Hour)
	var sent []int
	for step := range 40 * perSecond {
		now = now.Add(time.Second / perSecond)
		again := 0
		for i := range counts {
			counts[i].First(bound, now)
			if step > 5*perSecond && counts[i].Again(bound, retrybudget.Begun, hosts, now) {
				again++
			}
		}
		sent = append(sent, again)
		window := 0
		for _, n := range sent[max(0, len(sent)-10*perSecond):] {
			window += n
		}
		requests := min(step+1, 10*perSecond) * hosts
		is.True(float64(window) <= bound.Ratio*float64(requests)+bound.Slack)
	}
	is.True(sent[len(sent)-1]+sent[len(sent)-2] >= 0)
	total := 0
	for _, n := range sent {
		total += n
	}
	is.True(total > 100) // the bound is used
}

// TestBegunFirst plays an outage in which fresh requests use up their part:
// streams that have begun still go on, within the bound.
func TestBegunFirst(t *testing.T) {
	is := is.New(t)
	bound := retrybudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}
	now := clock.Instant(time.Hour)
	var a retrybudget.Allowance
	for range 100 {
		a.First(bound, now)
	}
	fresh, begun := 0, 0
	for range 100 {
		if a.Again(bound, retrybudget.Fresh, 1, now) {
			fresh++
		}
	}
	is.True(!a.Room(bound, retrybudget.Fresh, 1, now))
	is.True(a.Room(bound, retrybudget.Begun, 1, now))
	for range 100 {
		if a.Again(bound, retrybudget.Begun, 1, now) {
			begun++
		}
	}
	is.True(fresh > 2*begun)
	is.True(begun >= 5)
	is.True(fresh+begun <= 40)
}

// TestHostsThatAreCutOffKeepTheBound plays an outage in which hosts no longer
// hear of each other: each still takes its own part only.
func TestHostsThatAreCutOffKeepTheBound(t *testing.T) {
	is := is.New(t)
	bound := retrybudget.Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	const hosts, perSecond, cutAt = 9, 4, 10
	counts, peaks := make([]retrybudget.Allowance, hosts), make([]retrybudget.Peak, hosts)
	now := clock.Instant(time.Hour)
	var sent []int
	for step := range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		known, again := hosts, 0
		if step > cutAt*perSecond {
			known = 1
		}
		for i := range counts {
			peaks[i] = peaks[i].With(known, now)
			counts[i].First(bound, now)
			for range 3 {
				if step > cutAt*perSecond && counts[i].Again(bound, retrybudget.Begun, peaks[i].Hosts(), now) {
					again++
				}
			}
		}
		sent = append(sent, again)
		window := 0
		for _, n := range sent[max(0, len(sent)-10*perSecond):] {
			window += n
		}
		requests := min(step+1, 10*perSecond) * hosts
		is.True(float64(window) <= bound.Ratio*float64(requests)+bound.Slack)
	}
}
