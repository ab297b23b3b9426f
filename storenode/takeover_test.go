package storenode_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
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
			})
			time.Sleep(time.Second) // a host applies a configuration sooner
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

// TestErrorByWayOfAnotherHostStaysOutOfIdleStream has a host that can open no connections
// to engines pass an idle stream on to another host, whose engines answer with an error.
// No more engines run it than its route allows, and since the engine before still works,
// the rest of the stream comes from there.
func TestErrorByWayOfAnotherHostStaysOutOfIdleStream(t *testing.T) {
	const maxAttempts = 2
	is := is.NewRelaxed(t)
	d := newDeployment(t, 0, 3, 0)
	d.configure(func(c map[string]any) {
		full := c["routes"].([]any)[0].(map[string]any)
		full["target_latency_ms"], full["timeout_ms"], full["max_attempts"] = 500, 20000, maxAttempts
	})
	dialer := &cutDialer{}
	d.dialers = map[int]*cutDialer{0: dialer}
	for i := range 2 {
		d.host(i)
	}
	dialer.relayPort = d.relayPort
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	d.await("the host knows that the other is ready", func() bool { return len(d.addresses(d.hosts[0])) == 2 })
	for _, e := range d.engines {
		e.Pace(1500 * time.Millisecond)
	}
	c := d.client(d.hosts[0])
	c.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
	d.await("the stream runs", func() bool { return d.executions(silentRequest) == 1 })
	time.Sleep(100 * time.Millisecond) // its first event
	for _, e := range d.engines {
		if e.Ran()[silentRequest] > 0 {
			e.RejectWithRetryAfter("1", awaitTimeout)
		}
		e.AnswerResumed("HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nContent-Length: 5\r\n\r\nerror")
	}
	dialer.set(refuseCut)
	other := d.client(d.hosts[0]) // its request finds that engines accept no connections
	other.write(http.MethodPost, modelHost, "/full/a", "other", silentPrompt, "body")
	a := c.read()
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, completeStream())
	is.True(!a.truncated)
	ran := 0
	for _, e := range d.engines {
		ran += min(e.Ran()[silentRequest], 1)
	}
	is.True(ran > 1) // the stream was passed on
	is.True(ran <= maxAttempts)
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
	is.True(first.WorkAfter(one, two.Began) <= maxSharedWork || second.WorkAfter(two, two.Began) <= maxSharedWork)
}
