package storenode_test

import (
	"fmt"
	"maps"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRequestsQueuedAtReplacedWeightsAreCancelled has a request queue at an engine
// whose weights are replaced meanwhile and whose load order is lost. The request
// must be cancelled before the time for answers by the old weights ends.
func TestRequestsQueuedAtReplacedWeightsAreCancelled(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 1, 0)
	d.weightsMillis = 2000
	d.awaitReady(d.host(0))
	d.configure(withLongRoute)
	answers := d.queueRequest()
	d.store.NameWeights("m1", 2)
	d.await("it is cancelled", func() bool { return d.engines[0].AbandonedRequests() == 1 })
	is.Equal((<-answers).status, http.StatusGatewayTimeout)
}

// TestStreamThatBeginsWhenWithdrawnIsNotCut has the first event of a stream that may not be
// resumed arrive at the moment at which the stream is withdrawn for newer weights.
func TestStreamThatBeginsWhenWithdrawnIsNotCut(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault standin.PlatformFault
		// status is that of the answer.
		status int
	}{
		{"the run goes on", standin.PauseFault, http.StatusGatewayTimeout},
		{"the run has ended", standin.NoFault, http.StatusOK},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 0, 1, 0)
			dialer := &cutDialer{}
			d.dialers = map[int]*cutDialer{0: dialer}
			d.weightsMillis = 2000
			d.awaitReady(d.host(0))
			d.await("it serves streams", func() bool {
				return d.do(d.hosts[0], "POST", modelHost, "/flag/a", fmt.Sprint(time.Now().UnixNano()), prompt, "before").status == http.StatusOK
			})
			if tt.fault != standin.NoFault {
				d.engines[0].Fail(tt.fault, 1)
			}
			dialer.set(lateCut)
			received := make(chan answer, 1)
			go func() { received <- d.do(d.hosts[0], "POST", modelHost, "/flag/a", "withdrawn", prompt, "body") }()
			d.await("it runs", func() bool { return d.executions("withdrawn") == 1 })
			d.store.NameWeights("m1", 2)
			got := <-received
			is.Equal(got.status, tt.status)
			is.True(!got.truncated)
			is.Equal(d.executions("withdrawn"), 1)
		})
	}
}

// withLongRoute replaces the routes of a configuration by one whose requests may wait for
// long.
func withLongRoute(config map[string]any) {
	config["routes"] = []any{route("flag", modelHost, "/long/", "streaming", "models", map[string]any{"sticky": true, "max_attempts": 1, "timeout_ms": 120_000})}
}

// queueRequest sends a request of an account that shares parts, on the long route, to the
// first host, and waits until it is queued at the first engine.
func (d *deployment) queueRequest() (answers <-chan answer) {
	headers := map[string]string{"X-Deadline-Ms": "120000"}
	maps.Copy(headers, prompt)
	d.await("the route is known", func() bool {
		return d.do(d.hosts[0], "POST", modelHost, "/long/a", fmt.Sprint(time.Now().UnixNano()), headers, "before").status == http.StatusOK
	})
	d.engines[0].Fail(standin.SilentFault, 1)
	received := make(chan answer, 1)
	go func() { received <- d.do(d.hosts[0], "POST", modelHost, "/long/a", "waits", headers, "body") }()
	d.await("it is queued", func() bool { return d.arrivals("waits") == 1 })
	return received
}

// TestLongLoads has three engines load weights for 5 s each, longer than updates about a
// claim are valid, while callers send requests all the time. No engine may get a request
// or an order while it loads, at most two may load at a time, and all load the weights.
func TestLongLoads(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 3, 0)
	d.weightsMillis = 40_000
	for i := range 2 {
		d.awaitReady(d.host(i))
	}
	for _, e := range d.engines {
		e.LoadTakes(5 * time.Second)
	}
	d.await("it answers", func() bool {
		return d.do(d.hosts[0], "POST", modelHost, "/flag/a", fmt.Sprint(time.Now().UnixNano()), prompt, "body").status == http.StatusOK
	})
	d.store.NameWeights("m1", 2)
	sent, refused, mostLoading := 0, 0, 0
	d.await("all have loaded", func() bool {
		status := d.do(d.hosts[sent%2], "POST", modelHost, "/flag/a", fmt.Sprintf("during-%d", sent), prompt, "body").status
		if sent++; status != http.StatusOK {
			refused++
		}
		outdated, loading := 0, 0
		for _, e := range d.engines {
			if e.Weights() < 2 {
				outdated++
			}
			if e.Loading() {
				loading++
			}
		}
		mostLoading = max(mostLoading, loading)
		return outdated == 0
	})
	rejected, disturbed := 0, 0
	for _, e := range d.engines {
		rejected += e.RejectedWhileLoading()
		disturbed += e.OrdersWhileLoading()
	}
	is.Equal(rejected, 0)
	is.Equal(disturbed, 0)
	is.Equal(refused, 0)
	is.True(mostLoading <= 2)
}

// TestStoppingHostsOrderLoads guards against weights that reach no engine while hosts are
// restarted in turn, so that all of them are stopping for some seconds.
func TestStoppingHostsOrderLoads(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 3, 1)
	d.services[0].Fail(standin.SilentFault, len(d.hosts)) // requests stay open for 5 s
	var callers conc.WaitGroup
	for i, h := range d.hosts {
		callers.Go(func() { d.do(h, "POST", serviceHost, "/post/a", fmt.Sprint("open", i), nil, "body") })
		d.await("the request is open", func() bool { return d.arrivals(fmt.Sprint("open", i)) == 1 })
	}
	for _, h := range d.hosts {
		h.Stop()
	}
	d.await("the hosts know of each other's stop", func() bool {
		resp, err := http.Get("http://" + d.hosts[0].settings.Listen.Addresses + "/resolve?name=" + modelHost)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	d.store.NameWeights("m1", 2)
	callers.Wait()
	for _, h := range d.hosts {
		h.Wait()
	}
	for _, e := range d.engines {
		is.Equal(e.Weights(), int64(2))
	}
}
