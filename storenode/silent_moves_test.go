package storenode_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestWakingEngineLoadsAfterItsStreamsReturn guards against cutting streams that may run once:
// their engine stops them for a move when it wakes, and is ordered to load at the same time.
func TestWakingEngineLoadsAfterItsStreamsReturn(t *testing.T) {
	const engines, streams, count = 3, 9, 40
	is := is.New(t)
	d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
	d.configure(func(config map[string]any) {
		for _, r := range config["routes"].([]any)[:2] {
			r.(map[string]any)["timeout_ms"] = 20000
		}
	})
	for i := range engines {
		d.startEngine(i, count, 0, 100*time.Millisecond)
	}
	h := d.daemon(0)
	answers := make(chan answer, streams)
	for i := range streams {
		go func() {
			caller, headers := d.client(h.testHost), maps.Clone(longAnswerPrompt(i))
			headers["X-Deadline-Ms"] = "15000"
			caller.writeWithHeaders("/flag/a", fmt.Sprint("s", i), headers)
			answers <- caller.read()
		}()
	}
	d.await("the streams run", func() bool { return len(d.runs()) == streams })
	time.Sleep(300 * time.Millisecond) // the first events have arrived
	for _, e := range d.engines {
		e.Trouble(standin.PlatformTrouble{Fault: standin.NoRoomFault, Times: streams})
	}
	time.Sleep(300 * time.Millisecond) // the engines read that
	for _, e := range d.engines {
		e.Pause()
	}
	d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
	d.await("the host is to order one", func() bool { return h.line(6101, "") != "" })
	time.Sleep(200 * time.Millisecond) // the host still waits for its report
	for _, e := range d.engines {
		e.Resume()
	}
	cut := 0
	for range streams {
		if a := <-answers; a.truncated || a.body != wholeStream(count) {
			cut++
		}
	}
	is.Equal(cut, 0)
	d.await("all engines have loaded", func() bool {
		for _, e := range d.engines {
			if version, err := e.Weights(); err != nil || version != 2 {
				return false
			}
		}
		return true
	})
}
