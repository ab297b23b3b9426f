package storenode_test

import (
	"fmt"
	"testing"
)

// BenchmarkServe sends short streams one after the other through one host to
// forty engines, stand-ins included.
func BenchmarkServe(b *testing.B) {
	w := newWorld(b, 1, 40, 0)
	c := w.client(w.hosts[0])
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		c.write("POST", modelHost, "/flag/a", fmt.Sprint("b", n), prompt, "body")
		if a := c.read(); a.status != 200 || a.broken {
			b.Fatal(a)
		}
		n++
	}
}
