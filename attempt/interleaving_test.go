package attempt

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestInterleavings feeds inputs in any order, of the current and of earlier
// attempts, at any pace.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "repeatable"), rapid.IntRange(0, 2).Draw(rt, "resume after"))
		for range rapid.IntRange(1, 60).Draw(rt, "inputs") {
			w.now = w.now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 4 * time.Second, -time.Second}).Draw(rt, "pause"))
			if rapid.IntRange(0, 2).Draw(rt, "healthy") > 0 {
				w.healthy()
				continue
			}
			w.input(anyInput(rt, w))
		}
		w.complete()
	})
}

// anyInput draws an input.
func anyInput(rt *rapid.T, w *world) Input {
	id := w.state.Attempt()
	if len(w.sends) > 0 && rapid.Bool().Draw(rt, "late") {
		id = rapid.SampledFrom(w.sends).Draw(rt, "send").Attempt
	}
	return rapid.SampledFrom([]Input{
		Admitted{}, NoneUsable{}, Delivered{}, Woken{}, CallerLeft{}, Stopping{}, End{id},
		Chosen{Target{Upstream: "engine-1", Incarnation: "1"}}, Budget{true}, Budget{false},
		Opened{id, id, "1", testWeights}, Opened{id, "other", "1", testWeights}, Opened{id, id, "2", "v2"},
		Token{id, w.position}, Token{id, w.position + 1}, Token{id, w.position + 2},
		Failed{id, Cut}, Failed{id, NotStarted}, Failed{id, MissingEnd}, Failed{id, Stalled}, Failed{id, Rejected},
	}).Draw(rt, "input")
}
