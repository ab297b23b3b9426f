package allocation_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/allocation"
)

// TestDraw checks that upstreams are drawn in proportion to their capacity left.
func TestDraw(t *testing.T) {
	is := is.New(t)
	candidates := []allocation.WeightedCandidate{{Waiting: 0}, {Waiting: 3_000}, {Waiting: 50_000}, {Waiting: 3_000, SameDomain: true}}
	counts := make([]int, len(candidates))
	for seed := range uint64(6_000) {
		drawn := allocation.Draw(candidates, 6_000, 1, seed)
		is.Equal(len(drawn), 1)
		is.Equal(drawn, allocation.Draw(candidates, 6_000, 1, seed))
		counts[drawn[0]]++
	}
	// The level is 4,000: 4,000 and 1,000 tokens are left below it, and 1,000
	// that count twice in the same failure domain.
	is.Equal(counts[2], 0)
	is.True(counts[0] > 3_200 && counts[0] < 3_650) // four sevenths
	is.True(counts[3] > counts[1]*3/2)
	is.Equal(len(allocation.Draw(candidates, 6_000, 9, 1)), 3) // no more than have capacity left
	is.Equal(len(allocation.Draw(nil, 6_000, 9, 1)), 0)
}

// TestDrawWithStaleLoads simulates many hosts that know the loads of 60 engines
// as of up to half a second ago, at two thirds of the engines' prefill rate.
// Taking the least loaded of twelve random engines piles requests up; drawing
// by the capacity left keeps the longest queue below one second of prefill.
func TestDrawWithStaleLoads(t *testing.T) {
	is := is.New(t)
	const (
		engines, perSecond, seconds = 60, 600, 20
		prefillRate                 = 50_000 // tokens a second
		updateSteps                 = perSecond / 2
	)
	simulate := func(choose func(reported []float64, step uint64) int) float64 {
		random := rand.New(rand.NewPCG(3, 4))
		waiting, reported := make([]float64, engines), make([]float64, engines)
		longest := 0.0
		for step := range perSecond * seconds {
			for i := range waiting {
				waiting[i] = max(0, waiting[i]-prefillRate/float64(perSecond))
			}
			if step%updateSteps == 0 {
				copy(reported, waiting)
			}
			i := choose(reported, uint64(step))
			waiting[i] += 1_000 + random.Float64()*4_700
			if step > 2*perSecond {
				longest = max(longest, waiting[i])
			}
		}
		return longest
	}
	leastLoaded := simulate(func(reported []float64, step uint64) int {
		random, best := rand.New(rand.NewPCG(step, 1)), -1
		for range 12 {
			if i := random.IntN(engines); best < 0 || reported[i] < reported[best] {
				best = i
			}
		}
		return best
	})
	drawn := simulate(func(reported []float64, step uint64) int {
		candidates := make([]allocation.WeightedCandidate, engines)
		for i, w := range reported {
			candidates[i].Waiting = int(w)
		}
		return allocation.Draw(candidates, perSecond/2*3_350, 1, step)[0]
	})
	t.Logf("longest queue: least loaded %.0f, drawn %.0f tokens", leastLoaded, drawn)
	is.True(drawn < leastLoaded)
	is.True(leastLoaded > prefillRate)
	is.True(drawn < prefillRate)
}
