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
	// crashMarker is in the path of requests that crash their upstream.
	crashMarker = "poison"
	// quarantineLosses is the number of crashes after which a request is
	// quarantined, lateRetries the number of times that it may still reach an
	// upstream afterwards.
	quarantineLosses = 3
	lateRetries      = 3
	// restartDelay is the time from a crash to the restart of the upstream.
	restartDelay = 30 * time.Millisecond
)

// crashCounter counts upstreams that crashed on a request. Each is restarted at its
// address.
type crashCounter struct {
	*deployment

	point  standin.PlatformCrashPoint
	rename bool
	// part, if set, is the prompt part that crashes an upstream, instead of the
	// marker.
	part    string
	mu      sync.Mutex
	crashed int
	// restarted holds the upstreams that were started after crashes.
	restarted []*standin.PlatformEngine
	wait      sync.WaitGroup
}

// crashOn makes requests with the marker crash the deployment's upstreams.
func (d *deployment) crashOn(point standin.PlatformCrashPoint, rename bool) *crashCounter {
	return d.startCrashes(&crashCounter{deployment: d, point: point, rename: rename})
}

// crashOnPart makes requests with a prompt part crash the deployment's engines.
func (d *deployment) crashOnPart(part string, point standin.PlatformCrashPoint) *crashCounter {
	return d.startCrashes(&crashCounter{deployment: d, point: point, rename: true, part: part})
}

func (d *deployment) startCrashes(c *crashCounter) *crashCounter {
	d.t.Cleanup(c.wait.Wait)
	for _, e := range d.upstreams() {
		c.arm(e)
	}
	return c
}

func (c *crashCounter) arm(e *standin.PlatformEngine) {
	c.wait.Add(1)
	once := sync.OnceFunc(c.wait.Done)
	c.t.Cleanup(once)
	crashed := func() {
		defer once()
		c.restart(e)
	}
	if c.part != "" {
		e.CrashOnPart(c.part, c.point, crashed)
		return
	}
	e.CrashOn(crashMarker, c.point, crashed)
}

// restart restarts an upstream after its crash.
func (c *crashCounter) restart(e *standin.PlatformEngine) {
	c.mu.Lock()
	c.crashed++
	id := e.ID
	if c.rename {
		id = fmt.Sprintf("%s-%d", strings.SplitN(e.ID, "+", 2)[0]+"+", c.crashed)
	}
	c.mu.Unlock()
	time.Sleep(restartDelay)
	restarted, err := standin.NewPlatformEngineAt(e.Address(), id, e.Service, e.Zone, e.Model)
	if err != nil {
		c.t.Error(err)
		return
	}
	c.t.Cleanup(restarted.Close)
	c.mu.Lock()
	c.restarted = append(c.restarted, restarted)
	c.mu.Unlock()
	c.arm(restarted)
	if c.rename {
		c.store.Remove(e)
	}
	c.store.Register(restarted)
}

func (c *crashCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashed
}

// sendRepeatedly sends a request a number of times, to the hosts in turn. The
// pauses let the hosts read the entries of restarted upstreams.
func (c *crashCounter) sendRepeatedly(times int, method, host, path string) {
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

// withinLimit reports whether upstreams crashed, but not more than allowed.
func (c *crashCounter) withinLimit() bool {
	c.t.Helper()
	n := c.count()
	c.t.Logf("%d upstreams crashed", n)
	return n > 0 && n <= quarantineLosses+lateRetries
}

// TestCrashingRequestsAreRefused repeats a call that crashes every upstream that
// executes it.
func TestCrashingRequestsAreRefused(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 0, 3)
	c := d.crashOn(standin.BeforeHead, true)
	c.sendRepeatedly(12, "POST", serviceHost, "/post/poison")
	is.True(c.withinLimit())
}

// TestCallerDisconnectsDoNotCountAsLosses has callers disconnect while upstreams
// execute their requests, and sends the same request again.
func TestCallerDisconnectsDoNotCountAsLosses(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 0, 4)
	disconnects := func() int {
		n := 0
		for _, e := range d.services {
			n += e.AbandonedRequests()
		}
		return n
	}
	for i := range 8 {
		for _, e := range d.services {
			e.Fail(standin.SilentFault, 1)
		}
		c := d.client(d.hosts[0])
		id := fmt.Sprint("left-", i)
		c.write("POST", serviceHost, "/post/a", id, nil, "body")
		d.await("it arrives", func() bool { return d.arrivals(id) == 1 })
		is.NoErr(c.conn.Close())
		d.await("it is cancelled", func() bool { return disconnects() == i+1 })
	}
	for _, e := range d.services {
		e.Fail(standin.NoFault, 0)
	}
	is.Equal(d.do(d.hosts[0], "POST", serviceHost, "/post/a", "stays", nil, "body").status, 200)
}

