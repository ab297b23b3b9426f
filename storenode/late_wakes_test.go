package storenode_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/liveness"
	"github.com/kumquathoist/kumquathoist/standin"
)

// wokeLate reports whether an engine that was stopped until an instant was right to be taken
// for silent when another one began its stream: it had run for less than hosts wait for the
// answer to a check, and had got no processor for at least as long while the other one ran.
func wokeLate(woken, left time.Time, stalls, otherStalls []standin.PlatformPeriod) bool {
	window := standin.PlatformPeriod{From: woken, Until: left}
	var without time.Duration
	for _, ran := range window.Outside(otherStalls) {
		without += length([]standin.PlatformPeriod{ran}) - length(ran.Outside(stalls))
	}
	return length(window.Outside(stalls)) < liveness.AnswerTime && without >= liveness.AnswerTime
}

// leftRightly reports whether a stream whose engine was woken together with another one was
// sent to that one because its own got no processor for so long.
func leftRightly(own, other *standin.PlatformProcess) bool {
	stops := own.Pauses()
	for _, r := range other.Runs() {
		if !wokeLate(stops[len(stops)-1].Until, r.Began, own.Stalls(), other.Stalls()) {
			return false
		}
	}
	return true
}

// TestWokeLate checks which engines count as woken late.
func TestWokeLate(t *testing.T) {
	woken := time.Unix(1_000_000, 0)
	period := func(from, until time.Duration) standin.PlatformPeriod {
		return standin.PlatformPeriod{From: woken.Add(from * time.Millisecond), Until: woken.Add(until * time.Millisecond)}
	}
	type periods = []standin.PlatformPeriod
	for _, c := range []struct {
		name               string
		left               time.Duration
		stalls, otherStall periods
		want               bool
	}{
		{"both run at once", 250, nil, nil, false},
		{"the stream leaves at once", 5, nil, nil, false},
		{"its own engine gets no processor, the other does soon", 300, periods{period(-3000, 310)}, periods{period(-3000, 120)}, true},
		{"its own engine runs for long enough", 300, periods{period(-3000, 180)}, nil, false},
		{"it stalls for too short a time", 140, periods{period(-3000, 90)}, nil, false},
		{"neither runs", 300, periods{period(-3000, 310)}, periods{period(-3000, 290)}, false},
		{"it stalls only later", 90, periods{period(90, 400)}, nil, false},
		{"it runs a little in between", 300, periods{period(-3000, 80), period(120, 310)}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(wokeLate(woken, woken.Add(c.left*time.Millisecond), c.stalls, c.otherStall), c.want)
		})
	}
}
