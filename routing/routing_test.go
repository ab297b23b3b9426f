package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/routing"
)

var speed = routing.Speed{PrefillRate: 40_000, ImportRate: 160_000, ImportDelay: 10 * time.Millisecond}

// ring returns a ring over engines that are named by number.
func ring(n int) *routing.Ring {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("engine-%d", i)
	}
	return routing.NewRing(names)
}

// promptLevels returns the levels of a prompt: account, ledger and document.
func promptLevels(account, ledger, doc uint64) []prefix.Level {
	return []prefix.Level{
		{Key: prefix.Key(account), Tokens: 8192},
		{Key: prefix.Key(account<<20 | ledger), Tokens: 20480},
		{Key: prefix.Key(account<<40 | ledger<<20 | doc), Tokens: 28672},
	}
}

func anyEngine(int) bool { return true }

// Example shows a choice between an engine that holds the prompt and one that
// is idle.
func Example() {
	policy := routing.Cost{Speed: speed, WasteWeight: 0.5}
	candidates := []routing.Candidate{
		{Engine: 0, CachedTokens: 28672, Wait: 300 * time.Millisecond, Completeness: 1},
		{Engine: 1, CachedTokens: 0, Wait: 0, Completeness: 1},
	}
	fmt.Println(policy.Choose(30000, candidates))
	candidates[0].Wait = 5 * time.Second
	fmt.Println(policy.Choose(30000, candidates))
	// Output:
	// 0
	// 1
}

// TestShortlist checks that a choice considers a small number of engines,
// whatever the pool's size, and that all hosts prefer the same engine.
func TestShortlist(t *testing.T) {
	for _, n := range []int{1, 2, 12, 100, 600} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			r := ring(n)
			for doc := range uint64(200) {
				q := routing.Query{Ring: r, Levels: promptLevels(1+doc%8, 1+doc%30, doc), Usable: anyEngine, Random: doc, Copies: []int{8, 8, 8}}
				list := routing.Cost{}.Shortlist(q)
				is.True(len(list) > 0)
				is.True(len(list) <= 12)
				seen := map[int]bool{}
				for _, c := range list {
					is.True(!seen[c.Engine]) // an engine is listed once
					seen[c.Engine] = true
				}
				q.Random++
				is.Equal(routing.Cost{}.Shortlist(q)[0], list[0])
			}
		})
	}
}

// TestShortlistIsStable checks that the loss of one engine moves only its own
// prompts.
func TestShortlistIsStable(t *testing.T) {
	is := is.New(t)
	r := ring(50)
	for doc := range uint64(500) {
		q := routing.Query{Ring: r, Levels: promptLevels(doc%8, doc, doc), Usable: anyEngine, Random: doc}
		before := routing.Cost{}.Shortlist(q)[0].Engine
		q.Usable = func(e int) bool { return e != 7 }
		after := routing.Cost{}.Shortlist(q)[0].Engine
		is.True(after != 7)
		is.True(before == 7 || before == after)
	}
}

// TestDocumentsOfALedgerShareAnEngine checks that documents don't spread
// the wider levels over several engines.
func TestDocumentsOfALedgerShareAnEngine(t *testing.T) {
	is := is.New(t)
	r := ring(12)
	engines := map[int]bool{}
	for doc := range uint64(50) {
		q := routing.Query{Ring: r, Levels: promptLevels(3, 4, doc), Usable: anyEngine, Random: doc}
		engines[routing.Cost{}.Shortlist(q)[0].Engine] = true
	}
	is.Equal(len(engines), 1)
}

