package storenode_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/standin"
)

// captureLog returns the log lines that are written from now on.
func captureLog(t *testing.T) *standin.Output {
	var log standin.Output
	var wait conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	event.WriteTo(ctx, &wait, &log)
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return &log
}

// TestLeavingUpstreamGetsNoMoreRequests checks that no host sends requests to
// upstreams that reported in an answer that they leave, though their entries don't
// say so.
func TestLeavingUpstreamGetsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 2, 2)
	d.await("the hosts receive each other's load reports", func() bool { return len(d.addresses(d.hosts[0])) == 2 && len(d.addresses(d.hosts[1])) == 2 })
	log := captureLog(t)
	leaving, others := []*standin.PlatformEngine{d.engines[0], d.services[0]}, []*standin.PlatformEngine{d.engines[1], d.services[1]}
	clients := map[*testHost]*client{}
	for _, h := range d.hosts {
		clients[h] = d.client(h)
	}
	send := func(h *testHost) {
		id := fmt.Sprint("r", time.Now().UnixNano())
		for _, r := range []struct{ host, path string }{{modelHost, "/full/a"}, {serviceHost, "/post/a"}} {
			clients[h].write("POST", r.host, r.path, id+r.host, prompt, id)
			a := clients[h].read()
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.header.Get("Server-Leaving"), "") // not forwarded to the caller
		}
	}
	seen := func() int { return len(leaving[0].Seen()) + len(leaving[1].Seen()) }
	for i, e := range leaving {
		e.SignalLeavingToRequests()
		others[i].Fail(standin.FullFault, 1)
	}
	send(d.hosts[0])
	is.Equal(seen(), len(leaving))
	for _, e := range others {
		e.Fail(standin.NoFault, 0)
	}
	for host, path := range map[string]string{serviceHost: "/post/a", modelHost: "/full/a"} {
		d.await("the full upstream gets requests again", func() bool {
			return d.do(d.hosts[0], "POST", host, path, fmt.Sprint("f", time.Now().UnixNano()), prompt, "body").status == http.StatusOK
		})
	}
	for range 50 {
		send(d.hosts[0])
	}
	is.Equal(seen(), len(leaving))
	d.await("the other host knows", func() bool {
		return countEvents(log, "upstream leaves") == 2*len(leaving)
	})
	for range 50 {
		send(d.hosts[1])
	}
	is.Equal(seen(), len(leaving))
	// One restarts under its name while the other is full.
	old := d.services[0]
	old.Close()
	restarted, err := standin.NewPlatformEngineAt(old.Address(), old.ID, old.Service, old.Zone, old.Model)
	is.NoErr(err)
	t.Cleanup(restarted.Close)
	d.store.Register(restarted)
	others[1].Fail(standin.FullFault, 1_000_000)
	d.await("it gets requests again", func() bool {
		clients[d.hosts[0]].write("POST", serviceHost, "/post/a", fmt.Sprint("n", time.Now().UnixNano()), nil, "body")
		return clients[d.hosts[0]].read().status == http.StatusOK
	})
	is.True(len(restarted.Seen()) > 0)
}

// TestEngineReportedLeavingGetsNoRequests has an engine report only in answers of
// its control API that it leaves. All hosts must know before any request is sent
// to it.
func TestEngineReportedLeavingGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 2, 0)
	d.await("the hosts receive each other's load reports", func() bool { return len(d.addresses(d.hosts[0])) == 2 && len(d.addresses(d.hosts[1])) == 2 })
	log := captureLog(t)
	d.engines[0].SignalLeavingToControlCalls()
	d.await("both hosts know", func() bool { return countEvents(log, "upstream leaves") >= 2 })
	for i := range 100 {
		a := d.do(d.hosts[i%2], "POST", modelHost, "/full/a", fmt.Sprint("r", i), prompt, "body")
		is.Equal(a.status, http.StatusOK)
	}
	is.Equal(len(d.engines[0].Seen()), 0)
}

// TestRetryAfterIsHonoured has upstreams reject requests with a Retry-After. If one
// of several does, the others get its requests; if all do, callers get a
// Retry-After immediately.
func TestRetryAfterIsHonoured(t *testing.T) {
	const pause = 1500 * time.Millisecond
	is := is.New(t)
	d := newDeployment(t, 1, 0, 3)
	c := d.client(d.hosts[0])
	send := func(i int) answer {
		c.write("POST", serviceHost, "/post/a", fmt.Sprint("r", i), nil, strconv.Itoa(i))
		return c.read()
	}
	start := time.Now()
	d.services[0].RejectWithRetryAfter("1.5", pause)
	for i := range 60 {
		is.Equal(send(i).status, http.StatusOK)
	}
	is.True(len(d.services[0].Seen()) <= 2)
	for _, e := range d.services[1:] {
		e.RejectWithRetryAfter("20", 20*time.Second)
	}
	for i := 100; time.Since(start) < pause/2; i++ {
		a := send(i)
		is.Equal(a.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0 && after <= pause.Seconds()) // no later than the earliest pause ends
		is.Equal(d.executions(fmt.Sprint("r", i)), 0)
	}
	is.True(len(d.services[0].Seen()) <= 2)
	d.await("the first accepts requests again", func() bool { return send(int(time.Now().UnixNano())).status == http.StatusOK })
	is.True(time.Since(start) >= pause)
}

// TestInvalidRetryAfterIsIgnored has a service send invalid Retry-After headers.
func TestInvalidRetryAfterIsIgnored(t *testing.T) {
	for _, text := range []string{"-3", "soon", "NaN", "Wed, 21 Oct 2015 07:28:00 GMT"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 0, 1)
			d.services[0].RejectWithRetryAfter(text, 200*time.Millisecond)
			is.Equal(d.do(d.hosts[0], "POST", serviceHost, "/post/a", "first", nil, "x").status, http.StatusServiceUnavailable)
			d.await("it gets requests again", func() bool {
				return d.do(d.hosts[0], "POST", serviceHost, "/post/a", fmt.Sprint(time.Now().UnixNano()), nil, "x").status == http.StatusOK
			})
		})
	}
}
