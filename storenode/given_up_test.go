package storenode_test

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestGivenUpAttemptEndsWhenItsEngineWakes has an engine fall silent with a request that may
// be repeated, before it arrives or while it runs. Another one answers; the first
// works on it no longer than the users' rules allow.
func TestGivenUpAttemptEndsWhenItsEngineWakes(t *testing.T) {
	const prefill = 900 * time.Millisecond
	for _, c := range []struct {
		name    string
		arrived bool
	}{
		{"before it arrives", false},
		{"while it runs", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &silentEngines{deployment: newDeployment(t, 0, 0, 0)}
			for i := range 2 {
				o := standin.PlatformProcessOptions{ID: fmt.Sprint("desk-", i), Service: "desk", Zone: "north", Software: "v1", Prefill: prefill}
				e, err := standin.StartPlatformProcess(o, os.Args[0], engineArgument)
				is.NoErr(err)
				t.Cleanup(e.Kill)
				d.store.Put("keyed.servers", o.ID, e.Entry())
				d.engines = append(d.engines, e)
			}
			d.awaitReady(d.host(0))
			if !c.arrived {
				d.engines[0].Pause()
				d.engines[1].Pause()
			}
			done := make(chan answer, 1)
			go func() { done <- d.do(d.hosts[0], http.MethodGet, serviceHost, "/read/a", silentRequest, nil, "") }()
			if c.arrived {
				first, _ := d.engineOf(nil)
				first.Pause()
			} else {
				time.Sleep(2200 * time.Millisecond) // the first has got half of the caller's four seconds
				d.engines[0].Resume()
				d.engines[1].Resume()
			}
			a := <-done
			is.Equal(a.status, http.StatusOK)
			for _, e := range d.engines {
				e.Resume()
			}
			time.Sleep(prefill + maxSharedWork) // an engine that has it would begin and end by then
			answered := 0
			for _, e := range d.engines {
				for _, r := range e.Runs() {
					work := e.WorkAfter(r, r.Began)
					t.Logf("%s worked for %v", e.Options.ID, work)
					is.True(!r.Ended.IsZero())
					if work >= prefill {
						answered++
					} else {
						d.await("it is known that it ended in time", func() bool { return e.AwakeAfter(r, r.Began) <= maxSharedWork })
					}
				}
			}
			is.Equal(answered, 1)
		})
	}
}