func TestChoose(t *testing.T) {
	second := time.Second
	tests := []struct {
		name       string
		policy     routing.Policy
		candidates []routing.Candidate
		want       int
	}{
		{"nothing to choose from", routing.Cost{Speed: speed}, nil, -1},
		{"the cached prompt", routing.Cost{Speed: speed}, []routing.Candidate{{Completeness: 1}, {CachedTokens: 8192, Completeness: 1}}, 1},
		{"the idle engine when waiting costs more", routing.Cost{Speed: speed}, []routing.Candidate{{CachedTokens: 8192, Wait: second, Completeness: 1}, {Completeness: 1}}, 1},
		{"the owner by hash while the index is incomplete", routing.Cost{Speed: speed}, []routing.Candidate{{}, {OwnedTokens: 8192}}, 1},
		{"not the owner when the index is complete and lacks it", routing.Cost{Speed: speed}, []routing.Candidate{{Wait: 1, Completeness: 1}, {OwnedTokens: 8192, Completeness: 1, Wait: 2}}, 0},
		{"an import that is cheaper than recomputing", routing.Cost{Speed: speed}, []routing.Candidate{{Completeness: 1}, {ImportTokens: 8192, Completeness: 1}}, 1},
		{"not an engine that is warming up, if another waits little", routing.Cost{Speed: speed}, []routing.Candidate{{WarmingUp: true, Completeness: 1}, {Wait: 50 * time.Millisecond, Completeness: 1}}, 1},
		{"more waste weight keeps the cache", routing.Cost{Speed: speed, WasteWeight: 1}, []routing.Candidate{{CachedTokens: 8192, Wait: second, Completeness: 1}, {Completeness: 1}}, 0},
		{"affinity within bounds", routing.Affinity{}, []routing.Candidate{{Load: 9}, {Load: 1}, {Load: 1}}, 1},
		{"the cached prompt by the index", routing.Index{}, []routing.Candidate{{}, {CachedTokens: 1}}, 1},
		{"least load", routing.LeastLoaded{}, []routing.Candidate{{Load: 2}, {Load: 1}}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.policy.Choose(10_000, tt.candidates), tt.want)
		})
	}
}

// TestDemand checks that a level in demand gets more copies before an engine is
// full, and loses them when demand falls.
func TestDemand(t *testing.T) {
	is := is.New(t)
	d := routing.NewDemand(6)
	l := promptLevels(1, 1, 1)
	is.Equal(d.Copies(l, 0), []int{1, 1, 1})
	for i := range 50 {
		d.Add(l, 50*time.Millisecond, time.Duration(i)*100*time.Millisecond)
	}
	copies := d.Copies(l, 5*time.Second)
	is.True(copies[2] > 1)
	is.True(copies[2] <= 8)
	is.Equal(d.Copies(l, time.Minute), []int{1, 1, 1})
}

func TestSendHistory(t *testing.T) {
	is := is.New(t)
	h := routing.NewSendHistory()
	h.RecordSend("a", promptLevels(1, 1, 1), time.Second, 10*time.Second)
	wait, load := h.Wait("a", routing.Report{At: 9 * time.Second})
	is.Equal(wait, time.Second) // sent after the report
	is.Equal(load, 1)
	wait, load = h.Wait("a", routing.Report{At: 11 * time.Second, Running: 1})
	is.Equal(wait, time.Duration(0)) // in the report
	is.Equal(load, 1)
	is.Equal(h.CachedTokens("a", promptLevels(1, 1, 2), 11*time.Second), 20480)
	is.Equal(h.CachedTokens("a", promptLevels(2, 1, 1), 11*time.Second), 0)
	h.Forget("a")
	is.Equal(h.CachedTokens("a", promptLevels(1, 1, 1), 11*time.Second), 0)
	h.RecordSend("b", promptLevels(1, 1, 1), time.Second, 10*time.Second)
	h.RecordEnd("b", 10*time.Second)
	wait, load = h.Wait("b", routing.Report{At: 9 * time.Second})
	is.Equal(wait, time.Duration(0)) // ended before the next report
	is.Equal(load, 0)
}

// BenchmarkDecision measures a choice, from the shortlist to the engine.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{12, 100, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, demand, history := ring(n), routing.NewDemand(6), routing.NewSendHistory()
			policy := routing.Cost{Speed: speed, WasteWeight: 0.5}
			b.ReportAllocs()
			considered := 0
			for i := uint64(0); b.Loop(); i++ {
				l := promptLevels(i%8, i%30, i)
				list := policy.Shortlist(routing.Query{Ring: r, Levels: l, Copies: demand.Copies(l, 0), Usable: anyEngine, Random: i})
				for j := range list {
					list[j].Wait, list[j].Load = history.Wait(r.Name(list[j].Engine), routing.Report{})
				}
				policy.Choose(30_000, list)
				considered += len(list)
			}
			b.ReportMetric(float64(considered)/float64(b.N), "candidates/op")
		})
	}
}
