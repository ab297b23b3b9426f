package storenode_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// longAnswer returns a prompt whose answer takes long, with a shared part of
// its own.
func longAnswer(i int) map[string]string {
	return map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,400", "X-Prompt-Prefix": fmt.Sprintf("d%d:800,cc:200", i)}
}

// TestRunsMove names new weights while long answers run. They go on at other
// engines, complete and in order, each run once.
func TestRunsMove(t *testing.T) {
	for _, c := range []struct {
		name string
		// fault meets the engines' moves, runs is how often a request runs.
		fault standin.PlatformFault
	}{
		{"to other engines", standin.NoFault},
		{"back to an engine whose memory has no room elsewhere", standin.NoRoomFault},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2, 6, 0)
			for _, e := range w.engines {
				e.Pace(400 * time.Millisecond)
				if c.fault != standin.NoFault {
					e.Fail(c.fault, 1)
				}
			}
			const streams = 12
			answers := make(chan answer, streams)
			for i := range streams {
				go func() {
					answers <- w.do(w.hosts[i%2], "POST", modelHost, "/full/a", fmt.Sprint("s", i), longAnswer(i), "body")
				}()
			}
			w.await("all run", func() bool {
				n := 0
				for i := range streams {
					n += w.ran(fmt.Sprint("s", i))
				}
				return n == streams
			})
			w.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
			for range streams {
				a := <-answers
				is.Equal(a.status, 200)
				is.True(!a.broken)
				is.Equal(a.body, wholeStream())
			}
			continued := 0
			for _, e := range w.engines {
				continued += e.Continued()
			}
			is.True(continued > 0) // some were at an engine that was to load
			for i := range streams {
				is.Equal(w.ran(fmt.Sprint("s", i)), 1)
			}
			w.await("all engines have the weights", func() bool {
				for _, e := range w.engines {
					if e.Weights() != 2 {
						return false
					}
				}
				return true
			})
		})
	}
}
