package storenode_test

import (
	"context"
	"fmt"
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

// completeStream returns the body of a complete stream of a stand-in engine.
func completeStream() string {
	var b strings.Builder
	for i := 1; i <= 6; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// TestServe covers each kind of request and the headers that upstreams receive.
func TestServe(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 2, 1)
	h := d.hosts[0]
	a := d.do(h, "POST", modelHost, "/full/x?y=1", "r1", prompt, "hello")
	is.Equal(a.status, 200)
	is.Equal(a.body, completeStream())
	is.True(!a.truncated)
	is.True(a.header.Get("X-Response-Stamp") != "")
	a = d.do(h, "POST", serviceHost, "/post/a", "r2", map[string]string{"X-Hold": "h", "X-Tenant": "other", "X-Cache-Salt": "s", "Connection": "X-Gone", "X-Gone": "1", "X-Kept": "1"}, "body")
	is.Equal(a.status, 200)
	is.Equal(a.body, "POST /post/a body")
	seen := d.services[0].Seen()[0]
	for name, want := range map[string]string{
		"X-Attempt-Id": "r2", "X-Tenant": "mill", "X-Expect-Instance": "desk-0", "X-Kept": "1",
		"X-Api-Key": "", "X-Hold": "", "X-Cache-Salt": "", "X-Gone": "",
	} {
		is.Equal(seen.Get(name), want) // headers at the upstream
	}
	a = d.do(h, "GET", serviceHost, "/open/a", "r3", map[string]string{"X-Api-Key": ""}, "")
	is.Equal(a.status, 200)
}

// TestRefusals covers requests that the configuration doesn't allow.
func TestRefusals(t *testing.T) {
	d := newDeployment(t, 1, 1, 1)
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
			a := d.do(d.hosts[0], "GET", c.host, c.path, "x", c.headers, "")
			is.New(t).Equal(a.status, c.status)
		})
	}
	// A removed key is refused once the host knows.
	is := is.New(t)
	d.configure(func(config map[string]any) {
		config["tenants"] = []any{map[string]any{"name": "mill", "api_keys": []any{"other"}}}
	})
	d.await("the key is refused", func() bool {
		return d.do(d.hosts[0], "GET", serviceHost, "/read/a", "k", nil, "").status == 401
	})
	is.Equal(d.do(d.hosts[0], "GET", serviceHost, "/open/a", "k2", nil, "").status, 200)
}

