package storenode_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLateMemoryAtALeavingEngine guards against a stream that is sent to an engine that reported
// for 2 s that it leaves, since its memory arrived there late.
func TestLateMemoryAtALeavingEngine(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 1, 0)
	d.configure(func(config map[string]any) {
		for _, r := range config["routes"].([]any)[:2] {
			r.(map[string]any)["timeout_ms"] = 20000
		}
	})
	d.awaitReady(d.host(0))
	source := d.engines[0]
	source.Pace(400 * time.Millisecond)
	caller := d.client(d.hosts[0])
	caller.write(http.MethodPost, modelHost, "/flag/a", movedID, patientPrompt(0), "body")
	_, err := caller.in.Peek(1) // the answer has begun
	is.NoErr(err)
	target := d.target()
	source.MoveTakes(3 * time.Second)
	d.await("the stream moves", func() bool {
		d.hosts[0].Evacuate(source.ID)
		return source.Moves() == 1
	})
	target.Leave()
	d.store.Put("keyed.servers", target.ID, target.Entry())
	a := caller.read()
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, completeStream())
	is.True(!a.truncated)
	is.Equal(target.Continued(), 0)
	is.Equal(source.Continued(), 1)
}
