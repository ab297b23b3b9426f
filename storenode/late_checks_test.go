package storenode_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
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

// neverAnswered is the delay of control calls that get no answer.
const neverAnswered = -1

// lateDoor is the address of an engine whose control calls arrive late.
type lateDoor struct {
	listener net.Listener
	// delay is how much later they arrive.
	delay atomic.Int64
}

// newLateDoor opens the address of an engine.
func newLateDoor(t *testing.T, engine string) *lateDoor {
	t.Helper()
	d := &lateDoor{}
	d.listener = listenBefore(t, engine, d.serve)
	return d
}

// listenBefore opens an address before that of an engine. Serve passes on what arrives on
// a connection there; the connections close when it returns.
func listenBefore(t *testing.T, engine string, serve func(c net.Conn, in *bufio.Reader, inner net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				if _, err := in.Peek(1); err != nil {
					return
				}
				inner, err := net.Dial("tcp4", engine)
				if err != nil {
					return
				}
				defer func() { _ = inner.Close() }()
				serve(c, in, inner)
			}()
		}
	}()
	return l
}

// isGet reports whether a GET begins in what has arrived.
func isGet(in *bufio.Reader) bool {
	first, err := in.Peek(1)
	return err == nil && first[0] == 'G'
}

// serve passes on what arrives on a connection.
func (d *lateDoor) serve(c net.Conn, in *bufio.Reader, inner net.Conn) {
	go func() {
		_, _ = io.Copy(c, inner)
		_ = c.Close()
	}()
	b, isControlCall := make([]byte, 4096), isGet(in)
	for {
		n, err := in.Read(b)
		if err != nil {
			return
		}
		delay := d.delay.Load()
		if !isControlCall {
			delay = 0
		}
		if delay == neverAnswered {
			continue
		}
		time.Sleep(time.Duration(delay))
		if _, err := inner.Write(b[:n]); err != nil {
			return
		}
	}
}

// newLateEngines starts hosts, and engines behind doors. The first of several hosts opens
// its connections for requests with the returned dialer.
func newLateEngines(t *testing.T, hosts, engines, events int, prefill, interval time.Duration) (*silentEngines, map[*standin.PlatformProcess]*lateDoor, *cutDialer) {
	t.Helper()
	d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
	d.configure(func(c map[string]any) {
		full := c["routes"].([]any)[0].(map[string]any)
		full["target_latency_ms"], full["timeout_ms"] = 500, 20000
	})
	doors := map[*standin.PlatformProcess]*lateDoor{}
	for i := range engines {
		o := standin.PlatformProcessOptions{ID: fmt.Sprint("engine-", i), Service: "models", Zone: "north", Model: "m1", Software: "v1", Events: events, Prefill: prefill, Interval: interval}
		e, err := standin.StartPlatformProcess(o, os.Args[0], engineArgument)
		d.is.NoErr(err)
		t.Cleanup(e.Kill)
		doors[e] = newLateDoor(t, e.Address)
		e.Options.Advertised = doors[e].listener.Addr().String()
		d.store.Put("keyed.servers", o.ID, e.Entry())
		d.engines = append(d.engines, e)
	}
	d.watchStalls()
	dialer := &cutDialer{}
	if hosts > 1 {
		d.dialers = map[int]*cutDialer{0: dialer}
	}
	for i := range hosts {
		d.host(i)
	}
	dialer.relayPort = d.relayPort
	for _, h := range d.hosts {
		d.awaitReady(h)
	}
	d.await("the hosts know of each other", func() bool { return len(d.addresses(d.hosts[0])) == hosts })
	return d, doors, dialer
}

// TestStreamLeavesStuckEngineThatAnswersChecksLate has an engine make no event for longer
// than callers wait, and answer status reports after some time. Another engine is idle.
func TestStreamLeavesStuckEngineThatAnswersChecksLate(t *testing.T) {
	for _, late := range []time.Duration{0, 150 * time.Millisecond} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			is := is.New(t)
			const count = 2
			d, doors, _ := newLateEngines(t, 1, 2, count, 300*time.Millisecond, 5*time.Second)
			caller := d.client(d.hosts[0])
			pauses := &pauseReader{in: caller.in}
			caller.in = bufio.NewReader(pauses)
			done := make(chan answer, 1)
			go func() {
				caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
				done <- caller.read()
			}()
			first, _ := d.engineOf(nil)
			doors[first].delay.Store(int64(late))
			a := <-done
			is.Equal(a.body, wholeStream(count))
			d.awaitPatient(pauses, callerPatience)
		})
	}
}

// TestSlowEngineAndLateChecksEndOneRun guards against two engines that work on a stream
// until a late answer to a check arrives.
func TestSlowEngineAndLateChecksEndOneRun(t *testing.T) {
	const prefill, interval, count = time.Second, 2500 * time.Millisecond, 2
	for _, c := range []struct {
		name string
		// firstLate delays the first engine's answers, too.
		firstLate bool
	}{
		{"the second answers late", false},
		{"both answer late", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d, doors, _ := newLateEngines(t, 1, 2, count, prefill, interval)
			done := make(chan answer, 1)
			go func() {
				done <- d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
			}()
			first, _ := d.engineOf(nil)
			second, _ := d.engineOf(first)
			doors[second].delay.Store(int64(prefill * 7 / 10))
			if c.firstLate {
				doors[first].delay.Store(int64(prefill * 7 / 10))
			}
			a := <-done
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, wholeStream(count))
			d.awaitOneWorks(first, second)
		})
	}
}

// TestReplacedAttemptIsLoggedWhenItEnds guards against a log and a metric that name the time
// of the second engine's first event instead of that at which the first run was ended.
func TestReplacedAttemptIsLoggedWhenItEnds(t *testing.T) {
	const prefill, count = 3 * time.Second, 2
	is := is.New(t)
	d := newSilentEngines(t, 1, count, 0, 10*time.Second)
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
	go func() {
		done <- d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
	}()
	d.engineOf(nil)
	d.startEngine(1, count, prefill, 0)
	d.await("the first run has ended", func() bool {
		_, run := d.engineOf(d.engines[1])
		return !run.Ended.IsZero()
	})
	d.await("the host says so", func() bool { return countEvents(&log, "attempt replaced") == 1 })
	is.Equal(countEvents(&log, "stream resumed"), 0)
	a := <-done
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, wholeStream(count))
}

// TestHostCutFromEnginesPassesWaitingStreamOn cuts a host from all engines while a stream
// that was sent to one waits for its first event. Another host reaches the engines.
func TestHostCutFromEnginesPassesWaitingStreamOn(t *testing.T) {
	is := is.New(t)
	const count = 3
	d, doors, dialer := newLateEngines(t, 2, 3, count, 600*time.Millisecond, 200*time.Millisecond)
	caller := d.client(d.hosts[0])
	pauses := &pauseReader{in: caller.in, last: time.Now()}
	caller.in = bufio.NewReader(pauses)
	done := make(chan answer, 1)
	go func() {
		caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
		done <- caller.read()
	}()
	d.engineOf(nil)
	for _, door := range doors {
		door.delay.Store(neverAnswered) // the host's checks don't pass through its dialer
	}
	dialer.set(hangCut)
	a := <-done
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, wholeStream(count))
	d.awaitPatient(pauses, callerPatience)
}