// TestUpstreamFaults covers what callers get when an upstream fails, and how often
// the request was executed.
func TestUpstreamFaults(t *testing.T) {
	for _, c := range []struct {
		name, host, method, path string
		fault                    standin.PlatformFault
		status, executions       int
		body                     string
		truncated                bool
	}{
		{"a call that is not idempotent is not retried", serviceHost, "POST", "/post/a", standin.ResetFault, 502, 1, "", false},
		{"a request to a full service is retried", serviceHost, "POST", "/post/a", standin.FullFault, 200, 1, "POST /post/a body", false},
		{"a service's error is forwarded", serviceHost, "POST", "/post/a", standin.ErrorFault, 500, 1, "", false},
		{"a request that ran is not refused with 408", serviceHost, "POST", "/post/a", standin.RanTimeoutFault, 502, 1, "", false},
		{"a request that ran is not refused with 429", serviceHost, "POST", "/post/a", standin.RanLimitedFault, 502, 1, "", false},
		{"a request that ran is not refused with 503", serviceHost, "POST", "/post/a", standin.RanFullFault, 502, 1, "", false},
		{"a stream that ran is not refused with 503", modelHost, "POST", "/flag/a", standin.RanFullFault, 502, 1, "", false},
		{"a read is retried after a failure without a promise", serviceHost, "GET", "/read/a", standin.RanFullFault, 200, 2, "GET /read/a ", false},
		{"an answer without a signature is not forwarded", serviceHost, "POST", "/post/a", standin.UncertifiedFault, 502, 1, "", false},
		{"a read is retried after a reset", serviceHost, "GET", "/read/a", standin.ResetFault, 200, 2, "GET /read/a ", false},
		{"a read is retried after an error", serviceHost, "GET", "/read/a", standin.ErrorFault, 200, 2, "GET /read/a ", false},
		{"a truncated resumable stream is resumed", modelHost, "POST", "/full/a", standin.CutFault, 200, 2, completeStream(), false},
		{"a truncated stream that is not resumable stays truncated", modelHost, "POST", "/flag/a", standin.CutFault, 200, 1, completeStream()[:len("id: 1\ndata: piece 1\n\n")], true},
		{"a stream without framing is complete", modelHost, "POST", "/flag/a", standin.UnframedFault, 200, 1, completeStream(), false},
		{"a stream without framing that ends inside an event is resumed", modelHost, "POST", "/full/a", standin.UnframedCutFault, 200, 2, completeStream(), false},
		{"a stream without framing that ends inside an event stays truncated if it is not resumable", modelHost, "POST", "/flag/a", standin.UnframedCutFault, 200, 1, completeStream()[:len("id: 1\ndata: piece 1\n\n")], true},
		{"a stream without framing and events is resumed", modelHost, "POST", "/full/a", standin.UnframedEmptyFault, 200, 2, completeStream(), false},
		{"an answer without framing is complete", serviceHost, "POST", "/post/a", standin.UnframedFault, 200, 1, "POST /post/a body", false},
		{"a call whose answer has an invalid head is not retried", serviceHost, "POST", "/post/a", standin.InvalidHeadFault, 502, 1, "", false},
		{"a read is retried after an invalid head", serviceHost, "GET", "/read/a", standin.InvalidHeadFault, 200, 2, "GET /read/a ", false},
		{"a resumable stream goes on elsewhere after an invalid head", modelHost, "POST", "/full/a", standin.InvalidHeadFault, 200, 2, completeStream(), false},
		{"a stream that is not resumable is not retried after an invalid head", modelHost, "POST", "/flag/a", standin.InvalidHeadFault, 502, 1, "", false},
		{"a stream that is not resumable is not retried", modelHost, "POST", "/flag/a", standin.ResetFault, 502, 1, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 2, 2)
			// The same request goes to the same upstream again.
			is.Equal(d.do(d.hosts[0], c.method, c.host, c.path, "before", prompt, "body").status, 200)
			for _, e := range d.upstreams() {
				if e.Ran()["before"] == 1 {
					e.Fail(c.fault, 1)
				}
			}
			for i := 0; ; i++ {
				id := fmt.Sprintf("r%d", i)
				a := d.do(d.hosts[0], c.method, c.host, c.path, id, prompt, "body")
				if a.status == 200 && c.status == 200 && d.arrivals(id) == 1 && !c.truncated && i < 100 {
					continue // it went to the other upstream first
				}
				is.Equal(a.status, c.status)
				is.Equal(d.executions(id), c.executions)
				is.Equal(a.truncated, c.truncated)
				if c.status == 200 {
					is.Equal(a.body, c.body)
				}
				return
			}
		})
	}
}

// TestExtraAnswer sends a request after one that its upstream answered twice.
func TestExtraAnswer(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 0, 1)
	d.engine("engine-x", "models", "m1")
	d.services[0].Fail(standin.ExtraFault, 1)
	c := d.client(d.hosts[0])
	c.write("POST", serviceHost, "/post/a", "first", nil, "1")
	is.Equal(c.read().body, "POST /post/a 1")
	c.write("POST", serviceHost, "/post/b", "second", nil, "2")
	a := c.read()
	is.Equal(a.body, "POST /post/b 2")
	is.Equal(a.header.Get("X-Attempt-Id"), "second")
}

// TestCallerDisconnects closes a caller's connection while an engine is silent.
func TestCallerDisconnects(t *testing.T) {
	d := newDeployment(t, 1, 1, 0)
	d.engines[0].Fail(standin.SilentFault, 1)
	c := d.client(d.hosts[0])
	c.write("POST", modelHost, "/flag/a", "left", prompt, "body")
	d.await("the engine executes it", func() bool { return d.executions("left") == 1 })
	_ = c.conn.Close()
	d.await("the engine's connection is closed", func() bool { return d.engines[0].AbandonedRequests() == 1 })
}

// TestWeights sets target weights twice and loses the answer to an order.
func TestWeights(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3, 4, 0)
	d.engines[2].Fail(standin.LostOrderFault, 1)
	for _, version := range []int64{2, 5} {
		d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": version})
		d.await("all engines have the weights", func() bool {
			for _, e := range d.engines {
				if e.Weights() != version {
					return false
				}
			}
			return true
		})
	}
	for _, e := range d.engines {
		orders := e.Orders()
		is.True(len(orders) >= 2)
		for i, o := range orders[1:] {
			// Fencing tokens grow; an order without an answer is retried.
			is.True(o.Fence > orders[i].Fence || o.Fence == orders[i].Fence && e == d.engines[2])
			is.Equal(o.Holder, orders[i].Holder) // one host sends orders within a lease
		}
	}
	id := "after"
	a := d.do(d.hosts[1], "POST", modelHost, "/full/a", id, prompt, "body")
	is.Equal(a.status, 200)
	is.Equal(a.header.Get("X-Weight-Versions"), "5")
}

