package storenode_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/standin"
)

// gate is the address of an engine whose answers can be held back.
type gate struct {
	listener net.Listener
	// checksHeld and eventsHeld hold back answers to control calls, and to requests.
	checksHeld, eventsHeld atomic.Bool
	// checks counts the status reports that were asked for.
	checks atomic.Int64
}

// newGate opens the address of an engine.
func newGate(t *testing.T, engine string) *gate {
	t.Helper()
	g := &gate{}
	g.listener = listenBefore(t, engine, g.serve)
	return g
}

// serve passes on what arrives on a connection and, unless it is held back, what the
// engine answers.
func (g *gate) serve(c net.Conn, in *bufio.Reader, inner net.Conn) {
	held := &g.eventsHeld
	if isGet(in) {
		held = &g.checksHeld
	}
	go func() {
		defer func() { _ = c.Close() }()
		b := make([]byte, 4096)
		for {
			n, err := inner.Read(b)
			for held.Load() {
				time.Sleep(time.Millisecond)
			}
			if _, writeErr := c.Write(b[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}()
	b := make([]byte, 4096)
	for {
		n, err := in.Read(b)
		if bytes.HasPrefix(b[:n], []byte("GET /report ")) {
			g.checks.Add(1)
		}
		if _, writeErr := inner.Write(b[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// hold begins or ends to hold back all answers.
func (g *gate) hold(held bool) {
	g.checksHeld.Store(held)
	g.eventsHeld.Store(held)
}

// TestStreamStaysAtEngineThatWakesWhenItIsChecked guards against giving up an engine that
// answers a check because it wakes just then, so that its first event is due. All engines
// are silent; their checks are answered before the event.
func TestStreamStaysAtEngineThatWakesWhenItIsChecked(t *testing.T) {
	const (
		prefill, interval, count = 600 * time.Millisecond, 700 * time.Millisecond, 2
		// eventAfter is the time from the answer to a check to the event.
		eventAfter = 50 * time.Millisecond
	)
	whileChecked := func(_ *silentEngines, first *gate, others []*gate, _ *standin.Output) {
		time.Sleep(450 * time.Millisecond) // the others' 0.1 s, 0.3 s until the next check, and half of its 0.1 s
		for _, g := range others {
			g.hold(false)
		}
		first.checksHeld.Store(false)
	}
	afterAnother := func(d *silentEngines, first *gate, others []*gate) {
		asked := others[0].checks.Load()
		others[0].hold(false)
		d.await("the other is asked again", func() bool { return others[0].checks.Load() > asked })
		first.checksHeld.Store(false)
	}
	beforeEvents := func(d *silentEngines, first *gate, others []*gate, _ *standin.Output) {
		time.Sleep(350 * time.Millisecond) // all others were asked and count as silent
		afterAnother(d, first, others)
	}
	afterEvents := func(d *silentEngines, first *gate, others []*gate, log *standin.Output) {
		d.await("the host has found no engine that answers", func() bool { return countEvents(log, "stream awaited") > 0 })
		afterAnother(d, first, others)
	}
	for _, c := range []struct {
		name string
		// events is the number of events before the silence.
		events int
		// wake has the engines answer checks. It begins when the host has found the
		// stream's engine silent and asks the others for the first time.
		wake func(d *silentEngines, first *gate, others []*gate, log *standin.Output)
	}{
		{"before the first event, while it is checked again", 0, whileChecked},
		{"before the first event, when another that woke before is checked", 0, beforeEvents},
		{"after an event, when another that woke before is checked", 1, afterEvents},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newSilentEngines(t, 0, 0, 0, 0)
			gates := map[*standin.PlatformProcess]*gate{}
			for i := range 3 {
				o := standin.PlatformProcessOptions{ID: fmt.Sprint("engine-", i), Service: "models", Zone: "north", Model: "m1", Software: "v1", Events: count, Prefill: prefill, Interval: interval}
				e, err := standin.StartPlatformProcess(o, os.Args[0], engineArgument)
				is.NoErr(err)
				t.Cleanup(e.Kill)
				gates[e] = newGate(t, e.Address)
				t.Cleanup(func() { gates[e].hold(false) })
				e.Options.Advertised = gates[e].listener.Addr().String()
				d.engines = append(d.engines, e)
			}
			for _, e := range d.engines {
				d.store.Put("keyed.servers", e.Options.ID, e.Entry())
			}
			d.await("an engine can run a request", func() bool {
				return d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", "ready", silentPrompt, "body").status == http.StatusOK
			})
			var log standin.Output
			var wait conc.WaitGroup
			ctx, cancel := context.WithCancel(context.Background())
			event.WriteTo(ctx, &wait, &log)
			t.Cleanup(func() {
				cancel()
				wait.Wait()
				event.Discard()
			})
			done := make(chan answer, 1)
			caller := d.client(d.hosts[0])
			heard := &pauseReader{in: caller.in}
			caller.in = bufio.NewReader(heard)
			go func() {
				caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
				done <- caller.read()
			}()
			first, _ := d.engineOf(nil)
			d.await("the events have arrived", func() bool {
				events, _ := heard.heard()
				return events == c.events
			})
			var others []*gate
			for e, g := range gates {
				g.hold(true)
				if e != first {
					others = append(others, g)
				}
			}
			d.await("the others are asked", func() bool { return others[0].checks.Load()+others[1].checks.Load() > 0 })
			c.wake(d, gates[first], others, &log)
			time.Sleep(eventAfter)
			gates[first].hold(false)
			a := <-done
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, wholeStream(count))
			is.True(!a.truncated)
			for _, e := range d.engines {
				is.True(e == first || !ran(e, silentRequest)) // sent to an engine that could not serve it sooner
			}
		})
	}
}

// ran reports whether an engine has begun to run a request.
func ran(e *standin.PlatformProcess, request string) bool {
	for _, r := range e.Runs() {
		if r.Request == request {
			return true
		}
	}
	return false
}

// TestStreamLeavesEngineThatWakesAndSendsNothing guards against an engine that wakes, but
// is slow, and keeps a stream for longer than its caller waits.
func TestStreamLeavesEngineThatWakesAndSendsNothing(t *testing.T) {
	const patience, count = 4 * time.Second, 2
	is := is.New(t)
	d := newPatientCallers(t, patience, 1, count, 10*time.Second, 10*time.Millisecond)
	caller := d.client(d.hosts[0])
	pauses := &pauseReader{in: caller.in, last: time.Now()}
	caller.in = bufio.NewReader(pauses)
	done := make(chan answer, 1)
	go func() {
		caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
		done <- caller.read()
	}()
	first, run := d.engineOf(nil)
	d.startEngine(1, count, 100*time.Millisecond, 10*time.Millisecond)
	for _, e := range d.engines {
		e.Pause()
	}
	time.Sleep(time.Until(run.Began.Add(2950 * time.Millisecond))) // when the host checks it for the second time
	for _, e := range d.engines {
		e.Resume()
	}
	a := <-done
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, wholeStream(count))
	d.awaitPatient(pauses, patience)
	_, second := d.engineOf(first)
	d.await("both runs have ended", func() bool {
		_, one := d.engineOf(d.engines[1])
		_, two := d.engineOf(first)
		return !one.Ended.IsZero() && !two.Ended.IsZero()
	})
	_, run = d.engineOf(d.engines[1])
	d.await("it is known that the first ended in time", func() bool { return first.AwakeAfter(run, second.Began) <= maxSharedWork })
}
