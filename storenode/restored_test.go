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

// TestStoreFromOlderCopy brings the store back from an older copy while hosts run.
// What the operators and the engines wrote since is written again; what the hosts
// wrote is not.
func TestStoreFromOlderCopy(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 3, 3, 0)
	restore := d.store.Copy()
	c := d.crashOn(standin.AfterHead, true)
	for i := 0; d.do(d.hosts[i%3], http.MethodPost, modelHost, "/full/poison", fmt.Sprint("p", i), prompt, "body").status != http.StatusServiceUnavailable; i++ {
		is.True(i < quarantineLosses+lateRetries)
		time.Sleep(300 * time.Millisecond)
	}
	d.await("the store has the verdict", func() bool { return len(d.store.Records("keyed.crashers")) > 0 })
	d.configure(func(config map[string]any) { config["routes"] = config["routes"].([]any)[:2] })
	d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
	engines := func() []*standin.PlatformEngine {
		c.mu.Lock()
		defer c.mu.Unlock()
		all := append(slices.Clone(d.engines), c.restarted...)
		return all
	}
	weights := func(version int64) func() bool {
		return func() bool {
			loaded := 0
			for _, e := range engines() {
				if e.Weights() == version {
					loaded++
				}
			}
			return loaded >= len(d.engines)
		}
	}
	d.await("the engines load new weights", weights(2))
	before := c.count()

	restore()
	d.version += 3
	d.configure(nil)
	d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 3})
	register := func(version int64) {
		for _, e := range engines() {
			if e.Weights() == version {
				d.store.Register(e)
			}
		}
	}
	register(2)
	d.await("the store has the verdict again", func() bool { return len(d.store.Records("keyed.crashers")) > 0 })
	d.await("the hosts announce themselves again", func() bool { return len(d.store.Records("keyed.routers")) >= 3 })
	d.await("the configuration written again is in force", func() bool {
		return d.do(d.hosts[1], http.MethodGet, serviceHost, "/read/a", fmt.Sprint("r", time.Now().UnixNano()), nil, "").status != http.StatusNotFound
	})
	d.await("the engines load the next weights", weights(3))
	register(3)
	for _, h := range d.hosts {
		h.kill()
	}
	d.hosts = nil
	for i := range 2 {
		d.awaitReady(d.host(i))
	}
	for i, h := range d.hosts {
		d.await("it knows the verdict", func() bool {
			return d.do(h, http.MethodPost, modelHost, "/full/poison", fmt.Sprint("q", i, time.Now().UnixNano()), prompt, "body").status == http.StatusServiceUnavailable
		})
		is.Equal(d.do(h, http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", i), prompt, "body").status, http.StatusOK)
	}
	is.True(c.count() <= before+lateRetries)
	checkOrders(t, engines())
}

// TestRestoredStoreHidesNeitherRouteNorLeaving brings the store back from an older
// copy. A route that is added then must be served, and an engine that says then that
// it is leaving must get no more requests.
func TestRestoredStoreHidesNeitherRouteNorLeaving(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 2, 2, 1)
	addRoute := func(name string) {
		d.configure(func(config map[string]any) {
			config["routes"] = append(config["routes"].([]any), route(name, serviceHost, "/"+name+"/", "idempotent", "desk", nil))
		})
	}
	awaitRoute := func(h *testHost, name string) {
		d.await("route "+name+" is served", func() bool {
			return d.do(h, http.MethodGet, serviceHost, "/"+name+"/a", fmt.Sprint(name, time.Now().UnixNano()), nil, "").status == http.StatusOK
		})
	}
	restore := d.store.Copy()
	for range 20 {
		addRoute("early")
		for _, e := range d.upstreams() {
			d.store.Register(e)
		}
	}
	added := d.engine("engine-added", "models", "m1")
	sent := 0
	for _, h := range d.hosts {
		awaitRoute(h, "early")
		d.await("the added engine is used", func() bool {
			sent++
			id := fmt.Sprint("before", sent)
			d.do(h, http.MethodPost, modelHost, "/full/a", id, longAnswerPrompt(sent), "body")
			return added.Ran()[id] > 0
		})
	}

	restore()
	addRoute("late")
	d.engines[0].Leave()
	d.store.Register(d.engines[0])
	for i, h := range d.hosts {
		awaitRoute(h, "late")
		d.await("the leaving engine is known", func() bool {
			before := len(d.engines[0].Seen())
			for j := range 8 {
				answer := d.do(h, http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", i, j, time.Now().UnixNano()), longAnswerPrompt(j), "body")
				is.Equal(answer.status, http.StatusOK)
			}
			return len(d.engines[0].Seen()) == before
		})
	}
}

// checkOrders checks that the orders to each engine have rising fencing numbers,
// and that no two holders order it within a lease of a second.
func checkOrders(t *testing.T, engines []*standin.PlatformEngine) {
	t.Helper()
	for _, e := range engines {
		orders := e.Orders()
		for i := range orders[:max(0, len(orders)-1)] {
			a, b := orders[i], orders[i+1]
			if b.Fence < a.Fence || b.Holder != a.Holder && b.At.Sub(a.At) < time.Second {
				t.Errorf("engine %s got order %+v after %+v", e.ID, b, a)
			}
		}
	}
}
