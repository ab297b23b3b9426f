package storenode_test

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// accounts returns the accounts of a configuration, of which some are isolated.
func accounts(isolated ...string) func(config map[string]any) {
	return func(config map[string]any) {
		var all []any
		for name, key := range map[string]string{"mill": goodKey, "grocer": isolatedKey} {
			all = append(all, map[string]any{"name": name, "api_keys": []any{key}, "isolated": slices.Contains(isolated, name)})
		}
		config["tenants"] = all
	}
}

// salt returns the salt under which a host has an account's parts cached.
func (d *deployment) salt(h *testHost, key string) string {
	headers := map[string]string{"X-Api-Key": key}
	maps.Copy(headers, prompt)
	id := fmt.Sprint("salt-", time.Now().UnixNano())
	if a := d.do(h, "POST", modelHost, "/full/a", id, headers, "body"); a.status != http.StatusOK {
		return ""
	}
	for _, e := range d.engines {
		for _, seen := range e.Seen() {
			if seen.Get("X-Attempt-Id") == id {
				return seen.Get("X-Cache-Salt")
			}
		}
	}
	return ""
}

// awaitSalts waits until all hosts use one salt for an account, other than a given one.
func (d *deployment) awaitSalts(key, other string) (salt string) {
	d.t.Helper()
	d.await("all hosts use one salt", func() bool {
		salt = d.salt(d.hosts[0], key)
		for _, h := range d.hosts {
			if salt == "" || salt == other || d.salt(h, key) != salt {
				return false
			}
		}
		return true
	})
	return salt
}

// expectSalts waits until all hosts use a salt for an account.
func (d *deployment) expectSalts(key, salt string) {
	d.t.Helper()
	d.await("all hosts use "+salt, func() bool {
		for _, h := range d.hosts {
			if d.salt(h, key) != salt {
				return false
			}
		}
		return true
	})
}

// TestIsolatedAccountLeavesItsPartsBehind guards against parts that an account's requests
// made before it was isolated: no other account may find them, and nothing else about the
// accounts may cost anybody cached parts, over restarts of all hosts, too.
func TestIsolatedAccountLeavesItsPartsBehind(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 1, 0)
	start := func() {
		for _, h := range d.hosts {
			h.kill()
		}
		d.hosts = nil
		for i := range 3 {
			d.awaitReady(d.host(i))
		}
	}
	d.configure(accounts())
	start()
	shared := d.awaitSalts(goodKey, "")
	d.expectSalts(isolatedKey, shared)

	d.configure(accounts("mill"))
	others := d.awaitSalts(isolatedKey, shared)
	own := d.awaitSalts(goodKey, shared)
	is.True(own != others)
	is.True(own != shared)

	start()
	d.expectSalts(isolatedKey, others)
	d.expectSalts(goodKey, own)

	d.await("the groups are recorded", func() bool {
		return slices.ContainsFunc(d.store.Records("keyed.software"), func(r []byte) bool { return bytes.Contains(r, []byte("isolation/m1")) })
	})
	for _, h := range d.hosts {
		h.kill()
	}
	d.configure(accounts()) // while no host runs
	start()
	d.expectSalts(isolatedKey, others)
	d.expectSalts(goodKey, own)

	d.store.NameWeights("m1", 2)
	d.expectSalts(goodKey, d.awaitSalts(isolatedKey, others)) // all parts are made anew
}

// TestQueuedRequestIsSeparated guards against requests that an engine begins with an
// account's parts long after the account was isolated.
func TestQueuedRequestIsSeparated(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 0, 1, 0)
	configure := func(accounts func(map[string]any)) {
		d.configure(func(config map[string]any) {
			withLongRoute(config)
			accounts(config)
		})
	}
	configure(accounts())
	d.awaitReady(d.host(0))
	answers := d.queueRequest()
	configure(accounts("grocer"))
	d.await("it is cancelled", func() bool { return d.engines[0].AbandonedRequests() == 1 })
	is.Equal((<-answers).status, http.StatusGatewayTimeout)
}
