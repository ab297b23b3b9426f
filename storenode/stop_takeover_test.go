package storenode_test

import (
	"fmt"
	"maps"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startLongStreams starts a host and engines as processes, and tells the host to stop while
// it relays streams of a number of events, 100 ms apart.
func startLongStreams(t *testing.T, engines, streams, events int) (*silentEngines, *daemon) {
	t.Helper()
	d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
	d.configure(func(config map[string]any) { config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 20000 })
	for i := range engines {
		d.startEngine(i, events, 0, 100*time.Millisecond)
	}
	h := d.daemon(0)
	for i := range streams {
		headers := maps.Clone(longAnswerPrompt(i))
		headers["X-Deadline-Ms"] = "15000"
		d.client(h.testHost).writeWithHeaders("/full/a", fmt.Sprint("s", i), headers)
	}
	d.await("all run", func() bool { return len(d.runs()) == streams })
	d.signal(h, syscall.SIGTERM)
	return d, h
}

// TestStopLeavesSilentEngine guards against cutting a stream at the end of a stop while it
// waits for an engine that fell silent, though another engine works.
func TestStopLeavesSilentEngine(t *testing.T) {
	is := is.New(t)
	d, h := startLongStreams(t, 2, 1, 200)
	time.Sleep(5800 * time.Millisecond) // of 8 s, 7.5 s until requests are cut
	for _, e := range d.engines {
		if len(e.Runs()) > 0 {
			e.Pause()
		}
	}
	<-h.ended
	is.Equal(len(d.runs()), 2) // the other engine took it
}

// TestStopLeavesSilentEngineInTime guards against cutting a stream that another engine would
// have finished if it had been asked as soon as the first one was known to be silent.
func TestStopLeavesSilentEngineInTime(t *testing.T) {
	const events = 53
	is := is.New(t)
	d, h := startLongStreams(t, 2, 1, events)
	time.Sleep(time.Second) // of 7.5 s until requests are cut
	for _, e := range d.engines {
		if len(e.Runs()) > 0 {
			e.Pause()
		}
	}
	<-h.ended
	is.Equal(len(d.runs()), 2)
	is.True(strings.Contains(h.line(1003, ""), "Cut=0"))
}

// TestStopBeginsNoLateMoves guards against cutting a stream whose host stopped its run to
// move it and ended before another engine went on with it.
func TestStopBeginsNoLateMoves(t *testing.T) {
	is := is.New(t)
	d, h := startLongStreams(t, 3, 6, 200)
	time.Sleep(5200 * time.Millisecond)
	d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
	<-h.ended
	is.True(h.line(6101, "") != "") // an engine was to load
	is.Equal(h.line(2108, ""), "")  // "run moved"
}