// TestSalt checks that cached parts of different weights and of isolated accounts
// are separate.
func TestSalt(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 0)
	salts := map[string]bool{}
	send := func(id, key string) {
		headers := map[string]string{"X-Api-Key": key}
		for k, v := range prompt {
			headers[k] = v
		}
		d.await("the request is served", func() bool {
			return d.do(d.hosts[0], "POST", modelHost, "/full/a", id, headers, "body").status == 200
		})
		seen := d.engines[0].Seen()
		salts[seen[len(seen)-1].Get("X-Cache-Salt")] = true
	}
	send("a", goodKey)
	send("b", isolatedKey)
	d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
	d.await("the engine has the weights", func() bool { return d.engines[0].Weights() == 2 })
	d.await("the host uses them", func() bool {
		return d.do(d.hosts[0], "POST", modelHost, "/full/a", "probe", prompt, "").header.Get("X-Weight-Versions") == "2"
	})
	send("c", goodKey)
	send("d", isolatedKey)
	is.Equal(len(salts), 4)
	is.True(!salts[""])
}

// TestLeavingUpstream checks that no requests are sent to an upstream whose entry
// says that it leaves, and that invalid entries change nothing.
func TestLeavingUpstream(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 2, 0)
	d.engines[0].Leave()
	d.store.Put("keyed.servers", d.engines[0].ID, d.engines[0].Entry())
	// An invalid and a truncated entry change nothing.
	d.store.Put("keyed.servers", d.engines[1].ID, map[string]any{"service": 7, "state": "ready"})
	d.store.Put("keyed.servers", "forged", []byte(`{"service":"models","addr`))
	d.await("hosts use the other engine only", func() bool {
		for i, h := range d.hosts {
			if d.do(h, "POST", modelHost, "/full/a", fmt.Sprint("d", i), prompt, "").status != 200 {
				return false
			}
		}
		before := len(d.engines[0].Seen())
		for i := range 20 {
			is.Equal(d.do(d.hosts[i%2], "POST", modelHost, "/full/a", fmt.Sprint("e", i), prompt, "").status, 200)
		}
		return len(d.engines[0].Seen()) == before
	})
}

// TestTrimmedHistory checks that hosts follow the store after it trimmed its logs.
func TestTrimmedHistory(t *testing.T) {
	d := newDeployment(t, 2, 1, 1)
	d.store.Trim("keyed.op")
	d.store.Trim("keyed.servers")
	d.configure(func(config map[string]any) {
		config["routes"] = append(config["routes"].([]any), route("new", serviceHost, "/new/", "idempotent", "desk", nil))
	})
	d.store.Trim("keyed.op")
	for _, h := range d.hosts {
		d.await("the new route is served", func() bool { return d.do(h, "GET", serviceHost, "/new/a", "n", nil, "").status == 200 })
	}
}

// TestStartWithoutStore starts a host while the store doesn't answer: another host
// sends it the state.
func TestStartWithoutStore(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 1)
	unmute := d.store.Mute()
	defer unmute()
	h := d.host(1)
	d.awaitReady(h)
	is.Equal(d.do(h, "GET", serviceHost, "/read/a", "s", nil, "").status, 200)
}

