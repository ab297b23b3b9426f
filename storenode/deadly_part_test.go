package storenode_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	deadlyPart = "dd"
	// freePartCrashes is the number of crashes after which the hosts must have
	// recognized a part that crashes engines, apart from lateRetries.
	freePartCrashes = 5
)

// withPart returns the prompt headers of a new request with a part.
func withPart(part string) map[string]string {
	return map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Prompt-Prefix": fmt.Sprintf("aa:300,%s:500,%x:200", part, time.Now().UnixNano())}
}

// sendPart sends a new request with a part and returns the status.
func (c *crashCounter) sendPart(h *testHost, kind, part string) int {
	id := fmt.Sprint(part, time.Now().UnixNano())
	return c.do(h, http.MethodPost, modelHost, "/"+kind+"/"+id, id, withPart(part), id).status
}

// reached counts the requests with the deadly part that reached an engine.
func (c *crashCounter) reached() int {
	c.mu.Lock()
	engines := append(c.upstreams(), c.restarted...)
	c.mu.Unlock()
	n := 0
	for _, e := range engines {
		for _, h := range e.Seen() {
			if standin.HasPart(h, deadlyPart) {
				n++
			}
		}
	}
	return n
}

// TestDeadlyPartCrashesFewEngines sends requests that differ but share a part
// that crashes engines, among others with the same account and first part.
func TestDeadlyPartCrashesFewEngines(t *testing.T) {
	for _, tt := range []struct {
		kind  string
		point standin.PlatformCrashPoint
	}{{"flag", standin.BeforeHead}, {"full", standin.AfterHead}, {"full", standin.AfterEvent}} {
		t.Run(fmt.Sprint(tt.kind, tt.point), func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 2, 4, 0)
			c := d.crashOnPart(deadlyPart, tt.point)
			for i := range 14 {
				c.sendPart(c.hosts[i%2], tt.kind, deadlyPart)
				c.sendPart(c.hosts[i%2], tt.kind, "bb")
				time.Sleep(300 * time.Millisecond)
			}
			t.Logf("%d engines crashed", c.count())
			is.True(c.count() > 0)
			is.True(c.reached() <= freePartCrashes+lateRetries)
			before := c.reached()
			for i := range 8 {
				is.Equal(c.sendPart(c.hosts[i%2], tt.kind, deadlyPart), http.StatusServiceUnavailable)
				is.Equal(c.sendPart(c.hosts[i%2], tt.kind, "bb"), http.StatusOK)
			}
			is.Equal(c.reached(), before)
		})
	}
}

// TestDeadlyPartSurvivesRestartOfAllHosts kills all hosts after a part was
// quarantined and starts others.
func TestDeadlyPartSurvivesRestartOfAllHosts(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 4, 0)
	c := d.crashOnPart(deadlyPart, standin.AfterHead)
	for i := 0; c.sendPart(c.hosts[i%2], "full", deadlyPart) != http.StatusServiceUnavailable; i++ {
		is.True(i < 2*freePartCrashes)
		time.Sleep(300 * time.Millisecond)
	}
	d.await("the store has the verdict", func() bool { return len(d.store.Records("keyed.crashers")) > 0 })
	before := c.reached()
	for _, h := range d.hosts {
		h.kill()
	}
	d.hosts = nil
	for i := range 2 {
		d.awaitReady(d.host(i))
	}
	for i := range 4 {
		h := c.hosts[i%2]
		d.await("the verdict is read", func() bool { return c.sendPart(h, "full", deadlyPart) == http.StatusServiceUnavailable })
		is.Equal(c.sendPart(h, "full", "bb"), http.StatusOK)
	}
	is.True(c.reached() <= before+lateRetries)
}

// TestQueuedRequestsWithDeadlyPartAreWithdrawn has a request wait at an engine
// while others with its part crash engines.
func TestQueuedRequestsWithDeadlyPartAreWithdrawn(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 4, 0)
	d.configure(func(config map[string]any) {
		config["routes"] = []any{route("slow", modelHost, "/slow/", "streaming", "models", map[string]any{"sticky": true, "max_attempts": 1, "timeout_ms": 120_000})}
	})
	d.await("the route is known", func() bool {
		return d.do(d.hosts[0], http.MethodPost, modelHost, "/slow/a", fmt.Sprint(time.Now().UnixNano()), prompt, "other").status == http.StatusOK
	})
	for _, e := range d.engines {
		e.Fail(standin.SilentFault, 1)
	}
	waiting, headers := d.client(d.hosts[0]), withPart(deadlyPart)
	headers["X-Deadline-Ms"] = "120000"
	waiting.write(http.MethodPost, modelHost, "/slow/waits", "waits", headers, "waits")
	d.await("it waits at an engine", func() bool { return d.arrivals("waits") == 1 })
	var holder *standin.PlatformEngine
	for _, e := range d.engines {
		e.Fail(standin.NoFault, 0)
		if slices.ContainsFunc(e.Seen(), func(h http.Header) bool { return h.Get("X-Attempt-Id") == "waits" }) {
			holder = e
			e.Fail(standin.FullFault, 1000) // it takes no other request, so that it doesn't crash
		}
	}
	c := d.crashOnPart(deadlyPart, standin.AfterHead)
	for i := 0; c.sendPart(c.hosts[0], "slow", deadlyPart) != http.StatusServiceUnavailable; i++ {
		is.True(i < 2*freePartCrashes)
		time.Sleep(300 * time.Millisecond)
	}
	d.await("it is withdrawn", func() bool { return holder.AbandonedRequests() == 1 })
	is.True(waiting.read().status >= http.StatusInternalServerError)
}
