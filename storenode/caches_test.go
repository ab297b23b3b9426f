package storenode_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// document is a prompt with a long shared part and little of its own.
var document = map[string]string{"X-Model": "m1", "X-Token-Usage": "5600,20", "X-Prompt-Prefix": "sys:500,doc:5000,own:100"}

// fetchedFrom sends a request for the document and returns where its engine
// was told to fetch cached parts, and the engine.
func (w *world) fetchedFrom(id string) (string, *standin.PlatformEngine) {
	w.is.Equal(w.do(w.hosts[0], "POST", modelHost, "/full/a", id, document, "body").status, 200)
	for _, e := range w.engines {
		for _, head := range e.Seen() {
			if head.Get("X-Attempt-Id") == id {
				return head.Get("X-Kv-Fetch"), e
			}
		}
	}
	w.t.Fatal("no engine saw the request")
	return "", nil
}

// TestPartStore has parts saved to the store of parts, once, and fetched from
// there when the engines have told that they dropped them.
func TestPartStore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 2, 0)
	keep, err := standin.NewPlatformEngine("keep", "keep", "north", "")
	is.NoErr(err)
	t.Cleanup(keep.Close)
	w.configure(func(config map[string]any) {
		config["services"] = append(config["services"].([]any), map[string]any{"name": "keep", "kv_store_addr": keep.Address(), "zone": "north", "kv_capacity": 100_000})
	})
	n := 0
	w.await("the part is saved", func() bool {
		n++
		w.fetchedFrom(fmt.Sprint("save", n))
		return keep.Holds("doc")
	})
	w.await("the host knows", func() bool {
		n++
		id := fmt.Sprint("known", n)
		_, e := w.fetchedFrom(id)
		seen := e.Seen()
		return seen[len(seen)-1].Get("X-Kv-Save") == ""
	})
	w.await("it is fetched from the store", func() bool {
		for _, e := range w.engines {
			e.Drop("doc")
		}
		n++
		from, _ := w.fetchedFrom(fmt.Sprint("fetch", n))
		return from == keep.Address()
	})
}