// TestCrashingReadsWithoutBodyAreRefused repeats a crashing read, whose fingerprint
// consists of path and account alone.
func TestCrashingReadsWithoutBodyAreRefused(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 0, 3)
	c := d.crashOn(standin.BeforeHead, true)
	c.sendRepeatedly(12, "GET", serviceHost, "/read/poison")
	is.True(c.withinLimit())
	is.Equal(d.do(d.hosts[0], "GET", serviceHost, "/read/other", "other", nil, "").status, 200)
}

// TestUpstreamsRestartedUnderTheSameNameCount checks that crashes count if the
// upstreams restart under their old names, while other requests lose connections.
func TestUpstreamsRestartedUnderTheSameNameCount(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 0, 2)
	c := d.crashOn(standin.BeforeHead, false)
	for i := range 12 {
		// Another request loses its connection at about the same time.
		d.services[0].Fail(standin.ResetFault, 1)
		c.do(c.hosts[0], "POST", serviceHost, fmt.Sprint("/post/", i), fmt.Sprint("o", i), nil, fmt.Sprint(i))
		c.sendRepeatedly(1, "POST", serviceHost, "/post/poison")
	}
	is.True(c.withinLimit())
}

// TestStreamsTruncatedByACrashCount sends streams whose engine crashes after the
// start of its answer.
func TestStreamsTruncatedByACrashCount(t *testing.T) {
	for _, tt := range []struct {
		name  string
		point standin.PlatformCrashPoint
	}{{"after the head", standin.AfterHead}, {"after the first event", standin.AfterEvent}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 2, 4, 0)
			c := d.crashOn(tt.point, true)
			c.sendRepeatedly(12, "POST", modelHost, "/flag/poison")
			is.True(c.withinLimit())
		})
	}
}

// TestQuarantinedStreamIsNotResumed sends one crashing stream that may be resumed
// on many engines.
func TestQuarantinedStreamIsNotResumed(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 10, 0)
	d.configure(func(config map[string]any) {
		config["routes"] = []any{route("full", modelHost, "/many/", "streaming", "models", map[string]any{"resumable": true, "sticky": true, "max_attempts": 10})}
	})
	d.await("the route is known", func() bool {
		return d.do(d.hosts[0], "POST", modelHost, "/many/a", fmt.Sprint(time.Now().UnixNano()), prompt, "other").status == 200
	})
	c := d.crashOn(standin.AfterEvent, true)
	c.sendRepeatedly(1, "POST", modelHost, "/many/poison")
	t.Logf("%d engines crashed", c.count())
	is.True(c.count() > 0)
	is.True(c.count() <= quarantineLosses)
}

// TestQuarantineSurvivesRestartOfAllHosts kills all hosts after a request was
// quarantined and the store has the verdict, and starts others.
func TestQuarantineSurvivesRestartOfAllHosts(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 0, 3)
	c := d.crashOn(standin.BeforeHead, true)
	c.sendRepeatedly(8, "POST", serviceHost, "/post/poison")
	is.True(c.withinLimit())
	// A host writes the verdict in the background and is killed without notice.
	d.await("the store has the verdict", func() bool { return len(d.store.Records("keyed.crashers")) > 0 })
	before := c.count()
	for _, h := range d.hosts {
		h.kill()
	}
	d.hosts = nil
	for i := range 2 {
		d.awaitReady(d.host(i))
	}
	c.sendRepeatedly(4, "POST", serviceHost, "/post/poison")
	is.Equal(c.count(), before)
}

// TestQuarantineReachesHostsWithoutPeers has a host that reaches the store, but no
// other host.
func TestQuarantineReachesHostsWithoutPeers(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 0, 3)
	c := d.crashOn(standin.BeforeHead, true)
	t.Setenv("SITE_TEST_SECRET", "another")
	d.awaitReady(d.host(1))
	all := d.hosts
	d.hosts = all[:1]
	c.sendRepeatedly(8, "POST", serviceHost, "/post/poison")
	is.True(c.withinLimit())
	before := c.count()
	d.hosts = all[1:]
	c.sendRepeatedly(2, "POST", serviceHost, "/post/poison")
	is.Equal(c.count(), before)
}
