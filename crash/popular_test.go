package crash_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/quarantine"
)

// admits reports whether a guard admits a request.
func admits(g *crash.Guard, f quarantine.Fingerprint) bool {
	release, refused := g.Admit(context.Background(), "attempt", quarantine.Content{Request: f})
	if refused != nil {
		return false
	}
	release()
	return true
}

// TestAnsweredRequestsSurviveRemoteQuarantine receives the quarantine of a
// request from another host. It applies to a request answered here only from
// the third loss on.
func TestAnsweredRequestsSurviveRemoteQuarantine(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered bool
		losses   int
		admitted bool
	}{
		{"never answered", false, 2, false},
		{"answered here", true, 2, true},
		{"answered here, three engines lost", true, 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			guard := startGuards(t, 1)[0]
			if test.answered {
				guard.Answered("attempt-1", quarantine.Content{Request: "read"})
			}
			var records []quarantine.Record
			for i := range test.losses {
				engine := string(rune('a' + i))
				records = append(records, quarantine.Record{ID: engine, Fingerprint: "read", Engine: engine, At: time.Now(), Losses: i + 1, Quarantined: i > 0})
			}
			guard.Merge(records)
			is.Equal(admits(guard, "read"), test.admitted)
		})
	}
}

// TestAnswersOnOtherHostsEndQuarantine has one host quarantine a request that
// others have answered recently. They still admit it, and their answers end
// the quarantine.
func TestAnswersOnOtherHostsEndQuarantine(t *testing.T) {
	is := is.New(t)
	guards := startGuards(t, 3)
	guards[0].Answered("attempt-1", quarantine.Content{Request: "read"})
	guards[1].Answered("attempt-2", quarantine.Content{Request: "read"})
	guards[2].Lost(quarantine.Loss{Content: quarantine.Content{Request: "read"}, Attempt: "attempt-3", Engine: "engine-1", Sent: time.Now()})
	is.True(guards[2].Lost(quarantine.Loss{Content: quarantine.Content{Request: "read"}, Attempt: "attempt-4", Engine: "engine-2", Sent: time.Now()}))
	for deadline := time.Now().Add(20 * time.Second); !admits(guards[2], "read"); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(deadline)) // guards[2] receives an answer
		for i, g := range guards[:2] {
			is.True(admits(g, "read")) // the other hosts still admit it
			g.Answered([]string{"attempt-5", "attempt-6"}[i], quarantine.Content{Request: "read"})
		}
	}
}
