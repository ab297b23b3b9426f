package standin_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// period returns a period between two numbers of milliseconds; one until 0 lasts.
func period(from, until int) standin.PlatformPeriod {
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := standin.PlatformPeriod{From: begin.Add(time.Duration(from) * time.Millisecond)}
	if until > 0 {
		p.Until = begin.Add(time.Duration(until) * time.Millisecond)
	}
	return p
}

func TestPeriodOutside(t *testing.T) {
	type periods = []standin.PlatformPeriod
	for _, c := range []struct {
		name   string
		others periods
		want   periods
	}{
		{"no others", nil, periods{period(100, 200)}},
		{"before and after", periods{period(50, 100), period(200, 300)}, periods{period(100, 200)}},
		{"in the middle", periods{period(120, 150)}, periods{period(100, 120), period(150, 200)}},
		{"at both ends, out of order", periods{period(180, 220), period(90, 110)}, periods{period(110, 180)}},
		{"one in another", periods{period(110, 190), period(120, 130)}, periods{period(100, 110), period(190, 200)}},
		{"all of it", periods{period(100, 200)}, nil},
		{"one that lasts", periods{period(150, 0)}, periods{period(100, 150)}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(period(100, 200).Outside(c.others), c.want) })
	}
}
