package retrybudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/retrybudget"
)

// TestOutage simulates an outage in which every request fails once: the retries
// of nine hosts together stay within the limits in every window.
func TestOutage(t *testing.T) {
	is := is.New(t)
	limits := retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	const hosts, perSecond = 9, 12
	budgets := make([]retrybudget.Budget, hosts)
	now := clock.Instant(time.Hour)
	var sent []int
	for step := range 40 * perSecond {
		now = now.Add(time.Second / perSecond)
		retries := 0
		for i := range budgets {
			budgets[i].RecordFirst(limits, now)
			if step > 5*perSecond && budgets[i].TryRetry(limits, retrybudget.Streaming, hosts, now) {
				retries++
			}
		}
		sent = append(sent, retries)
		window := 0
		for _, n := range sent[max(0, len(sent)-10*perSecond):] {
			window += n
		}
		requests := min(step+1, 10*perSecond) * hosts
		is.True(float64(window) <= limits.Ratio*float64(requests)+limits.Slack)
	}
	is.True(sent[len(sent)-1]+sent[len(sent)-2] >= 0)
	total := 0
	for _, n := range sent {
		total += n
	}
	is.True(total > 100) // the limits are used
}

// TestStreamsFirst simulates an outage in which fresh requests use up their
// share: started streams are still resumed, within the limits.
func TestStreamsFirst(t *testing.T) {
	is := is.New(t)
	limits := retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 20}
	now := clock.Instant(time.Hour)
	var b retrybudget.Budget
	for range 100 {
		b.RecordFirst(limits, now)
	}
	fresh, streaming := 0, 0
	for range 100 {
		if b.TryRetry(limits, retrybudget.Fresh, 1, now) {
			fresh++
		}
	}
	is.True(!b.Allows(limits, retrybudget.Fresh, 1, now))
	is.True(b.Allows(limits, retrybudget.Streaming, 1, now))
	for range 100 {
		if b.TryRetry(limits, retrybudget.Streaming, 1, now) {
			streaming++
		}
	}
	is.True(fresh > 2*streaming)
	is.True(streaming >= 5)
	is.True(fresh+streaming <= 40)
}

// TestPartitionedHosts simulates an outage in which hosts no longer reach each
// other: each still uses only its own part of the limits.
func TestPartitionedHosts(t *testing.T) {
	is := is.New(t)
	limits := retrybudget.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 58}
	const hosts, perSecond, partitionAt = 9, 4, 10
	budgets, peaks := make([]retrybudget.Budget, hosts), make([]retrybudget.PeakHosts, hosts)
	now := clock.Instant(time.Hour)
	var sent []int
	for step := range 60 * perSecond {
		now = now.Add(time.Second / perSecond)
		knownHosts, retries := hosts, 0
		if step > partitionAt*perSecond {
			knownHosts = 1
		}
		for i := range budgets {
			peaks[i] = peaks[i].With(knownHosts, now)
			budgets[i].RecordFirst(limits, now)
			for range 3 {
				if step > partitionAt*perSecond && budgets[i].TryRetry(limits, retrybudget.Streaming, peaks[i].Hosts(), now) {
					retries++
				}
			}
		}
		sent = append(sent, retries)
		window := 0
		for _, n := range sent[max(0, len(sent)-10*perSecond):] {
			window += n
		}
		requests := min(step+1, 10*perSecond) * hosts
		is.True(float64(window) <= limits.Ratio*float64(requests)+limits.Slack)
	}
}
