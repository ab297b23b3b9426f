package storenode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestStreamGoesOnAtThirdEngine has the first engine of a stream give up its place to a
// second one, which ends before its first event. The route allows a third run, and a
// sound engine waits for it.
func TestStreamGoesOnAtThirdEngine(t *testing.T) {
	const prefill, interval, count = 500 * time.Millisecond, 1500 * time.Millisecond, 3
	for _, c := range []struct {
		name string
		// firstSilent stops the first engine after its first event; it ends when the
		// second one runs. Otherwise it is slow, and stays.
		firstSilent bool
	}{
		{"the first is slow", false},
		{"the first is silent, then ends", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newSilentEngines(t, 3, count, prefill, interval)
			d.configure(func(c map[string]any) {
				full := c["routes"].([]any)[0].(map[string]any)
				full["target_latency_ms"], full["timeout_ms"], full["max_attempts"] = 500, 20000, 3
				c["routes"] = append(c["routes"].([]any), route("new", serviceHost, "/new/", "idempotent", "desk", nil))
			})
			d.await("the host has the configuration", func() bool {
				return d.do(d.hosts[0], http.MethodGet, serviceHost, "/new/a", "new", nil, "").status == http.StatusOK
			})
			caller := d.client(d.hosts[0])
			done := make(chan answer, 1)
			go func() {
				caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
				done <- caller.read()
			}()
			first, _ := d.engineOf(nil)
			if c.firstSilent {
				time.Sleep(prefill + interval/10)
				first.Pause()
			}
			second, began := d.engineOf(first)
			if c.firstSilent {
				first.Kill()
			}
			time.Sleep(time.Until(began.Began.Add(prefill * 3 / 5)))
			second.Kill()
			a := <-done
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, wholeStream(count)) // a third engine could serve the rest
			is.True(!a.truncated)
		})
	}
}

// TestStreamsStayWhereTheyMayNotBeSentAgain silences all engines but one before the first
// events of many streams, for longer than hosts wait for one. More streams are silent than
// may be sent again. Those that may not be have only their engine, which wakes in time.
func TestStreamsStayWhereTheyMayNotBeSentAgain(t *testing.T) {
	is := is.New(t)
	const prefill, interval, count, streams = 600 * time.Millisecond, 200 * time.Millisecond, 3, 80
	d := newSilentEngines(t, 3, count, prefill, interval)
	answers := make(chan answer, streams)
	for i := range streams {
		c := d.client(d.hosts[0])
		go func() {
			c.write(http.MethodPost, modelHost, "/full/a", fmt.Sprint(silentRequest, i), silentPrompt, "body")
			answers <- c.read()
		}()
	}
	d.await("all streams run", func() bool {
		runs := 0
		for _, e := range d.engines {
			runs += len(e.Runs())
		}
		return runs == streams
	})
	awake := slices.MinFunc(d.engines, func(a, b *standin.PlatformProcess) int { return len(a.Runs()) - len(b.Runs()) })
	for _, e := range d.engines {
		if e != awake {
			e.Pause()
		}
	}
	time.Sleep(1400 * time.Millisecond)
	for _, e := range d.engines {
		e.Resume()
	}
	statuses := map[int]int{}
	for range streams {
		a := <-answers
		statuses[a.status]++
		if a.status == http.StatusOK {
			is.Equal(a.body, wholeStream(count))
			is.True(!a.truncated)
		}
	}
	is.Equal(statuses, map[int]int{http.StatusOK: streams}) // silence ends no request
}

// fullDoor is the address of an engine that can have all the connections that it accepts.
type fullDoor struct {
	listener net.Listener
	// mu guards isFull, and the connections that carry no request of a caller.
	mu      sync.Mutex
	isFull  bool
	control map[*net.TCPConn]bool
}

// newFullDoor opens the address of an engine.
func newFullDoor(t *testing.T, engine string) *fullDoor {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	d := &fullDoor{listener: l, control: map[*net.TCPConn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.serve(c.(*net.TCPConn), engine)
		}
	}()
	return d
}

// fill makes the engine reset all connections but those of callers' requests.
func (d *fullDoor) fill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isFull = true
	for c := range d.control {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// admit reports whether the engine takes a connection.
func (d *fullDoor) admit(c *net.TCPConn, isControl bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isFull {
		_ = c.SetLinger(0)
		return false
	}
	if isControl {
		d.control[c] = true
	}
	return true
}

// serve passes on what arrives on a connection, if the engine takes it.
func (d *fullDoor) serve(c *net.TCPConn, engine string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	first, err := in.Peek(1)
	if err != nil || !d.admit(c, first[0] == 'G') {
		return
	}
	raw, err := net.Dial("tcp4", engine)
	if err != nil {
		return
	}
	inner := raw.(*net.TCPConn)
	defer func() { _ = inner.Close() }()
	var wait sync.WaitGroup
	pass := func(to *net.TCPConn, from io.Reader) {
		_, _ = io.Copy(to, from)
		_ = c.Close()
		_ = inner.Close()
	}
	wait.Go(func() { pass(inner, in) })
	wait.Go(func() { pass(c, inner) })
	wait.Wait()
}

// TestStreamLeavesSlowEngineThatIsFull has an engine that works, but slowly, reset all
// connections beyond those that it has, so that no check reaches it. It must not work on
// beside the engine that goes on with its stream.
func TestStreamLeavesSlowEngineThatIsFull(t *testing.T) {
	is := is.New(t)
	const prefill, interval, count = 600 * time.Millisecond, 2500 * time.Millisecond, 2
	d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
	d.configure(func(c map[string]any) {
		full := c["routes"].([]any)[0].(map[string]any)
		full["target_latency_ms"], full["timeout_ms"] = 500, 20000
	})
	doors := map[*standin.PlatformProcess]*fullDoor{}
	for i := range 2 {
		o := standin.PlatformProcessOptions{ID: fmt.Sprint("engine-", i), Service: "models", Zone: "north", Model: "m1", Software: "v1", Events: count, Prefill: prefill, Interval: interval}
		e, err := standin.StartPlatformProcess(o, os.Args[0], engineArgument)
		is.NoErr(err)
		t.Cleanup(e.Kill)
		doors[e] = newFullDoor(t, e.Address)
		e.Options.Advertised = doors[e].listener.Addr().String()
		d.store.Put("keyed.servers", o.ID, e.Entry())
		d.engines = append(d.engines, e)
	}
	d.awaitReady(d.host(0))
	d.watchStalls()
	caller := d.client(d.hosts[0])
	done := make(chan answer, 1)
	go func() {
		caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
		done <- caller.read()
	}()
	first, _ := d.engineOf(nil)
	doors[first].fill()
	second, _ := d.engineOf(first)
	a := <-done
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, wholeStream(count))
	d.await("the run at the first engine has ended", func() bool {
		_, one := d.engineOf(second)
		return !one.Ended.IsZero()
	})
	_, one := d.engineOf(second)
	_, two := d.engineOf(first)
	t.Logf("the first worked on for %v, the second for %v", first.WorkAfter(one, two.Began), second.WorkAfter(two, two.Began))
	d.await("it is known that one of them ended in time", func() bool {
		return first.AwakeAfter(one, two.Began) <= maxSharedWork || second.AwakeAfter(two, two.Began) <= maxSharedWork
	})
}
