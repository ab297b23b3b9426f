package storenode_test

import (
	"fmt"
	"testing"
)

// BenchmarkServe requests short streams one after the other through one host that
// has forty engines. The figures include the stand-in engines.
func BenchmarkServe(b *testing.B) {
	d := newDeployment(b, 1, 40, 0)
	c := d.client(d.hosts[0])
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		c.write("POST", modelHost, "/flag/a", fmt.Sprint("b", n), prompt, "body")
		if a := c.read(); a.status != 200 || a.truncated {
			b.Fatal(a)
		}
		n++
	}
}
