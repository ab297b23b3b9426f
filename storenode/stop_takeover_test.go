package storenode_test

import (
	"fmt"
	"maps"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestStopLeavesSilentEngine guards against cutting a stream at the end of a stop while it
// waits for an engine that fell silent, though another engine works.
func TestStopLeavesSilentEngine(t *testing.T) {
	is := is.New(t)
	d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
	d.configure(func(config map[string]any) { config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 20000 })
	for i := range 2 {
		o := standin.PlatformProcessOptions{ID: fmt.Sprint("engine-", i), Service: "models", Zone: "north", Model: "m1", Software: "v1", Events: 200, Interval: 100 * time.Millisecond}
		e, err := standin.StartPlatformProcess(o, os.Args[0], engineArgument)
		is.NoErr(err)
		t.Cleanup(e.Kill)
		d.store.Put("keyed.servers", o.ID, e.Entry())
		d.engines = append(d.engines, e)
	}
	h := d.daemon(0)
	headers := maps.Clone(longAnswerPrompt(0))
	headers["X-Deadline-Ms"] = "15000"
	caller := d.client(h.testHost)
	caller.writeWithHeaders("/full/a", "s", headers)
	d.await("the stream runs", func() bool { return len(d.runs()) == 1 })
	d.signal(h, syscall.SIGTERM)
	time.Sleep(5800 * time.Millisecond) // of 8 s, 7.5 s until requests are cut
	for _, e := range d.engines {
		if len(e.Runs()) > 0 {
			e.Pause()
		}
	}
	<-h.ended
	is.Equal(len(d.runs()), 2) // the other engine took it
}
