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

// stored returns events that store pieces 1 to n, numbered from a number.
func stored(from uint64, n int) []cacheindex.Event {
	var events []cacheindex.Event
	for i := range n {
		events = append(events, cacheindex.Event{Seq: from + uint64(i), Key: prefix.Key(i + 1)})
	}
	return events
}

func TestBelief(t *testing.T) {
	prompt := []prefix.Key{1, 2, 3}
	tests := []struct {
		name string
		do   func(b *cacheindex.Belief)
		at   time.Duration
		want int
	}{
		{"events in order are believed", func(b *cacheindex.Belief) { b.Apply(v1, stored(1, 3), 0) }, 0, 3},
		{"an eviction ends the belief", func(b *cacheindex.Belief) {
			b.Apply(v1, append(stored(1, 3), cacheindex.Event{Seq: 4, Key: 3, Evicted: true}), 0)
		}, 0, 2},
		{"an event that comes again counts once", func(b *cacheindex.Belief) {
			b.Apply(v1, append(stored(1, 3), cacheindex.Event{Seq: 4, Key: 3, Evicted: true}), 0)
			b.Apply(v1, stored(1, 3), 0)
		}, 0, 2},
		{"another incarnation drops everything", func(b *cacheindex.Belief) {
			b.Apply(v1, stored(1, 3), 0)
			b.Reset(cacheindex.Source{Incarnation: 2, Weights: "v1"}, 0)
		}, 0, 0},
		{"other weights drop everything", func(b *cacheindex.Belief) {
			b.Apply(v1, stored(1, 3), 0)
			b.Reset(cacheindex.Source{Incarnation: 1, Weights: "v2"}, 0)
		}, 0, 0},
		{"the word of an earlier incarnation is ignored", func(b *cacheindex.Belief) {
			b.Reset(cacheindex.Source{Incarnation: 2, Weights: "v1"}, 0)
			b.Correct(v1, prompt, 3, 0)
		}, 0, 0},
		{"the engine's word is believed", func(b *cacheindex.Belief) {
			b.Reset(v1, 0)
			b.Correct(v1, prompt, 0, 0)
		}, 0, 3},
		{"without news a belief ends", func(b *cacheindex.Belief) { b.Apply(v1, stored(1, 3), 0) }, time.Minute + 1, 0},
		{"after a great gap it ends soon", func(b *cacheindex.Belief) {
			b.Apply(v1, stored(1, 3), 0)
			b.Apply(v1, []cacheindex.Event{{Seq: 400, Key: 9}}, 0)
		}, 6 * time.Second, 0},
		{"after a small gap it lasts longer", func(b *cacheindex.Belief) {
			b.Apply(v1, stored(1, 3), 0)
			b.Apply(v1, []cacheindex.Event{{Seq: 5, Key: 9}}, 0)
		}, 6 * time.Second, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := cacheindex.New(100, 0)
			tt.do(b)
			is.New(t).Equal(b.Depth(prompt, tt.at), tt.want)
		})
	}
}

// TestWholeEvents checks that a belief is what the engine holds as long as no
// event is lost, and that its memory stays bounded.
func TestWholeEvents(t *testing.T) {
	const limit = 16
	rapid.Check(t, func(t *rapid.T) {
		b := cacheindex.New(limit, 0)
		held := map[prefix.Key]bool{}
		for seq := range rapid.IntRange(0, 100).Draw(t, "events") {
			k := prefix.Key(rapid.IntRange(1, limit).Draw(t, "key"))
			held[k] = !held[k]
			b.Apply(v1, []cacheindex.Event{{Seq: uint64(seq + 1), Key: k, Evicted: !held[k]}}, 0)
		}
		for k := range prefix.Key(limit + 1) {
			if b.Holds(k, 0) != held[k] {
				t.Fatalf("piece %d: believed %t, held %t", k, b.Holds(k, 0), held[k])
			}
		}
		b.Apply(v1, stored(1000, 4*limit), 0)
		if b.Len() > limit {
			t.Fatalf("%d pieces are believed, the limit is %d", b.Len(), limit)
		}
	})
}

// BenchmarkApply measures an event, and the memory of a believed block.
func BenchmarkApply(b *testing.B) {
	for _, blocks := range []int{1_000, 38_000, 200_000, 1_000_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			belief := cacheindex.New(blocks, 0)
			belief.Apply(v1, stored(1, blocks), 0)
			runtime.GC()
			runtime.ReadMemStats(&after)
			seq := uint64(blocks)
			event := make([]cacheindex.Event, 1)
			b.ResetTimer()
			for b.Loop() {
				seq++
				event[0] = cacheindex.Event{Seq: seq, Key: prefix.Key(seq)}
				belief.Apply(v1, event, 0)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(blocks), "B/block")
			runtime.KeepAlive(belief)
		})
	}
}

// BenchmarkDepth measures a look at a prompt of seven pieces.
func BenchmarkDepth(b *testing.B) {
	for _, blocks := range []int{1_000, 38_000, 1_000_000} {
		b.Run(fmt.Sprint(blocks), func(b *testing.B) {
			belief := cacheindex.New(blocks, 0)
			belief.Apply(v1, stored(1, blocks), 0)
			prompt := []prefix.Key{1, 2, 3, 4, 5, 1 << 40, 1 << 41}
			b.ReportAllocs()
			for b.Loop() {
				belief.Depth(prompt, 0)
			}
		})
	}
}
