package document

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

// BenchmarkFoldAccounts folds an edit of the Accounts section with the number
// of accounts that the system is designed for.
func BenchmarkFoldAccounts(b *testing.B) {
	const accounts = 6900
	var body strings.Builder
	body.WriteString("Accounts:\n")
	for i := range accounts {
		fmt.Fprintf(&body, "  - {Name: account-%d, KeyHash: %s, Weight: 1, RequestsPerSecond: 10}\n", i, HashKey(fmt.Sprint(i)))
	}
	raw, err := EncodeEdit(Edit{ID: "a", Section: AccountsSection, Author: "ana", Body: body.String()})
	if err != nil {
		b.Fatal(err)
	}
	var s State
	for b.Loop() {
		s = New().Fold(Record{Data: raw})
	}
	state, err := json.Marshal(s.Transfer("host"))
	if err != nil || len(s.Document.Accounts.Accounts) != accounts {
		b.Fatal("the edit was not accepted")
	}
	b.ReportMetric(float64(len(raw)), "record-bytes")
	b.ReportMetric(float64(len(state)), "state-bytes")
}
