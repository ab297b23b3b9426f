package storenode_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/lease"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/standin"
)

// longAnswerPrompt returns the i-th prompt with a long answer. Each has a different
// first part.
func longAnswerPrompt(i int) map[string]string {
	return map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,400", "X-Prompt-Prefix": fmt.Sprintf("d%d:800,cc:200", i)}
}

// haveWeights reports whether all engines have some weights.
func (d *deployment) haveWeights(version int64) bool {
	return !slices.ContainsFunc(d.engines, func(e *standin.PlatformEngine) bool { return e.Weights() != version })
}

// TestRunsMove sets new target weights while long answers are streamed. They must
// resume on other engines, complete and in order, each request executed once.
func TestRunsMove(t *testing.T) {
	for _, c := range []struct {
		name string
		// fault is the fault of each engine's next move.
		fault standin.PlatformFault
	}{
		{"to other engines", standin.NoFault},
		{"back to an engine whose memory fits no other engine", standin.NoRoomFault},
		{"to engines that have no room for what is new", standin.LateNoRoomFault},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 2, 6, 0)
			// A host moves streams to engines that have loaded if it isn't told of loads.
			d.await("the hosts know each other", func() bool { return len(d.addresses(d.hosts[0])) == 2 && len(d.addresses(d.hosts[1])) == 2 })
			for _, e := range d.engines {
				e.Pace(400 * time.Millisecond)
				if c.fault != standin.NoFault {
					e.Fail(c.fault, 1)
				}
			}
			const streams = 12
			answers := make(chan answer, streams)
			for i := range streams {
				go func() {
					answers <- d.do(d.hosts[i%2], "POST", modelHost, "/full/a", fmt.Sprint("s", i), longAnswerPrompt(i), "body")
				}()
			}
			d.await("all are running", func() bool {
				n := 0
				for i := range streams {
					n += d.executions(fmt.Sprint("s", i))
				}
				return n == streams
			})
			d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
			for range streams {
				a := <-answers
				is.Equal(a.status, 200)
				is.True(!a.truncated)
				is.Equal(a.body, completeStream())
			}
			continued := 0
			for _, e := range d.engines {
				continued += e.Continued()
			}
			is.True(continued > 0) // some were at an engine that had to load weights
			for i := range streams {
				is.Equal(d.executions(fmt.Sprint("s", i)), 1)
			}
			d.await("all engines have the weights", func() bool { return d.haveWeights(2) })
		})
	}
}

// TestMovedRunsDoNotBeginOnExpiredWeights has the memory of a stream arrive when its weights
// may no longer answer, while nobody orders engines.
func TestMovedRunsDoNotBeginOnExpiredWeights(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		// weightsMillis is how long replaced weights may answer, moveTime how long a move
		// takes.
		weightsMillis int
		moveTime      time.Duration
		// moves is how often the stream moves, continued how often it goes on with its
		// memory.
		moves, continued int
	}{
		{"may be resumed", "/full/a", 1400, 1400 * time.Millisecond, 1, 0},
		{"may not be resumed", "/flag/a", 1400, 1400 * time.Millisecond, 0, 0},
		{"may be resumed, in time", "/full/a", 30_000, 400 * time.Millisecond, 1, 1},
		{"may not be resumed, in time", "/flag/a", 30_000, 400 * time.Millisecond, 1, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 0, 2, 0)
			d.weightsMillis, d.leaseMillis = tt.weightsMillis, 60_000
			claimed, err := platform.NewStore(d.store.Address()).Claim(t.Context(), lease.Claim{Holder: "other", Upstreams: []string{"engine-0", "engine-1", "newer"}}, 0)
			is.NoErr(err)
			is.True(claimed)
			d.awaitReady(d.host(0))
			for _, e := range d.engines {
				e.Pace(400 * time.Millisecond)
				e.MoveTakes(tt.moveTime)
			}
			answers := make(chan answer, 1)
			go func() { answers <- d.do(d.hosts[0], "POST", modelHost, tt.path, movedID, longAnswerPrompt(0), "body") }()
			d.await("the stream runs", func() bool { return d.executions(movedID) == 1 })
			source, other := d.engines[0], d.engines[1]
			if other.Ran()[movedID] == 1 {
				source, other = other, source
			}
			d.store.NameWeights("m1", 2)
			newer := d.engine("newer", "models", "m1")
			newer.Load(2)
			d.store.Register(newer)
			d.await("the host knows the weights", func() bool { return d.hosts[0].Named("m1") == 2 && d.hosts[0].Knows("newer") })
			d.hosts[0].Evacuate(source.ID)
			a := <-answers
			is.Equal(a.status, 200)
			is.True(!a.truncated)
			is.Equal(a.body, completeStream())
			is.Equal(source.Moves(), tt.moves)
			is.Equal(other.Continued(), tt.continued)
		})
	}
}
