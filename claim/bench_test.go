package claim_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/kumquathoist/kumquathoist/claim"
)

// BenchmarkFold folds a claim and its answer of 200 bytes into tables of
// several sizes.
func BenchmarkFold(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			before := heap()
			table, offset := claim.NewTable(0), int64(0)
			fold := func(n int) {
				r := claim.Record{Kind: claim.Take, Account: "account-17", Key: fmt.Sprintf("%036d", n), Attempt: fmt.Sprintf("%036d", n), IssuedMillis: 1}
				raw, _ := claim.EncodeBatch([]claim.Record{r, r.WithAnswer(200, "application/json", make([]byte, 200))})
				table.Fold(offset, 1, raw)
				offset++
			}
			for n := range keys {
				fold(n)
			}
			perKey := float64(heap()-before) / float64(keys)
			for b.Loop() {
				fold(int(offset))
			}
			b.ReportMetric(perKey, "B/key")
			runtime.KeepAlive(table)
		})
	}
}

func heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
