package storenode_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/storenode"
)

// wholeStream is the body of a stream of a stand-in engine.
func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= 6; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// TestServe covers each kind of request and what upstreams are told.
func TestServe(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 2, 1)
	h := w.hosts[0]
	a := w.do(h, "POST", modelHost, "/full/x?y=1", "r1", prompt, "hello")
	is.Equal(a.status, 200)
	is.Equal(a.body, wholeStream())
	is.True(!a.broken)
	is.True(a.header.Get("X-Response-Stamp") != "")
	a = w.do(h, "POST", serviceHost, "/post/a", "r2", map[string]string{"X-Hold": "h", "X-Tenant": "other", "X-Cache-Salt": "s", "Connection": "X-Gone", "X-Gone": "1", "X-Kept": "1"}, "body")
	is.Equal(a.status, 200)
	is.Equal(a.body, "POST /post/a body")
	seen := w.services[0].Seen()[0]
	for name, want := range map[string]string{
		"X-Attempt-Id": "r2", "X-Tenant": "mill", "X-Expect-Instance": "desk-0", "X-Kept": "1",
		"X-Api-Key": "", "X-Hold": "", "X-Cache-Salt": "", "X-Gone": "",
	} {
		is.Equal(seen.Get(name), want) // what the upstream is told
	}
	a = w.do(h, "GET", serviceHost, "/open/a", "r3", map[string]string{"X-Api-Key": ""}, "")
	is.Equal(a.status, 200)
}

// TestRefusals covers what the configuration does not allow.
func TestRefusals(t *testing.T) {
	w := newWorld(t, 1, 1, 1)
	for _, c := range []struct {
		name, host, path string
		headers          map[string]string
		status           int
	}{
		{"no route", serviceHost, "/nowhere/a", nil, 404},
		{"no host", "other.example", "/post/a", nil, 404},
		{"prefix without its slash", serviceHost, "/post", nil, 404},
		{"folded head", serviceHost, "/read/a", map[string]string{"X-Long": "a\r\n b"}, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := w.do(w.hosts[0], "GET", c.host, c.path, "x", c.headers, "")
			is.New(t).Equal(a.status, c.status)
		})
	}
	// A key that is taken away is refused once the host knows.
	is := is.New(t)
	w.configure(func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": "mill", "api_keys": []any{"other"}}}
	})
	w.await("the key is refused", func() bool {
		return w.do(w.hosts[0], "GET", serviceHost, "/read/a", "k", nil, "").status == 401
	})
	is.Equal(w.do(w.hosts[0], "GET", serviceHost, "/open/a", "k2", nil, "").status, 200)
}

// TestFaultsOfUpstreams covers what callers get when an upstream fails, and
// how often the request ran.
func TestFaultsOfUpstreams(t *testing.T) {
	for _, c := range []struct {
		name, host, method, path string
		fault                    standin.PlatformFault
		status, runs             int
		body                     string
		broken                   bool
	}{
		{"a call that may run once is not sent again", serviceHost, "POST", "/post/a", standin.ResetFault, 502, 1, "", false},
		{"a full service is passed by", serviceHost, "POST", "/post/a", standin.FullFault, 200, 1, "POST /post/a body", false},
		{"a service's error is passed on", serviceHost, "POST", "/post/a", standin.ErrorFault, 500, 1, "", false},
		{"an answer without a signature is not passed on", serviceHost, "POST", "/post/a", standin.UncertifiedFault, 502, 1, "", false},
		{"a read goes on elsewhere after a reset", serviceHost, "GET", "/read/a", standin.ResetFault, 200, 2, "GET /read/a ", false},
		{"a read goes on elsewhere after an error", serviceHost, "GET", "/read/a", standin.ErrorFault, 200, 2, "GET /read/a ", false},
		{"a resumable stream goes on after a cut", modelHost, "POST", "/full/a", standin.CutFault, 200, 2, wholeStream(), false},
		{"another stream ends broken", modelHost, "POST", "/flag/a", standin.CutFault, 200, 1, wholeStream()[:len("id: 1\ndata: piece 1\n\n")], true},
		{"a stream that may run once is not sent again", modelHost, "POST", "/flag/a", standin.ResetFault, 502, 1, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, 2, 2)
			// The same request goes to the same upstream again.
			is.Equal(w.do(w.hosts[0], c.method, c.host, c.path, "before", prompt, "body").status, 200)
			for _, e := range w.upstreams() {
				if e.Ran()["before"] == 1 {
					e.Fail(c.fault, 1)
				}
			}
			for i := 0; ; i++ {
				id := fmt.Sprintf("r%d", i)
				a := w.do(w.hosts[0], c.method, c.host, c.path, id, prompt, "body")
				if a.status == 200 && c.status == 200 && w.arrived(id) == 1 && !c.broken && i < 100 {
					continue // it met the sound one first
				}
				is.Equal(a.status, c.status)
				is.Equal(w.ran(id), c.runs)
				is.Equal(a.broken, c.broken)
				if c.status == 200 {
					is.Equal(a.body, c.body)
				}
				return
			}
		})
	}
}

