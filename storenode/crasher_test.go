package storenode_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// crashMarker stands in the path of requests that end their upstream.
	crashMarker = "poison"
	// condemningLosses is after how many lost upstreams a request is held to
	// end them, lateRetries how many more times it may reach one.
	condemningLosses = 3
	lateRetries      = 3
	// comesBack is how long a crashed upstream is away.
	comesBack = 30 * time.Millisecond
)

// crashes counts upstreams that a request has ended. Each is started again at
// its address.
type crashes struct {
	*world

	point  standin.PlatformCrashPoint
	rename bool
	mu     sync.Mutex
	ended  int
	wait   sync.WaitGroup
}

// crashOn makes requests with the marker end the upstreams of a world.
func (w *world) crashOn(point standin.PlatformCrashPoint, rename bool) *crashes {
	c := &crashes{world: w, point: point, rename: rename}
	w.t.Cleanup(c.wait.Wait)
	for _, e := range w.upstreams() {
		c.arm(e)
	}
	return c
}

func (c *crashes) arm(e *standin.PlatformEngine) {
	c.wait.Add(1)
	once := sync.OnceFunc(c.wait.Done)
	c.t.Cleanup(once)
	e.CrashOn(crashMarker, c.point, func() {
		defer once()
		c.restart(e)
	})
}

// restart starts an upstream again after its end.
func (c *crashes) restart(e *standin.PlatformEngine) {
	c.mu.Lock()
	c.ended++
	id := e.ID
	if c.rename {
		id = fmt.Sprintf("%s-%d", strings.SplitN(e.ID, "+", 2)[0]+"+", c.ended)
	}
	c.mu.Unlock()
	time.Sleep(comesBack)
	next, err := standin.NewPlatformEngineAt(e.Address(), id, e.Service, e.Zone, e.Model)
	if err != nil {
		c.t.Error(err)
		return
	}
	c.t.Cleanup(next.Close)
	c.arm(next)
	if c.rename {
		c.store.Remove(e)
	}
	c.store.Register(next)
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// sendOften sends a request again and again, to one host after the other. The
// pauses let entries of upstreams that are back arrive.
func (c *crashes) sendOften(times int, method, host, path string) {
	for i := range times {
		c.do(c.hosts[i%len(c.hosts)], method, host, path, fmt.Sprint("p", time.Now().UnixNano()), prompt, bodyOf(method))
		time.Sleep(600 * time.Millisecond)
	}
}

func bodyOf(method string) string {
	if method == "GET" {
		return ""
	}
	return "body"
}

// few tells whether no more upstreams ended than may.
func (c *crashes) few() bool {
	c.t.Helper()
	n := c.count()
	c.t.Logf("%d upstreams ended", n)
	return n > 0 && n <= condemningLosses+lateRetries
}

// TestRequestsThatEndUpstreamsAreRefused sends calls that end whatever runs
// them, again and again.
func TestRequestsThatEndUpstreamsAreRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 0, 3)
	c := w.crashOn(standin.BeforeHead, true)
	c.sendOften(12, "POST", serviceHost, "/post/poison")
	is.True(c.few())
}

// TestCallersThatLeaveAreNotHeldAgainstTheirRequest has callers leave while
// upstreams work on their requests, and sends the same request again.
func TestCallersThatLeaveAreNotHeldAgainstTheirRequest(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 0, 4)
	left := func() int {
		n := 0
		for _, e := range w.services {
			n += e.AbandonedRequests()
		}
		return n
	}
	for i := range 8 {
		for _, e := range w.services {
			e.Fail(standin.SilentFault, 1)
		}
		c := w.client(w.hosts[0])
		id := fmt.Sprint("left-", i)
		c.write("POST", serviceHost, "/post/a", id, nil, "body")
		w.await("it arrives", func() bool { return w.arrived(id) == 1 })
		is.NoErr(c.conn.Close())
		w.await("it is given up", func() bool { return left() == i+1 })
	}
	for _, e := range w.services {
		e.Fail(standin.NoFault, 0)
	}
	is.Equal(w.do(w.hosts[0], "POST", serviceHost, "/post/a", "stays", nil, "body").status, 200)
}

