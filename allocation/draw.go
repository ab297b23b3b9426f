package allocation

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/clock"
)

// sameDomainFactor is how much more often an upstream in this host's failure
// domain is drawn than another with the same load.
const sameDomainFactor = 2

// WeightedCandidate is an upstream that may be drawn.
type WeightedCandidate struct {
	// Waiting counts the prompt tokens known to wait there.
	Waiting int
	// SameDomain is set if it is in this host's failure domain.
	SameDomain bool
}

// Draw returns the indices of up to count upstreams, in the order drawn.
//
// Many hosts choose by loads that are somewhat stale: if each took the least
// loaded upstream, all would send to the same one. So arriving, the tokens that
// reach all hosts within the maximum age of the loads, is assumed to fill the
// upstreams up to a common level, and each upstream is drawn in proportion to
// its capacity left below that level. The seed makes a draw repeatable.
func Draw(candidates []WeightedCandidate, arriving float64, count int, seed uint64) []int {
	var source rand.PCG
	source.Seed(seed, uint64(len(candidates)))
	random := rand.New(&source)
	level, total := fillLevel(candidates, arriving), 0.0
	weights := make([]float64, len(candidates))
	for i, c := range candidates {
		weights[i] = max(0, level-float64(c.Waiting))
		if c.SameDomain {
			weights[i] *= sameDomainFactor
		}
		total += weights[i]
	}
	drawn := make([]int, 0, count)
	for len(drawn) < count && total > 0 {
		target := random.Float64() * total
		last := -1
		for i, w := range weights {
			if w <= 0 {
				continue
			}
			last = i
			if target -= w; target < 0 {
				break
			}
		}
		if last < 0 {
			break
		}
		drawn = append(drawn, last)
		total -= weights[last]
		weights[last] = 0
	}
	return drawn
}

// fillLevel returns the common level, in waiting tokens, up to which the arriving
// tokens fill the least loaded upstreams.
func fillLevel(candidates []WeightedCandidate, arriving float64) float64 {
	waiting := make([]float64, len(candidates))
	for i, c := range candidates {
		waiting[i] = float64(c.Waiting)
	}
	slices.Sort(waiting)
	below := 0.0
	for i, w := range waiting {
		if float64(i)*w-below >= arriving {
			return (below + arriving) / float64(i)
		}
		below += w
	}
	return (below + arriving) / float64(max(1, len(waiting)))
}

// meanInputSmoothing is the weight of a new prompt in the moving average.
const meanInputSmoothing = 0.03

// MeanInput is the moving average of prompt sizes, in tokens.
type MeanInput float64

// With returns the average with one more prompt.
func (m MeanInput) With(input int) MeanInput {
	if m == 0 {
		return MeanInput(input)
	}
	return m + meanInputSmoothing*(MeanInput(input)-m)
}

// rateDecayTime is the time constant with which old counts decay.
const rateDecayTime = 2 * time.Second

// RateWindow measures the rate of tokens that one host sends. The zero value is
// ready to use. It is not safe for concurrent use.
type RateWindow struct {
	tokens  float64
	updated clock.Instant
}

// Add counts sent tokens.
func (w *RateWindow) Add(tokens int, now clock.Instant) {
	w.tokens = w.decayed(now) + float64(tokens)
	w.updated = now
}

// Within returns how many tokens are sent within d at the current rate.
func (w *RateWindow) Within(d time.Duration, now clock.Instant) float64 {
	return w.decayed(now) * float64(d) / float64(rateDecayTime)
}

func (w *RateWindow) decayed(now clock.Instant) float64 {
	return w.tokens * math.Exp(-float64(now.Sub(w.updated))/float64(rateDecayTime))
}
