package storenode_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// documentPrompt describes a prompt with a long shared part and a short unshared
// one.
var documentPrompt = map[string]string{"X-Model": "m1", "X-Token-Usage": "5600,20", "X-Prompt-Prefix": "sys:500,doc:5000,own:100"}

// fetchSource sends a request with documentPrompt. It returns the address from
// which the engine should fetch cached parts, and the engine.
func (d *deployment) fetchSource(id string) (string, *standin.PlatformEngine) {
	d.is.Equal(d.do(d.hosts[0], "POST", modelHost, "/full/a", id, documentPrompt, "body").status, 200)
	for _, e := range d.engines {
		for _, head := range e.Seen() {
			if head.Get("X-Attempt-Id") == id {
				return head.Get("X-Kv-Fetch"), e
			}
		}
	}
	d.t.Fatal("no engine received the request")
	return "", nil
}

// TestPartStore checks that parts are saved to the part store once, and fetched
// from it after the engines reported their eviction.
func TestPartStore(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 2, 0)
	partStore, err := standin.NewPlatformEngine("keep", "keep", "north", "")
	is.NoErr(err)
	t.Cleanup(partStore.Close)
	d.configure(func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{"name": "keep", "kv_store_addr": partStore.Address(), "zone": "north", "kv_capacity": 100_000})
	})
	n := 0
	d.await("the part is saved", func() bool {
		n++
		d.fetchSource(fmt.Sprint("save", n))
		return partStore.Holds("doc")
	})
	d.await("the host knows that it is saved", func() bool {
		n++
		id := fmt.Sprint("known", n)
		_, e := d.fetchSource(id)
		seen := e.Seen()
		return seen[len(seen)-1].Get("X-Kv-Save") == ""
	})
	d.await("it is fetched from the part store", func() bool {
		for _, e := range d.engines {
			e.Drop("doc")
		}
		n++
		from, _ := d.fetchSource(fmt.Sprint("fetch", n))
		return from == partStore.Address()
	})
}
