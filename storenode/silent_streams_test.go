package storenode_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/standin"
)

// TestSilentStream covers an engine that pauses in the middle of a stream.
func TestSilentStream(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		// others is the fault of the other engines.
		others     standin.PlatformFault
		executions int
	}{
		{"another engine resumes it", 2, standin.NoFault, 2},
		{"the host waits for it without another engine", 1, standin.NoFault, 1},
		{"the host waits for it if other engines are full", 3, standin.FullFault, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, c.engines, 0)
			h := d.hosts[0]
			is.Equal(d.do(h, "POST", modelHost, "/full/a", "before", prompt, "body").status, 200)
			for _, e := range d.engines {
				if e.Ran()["before"] == 1 {
					e.Fail(standin.PauseFault, 1)
				} else if c.others != standin.NoFault {
					e.Fail(c.others, 100)
				}
			}
			for i := 0; ; i++ {
				id := fmt.Sprintf("r%d", i)
				start := time.Now()
				a := d.do(h, "POST", modelHost, "/full/a", id, prompt, "body")
				is.Equal(a.status, 200)
				is.True(!a.truncated)
				is.Equal(a.body, completeStream())
				if time.Since(start) < time.Second && i < 100 {
					continue // it went to another engine
				}
				is.Equal(d.executions(id), c.executions)
				return
			}
		})
	}
}

// TestSilentUntilDeadline covers an engine that is silent until the callers' deadline,
// long after a host looks for another: each stream is logged once as awaited and once as
// broken.
func TestSilentUntilDeadline(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 0)
	var output standin.Output
	var wait, callers conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	event.WriteTo(ctx, &wait, &output)
	const streams = 40
	d.engines[0].Pace(time.Minute)
	headers := maps.Clone(prompt)
	headers["X-Deadline-Ms"] = "4600"
	for i := range streams {
		c := d.client(d.hosts[0])
		c.write("POST", modelHost, "/full/a", fmt.Sprint("late", i), headers, "body")
		_, err := c.in.Peek(1) // the first event is there before the next stream begins
		is.NoErr(err)
		callers.Go(func() {
			a := c.read()
			if a.status != 200 || !a.truncated {
				t.Errorf("status %d, truncated %v", a.status, a.truncated)
			}
		})
	}
	callers.Wait()
	cancel()
	wait.Wait()
	event.Discard()
	t.Cleanup(func() {
		const maxBytes = 48 << 10
		if log := output.String(); t.Failed() {
			t.Logf("the log ends with\n%s", log[max(0, len(log)-maxBytes):])
		}
	})
	is.Equal(countEvents(&output, "stream awaited"), streams)
	is.Equal(countEvents(&output, "stream broken"), streams)
	is.True(countEvents(&output, "try failed") <= 2*streams)
}
