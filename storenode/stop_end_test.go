package storenode_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/kumquathoist/kumquathoist/standin"
)

// wasReset reports whether the host closed the connection of a client without having read
// all that it sent.
func (c *client) wasReset(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	time.Sleep(50 * time.Millisecond)
	code := 0
	_ = raw.Control(func(fd uintptr) { code, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	return code != 0
}

// TestStoppingHostAnswersWhatItReads has callers use their kept connections around the
// instant at which a stopping host ends: it answers, or has not read the request.
func TestStoppingHostAnswersWhatItReads(t *testing.T) {
	const callers = 1200
	d := newDeployment(t, 0, 1, 1)
	h := d.daemon(0)
	clients := make([]*client, callers)
	for i := range clients {
		clients[i] = d.client(h.testHost)
		clients[i].write(http.MethodGet, serviceHost, "/open/a", fmt.Sprint("first-", i), nil, "")
		d.is.Equal(clients[i].read().status, http.StatusOK)
	}
	start := time.Now()
	d.signal(h, syscall.SIGTERM)
	var answered, unread, dropped atomic.Int64
	var wait sync.WaitGroup
	for i, c := range clients {
		wait.Go(func() {
			time.Sleep(time.Until(start.Add(3995*time.Millisecond + time.Duration(i)*100*time.Microsecond)))
			c.write(http.MethodGet, serviceHost, "/open/a", fmt.Sprint("second-", i), nil, "")
			resp, err := http.ReadResponse(c.in, nil)
			switch {
			case err == nil:
				_ = resp.Body.Close()
				answered.Add(1)
			case c.wasReset(err):
				unread.Add(1)
			default:
				dropped.Add(1)
			}
		})
	}
	wait.Wait()
	t.Logf("%d answered, %d not read, %d read and dropped", answered.Load(), unread.Load(), dropped.Load())
	d.is.Equal(dropped.Load(), int64(0))
}

// TestArrivingRequestsAreAnswered has requests arrive while a host stops, for longer than
// it waits for nothing else or until its end: each is told that it has not run.
func TestArrivingRequestsAreAnswered(t *testing.T) {
	const head = "POST /post/a HTTP/1.1\r\nHost: " + serviceHost + "\r\nX-Api-Key: " + goodKey + "\r\n"
	for _, c := range []struct {
		name string
		// before is when the first part is sent before the signal, after when the second
		// is sent after it; 0 means never.
		before, after time.Duration
		first, second string
	}{
		{"a head on a new connection", 2 * time.Second, 4500 * time.Millisecond, head, "X-Attempt-Id: a\r\nContent-Length: 1\r\n\r\nb"},
		{"a body in chunks", 0, 4500 * time.Millisecond, head + "X-Attempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n", "1\r\nb\r\n0\r\n\r\n"},
		{"an endless body", 0, 0, head + "X-Attempt-Id: a\r\nContent-Length: 9\r\n\r\nb", ""},
		{"an endless head", 0, 0, head, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, 0, 1, 1)
			h := d.daemon(0)
			caller := d.client(h.testHost)
			caller.writePart(c.first)
			time.Sleep(c.before)
			d.signal(h, syscall.SIGTERM)
			if c.after > 0 {
				time.Sleep(c.after)
				caller.writePart(c.second)
			}
			a := caller.read()
			d.is.True(!a.truncated)
			d.is.Equal(a.status, http.StatusServiceUnavailable)
			d.is.True(a.header.Get("Retry-After") != "")
			d.is.Equal(d.arrivals("a"), 0)
			<-h.ended
			d.is.True(strings.Contains(h.line(1003, ""), "Cut=0 "))
		})
	}
}

// TestUnansweredRequestsAreAnsweredAtTheEnd has requests wait for silent upstreams until
// their host ends: each gets a whole answer.
func TestUnansweredRequestsAreAnsweredAtTheEnd(t *testing.T) {
	for _, c := range []struct{ host, path string }{
		{serviceHost, "/read/a"}, {serviceHost, "/post/a"}, {modelHost, "/flag/a"}, {modelHost, "/full/a"},
	} {
		t.Run(c.path, func(t *testing.T) {
			d := newDeployment(t, 0, 1, 1)
			d.graceSeconds = 4
			h := d.daemon(0)
			d.engines[0].Fail(standin.SilentFault, 100)
			d.services[0].Fail(standin.SilentFault, 100)
			caller := d.client(h.testHost)
			caller.writeInChunks(c.host, c.path, "a", "4900", "one", "two")
			d.await("the request is at its upstream", func() bool { return d.arrivals("a") > 0 })
			d.signal(h, syscall.SIGTERM)
			a := caller.read()
			d.is.True(!a.truncated)
			d.is.True(a.status >= http.StatusInternalServerError)
			<-h.ended
			d.is.True(strings.Contains(h.line(1003, ""), "Cut=0 "))
		})
	}
}

