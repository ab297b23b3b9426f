package allocation_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/allocation"
)

// longRequest returns the requirements of a long request with shared parts.
func longRequest() allocation.Requirements {
	return allocation.Requirements{Input: 12_000, Shared: 5_400, Output: 64, Bytes: 16_000, Objective: time.Second, Value: allocation.Value(12_000, 64)}
}

// TestChoose checks each cost that a choice takes into account.
func TestChoose(t *testing.T) {
	idle := func(id string) allocation.Candidate {
		return allocation.Candidate{ID: id, Slots: 64, SameDomain: true, Connected: true, Owner: id == "owner"}
	}
	for _, c := range []struct {
		name   string
		change func(owner, other *allocation.Candidate)
		want   string
	}{
		{"no engine holds the parts: their owner reads them", func(*allocation.Candidate, *allocation.Candidate) {}, "owner"},
		{"a holder is preferred to the owner", func(owner, other *allocation.Candidate) { other.Cached, owner.Fetchable = 5_400, 5_400 }, "other"},
		{"a busy holder is avoided: the parts can be fetched", func(owner, other *allocation.Candidate) {
			owner.Cached, other.Fetchable, owner.QueuedAhead, owner.Waiting = 5_400, 5_400, 40_000, 40_000
		}, "other"},
		{"an overloaded owner is avoided", func(owner, _ *allocation.Candidate) {
			owner.QueuedAhead, owner.Waiting = 200_000, 200_000
			owner.FailureRate = 0.9
		}, "other"},
		{"a failing upstream is avoided", func(owner, other *allocation.Candidate) {
			owner.Fetchable, other.Fetchable, owner.FailureRate = 5_400, 5_400, 0.5
		}, "other"},
		{"an upstream with an idle connection is preferred", func(owner, other *allocation.Candidate) {
			owner.Fetchable, other.Fetchable, owner.Connected = 5_400, 5_400, false
		}, "other"},
		{"an upstream in the same failure domain is preferred", func(owner, other *allocation.Candidate) {
			owner.Fetchable, other.Fetchable, owner.SameDomain = 5_400, 5_400, false
		}, "other"},
		{"outdated weights are avoided", func(owner, other *allocation.Candidate) {
			owner.Fetchable, other.Fetchable, owner.Loss = 5_400, 5_400, 0.2
		}, "other"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, candidates := longRequest(), []allocation.Candidate{idle("owner"), idle("other")}
			c.change(&candidates[0], &candidates[1])
			is.New(t).Equal(candidates[allocation.Choose(candidates, r, "key")].ID, c.want)
		})
	}
}

// TestHotPart simulates a hot key: half of the requests share one part, and
// together they exceed the prefill rate of one engine. Few requests may be late,
// and only the first engine reads the part; others fetch it.
func TestHotPart(t *testing.T) {
	is := is.New(t)
	const engines, perSecond, seconds = 12, 60, 20
	random := rand.New(rand.NewPCG(1, 2))
	waiting := make([]float64, engines) // prompt tokens
	cached := make([]bool, engines)
	late, requests, reads := 0, 0, 0
	for step := range perSecond * seconds {
		for i := range waiting {
			waiting[i] = max(0, waiting[i]-60_000/float64(perSecond))
		}
		r := allocation.Requirements{Input: 4_000, Shared: 600, Output: 4, Objective: 600 * time.Millisecond, Value: allocation.Value(4_000, 4)}
		if random.Float64() > 0.5 {
			r = allocation.Requirements{Input: 12_000, Output: 64, Objective: time.Second, Value: allocation.Value(12_000, 64)}
		}
		candidates, fetchable := make([]allocation.Candidate, engines), 0
		if slices.Contains(cached, true) {
			fetchable = r.Shared
		}
		for i := range candidates {
			candidates[i] = allocation.Candidate{
				ID: fmt.Sprintf("e%d", i), Slots: 64, SameDomain: true, Connected: true, QueuedAhead: int(waiting[i]), Waiting: int(waiting[i]), Fetchable: fetchable, Owner: i == 0,
			}
			if cached[i] {
				candidates[i].Cached = r.Shared
			}
		}
		i := allocation.Choose(candidates, r, fmt.Sprint(step))
		if r.Shared > 0 && !cached[i] {
			if fetchable == 0 {
				reads++
			}
			cached[i] = true
		}
		requests++
		if allocation.Prefill(int(waiting[i])+r.Input) > r.Objective {
			late++
		}
		waiting[i] += float64(r.Input)
	}
	is.Equal(reads, 1)
	is.True(late*50 < requests) // under 2 in 100, at three quarters of the engines' prefill rate
}
