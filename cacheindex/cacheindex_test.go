package cacheindex_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/cacheindex"
	"github.com/kumquathoist/kumquathoist/prefix"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var v1 = cacheindex.Source{Incarnation: 1, Weights: "v1"}

// storeEvents returns events that store pieces 1 to n, with sequence numbers
// that start at from.
func storeEvents(from uint64, n int) []cacheindex.Event {
	var events []cacheindex.Event
	for i := range n {
		events = append(events, cacheindex.Event{Seq: from + uint64(i), Key: prefix.Key(i + 1)})
	}
	return events
}

func TestDepth(t *testing.T) {
	prompt := []prefix.Key{1, 2, 3}
	tests := []struct {
		name string
		do   func(x *cacheindex.Index)
		now  time.Duration
		want int
	}{
		{"events in order store pieces", func(x *cacheindex.Index) { x.Apply(v1, storeEvents(1, 3), 0) }, 0, 3},
		{"an eviction removes a piece", func(x *cacheindex.Index) {
			x.Apply(v1, append(storeEvents(1, 3), cacheindex.Event{Seq: 4, Key: 3, Evicted: true}), 0)
		}, 0, 2},
		{"a repeated event counts once", func(x *cacheindex.Index) {
			x.Apply(v1, append(storeEvents(1, 3), cacheindex.Event{Seq: 4, Key: 3, Evicted: true}), 0)
			x.Apply(v1, storeEvents(1, 3), 0)
		}, 0, 2},
		{"another incarnation clears the index", func(x *cacheindex.Index) {
			x.Apply(v1, storeEvents(1, 3), 0)
			x.Reset(cacheindex.Source{Incarnation: 2, Weights: "v1"}, 0)
		}, 0, 0},
		{"other weights clear the index", func(x *cacheindex.Index) {
			x.Apply(v1, storeEvents(1, 3), 0)
			x.Reset(cacheindex.Source{Incarnation: 1, Weights: "v2"}, 0)
		}, 0, 0},
		{"a report of an earlier incarnation is ignored", func(x *cacheindex.Index) {
			x.Reset(cacheindex.Source{Incarnation: 2, Weights: "v1"}, 0)
			x.Correct(v1, prompt, 3, 0)
		}, 0, 0},
		{"the engine's own report is applied", func(x *cacheindex.Index) {
			x.Reset(v1, 0)
			x.Correct(v1, prompt, 0, 0)
		}, 0, 3},
		{"pieces expire without further events", func(x *cacheindex.Index) { x.Apply(v1, storeEvents(1, 3), 0) }, time.Minute + 1, 0},
		{"pieces expire soon after a large gap", func(x *cacheindex.Index) {
			x.Apply(v1, storeEvents(1, 3), 0)
			x.Apply(v1, []cacheindex.Event{{Seq: 400, Key: 9}}, 0)
		}, 6 * time.Second, 0},
		{"pieces expire later after a small gap", func(x *cacheindex.Index) {
			x.Apply(v1, storeEvents(1, 3), 0)
			x.Apply(v1, []cacheindex.Event{{Seq: 5, Key: 9}}, 0)
		}, 6 * time.Second, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			x := cacheindex.New(100, 0)
			tt.do(x)
			is.New(t).Equal(x.Depth(prompt, tt.now), tt.want)
		})
	}
}

// TestCompleteEvents checks that the index equals what the engine holds as long
// as no event is lost, and that its size stays bounded.
func TestCompleteEvents(t *testing.T) {
	const limit = 16
	rapid.Check(t, func(t *rapid.T) {
		x := cacheindex.New(limit, 0)
		held := map[prefix.Key]bool{}
		for seq := range rapid.IntRange(0, 100).Draw(t, "events") {
			k := prefix.Key(rapid.IntRange(1, limit).Draw(t, "key"))
			held[k] = !held[k]
			x.Apply(v1, []cacheindex.Event{{Seq: uint64(seq + 1), Key: k, Evicted: !held[k]}}, 0)
		}
		for k := range prefix.Key(limit + 1) {
			if x.Holds(k, 0) != held[k] {
				t.Fatalf("piece %d: indexed %t, held %t", k, x.Holds(k, 0), held[k])
			}
		}
		x.Apply(v1, storeEvents(1000, 4*limit), 0)
		if x.Len() > limit {
			t.Fatalf("%d pieces are indexed, the limit is %d", x.Len(), limit)
		}
	})
}

// BenchmarkApply measures applying an event, and the memory of a piece.
func BenchmarkApply(b *testing.B) {
	for _, blocks := range []int{1_000, 38_000, 200_000, 1_000_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			index := cacheindex.New(blocks, 0)
			index.Apply(v1, storeEvents(1, blocks), 0)
			runtime.GC()
			runtime.ReadMemStats(&after)
			seq := uint64(blocks)
			event := make([]cacheindex.Event, 1)
			b.ResetTimer()
			for b.Loop() {
				seq++
				event[0] = cacheindex.Event{Seq: seq, Key: prefix.Key(seq)}
				index.Apply(v1, event, 0)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(blocks), "B/block")
			runtime.KeepAlive(index)
		})
	}
}

// BenchmarkDepth measures a lookup of a prompt of seven pieces.
func BenchmarkDepth(b *testing.B) {
	for _, blocks := range []int{1_000, 38_000, 1_000_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			index := cacheindex.New(blocks, 0)
			index.Apply(v1, storeEvents(1, blocks), 0)
			prompt := []prefix.Key{1, 2, 3, 4, 5, 1 << 40, 1 << 41}
			b.ReportAllocs()
			for b.Loop() {
				index.Depth(prompt, 0)
			}
		})
	}
}
