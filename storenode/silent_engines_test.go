package storenode_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/cmd"
	"github.com/kumquathoist/kumquathoist/standin"
)

// engineArgument makes the test's program stand in for one engine.
const engineArgument = "platform-engine"

// maxSharedWork is how long two engines may work on one request (the users' rules).
const maxSharedWork = 400 * time.Millisecond

func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == engineArgument {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		if err := standin.ServePlatformProcess(ctx, os.Stdin, os.Stdout); err != nil {
			panic(err)
		}
		return
	}
	if len(os.Args) == 3 && os.Args[1] == hostArgument {
		os.Exit(cmd.Execute([]string{"run", "--settings", os.Args[2]}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// silentRequest is the ID of the request of a test.
const silentRequest = "s"

// callerPatience is how long callers of the tests wait for an event.
const callerPatience = 2 * time.Second

// pauseReader measures the times between two reads that return data.
type pauseReader struct {
	in io.Reader
	// mu guards the fields below while the reader is in use. events counts the events
	// that have arrived.
	mu     sync.Mutex
	last   time.Time
	pauses []standin.PlatformPeriod
	events int
}

// Read implements io.Reader.
func (p *pauseReader) Read(b []byte) (int, error) {
	n, err := p.in.Read(b)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.last.IsZero() {
		p.pauses = append(p.pauses, standin.PlatformPeriod{From: p.last, Until: now})
	}
	p.last = now
	p.events += bytes.Count(b[:n], []byte("id: "))
	return n, err
}

// heard returns how many events have arrived, and when the last data did.
func (p *pauseReader) heard() (events int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.events, p.last
}

// silentEngines is a host with engines in processes of their own.
type silentEngines struct {
	*deployment

	engines []*standin.PlatformProcess
	// mu guards own, the times in which the test's process did not run.
	mu  sync.Mutex
	own []standin.PlatformPeriod
}

// newSilentEngines starts a host and engines that make events at an interval, the first
// one after the prefill. Callers wait for callerPatience.
func newSilentEngines(t *testing.T, engines, events int, prefill, interval time.Duration) *silentEngines {
	t.Helper()
	return newPatientCallers(t, callerPatience, engines, events, prefill, interval)
}

// newPatientCallers does the same for callers that wait for longer.
func newPatientCallers(t *testing.T, patience time.Duration, engines, events int, prefill, interval time.Duration) *silentEngines {
	t.Helper()
	d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
	d.configure(func(c map[string]any) {
		full := c["routes"].([]any)[0].(map[string]any)
		full["target_latency_ms"], full["timeout_ms"] = patience.Milliseconds()/4, 20000
	})
	for i := range engines {
		d.startEngine(i, events, prefill, interval)
	}
	d.awaitReady(d.host(0))
	d.watchStalls()
	return d
}

// watchStalls watches when the test's process does not run. If the test fails, it logs that
// and what the engines did.
func (d *silentEngines) watchStalls() {
	ctx, cancel := context.WithCancel(context.Background())
	go standin.WatchStalls(ctx, func(p standin.PlatformPeriod) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.own = append(d.own, p)
	})
	d.t.Cleanup(func() {
		cancel()
		if !d.t.Failed() {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		d.t.Logf("the test's process did not run %v", d.own)
		for _, e := range d.engines {
			d.t.Logf("%s was stopped %v, did not run %v, runs %+v", e.Options.ID, e.Pauses(), e.Stalls(), e.Runs())
		}
	})
}

// stalls returns the times in which the test's process, or an engine that was not stopped,
// got no processor.
func (d *silentEngines) stalls() []standin.PlatformPeriod {
	d.mu.Lock()
	all := slices.Clone(d.own)
	d.mu.Unlock()
	for _, e := range d.engines {
		stops := e.Pauses()
		for _, stall := range e.Stalls() {
			all = append(all, stall.Outside(stops)...)
		}
	}
	return all
}

// awaitPatient waits until it is known that no pause of a stream was too long for its
// caller, without the times in which the machine did not run a process of the test.
func (d *silentEngines) awaitPatient(r *pauseReader, patience time.Duration) {
	d.t.Helper()
	r.mu.Lock()
	pauses := slices.Clone(r.pauses)
	r.mu.Unlock()
	d.await(fmt.Sprintf("the caller does not leave within %v: %v", patience, pauses), func() bool {
		stalls := d.stalls()
		return !slices.ContainsFunc(pauses, func(p standin.PlatformPeriod) bool { return length(p.Outside(stalls)) >= patience })
	})
}

// length returns the total length of some periods.
func length(periods []standin.PlatformPeriod) time.Duration {
	var total time.Duration
	for _, p := range periods {
		total += p.Until.Sub(p.From)
	}
	return total
}

// startEngine starts an engine with a number.
func (d *silentEngines) startEngine(i, events int, prefill, interval time.Duration) {
	d.t.Helper()
	d.startEngineWith(i, standin.PlatformProcessOptions{Events: events, Prefill: prefill, Interval: interval})
}

// startEngineWith starts an engine with a number and with further options.
func (d *silentEngines) startEngineWith(i int, o standin.PlatformProcessOptions) {
	d.t.Helper()
	o.ID, o.Service, o.Zone, o.Model, o.Software = fmt.Sprint("engine-", i), "models", "north", "m1", "v1"
	e, err := standin.StartPlatformProcess(o, os.Args[0], engineArgument)
	d.is.NoErr(err)
	d.t.Cleanup(e.Kill)
	d.store.Put("keyed.servers", o.ID, e.Entry())
	d.engines = append(d.engines, e)
}

// silentPrompt is a prompt whose request has time for silences.
var silentPrompt = map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Prompt-Prefix": "aa:300,bb:500,cc:200", "X-Deadline-Ms": "19000"}

// engineOf returns an engine that works or worked on silentRequest, and its run; another
// than the one given.
func (d *silentEngines) engineOf(other *standin.PlatformProcess) (e *standin.PlatformProcess, r standin.PlatformRun) {
	d.t.Helper()
	d.await("an engine runs the request", func() bool {
		for _, e = range d.engines {
			for _, r = range e.Runs() {
				if r.Request == silentRequest && e != other {
					return true
				}
			}
		}
		return false
	})
	return e, r
}

// awaitEvents waits until a number of events have arrived.
func (d *silentEngines) awaitEvents(r *pauseReader, count int) {
	d.t.Helper()
	d.await("the events have arrived", func() bool {
		events, _ := r.heard()
		return events >= count
	})
}

// awaitOneWorks waits until both runs of silentRequest have ended and it is known that one
// of two engines ended its run in time.
func (d *silentEngines) awaitOneWorks(first, second *standin.PlatformProcess) {
	d.t.Helper()
	d.await("both runs have ended", func() bool {
		_, one := d.engineOf(second)
		_, two := d.engineOf(first)
		return !one.Ended.IsZero() && !two.Ended.IsZero()
	})
	_, one := d.engineOf(second)
	_, two := d.engineOf(first)
	d.t.Logf("the first worked on for %v, the second for %v", first.WorkAfter(one, two.Began), second.WorkAfter(two, two.Began))
	d.await("it is known that one of them ended in time", func() bool {
		return first.AwakeAfter(one, two.Began) <= maxSharedWork || second.AwakeAfter(two, two.Began) <= maxSharedWork
	})
}

// wholeStream returns a stream of a number of events.
func wholeStream(count int) string {
	var b strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// TestStreamRunsAtOneEngineAtATime has the engine of a stream fall silent until the stream
// is sent to a second one, and the two wake and speak in every order.
func TestStreamRunsAtOneEngineAtATime(t *testing.T) {
	const prefill, count = 600 * time.Millisecond, 5
	for _, c := range []struct {
		name string
		// interval is the time between two events; the first engine of a slow one stays awake.
		interval time.Duration
		// wakeFirst is when the first engine wakes after the second began to run;
		// never if 0.
		wakeFirst time.Duration
		// silentFor is how long the second is silent from then on.
		silentFor time.Duration
	}{
		{"the first wakes at once", 700 * time.Millisecond, time.Millisecond, 0},
		{"the first wakes before the second's first event", 700 * time.Millisecond, 300 * time.Millisecond, 0},
		{"the first wakes after the second's first event", 700 * time.Millisecond, 900 * time.Millisecond, 0},
		{"the first never wakes", 700 * time.Millisecond, 0, 0},
		{"the first wakes while the second is silent", 700 * time.Millisecond, 300 * time.Millisecond, 3 * time.Second},
		{"both wake at once", 700 * time.Millisecond, 500 * time.Millisecond, 500 * time.Millisecond},
		{"the second wakes before the first", 700 * time.Millisecond, time.Second, 300 * time.Millisecond},
		{"the first is slow", 1500 * time.Millisecond, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newSilentEngines(t, 2, count, prefill, c.interval)
			done := make(chan answer, 1)
			caller := d.client(d.hosts[0])
			pauses := &pauseReader{in: caller.in}
			caller.in = bufio.NewReader(pauses)
			go func() {
				caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
				done <- caller.read()
			}()
			first, _ := d.engineOf(nil)
			slow := c.interval > callerPatience/2
			if !slow {
				d.awaitEvents(pauses, 2)
				first.Pause()
			}
			second, _ := d.engineOf(first)
			var stops []*time.Timer
			if c.wakeFirst > 0 {
				stops = append(stops, time.AfterFunc(c.wakeFirst, first.Resume))
			}
			if c.silentFor > 0 {
				second.Pause()
				stops = append(stops, time.AfterFunc(c.silentFor, second.Resume))
			}
			a := <-done
			for _, timer := range stops {
				timer.Stop()
			}
			first.Resume()
			second.Resume()
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, wholeStream(count))
			d.awaitPatient(pauses, callerPatience)
			is.True(!a.truncated)
			d.awaitOneWorks(first, second)
		})
	}
}

// TestStreamStaysWhileAllEnginesAreSilent silences all engines for longer than hosts wait
// for an event, before the first event of a stream and after two.
func TestStreamStaysWhileAllEnginesAreSilent(t *testing.T) {
	const patience, count = 4 * time.Second, 5
	const prefill, interval = patience * 3 / 10, patience / 4
	for _, c := range []struct {
		name string
		// events is the number of events after which the engines fall silent.
		events int
	}{
		{"before the first event", 0},
		{"after two events", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newPatientCallers(t, patience, 3, count, prefill, interval)
			caller := d.client(d.hosts[0])
			pauses := &pauseReader{in: caller.in, last: time.Now()}
			caller.in = bufio.NewReader(pauses)
			done := make(chan answer, 1)
			go func() {
				caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
				done <- caller.read()
			}()
			first, _ := d.engineOf(nil)
			var heard time.Time // silences are counted from what the caller hears: a busy machine delays events
			for events := -1; events < c.events; time.Sleep(time.Millisecond) {
				events, heard = pauses.heard()
			}
			time.Sleep(time.Until(heard.Add(patience / 20)))
			for _, e := range d.engines {
				e.Pause()
			}
			time.Sleep(time.Until(heard.Add(patience * 7 / 8)))
			for _, e := range d.engines {
				e.Resume()
			}
			a := <-done
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, wholeStream(count))
			is.True(!a.truncated)
			for _, e := range d.engines {
				is.True(e == first || len(e.Runs()) == 0 || leftRightly(first, e)) // sent to an engine that could not serve it sooner
			}
			d.awaitPatient(pauses, patience)
		})
	}
}

// TestIdleStreamLastsUntilItsDeadline has the host look for another engine when almost no
// time is left: the stream is idle since its first event.
func TestIdleStreamLastsUntilItsDeadline(t *testing.T) {
	const deadline = 1215 * time.Millisecond // six tenths of callerPatience, and a little
	is := is.New(t)
	d := newSilentEngines(t, 2, 2, 0, 10*time.Second)
	header := maps.Clone(silentPrompt)
	header["X-Deadline-Ms"] = fmt.Sprint(deadline.Milliseconds())
	for i := range 8 {
		sent := time.Now()
		a := d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", fmt.Sprint(silentRequest, i), header, "body")
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, wholeStream(1))
		is.True(time.Since(sent) >= deadline) // silence is no reason to end it sooner
	}
}
