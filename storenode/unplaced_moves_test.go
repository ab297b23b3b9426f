package storenode_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestStreamsAreNotStoppedForMovesThatFail guards against cutting streams that their host stopped for a load before it knew of another place.
func TestStreamsAreNotStoppedForMovesThatFail(t *testing.T) {
	const engines, streams, count = 2, 6, 20
	for _, c := range []struct {
		name, path string
		fault      standin.PlatformFault
		// moves is set if streams go on at another engine.
		moves bool
	}{
		{"may run once, no room", "/flag/a", standin.NoRoomFault, false},
		{"may run once, no room any more", "/flag/a", standin.LateNoRoomFault, true},
		{"may be resumed, no room", "/full/a", standin.NoRoomFault, false},
		{"may be resumed, no room any more", "/full/a", standin.LateNoRoomFault, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
			d.configure(func(config map[string]any) {
				for _, r := range config["routes"].([]any)[:2] {
					r.(map[string]any)["timeout_ms"] = 20000
				}
			})
			for i := range engines {
				// A move takes longer than a host waits with its order.
				d.startEngineWith(i, standin.PlatformProcessOptions{Events: count, Interval: 150 * time.Millisecond, LoadTime: 100 * time.Millisecond, MoveTime: 400 * time.Millisecond})
			}
			d.awaitReady(d.host(0))
			d.watchStalls()
			answers := make(chan answer, streams)
			for i := range streams {
				go func() {
					caller, headers := d.client(d.hosts[0]), maps.Clone(longAnswerPrompt(i))
					headers["X-Deadline-Ms"] = "19000"
					caller.writeWithHeaders(c.path, fmt.Sprint("s", i), headers)
					answers <- caller.read()
				}()
			}
			d.await("the streams run", func() bool { return len(d.runs()) == streams })
			time.Sleep(300 * time.Millisecond) // the first events have arrived
			for _, e := range d.engines {
				e.Trouble(standin.PlatformTrouble{Fault: c.fault, Times: 3 * streams})
			}
			time.Sleep(200 * time.Millisecond) // the engines read that
			d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
			cut := 0
			for range streams {
				if a := <-answers; a.truncated || a.body != wholeStream(count) {
					cut++
				}
			}
			is.Equal(cut, 0)
			moved := false
			for _, r := range d.runs() {
				moved = moved || r.Moved
			}
			is.Equal(moved, c.moves)
			d.await("all engines have loaded", func() bool {
				for _, e := range d.engines {
					if version, err := e.Weights(); err != nil || version != 2 {
						return false
					}
				}
				return true
			})
		})
	}
}
