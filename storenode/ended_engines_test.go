package storenode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestEndedEnginesDoNotCountAsAttempts guards against cutting a stream that may run at two
// engines because one that ran it has ended.
func TestEndedEnginesDoNotCountAsAttempts(t *testing.T) {
	const count, long = 40, 1500 * time.Millisecond
	for _, c := range []struct {
		name, path string
		// leaves removes the entry of the first engine that ends.
		leaves bool
		// kills is the number of engines that end, ran of those that run the stream.
		kills, ran int
		whole      bool
	}{
		{"one has left", "/full/a", true, 2, 3, true},
		{"all are listed", "/full/a", false, 2, 2, false},
		{"may run once", "/flag/a", true, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
			d.configure(func(config map[string]any) {
				for _, r := range config["routes"].([]any)[:2] {
					r.(map[string]any)["timeout_ms"] = 20000
				}
			})
			for i := range 3 {
				d.startEngine(i, count, 0, 100*time.Millisecond)
			}
			h := d.host(0)
			d.awaitReady(h)
			caller := d.client(h)
			caller.write(http.MethodPost, modelHost, c.path, "s", patientPrompt(0), "body")
			for n := range c.kills {
				d.await("another engine runs the stream", func() bool { return len(d.runs()) == n+1 })
				time.Sleep(long)
				id := d.endRunning("s")
				if n == 0 && c.leaves {
					d.store.Put("keyed.servers", id, nil)
					d.await("the host knows that it has left", func() bool { return !h.Knows(id) })
				}
			}
			a := caller.read()
			is.Equal(a.status, http.StatusOK)
			is.Equal(!a.truncated && a.body == wholeStream(count), c.whole)
			is.Equal(len(d.runs()), c.ran)
		})
	}
}

// endRunning ends the engine that runs a stream, and returns its id.
func (d *silentEngines) endRunning(id string) string {
	d.t.Helper()
	var running *standin.PlatformProcess
	for _, e := range d.engines {
		for _, r := range e.Runs() {
			if r.Request == id && r.Ended.IsZero() && e.Killed().IsZero() {
				running = e
			}
		}
	}
	d.is.True(running != nil)
	running.Kill()
	return running.Options.ID
}
