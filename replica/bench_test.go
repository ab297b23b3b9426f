package replica_test

import (
	"fmt"
	"testing"

	"github.com/kumquathoist/kumquathoist/replica"
)

// BenchmarkStart merges the entries of all upstreams into an empty state, as a
// host does when it starts.
func BenchmarkStart(b *testing.B) {
	for _, upstreams := range []int{60, 300, 600, 3000} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			d := replica.Delta{Topic: replica.Upstreams, Position: int64(upstreams), Full: true}
			for i := range upstreams {
				d.Records = append(d.Records, record(fmt.Sprint("engine-", i), int64(i), "e1.1"))
			}
			b.ReportAllocs()
			for b.Loop() {
				state, _ := replica.State{}.Merge(d, decode, replica.Times{FirstKnown: now})
				if state.Upstreams.Len() != upstreams {
					b.Fatal("entries are missing")
				}
			}
		})
	}
}
