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

// TestInterleavings feeds inputs of the current and earlier attempts in random
// order and at random times.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t, rapid.Uint64().Draw(rt, "seed"), rapid.Bool().Draw(rt, "idempotent"), rapid.IntRange(0, 2).Draw(rt, "resume after"))
		for range rapid.IntRange(1, 60).Draw(rt, "inputs") {
			h.now = h.now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, 4 * time.Second, -time.Second}).Draw(rt, "pause"))
			if rapid.IntRange(0, 2).Draw(rt, "advance") > 0 {
				h.advance()
				continue
			}
			h.input(anyInput(rt, h))
		}
		h.complete()
	})
}

// anyInput draws a random input.
func anyInput(rt *rapid.T, h *harness) Input {
	id := h.state.Attempt()
	if len(h.sends) > 0 && rapid.Bool().Draw(rt, "late") {
		id = rapid.SampledFrom(h.sends).Draw(rt, "send").Attempt
	}
	return rapid.SampledFrom([]Input{
		Admitted{}, NoEngineAvailable{}, Delivered{}, TimerFired{}, CallerDisconnected{}, Stopping{}, End{id},
		Chosen{Target{Upstream: "engine-1", Incarnation: "1"}}, RetryDecision{true}, RetryDecision{false},
		Opened{id, id, "1", testWeights}, Opened{id, "other", "1", testWeights}, Opened{id, id, "2", "v2"},
		Token{id, h.position}, Token{id, h.position + 1}, Token{id, h.position + 2},
		Failed{id, ConnectionFailed}, Failed{id, NotStarted}, Failed{id, MissingEnd}, Failed{id, Stalled}, Failed{id, Rejected},
	}).Draw(rt, "input")
}
