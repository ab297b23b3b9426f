package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// TestUnread checks which lost requests their engine can't have begun.
func TestUnread(t *testing.T) {
	const second = time.Second
	now := start.Add(time.Minute)
	for _, c := range []struct {
		name string
		loss quarantine.Loss
		want bool
	}{
		{"sent to an engine that stood still", quarantine.Loss{Sent: now.Add(-second), SilentSince: now.Add(-2 * second), Reset: true}, true},
		{"the check began after it was sent", quarantine.Loss{Sent: now.Add(-2 * second), SilentSince: now.Add(-second), Reset: true}, true},
		{"the engine had read it", quarantine.Loss{Sent: now.Add(-2 * second), SilentSince: now.Add(-second)}, false},
		{"the engine had read it, sent while it stood still", quarantine.Loss{Sent: now.Add(-second), SilentSince: now.Add(-2 * second)}, false},
		{"no check was unanswered", quarantine.Loss{Sent: now.Add(-second), Reset: true}, false},
		{"a check was about to be answered", quarantine.Loss{Sent: now.Add(-second), SilentSince: now.Add(-second / 20), Reset: true}, false},
		{"its first event had arrived", quarantine.Loss{Sent: now.Add(-second), SilentSince: now.Add(-2 * second), Reset: true, Events: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(c.loss.IsUnread(now), c.want) })
	}
}

// TestEngineLossesCountAsOthers has engines lost by no request beside those lost with a
// request or part.
func TestEngineLossesCountAsOthers(t *testing.T) {
	const s = time.Second
	unread := func(engine string, at time.Duration) []quarantine.Record {
		return []quarantine.Record{loss(quarantine.EngineFingerprint(quarantine.Loss{Engine: engine, Incarnation: "1"}), engine, at)}
	}
	for _, c := range []struct {
		name                   string
		records                []quarantine.Record
		part                   bool
		verdict, withoutUnread quarantine.Verdict
	}{
		{"a request, another engine in between", join(lossOf("mill", "q", "a", 0), unread("b", s), lossOf("mill", "q", "c", 2*s)), false, quarantine.Suspect, quarantine.Quarantined},
		{"a request, the same engines", join(lossOf("mill", "q", "a", 0), unread("a", 0), lossOf("mill", "q", "c", 2*s), unread("c", 2*s)), false, quarantine.Quarantined, quarantine.Quarantined},
		{"a part, another engine in between", join(lossOf("mill", "q1", "a", 0, "doc"), lossOf("mill", "q2", "b", s, "doc"), unread("d", 3*s/2), lossOf("mill", "q3", "c", 2*s, "doc")), true, quarantine.Suspect, quarantine.Quarantined},
		{"a part, the same engines", join(lossOf("mill", "q1", "a", 0, "doc"), lossOf("mill", "q2", "b", s, "doc"), lossOf("mill", "q3", "c", 2*s, "doc"), unread("a", 0), unread("b", s), unread("c", 2*s)), true, quarantine.Quarantined, quarantine.Quarantined},
		{"a part, engines of unread requests alone", join(unread("a", 0), unread("b", s), unread("c", 2*s), unread("d", 3*s)), true, quarantine.Clean, quarantine.Clean},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := quarantine.Fingerprint("q")
			if c.part {
				f = part("doc")
			}
			now := start.Add(4 * s)
			table, _ := quarantine.Table{}.With(now, c.records...)
			is.Equal(table.Verdict(f, now), c.verdict)
			var others []quarantine.Record
			for _, r := range c.records {
				if r.Fingerprint != quarantine.EngineFingerprint(quarantine.Loss{Engine: r.Engine, Incarnation: "1"}) {
					others = append(others, r)
				}
			}
			table, _ = quarantine.Table{}.With(now, others...)
			is.Equal(table.Verdict(f, now), c.withoutUnread)
		})
	}
}