// TestReadsWithoutBodyThatEndUpstreamsAreRefused does that with reads, which
// are known by their path and account alone.
func TestReadsWithoutBodyThatEndUpstreamsAreRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 0, 3)
	c := w.crashOn(standin.BeforeHead, true)
	c.sendOften(12, "GET", serviceHost, "/read/poison")
	is.True(c.few())
	is.Equal(w.do(w.hosts[0], "GET", serviceHost, "/read/other", "other", nil, "").status, 200)
}

// TestUpstreamsThatReturnUnderTheirNamesCount has the pool's upstreams come
// back under their names while others are lost too.
func TestUpstreamsThatReturnUnderTheirNamesCount(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 0, 2)
	c := w.crashOn(standin.BeforeHead, false)
	for i := range 12 {
		// Another request loses its connection at about the same time.
		w.services[0].Fail(standin.ResetFault, 1)
		c.do(c.hosts[0], "POST", serviceHost, fmt.Sprint("/post/", i), fmt.Sprint("o", i), nil, fmt.Sprint(i))
		c.sendOften(1, "POST", serviceHost, "/post/poison")
	}
	is.True(c.few())
}

// TestStreamsCutByTheEndOfTheirEngineCount sends streams whose engine ends
// after it has begun to answer.
func TestStreamsCutByTheEndOfTheirEngineCount(t *testing.T) {
	for _, tt := range []struct {
		name  string
		point standin.PlatformCrashPoint
	}{{"after the head", standin.AfterHead}, {"after the first event", standin.AfterEvent}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2, 4, 0)
			c := w.crashOn(tt.point, true)
			c.sendOften(12, "POST", modelHost, "/flag/poison")
			is.True(c.few())
		})
	}
}

// TestCondemnedRunIsNotSentOn sends one stream that may go on at many engines.
func TestCondemnedRunIsNotSentOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 10, 0)
	w.configure(func(config map[string]any) {
		config["routes"] = []any{route("full", modelHost, "/many/", "streaming", "models", map[string]any{"resumable": true, "sticky": true, "max_attempts": 10})}
	})
	w.await("the route is known", func() bool {
		return w.do(w.hosts[0], "POST", modelHost, "/many/a", fmt.Sprint(time.Now().UnixNano()), prompt, "other").status == 200
	})
	c := w.crashOn(standin.AfterEvent, true)
	c.sendOften(1, "POST", modelHost, "/many/poison")
	t.Logf("%d engines ended", c.count())
	is.True(c.count() > 0)
	is.True(c.count() <= condemningLosses)
}

// TestQuarantineOutlivesItsHosts ends all hosts after a request was condemned
// and starts others.
func TestQuarantineOutlivesItsHosts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 0, 3)
	c := w.crashOn(standin.BeforeHead, true)
	c.sendOften(8, "POST", serviceHost, "/post/poison")
	is.True(c.few())
	before := c.count()
	for _, h := range w.hosts {
		h.kill()
	}
	w.hosts = nil
	for i := range 2 {
		w.awaitReady(w.host(i))
	}
	c.sendOften(4, "POST", serviceHost, "/post/poison")
	is.Equal(c.count(), before)
}

// TestQuarantineReachesHostsWithoutPeers has a host that no other one can
// speak with, though it reaches the store.
func TestQuarantineReachesHostsWithoutPeers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 0, 3)
	c := w.crashOn(standin.BeforeHead, true)
	t.Setenv("SITE_TEST_SECRET", "another")
	w.awaitReady(w.host(1))
	all := w.hosts
	w.hosts = all[:1]
	c.sendOften(8, "POST", serviceHost, "/post/poison")
	is.True(c.few())
	before := c.count()
	w.hosts = all[1:]
	c.sendOften(2, "POST", serviceHost, "/post/poison")
	is.Equal(c.count(), before)
}
