package storenode_test

import (
	"maps"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStopEndsBesideSilentEngines guards against hosts that outlive their grace time since
// they wait for engines that do not answer.
func TestStopEndsBesideSilentEngines(t *testing.T) {
	const grace = 4 * time.Second
	is := is.New(t)
	d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
	d.graceSeconds = grace.Seconds()
	d.configure(func(config map[string]any) { config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 20000 })
	for i := range 2 {
		d.startEngine(i, 100, 0, 100*time.Millisecond)
	}
	d.watchStalls()
	h := d.daemon(0)
	headers := maps.Clone(longAnswerPrompt(0))
	headers["X-Deadline-Ms"] = "15000"
	caller := d.client(h.testHost)
	caller.writeWithHeaders("/full/a", "s", headers)
	d.await("the stream runs", func() bool { return len(d.runs()) == 1 })
	for _, e := range d.engines {
		e.Pause()
	}
	d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
	d.await("an engine is to load", func() bool { return h.line(6101, "") != "" })
	began := time.Now()
	d.signal(h, syscall.SIGTERM)
	<-h.ended
	took := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, stall := range d.own {
		took -= stall.Until.Sub(stall.From)
	}
	is.True(took < grace)
}