// TestExtraAnswer sends a request after one whose upstream answered twice.
func TestExtraAnswer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 0, 1)
	w.engine("engine-x", "models", "m1")
	w.services[0].Fail(standin.ExtraFault, 1)
	c := w.client(w.hosts[0])
	c.write("POST", serviceHost, "/post/a", "first", nil, "1")
	is.Equal(c.read().body, "POST /post/a 1")
	c.write("POST", serviceHost, "/post/b", "second", nil, "2")
	a := c.read()
	is.Equal(a.body, "POST /post/b 2")
	is.Equal(a.header.Get("X-Attempt-Id"), "second")
}

// TestCallerLeaves closes a caller's connection while an engine is silent.
func TestCallerLeaves(t *testing.T) {
	w := newWorld(t, 1, 1, 0)
	w.engines[0].Fail(standin.SilentFault, 1)
	c := w.client(w.hosts[0])
	c.write("POST", modelHost, "/flag/a", "left", prompt, "body")
	w.await("the engine runs it", func() bool { return w.ran("left") == 1 })
	_ = c.conn.Close()
	w.await("the engine's connection is closed", func() bool { return w.engines[0].AbandonedRequests() == 1 })
}

// TestWeights names weights twice and lets an order's answer get lost.
func TestWeights(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 4, 0)
	w.engines[2].Fail(standin.LostOrderFault, 1)
	for _, number := range []int64{2, 5} {
		w.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": number})
		w.await("all engines have the weights", func() bool {
			for _, e := range w.engines {
				if e.Weights() != number {
					return false
				}
			}
			return true
		})
	}
	for _, e := range w.engines {
		orders := e.Orders()
		is.True(len(orders) >= 2)
		for i, o := range orders[1:] {
			// Fencing numbers grow; an order that got no answer is sent again.
			is.True(o.Fence > orders[i].Fence || o.Fence == orders[i].Fence && e == w.engines[2])
			is.Equal(o.Holder, orders[i].Holder) // one host orders within a lease
		}
	}
	id := "after"
	a := w.do(w.hosts[1], "POST", modelHost, "/full/a", id, prompt, "body")
	is.Equal(a.status, 200)
	is.Equal(a.header.Get("X-Weight-Versions"), "5")
}

// TestSalt keeps cached parts of other weights and of isolated accounts apart.
func TestSalt(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1, 0)
	salts := map[string]bool{}
	ask := func(id, key string) {
		headers := map[string]string{"X-Api-Key": key}
		for k, v := range prompt {
			headers[k] = v
		}
		w.await("the request is served", func() bool {
			return w.do(w.hosts[0], "POST", modelHost, "/full/a", id, headers, "body").status == 200
		})
		seen := w.engines[0].Seen()
		salts[seen[len(seen)-1].Get("X-Cache-Salt")] = true
	}
	ask("a", goodKey)
	ask("b", aloneKey)
	w.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
	w.await("the engine has the weights", func() bool { return w.engines[0].Weights() == 2 })
	w.await("the host uses them", func() bool {
		return w.do(w.hosts[0], "POST", modelHost, "/full/a", "probe", prompt, "").header.Get("X-Weight-Versions") == "2"
	})
	ask("c", goodKey)
	ask("d", aloneKey)
	is.Equal(len(salts), 4)
	is.True(!salts[""])
}

