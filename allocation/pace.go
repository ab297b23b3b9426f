package allocation

import (
	"math"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

const (
	// paceDecayTime is the time constant with which old observations decay.
	paceDecayTime = 10 * time.Second
	// minPaceSamples is the number of observations from which on a pace is used.
	minPaceSamples = 10
	// minPaceFactor and maxPaceFactor bound the factor on expected waits,
	// maxPaceDelay the constant part of a wait.
	minPaceFactor = 0.5
	maxPaceFactor = 4.0
	maxPaceDelay  = 300 * time.Millisecond
)

// Pace corrects expected waits by those that were observed at the engines of a
// service: a constant delay and a factor. Engines of one deployment read a prompt
// in large pieces, those of another in small ones between the tokens of their
// running requests; hosts know only how many tokens wait. The zero value corrects
// nothing. It is immutable.
type Pace struct {
	// count and the sums are of the observations, decayed: expected waits in
	// milliseconds (x) and observed ones (y).
	count, x, y, xx, xy float64
	updated             clock.Instant
}

// With returns the pace after a wait was observed where another one was expected
// without correction.
func (p Pace) With(expected, observed time.Duration, now clock.Instant) Pace {
	factor := 0.0
	if p.updated != 0 {
		factor = math.Exp(-float64(max(0, now.Sub(p.updated))) / float64(paceDecayTime))
	}
	x, y := millis(expected), millis(observed)
	return Pace{count: p.count*factor + 1, x: p.x*factor + x, y: p.y*factor + y, xx: p.xx*factor + x*x, xy: p.xy*factor + x*y, updated: now}
}

// Correct returns the wait to expect.
func (p Pace) Correct(expected time.Duration) time.Duration {
	if p.count < minPaceSamples {
		return expected
	}
	slope := 1.0
	if variance := p.xx - p.x*p.x/p.count; variance > p.count {
		slope = (p.xy - p.x*p.y/p.count) / variance
	}
	slope = min(max(slope, minPaceFactor), maxPaceFactor)
	delay := min(max((p.y-slope*p.x)/p.count, 0), millis(maxPaceDelay))
	return time.Duration((delay + slope*millis(expected)) * float64(time.Millisecond))
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
