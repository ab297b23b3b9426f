package plannedstop_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/plannedstop"
)

const (
	began = clock.Instant(time.Hour)
	grace = 8 * time.Second
)

// TestDecide holds the whole table of states and moments.
func TestDecide(t *testing.T) {
	const wait, refuse, cut = plannedstop.Wait, plannedstop.Refuse, plannedstop.Cut
	table := map[plannedstop.State][4]plannedstop.Action{
		plannedstop.Arriving:    {wait, wait, wait, refuse},
		plannedstop.Waiting:     {wait, wait, refuse, refuse},
		plannedstop.Running:     {wait, wait, wait, refuse},
		plannedstop.Moving:      {wait, wait, wait, cut},
		plannedstop.Streaming:   {wait, wait, wait, cut},
		plannedstop.Interrupted: {wait, wait, wait, cut},
		plannedstop.Writing:     {wait, wait, wait, cut},
	}
	for _, s := range plannedstop.States() {
		for m, want := range table[s] {
			t.Run(fmt.Sprint(s, " in moment ", m), func(t *testing.T) {
				is.New(t).Equal(plannedstop.Decide(s, plannedstop.Moment(m)), want)
			})
		}
	}
	is.New(t).Equal(len(plannedstop.States()), len(table))
}

// TestMoment checks the limits of the moments, also with a short grace time.
func TestMoment(t *testing.T) {
	for _, c := range []struct {
		grace, after time.Duration
		want         plannedstop.Moment
	}{
		{grace, 0, plannedstop.Serving},
		{grace, 3*time.Second - 1, plannedstop.Serving},
		{grace, 3 * time.Second, plannedstop.Finishing},
		{grace, 6400 * time.Millisecond, plannedstop.Finishing},
		{grace, 6500 * time.Millisecond, plannedstop.Settling},
		{grace, 7499 * time.Millisecond, plannedstop.Settling},
		{grace, 7500 * time.Millisecond, plannedstop.Ending},
		{2 * time.Second, 1400 * time.Millisecond, plannedstop.Serving},
		{2 * time.Second, 1480 * time.Millisecond, plannedstop.Settling},
		{2 * time.Second, 1500 * time.Millisecond, plannedstop.Ending},
		{100 * time.Millisecond, 0, plannedstop.Ending},
	} {
		is.New(t).Equal(plannedstop.NewPlan(began, c.grace).Moment(began.Add(c.after)), c.want)
	}
}

// TestTakes checks which new requests a host takes.
func TestTakes(t *testing.T) {
	plan := plannedstop.NewPlan(began, grace)
	for _, c := range []struct {
		name     string
		plan     plannedstop.Plan
		after    time.Duration
		timeLeft time.Duration
		request  plannedstop.Request
		want     bool
	}{
		{"no stop", plannedstop.Plan{}, 0, time.Minute, plannedstop.Request{}, true},
		{"deadline in time", plan, 0, 7 * time.Second, plannedstop.Request{}, true},
		{"deadline too late", plan, time.Second, 7 * time.Second, plannedstop.Request{}, false},
		{"deadline too late, short so far, not resumable", plan, time.Second, 7 * time.Second, plannedstop.Request{Expected: time.Second}, false},
		{"resumable, unknown", plan, 0, 15 * time.Second, plannedstop.Request{Resumable: true}, false},
		{"resumable, short so far", plan, 0, 15 * time.Second, plannedstop.Request{Resumable: true, Expected: 6 * time.Second}, true},
		{"resumable, long so far", plan, 0, 15 * time.Second, plannedstop.Request{Resumable: true, Expected: 6100 * time.Millisecond}, false},
		{"resumable, short so far, late", plan, 2900 * time.Millisecond, 15 * time.Second, plannedstop.Request{Resumable: true, Expected: 4 * time.Second}, false},
		{"after 3 s", plan, 3 * time.Second, time.Second, plannedstop.Request{Resumable: true, Expected: time.Millisecond}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := began.Add(c.after)
			c.request.Deadline = now.Add(c.timeLeft)
			is.New(t).Equal(c.plan.Takes(c.request, now), c.want)
		})
	}
}

// TestDurations checks what is expected of requests.
func TestDurations(t *testing.T) {
	is := is.New(t)
	var d plannedstop.Durations
	for range 7 {
		d = d.With(5 * time.Second)
	}
	is.Equal(d.Expected(), time.Duration(0))
	d = d.With(9 * time.Second)
	is.Equal(d.Expected(), 9*time.Second)
	for range 64 {
		d = d.With(time.Second)
	}
	is.Equal(d.Expected(), time.Second)
}

// TestMaxIdle checks how long a stream may be idle at each moment of a stop.
func TestMaxIdle(t *testing.T) {
	const usual, least = 2400 * time.Millisecond, 500 * time.Millisecond
	began := clock.Instant(time.Hour)
	plan := plannedstop.NewPlan(began, 8*time.Second)
	for _, c := range []struct {
		name string
		plan plannedstop.Plan
		at   time.Duration
		want time.Duration
	}{
		{"no stop", plannedstop.Plan{}, 6 * time.Second, usual},
		{"begins", plan, 0, usual},
		{"settles soon", plan, 4 * time.Second, plan.Settles.Sub(began.Add(4*time.Second)) - 700*time.Millisecond},
		{"settles", plan, 6500 * time.Millisecond, least},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			at := began.Add(c.at)
			is.Equal(c.plan.MaxIdle(usual, least, at), c.want)
			is.Equal(c.plan.HasTime(time.Second, at), c.plan.IsZero() || plan.Settles.Sub(at) >= time.Second)
		})
	}
}
