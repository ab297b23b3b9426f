package storenode_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

const (
	// accountWindow is the time in which the engines may get accountFactor times what an
	// account's limit allows, and one request more.
	accountWindow = 8 * time.Second
	accountFactor = 1.1
	// accountPerSecond and accountBurst are the limit in requests.
	accountPerSecond = 20
	accountBurst     = 10
	// hotTime is how long an account asks for more than its limit.
	hotTime = accountWindow + 2*time.Second
)

// limitMill sets the limit of the account whose key is goodKey.
func limitMill(limit map[string]any) func(map[string]any) {
	return func(config map[string]any) {
		mill := config["tenants"].([]any)[0].(map[string]any)
		for k, v := range limit {
			mill[k] = v
		}
	}
}

// newLimitedDeployment starts a deployment in which the account has a limit, and waits
// until it is served.
func newLimitedDeployment(t *testing.T, hosts, engines, services int, limit map[string]any, host, path string) *deployment {
	d := newDeployment(t, 0, engines, services)
	d.configure(limitMill(limit))
	for i := range hosts {
		d.host(i)
	}
	for i, h := range d.hosts {
		d.awaitReady(h)
		d.awaitServed(h, host, path, fmt.Sprint("first-", i))
	}
	return d
}

// awaitServed waits until a host serves requests.
func (d *deployment) awaitServed(h *testHost, host, path, id string) {
	d.t.Helper()
	n := 0
	d.await("the host serves the account", func() bool {
		n++
		return d.do(h, http.MethodPost, host, path, fmt.Sprint(id, "-", n), prompt, id).status == http.StatusOK
	})
}

// mostArrivals returns the most requests that reached upstreams within accountWindow.
func mostArrivals(upstreams []*standin.PlatformEngine) int {
	var at []time.Time
	for _, e := range upstreams {
		for _, a := range e.Arrivals() {
			at = append(at, a.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > accountWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// accountAllows returns how many requests the limit allows in accountWindow.
func accountAllows() int {
	return int(accountFactor*(accountPerSecond*accountWindow.Seconds()+accountBurst)) + 1
}

// TestAccountLimitIsKeptByAllHostsTogether has an account ask for four times its limit at
// three hosts. The engines get no more than it allows, and nothing of what was refused.
func TestAccountLimitIsKeptByAllHostsTogether(t *testing.T) {
	const tokens = 1020
	tests := map[string]struct {
		limit             map[string]any
		engines, services int
		host, path        string
	}{
		"tokens":   {map[string]any{"rate_per_s": accountPerSecond * tokens, "burst": accountBurst * tokens, "unit": "tokens", "plain_tokens": tokens}, 3, 0, modelHost, "/flag/"},
		"requests": {map[string]any{"rate_per_s": accountPerSecond, "burst": accountBurst}, 0, 3, serviceHost, "/post/"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newLimitedDeployment(t, 3, test.engines, test.services, test.limit, test.host, test.path)
			stop := d.load(test.host, test.path, 4*accountPerSecond)
			refused := 0
			for i, begun := 0, time.Now(); time.Since(begun) < hotTime; i++ {
				id := fmt.Sprint("probe-", i)
				a := d.do(d.hosts[i%len(d.hosts)], http.MethodPost, test.host, test.path, id, prompt, id)
				if a.status == http.StatusOK {
					continue
				}
				refused++
				is.Equal(a.status, http.StatusTooManyRequests)
				seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(seconds > 0)
				is.Equal(d.arrivals(id), 0)
				time.Sleep(20 * time.Millisecond)
			}
			statuses := stop()
			most := mostArrivals(d.upstreams())
			t.Logf("%d of the probes refused, statuses of the load: %v; at most %d requests in a window, %d allowed", refused, statuses, most, accountAllows())
			is.True(refused > 0)
			is.True(statuses[http.StatusOK] > 0)
			is.True(statuses[http.StatusTooManyRequests] > 0)
			is.True(most <= accountAllows())
		})
	}
}

// TestPublicRoutesAreNotLimited has an account use up its limit. Public routes and other
// accounts are served.
func TestPublicRoutesAreNotLimited(t *testing.T) {
	is := is.New(t)
	d := newLimitedDeployment(t, 1, 0, 1, map[string]any{"rate_per_s": 0.01, "burst": 1}, serviceHost, "/post/")
	a := d.do(d.hosts[0], http.MethodPost, serviceHost, "/post/a", "second", nil, "a")
	is.Equal(a.status, http.StatusTooManyRequests)
	for i := range 20 {
		id := fmt.Sprint("open-", i)
		is.Equal(d.do(d.hosts[0], http.MethodPost, serviceHost, "/open/a", id, nil, id).status, http.StatusOK)
		id = fmt.Sprint("other-", i)
		is.Equal(d.do(d.hosts[0], http.MethodPost, serviceHost, "/post/a", id, map[string]string{"X-Api-Key": isolatedKey}, id).status, http.StatusOK)
	}
}

// TestAccountOutlivesItsCoordinators kills two of three hosts, one after the other, while
// an account asks for more than its limit. Those that are left serve it, within its limit.
func TestAccountOutlivesItsCoordinators(t *testing.T) {
	d := newLimitedDeployment(t, 3, 0, 2, map[string]any{"rate_per_s": accountPerSecond, "burst": accountBurst}, serviceHost, "/post/")
	for killed := range 2 {
		host := d.hosts[0]
		d.hosts = d.hosts[1:]
		stop := d.load(serviceHost, "/post/", 4*accountPerSecond)
		time.Sleep(time.Second)
		host.kill()
		for i, h := range d.hosts {
			d.awaitServed(h, serviceHost, "/post/", fmt.Sprint("after-", killed, "-", i))
		}
		t.Log(stop())
	}
	most := mostArrivals(d.upstreams())
	t.Logf("at most %d requests in a window, %d allowed", most, accountAllows())
	d.is.True(most <= accountAllows())
}
