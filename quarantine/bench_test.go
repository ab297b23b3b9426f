package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// BenchmarkFullTable merges the 64 known records that another host shares every
// two seconds into a full table, and classifies a request.
func BenchmarkFullTable(b *testing.B) {
	now := time.Now()
	var all []quarantine.Record
	for i := range quarantine.Capacity {
		all = append(all, quarantine.Record{ID: fmt.Sprint(i), Fingerprint: quarantine.Fingerprint(fmt.Sprint("f", i/2)), Engine: fmt.Sprint("engine-", i%30), At: now.Add(time.Duration(i) * time.Millisecond), Losses: 1 + i%2})
	}
	table, _ := quarantine.Table{}.With(now, all...)
	b.Run("Merge", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			table.With(now, all[:64]...)
		}
	})
	b.Run("Classify", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			table.Classify("f7", now)
		}
	})
}
