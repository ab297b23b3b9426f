package storenode_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// longAnswerPrompt returns the i-th prompt with a long answer. Each has a different
// first part.
func longAnswerPrompt(i int) map[string]string {
	return map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,400", "X-Prompt-Prefix": fmt.Sprintf("d%d:800,cc:200", i)}
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
			d.await("all engines have the weights", func() bool {
				for _, e := range d.engines {
					if e.Weights() != 2 {
						return false
					}
				}
				return true
			})
		})
	}
}