// TestLateSignalShortensTheStop has a host stand still while it is told to stop: it takes
// nothing that would outlast the grace time from the signal on.
func TestLateSignalShortensTheStop(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.graceSeconds = 4
	h := d.daemon(0)
	d.signal(h, syscall.SIGSTOP)
	d.signal(h, syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	d.signal(h, syscall.SIGCONT)
	d.await("the host has seen the signal", func() bool { return h.line(1002, "") != "" })
	a := d.do(h.testHost, http.MethodPost, serviceHost, "/post/a", "late", map[string]string{"X-Deadline-Ms": "2500"}, "body")
	d.is.Equal(a.status, http.StatusServiceUnavailable)
	d.is.Equal(d.arrivals("late"), 0)
	<-h.ended
}

// TestStoppingHostTakesStreamsThatEndInTime sends resumable streams whose deadline is
// after the end of their host: it takes them only if such streams ended sooner so far.
func TestStoppingHostTakesStreamsThatEndInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		before int
		pace   time.Duration
		status int
	}{
		{"none so far", 0, time.Millisecond, http.StatusServiceUnavailable},
		{"short so far", 12, 10 * time.Millisecond, http.StatusOK},
		{"long so far", 12, 800 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t, 0, 1, 1)
			d.graceSeconds = 4
			h := d.daemon(0)
			d.engines[0].Pace(c.pace)
			var wait sync.WaitGroup
			for i := range c.before {
				wait.Go(func() {
					d.do(h.testHost, http.MethodPost, modelHost, "/full/a", fmt.Sprint("before-", i), map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Deadline-Ms": "4900"}, "body")
				})
			}
			wait.Wait()
			d.signal(h, syscall.SIGTERM)
			d.await("the host has seen the signal", func() bool { return h.line(1002, "") != "" })
			caller := d.client(h.testHost)
			caller.writeInChunks(modelHost, "/full/a", "a", "4900", "one", "two")
			a := caller.read()
			d.is.Equal(a.status, c.status)
			d.is.True(!a.truncated)
			d.is.Equal(d.arrivals("a") == 1, c.status == http.StatusOK)
			<-h.ended
		})
	}
}

// TestStopDisturbed has more happen while a host stops: its stream is whole.
func TestStopDisturbed(t *testing.T) {
	for name, disturb := range map[string]func(d *deployment, h *daemon){
		"a second signal": func(d *deployment, h *daemon) { d.signal(h, syscall.SIGTERM) },
		"SIGHUP":          func(d *deployment, h *daemon) { d.signal(h, syscall.SIGHUP) },
		"the store ends":  func(d *deployment, _ *daemon) { d.store.Close() },
		"a short pause": func(d *deployment, h *daemon) {
			d.signal(h, syscall.SIGSTOP)
			time.Sleep(time.Second)
			d.signal(h, syscall.SIGCONT)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 0, 1, 1)
			h := d.daemon(0)
			d.engines[0].Pace(700 * time.Millisecond)
			stream := d.client(h.testHost)
			stream.writeInChunks(modelHost, "/full/a", "long", "4900", "one", "two")
			d.await("the stream runs", func() bool { return d.executions("long") == 1 })
			d.signal(h, syscall.SIGTERM)
			d.await("the host has seen the signal", func() bool { return h.line(1002, "") != "" })
			disturb(d, h)
			a := stream.read()
			d.is.True(!a.truncated)
			d.is.Equal(a.body, completeStream())
			<-h.ended
			d.is.True(strings.Contains(h.line(1003, ""), "Cut=0 "))
		})
	}
}

// TestHostsStopTogether stops all hosts at once: their streams are whole.
func TestHostsStopTogether(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	hosts := []*daemon{d.daemon(0), d.daemon(1)}
	d.engines[0].Pace(700 * time.Millisecond)
	var streams []*client
	for i, h := range hosts {
		stream := d.client(h.testHost)
		id := fmt.Sprint("long-", i)
		stream.writeInChunks(modelHost, "/full/a", id, "4900", "one", "two")
		d.await("the stream runs", func() bool { return d.executions(id) == 1 })
		streams = append(streams, stream)
	}
	for _, h := range hosts {
		d.signal(h, syscall.SIGTERM)
	}
	for _, stream := range streams {
		a := stream.read()
		d.is.True(!a.truncated)
		d.is.Equal(a.body, completeStream())
	}
	for _, h := range hosts {
		<-h.ended
		d.is.True(strings.Contains(h.line(1003, ""), "Cut=0 "))
	}
}

// TestStopDuringTheStart stops a host as soon as it handles signals: it ends as planned.
func TestStopDuringTheStart(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	h := d.startDaemon(0)
	d.await("the host handles signals", func() bool { return h.line(1010, "") != "" })
	d.signal(h, syscall.SIGTERM)
	<-h.ended
	d.is.True(h.line(1003, "") != "")
}
