package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// TestExplains checks which losses an earlier loss of the engine explains.
func TestExplains(t *testing.T) {
	now := time.Now()
	table, _ := quarantine.Table{}.With(now, quarantine.Record{ID: "1", Fingerprint: "crasher", Engine: "a", Incarnation: "7", At: now, Losses: 1})
	after := now.Add(200 * time.Millisecond)
	for _, c := range []struct {
		name string
		loss quarantine.Loss
		want bool
	}{
		{"sent after it", quarantine.Loss{Engine: "a", Incarnation: "7", Sent: after}, true},
		{"sent before it", quarantine.Loss{Engine: "a", Incarnation: "7", Sent: now.Add(-time.Millisecond)}, false},
		{"sent long after it", quarantine.Loss{Engine: "a", Incarnation: "7", Sent: now.Add(5 * time.Second)}, false},
		{"it has answered before it", quarantine.Loss{Engine: "a", Incarnation: "7", Sent: after, AnsweredAt: now.Add(-time.Second)}, true},
		{"it has answered since", quarantine.Loss{Engine: "a", Incarnation: "7", Sent: after, AnsweredAt: now.Add(time.Millisecond)}, false},
		{"it has started again", quarantine.Loss{Engine: "a", Incarnation: "8", Sent: after}, false},
		{"another engine", quarantine.Loss{Engine: "b", Incarnation: "7", Sent: after}, false},
		{"no incarnation is known", quarantine.Loss{Engine: "a", Sent: after}, false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(table.Explains(c.loss), c.want) })
	}
}
