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

// logged returns the log lines of a test from here on.
func logged(t *testing.T) *standin.Output {
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

// TestAnEngineThatSaysItLeavesGetsNoMore has an engine say in its answers that
// it leaves, while its entry says nothing: no host sends to it once one knows.
func TestAnEngineThatSaysItLeavesGetsNoMore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2, 2)
	w.await("the hosts hear each other", func() bool { return len(w.addresses(w.hosts[0])) == 2 && len(w.addresses(w.hosts[1])) == 2 })
	log := logged(t)
	leaving, others := []*standin.PlatformEngine{w.engines[0], w.services[0]}, []*standin.PlatformEngine{w.engines[1], w.services[1]}
	clients := map[*testHost]*client{}
	for _, h := range w.hosts {
		clients[h] = w.client(h)
	}
	send := func(h *testHost) {
		id := fmt.Sprint("r", time.Now().UnixNano())
		for _, r := range []struct{ host, path string }{{modelHost, "/full/a"}, {serviceHost, "/post/a"}} {
			clients[h].write("POST", r.host, r.path, id+r.host, prompt, id)
			a := clients[h].read()
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.header.Get("Server-Leaving"), "") // it is not the caller's
		}
	}
	seen := func() int { return len(leaving[0].Seen()) + len(leaving[1].Seen()) }
	for i, e := range leaving {
		e.SignalLeavingToRequests()
		others[i].Fail(standin.FullFault, 1)
	}
	send(w.hosts[0])
	is.Equal(seen(), len(leaving))
	for _, e := range others {
		e.Fail(standin.NoFault, 0)
	}
	w.await("the full one is sent requests again", func() bool {
		return w.do(w.hosts[0], "POST", serviceHost, "/post/a", fmt.Sprint("f", time.Now().UnixNano()), nil, "body").status == http.StatusOK
	})
	for range 50 {
		send(w.hosts[0])
	}
	is.Equal(seen(), len(leaving))
	w.await("the other host is told", func() bool {
		return count(log, "upstream leaves") == 2*len(leaving)
	})
	for range 50 {
		send(w.hosts[1])
	}
	is.Equal(seen(), len(leaving))
	// One comes back under its name, while the other is full.
	old := w.services[0]
	old.Close()
	next, err := standin.NewPlatformEngineAt(old.Address(), old.ID, old.Service, old.Zone, old.Model)
	is.NoErr(err)
	t.Cleanup(next.Close)
	w.store.Register(next)
	others[1].Fail(standin.FullFault, 1_000_000)
	w.await("it is sent requests again", func() bool {
		clients[w.hosts[0]].write("POST", serviceHost, "/post/a", fmt.Sprint("n", time.Now().UnixNano()), nil, "body")
		return clients[w.hosts[0]].read().status == http.StatusOK
	})
	is.True(len(next.Seen()) > 0)
}

// TestAnEngineThatReportsThatItLeavesGetsNothing has an engine say only in
// answers about itself that it leaves: before any request was sent there, all
// hosts know.
func TestAnEngineThatReportsThatItLeavesGetsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2, 0)
	w.await("the hosts hear each other", func() bool { return len(w.addresses(w.hosts[0])) == 2 && len(w.addresses(w.hosts[1])) == 2 })
	log := logged(t)
	w.engines[0].SignalLeavingToControlCalls()
	w.await("both hosts know", func() bool { return count(log, "upstream leaves") >= 2 })
	for i := range 100 {
		a := w.do(w.hosts[i%2], "POST", modelHost, "/full/a", fmt.Sprint("r", i), prompt, "body")
		is.Equal(a.status, http.StatusOK)
	}
	is.Equal(len(w.engines[0].Seen()), 0)
}

// TestAnUpstreamThatAsksForTimeGetsIt has upstreams turn requests away and ask
// for time: one of several is left alone, and if all ask, callers are told at
// once when to come back.
func TestAnUpstreamThatAsksForTimeGetsIt(t *testing.T) {
	const rest = 1500 * time.Millisecond
	is := is.New(t)
	w := newWorld(t, 1, 0, 3)
	c := w.client(w.hosts[0])
	send := func(i int) answer {
		c.write("POST", serviceHost, "/post/a", fmt.Sprint("r", i), nil, strconv.Itoa(i))
		return c.read()
	}
	asked := time.Now()
	w.services[0].RejectWithRetryAfter("1.5", rest)
	for i := range 60 {
		is.Equal(send(i).status, http.StatusOK)
	}
	is.True(len(w.services[0].Seen()) <= 2)
	for _, e := range w.services[1:] {
		e.RejectWithRetryAfter("20", 20*time.Second)
	}
	for i := 100; time.Since(asked) < rest/2; i++ {
		a := send(i)
		is.Equal(a.status, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0 && after <= rest.Seconds()) // no later than the earliest
		is.Equal(w.ran(fmt.Sprint("r", i)), 0)
	}
	is.True(len(w.services[0].Seen()) <= 2)
	w.await("the first takes requests again", func() bool { return send(int(time.Now().UnixNano())).status == http.StatusOK })
	is.True(time.Since(asked) >= rest)
}

// TestARestThatIsNoTimeIsNotObeyed has a service ask for what is no time.
func TestARestThatIsNoTimeIsNotObeyed(t *testing.T) {
	for _, text := range []string{"-3", "soon", "NaN", "Wed, 21 Oct 2015 07:28:00 GMT"} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, 0, 1)
			w.services[0].RejectWithRetryAfter(text, 200*time.Millisecond)
			is.Equal(w.do(w.hosts[0], "POST", serviceHost, "/post/a", "first", nil, "x").status, http.StatusServiceUnavailable)
			w.await("it is sent requests again", func() bool {
				return w.do(w.hosts[0], "POST", serviceHost, "/post/a", fmt.Sprint(time.Now().UnixNano()), nil, "x").status == http.StatusOK
			})
		})
	}
}