// TestLeavingUpstream sends nothing to an upstream whose entry says that it
// leaves, and goes on without those that were removed.
func TestLeavingUpstream(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2, 0)
	w.engines[0].Leave()
	w.store.Put("keyed.servers", w.engines[0].ID, w.engines[0].Entry())
	// A forged and a torn entry change nothing.
	w.store.Put("keyed.servers", w.engines[1].ID, map[string]any{"service": 7, "state": "ready"})
	w.store.Put("keyed.servers", "forged", []byte(`{"service":"models","addr`))
	w.await("hosts use the other engine only", func() bool {
		for i, h := range w.hosts {
			if w.do(h, "POST", modelHost, "/full/a", fmt.Sprint("d", i), prompt, "").status != 200 {
				return false
			}
		}
		before := len(w.engines[0].Seen())
		for i := range 20 {
			is.Equal(w.do(w.hosts[i%2], "POST", modelHost, "/full/a", fmt.Sprint("e", i), prompt, "").status, 200)
		}
		return len(w.engines[0].Seen()) == before
	})
}

// TestTrimmedHistory goes on after the store dropped its history.
func TestTrimmedHistory(t *testing.T) {
	w := newWorld(t, 2, 1, 1)
	w.store.Trim("keyed.op")
	w.store.Trim("keyed.servers")
	w.configure(func(config map[string]any) {
		config["routes"] = append(config["routes"].([]any), route("new", serviceHost, "/new/", "idempotent", "desk", nil))
	})
	w.store.Trim("keyed.op")
	for _, h := range w.hosts {
		w.await("the new route is served", func() bool { return w.do(h, "GET", serviceHost, "/new/a", "n", nil, "").status == 200 })
	}
}

// TestStartWithoutStore starts a host while the store is silent: another host
// tells it what it needs.
func TestStartWithoutStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1, 1)
	end := w.store.Mute()
	defer end()
	h := w.host(1)
	w.awaitReady(h)
	is.Equal(w.do(h, "GET", serviceHost, "/read/a", "s", nil, "").status, 200)
}

// TestPlannedStop stops a host that is serving.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 1, 1)
	leaver, stayer := w.hosts[0], w.hosts[1]
	leaver.Stop()
	w.await("the host is not ready", func() bool {
		resp, err := http.Get("http://" + leaver.settings.Listen.Readiness + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	a := w.do(leaver, "GET", serviceHost, "/read/a", "late", nil, "")
	is.Equal(a.status, 200) // it serves whoever still comes
	is.True(a.closes)       // and lets go of them
	w.await("the other host does not name it", func() bool {
		for _, address := range w.addresses(stayer) {
			if address == leaver.settings.Listen.Callers {
				return false
			}
		}
		return true
	})
	leaver.Wait()
}

// TestLateComers sends requests to a stopping host for as long as it runs.
// Those that come when callers can't have its address any more are told at
// once to go elsewhere: they might not end before the host does.
func TestLateComers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1, 1)
	w.engines[0].Pace(700 * time.Millisecond)
	stream := w.client(w.hosts[0])
	stream.write("POST", modelHost, "/full/a", "long", prompt, "body")
	w.await("the stream runs", func() bool { return w.ran("long") == 1 })
	w.hosts[0].Stop()
	n := 0
	w.await("a late comer is refused", func() bool {
		n++
		a := w.do(w.hosts[0], "GET", serviceHost, "/read/a", fmt.Sprint("late", n), nil, "")
		is.True(a.status == 200 || a.status == 503)
		is.True(a.status == 200 || a.header.Get("Retry-After") != "" && a.closes && w.arrived(fmt.Sprint("late", n)) == 0)
		return a.status == 503
	})
	a := stream.read()
	is.Equal(a.body, wholeStream())
	is.True(!a.broken)
}

// TestAddressesOfLongGoneHosts names no host that only its record in the
// store knows.
func TestAddressesOfLongGoneHosts(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 0, 1, 1)
	w.store.Put("keyed.routers", "gone", map[string]any{"Name": "gone", "Role": "Entry", "FailureDomain": "north", "Region": "r", "State": "Live", "Callers": "127.0.0.1:1", "Peers": "127.0.0.1:2"})
	h := w.host(0)
	w.awaitReady(h)
	is.Equal(w.addresses(h), []string{h.settings.Listen.Callers})
}