// TestPlannedStop stops a host while it serves requests.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 1, 1)
	stopping, other := d.hosts[0], d.hosts[1]
	stopping.Stop()
	d.await("the host is not ready", func() bool {
		resp, err := http.Get("http://" + stopping.settings.Listen.Readiness + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	a := d.do(stopping, "GET", serviceHost, "/read/a", "late", nil, "")
	is.Equal(a.status, 200) // it still serves new requests
	is.True(a.closes)       // and closes their connections
	d.await("the other host does not resolve it", func() bool {
		for _, address := range d.addresses(other) {
			if address == stopping.settings.Listen.Callers {
				return false
			}
		}
		return true
	})
	stopping.Wait()
}

// TestRequestsToAStoppingHost sends requests to a stopping host for as long as it
// runs. Once no caller can have its address cached, it refuses new requests with a
// Retry-After, since they might not end before the host does.
func TestRequestsToAStoppingHost(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 1)
	d.engines[0].Pace(700 * time.Millisecond)
	stream := d.client(d.hosts[0])
	stream.write("POST", modelHost, "/full/a", "long", prompt, "body")
	d.await("the stream runs", func() bool { return d.executions("long") == 1 })
	d.hosts[0].Stop()
	n := 0
	d.await("a late request is refused", func() bool {
		n++
		a := d.do(d.hosts[0], "GET", serviceHost, "/read/a", fmt.Sprint("late", n), nil, "")
		is.True(a.status == 200 || a.status == 503)
		is.True(a.status == 200 || a.header.Get("Retry-After") != "" && a.closes && d.arrivals(fmt.Sprint("late", n)) == 0)
		return a.status == 503
	})
	a := stream.read()
	is.Equal(a.body, completeStream())
	is.True(!a.truncated)
}

// TestStoppingHostTakesOnlyWhatItCanFinish sends requests that may last longer than
// the host. Those that can't go on elsewhere are refused before they run, instead of
// being cut.
func TestStoppingHostTakesOnlyWhatItCanFinish(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 1, 1)
	d.graceSeconds = 4
	h := d.host(0)
	d.awaitReady(h)
	d.services[0].Fail(standin.SilentFault, 1)
	h.Stop()
	d.await("the host is stopping", func() bool {
		return !standin.PlatformReady(h.settings.Listen.Readiness)
	})
	refused := d.do(h, http.MethodPost, serviceHost, "/post/a", "long", nil, "body")
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(d.arrivals("long"), 0)
	d.services[0].Fail(standin.NoFault, 0)
	is.Equal(d.do(h, http.MethodPost, serviceHost, "/post/a", "short", map[string]string{"X-Deadline-Ms": "1000"}, "body").status, http.StatusOK)
	h.Wait()
}

// TestUnreachableHostsAreNotResolved checks that a host is not resolved if only
// its record in the store is left.
func TestUnreachableHostsAreNotResolved(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 1, 1)
	d.store.Put("keyed.routers", "gone", map[string]any{"Name": "gone", "Role": "Entry", "FailureDomain": "north", "Region": "r", "State": "Live", "Callers": "127.0.0.1:1", "Peers": "127.0.0.1:2"})
	h := d.host(0)
	d.awaitReady(h)
	is.Equal(d.addresses(h), []string{h.settings.Listen.Callers})
}

// TestAddressInUse checks that a start fails if an address is in use, and that it
// leaves nothing running.
func TestAddressInUse(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 0)
	s := d.hosts[0].settings
	_, err := storenode.New(t.Context(), s)
	is.True(err != nil)
	s.Listen.Peers, s.Listen.Pulses = d.address("127.0.0.9"), d.loadReportAddress("127.0.0.9")
	_, err = storenode.New(t.Context(), s)
	is.True(err != nil)
}

// countEvents returns the number of log lines of an event.
func countEvents(log *standin.Output, name string) int {
	return strings.Count(log.String(), `"`+name+`"`)
}

// TestReusedAddressIsReportedToPeers lets one host find another engine at an
// engine's address: the other host must stop sending to the engine without
// querying the address.
func TestReusedAddressIsReportedToPeers(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 2, 0)
	d.await("the hosts receive each other's load reports", func() bool { return len(d.addresses(d.hosts[0])) == 2 && len(d.addresses(d.hosts[1])) == 2 })
	var output standin.Output
	var wait conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	event.WriteTo(ctx, &wait, &output)
	is.Equal(d.do(d.hosts[0], "POST", modelHost, "/full/a", "before", prompt, "body").status, 200)
	for _, e := range d.engines {
		if e.Ran()["before"] == 1 {
			e.Fail(standin.OtherInstanceFault, 1)
		}
	}
	n := 0
	d.await("one host finds another engine", func() bool {
		n++
		is.Equal(d.do(d.hosts[0], "POST", modelHost, "/full/a", fmt.Sprint("r", n), prompt, "body").status, 200)
		return countEvents(&output, "try failed") == 1
	})
	d.await("the other host stops sending to it", func() bool { return countEvents(&output, "upstream rested") == 1 })
	cancel()
	wait.Wait()
	event.Discard()
}

// TestDeadlineGives504 has an upstream that does not answer calls before their
// callers' deadline.
func TestDeadlineGives504(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 0, 1)
	d.services[0].Fail(standin.SilentFault, 20)
	for i := range 10 {
		a := d.do(d.hosts[0], "POST", serviceHost, "/post/a", fmt.Sprint("r", i), map[string]string{"X-Deadline-Ms": "150"}, fmt.Sprint(i))
		is.Equal(a.status, 504)
	}
}
