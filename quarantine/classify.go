package quarantine

import (
	"slices"
	"time"
)

// Classification is a verdict with the reasons for it.
type Classification struct {
	Verdict Verdict
	// Losses counts the engines lost with the request, OtherLosses those lost
	// without it shortly before or after.
	Losses, OtherLosses int
	// Shared reports that another unanswered request was on all engines lost
	// with the request.
	Shared bool
	// LastLoss is when the last engine was lost with the request.
	LastLoss time.Time
}

// Verdict returns the verdict on a request.
func (t Table) Verdict(f Fingerprint, now time.Time) Verdict { return t.Classify(f, now).Verdict }

// Classify returns the verdict on a request and the reasons for it. A request
// is quarantined when several engines were lost with it, and earlier if nothing
// else explains the losses: no other engine was lost at the time, and no other
// unanswered request was on all of the engines. After its term it is a suspect
// again.
func (t Table) Classify(f Fingerprint, now time.Time) Classification {
	losses := t.losses(f, now)
	if len(losses) == 0 {
		return Classification{Verdict: Clean}
	}
	last := lastLossPerEngine(losses)
	c := Classification{Verdict: Suspect, Losses: countLosses(losses), OtherLosses: t.otherLosses(f, last), LastLoss: losses[len(losses)-1].At}
	if len(last) >= minIsolatedLosses {
		c.Shared = t.isShared(f, last, now)
	}
	isolated := len(last) >= minIsolatedLosses && c.OtherLosses == 0 && !c.Shared && !anyKnownGood(losses)
	if c.Losses >= maxLosses || isolated || anyQuarantined(losses) && (!anyKnownGood(losses) || c.Losses >= minKnownGoodLosses) {
		c.Verdict = Quarantined
	}
	if now.Sub(c.LastLoss) >= baseTerm<<min(c.Losses, maxDoublings) {
		c.Verdict = Suspect
	}
	return c
}

// CountLosses returns a record with its Losses set from the table.
func (t Table) CountLosses(r Record, now time.Time) Record {
	if !r.Answered {
		t, _ = t.With(now, r)
	}
	r.Losses = t.Classify(r.Fingerprint, now).Losses
	return r
}

// losses returns the losses of a request since its last answer, oldest first.
func (t Table) losses(f Fingerprint, now time.Time) []Record {
	var found []Record
	for _, r := range t.records[f] {
		switch {
		case r.Answered:
			found = nil
		case !isExpired(r, now):
			found = append(found, r)
		}
	}
	return found
}

func anyKnownGood(losses []Record) bool {
	return slices.ContainsFunc(losses, func(r Record) bool { return r.KnownGood })
}

func anyQuarantined(losses []Record) bool {
	return slices.ContainsFunc(losses, func(r Record) bool { return r.Quarantined })
}

// countLosses counts how often engines were lost, at least as often as a record
// says. For a known-good request, losses in quick succession count as one
// outage.
func countLosses(losses []Record) int {
	byOutage := anyKnownGood(losses)
	count, recorded := 0, 0
	type incarnation struct{ engine, id string }
	lastLoss := map[incarnation]time.Time{}
	for _, r := range losses {
		i := incarnation{r.Engine, r.Incarnation}
		if byOutage {
			i = incarnation{}
		}
		before, known := lastLoss[i]
		if !known || i.id == "" && r.sentTime().Sub(before) >= sameLossWindow {
			count++
		}
		lastLoss[i] = r.At
		recorded = max(recorded, r.Losses)
	}
	return max(count, recorded)
}

// sentTime returns when the request was sent to the engine.
func (r Record) sentTime() time.Time {
	if r.Sent.IsZero() {
		return r.At
	}
	return r.Sent
}

// lastLossPerEngine returns the last loss of each engine.
func lastLossPerEngine(losses []Record) map[string]Record {
	last := map[string]Record{}
	for _, r := range losses {
		last[r.Engine] = r
	}
	return last
}

// otherLosses counts the engines that were lost without the request shortly
// before or after one of its losses.
func (t Table) otherLosses(f Fingerprint, last map[string]Record) int {
	engines := map[string]bool{}
	for other, records := range t.records {
		if other == f {
			continue
		}
		for _, r := range records {
			if _, lostTogether := last[r.Engine]; !lostTogether && !r.Answered && isNearAny(r, last, otherLossWindow) {
				engines[r.Engine] = true
			}
		}
	}
	return len(engines)
}

// isNearAny reports whether a record is within a duration of one of the losses.
func isNearAny(r Record, last map[string]Record, d time.Duration) bool {
	for _, l := range last {
		if isWithin(r, l, d) {
			return true
		}
	}
	return false
}

// isShared reports whether another unanswered request was on all of the lost
// engines.
func (t Table) isShared(f Fingerprint, last map[string]Record, now time.Time) bool {
	for other := range t.records {
		if other != f && coversAll(lastLossPerEngine(t.losses(other, now)), last) {
			return true
		}
	}
	return false
}

// coversAll reports whether each loss has a counterpart of the same engine and
// time among others.
func coversAll(others, losses map[string]Record) bool {
	for engine, l := range losses {
		other, ok := others[engine]
		if !ok || !isWithin(other, l, sameLossWindow) {
			return false
		}
	}
	return true
}

// isWithin reports whether two records are at most a duration apart.
func isWithin(a, b Record, d time.Duration) bool { return a.At.Sub(b.At).Abs() <= d }