// TestAddressInUse fails to start where another program has an address, and
// leaves nothing running.
func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1, 0)
	s := w.hosts[0].settings
	_, err := storenode.New(t.Context(), s)
	is.True(err != nil)
	s.Listen.Peers, s.Listen.Pulses = w.address("127.0.0.9"), w.pulses("127.0.0.9")
	_, err = storenode.New(t.Context(), s)
	is.True(err != nil)
}

// TestSilentStream covers an engine that pauses in the middle of a stream.
func TestSilentStream(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines int
		// others is what meets requests at the other engines.
		others standin.PlatformFault
		runs   int
	}{
		{"another goes on", 2, standin.NoFault, 2},
		{"it is waited for when there is no other", 1, standin.NoFault, 1},
		{"it is waited for when others are full", 3, standin.FullFault, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, c.engines, 0)
			h := w.hosts[0]
			is.Equal(w.do(h, "POST", modelHost, "/full/a", "before", prompt, "body").status, 200)
			for _, e := range w.engines {
				if e.Ran()["before"] == 1 {
					e.Fail(standin.PauseFault, 1)
				} else if c.others != standin.NoFault {
					e.Fail(c.others, 100)
				}
			}
			for i := 0; ; i++ {
				id := fmt.Sprintf("r%d", i)
				began := time.Now()
				a := w.do(h, "POST", modelHost, "/full/a", id, prompt, "body")
				is.Equal(a.status, 200)
				is.True(!a.broken)
				is.Equal(a.body, wholeStream())
				if time.Since(began) < time.Second && i < 100 {
					continue // it met another
				}
				is.Equal(w.ran(id), c.runs)
				return
			}
		})
	}
}

// TestSilentUntilDeadline covers an engine that is silent until the callers'
// deadline: each stream is given up once and waited for once.
func TestSilentUntilDeadline(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 1, 0)
	var output standin.Output
	var wait, callers conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	event.WriteTo(ctx, &wait, &output)
	const streams = 40
	w.engines[0].Fail(standin.PauseFault, streams)
	headers := maps.Clone(prompt)
	headers["X-Deadline-Ms"] = "2600"
	for i := range streams {
		callers.Go(func() {
			a := w.do(w.hosts[0], "POST", modelHost, "/full/a", fmt.Sprint("late", i), headers, "body")
			if a.status != 200 || !a.broken {
				t.Errorf("status %d, broken %v", a.status, a.broken)
			}
		})
	}
	callers.Wait()
	cancel()
	wait.Wait()
	event.Discard()
	is.Equal(count(&output, "stream awaited"), streams)
	is.Equal(count(&output, "stream broken"), streams)
	is.True(count(&output, "try failed") <= 2*streams)
}

// count returns how many lines of a log are of an event.
func count(log *standin.Output, name string) int { return strings.Count(log.String(), `"`+name+`"`) }

// TestGoneEngineIsTold lets one host find another engine at an address: the
// other host leaves the engine alone without asking there.
func TestGoneEngineIsTold(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 2, 0)
	w.await("the hosts hear each other", func() bool { return len(w.addresses(w.hosts[0])) == 2 && len(w.addresses(w.hosts[1])) == 2 })
	var output standin.Output
	var wait conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	event.WriteTo(ctx, &wait, &output)
	is.Equal(w.do(w.hosts[0], "POST", modelHost, "/full/a", "before", prompt, "body").status, 200)
	for _, e := range w.engines {
		if e.Ran()["before"] == 1 {
			e.Fail(standin.OtherInstanceFault, 1)
		}
	}
	n := 0
	w.await("one host finds it gone", func() bool {
		n++
		is.Equal(w.do(w.hosts[0], "POST", modelHost, "/full/a", fmt.Sprint("r", n), prompt, "body").status, 200)
		return count(&output, "try failed") == 1
	})
	w.await("the other host leaves it alone", func() bool { return count(&output, "upstream rested") == 1 })
	cancel()
	wait.Wait()
	event.Discard()
}

// TestDeadlineIsATimeout has an upstream that does not answer a call before
// its caller's deadline.
func TestDeadlineIsATimeout(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 0, 1)
	w.services[0].Fail(standin.SilentFault, 20)
	for i := range 10 {
		a := w.do(w.hosts[0], "POST", serviceHost, "/post/a", fmt.Sprint("r", i), map[string]string{"X-Deadline-Ms": "150"}, fmt.Sprint(i))
		is.Equal(a.status, 504)
	}
}
