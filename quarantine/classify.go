package quarantine

import (
	"slices"
	"time"
)

// Classification is a verdict with the reasons for it.
type Classification struct {
	Verdict Verdict
	// Losses counts the engines lost with the request or part, OtherLosses those
	// lost without it shortly before or in the same outage.
	Losses, OtherLosses int
	// Shared reports that something else unanswered was on all engines lost with
	// it: for a request another request, for a part a request or a part that
	// fewer requests share.
	Shared bool
	// KnownGood reports that it was answered recently before it lost engines.
	KnownGood bool
	// Account is the only account whose requests lost engines with a part; ""
	// if there are several, or for a request. The verdict on the part applies to
	// that account alone, since a caller may name parts of others.
	Account string
	// TermOver reports that its quarantine has ended, but that it hasn't been
	// answered since.
	TermOver bool
	// FirstLoss and LastLoss are when the first and the last engine was lost
	// with it, LastAnswer when it was last answered; zero if not known.
	FirstLoss, LastLoss, LastAnswer time.Time
}

// AppliesTo reports whether the verdict applies to requests of an account.
func (c Classification) AppliesTo(account string) bool {
	return c.Account == "" || c.Account == account
}

// Verdict returns the verdict on a request or part.
func (t Table) Verdict(f Fingerprint, now time.Time) Verdict { return t.Classify(f, now).Verdict }

// Classify returns the verdict on a request or part and the reasons for it.
//
// A request is quarantined when several engines were lost with it, and earlier
// if nothing else explains the losses: no other engine was lost at the time, and
// no other unanswered request was on all of the engines. A part is quarantined
// only if the losses came from several requests, and if no part that fewer
// requests share explains them; losses that coincide with those of other engines
// are an outage and don't count. After its term it is a suspect again.
func (t Table) Classify(f Fingerprint, now time.Time) Classification {
	losses := t.losses(f, now)
	if len(losses) == 0 {
		return Classification{Verdict: Clean}
	}
	if !f.IsPart() {
		return t.classifyRequest(f, losses, now)
	}
	counted := t.withoutOutages(losses)
	if len(counted) == 0 {
		return t.suspicion(f, losses)
	}
	c := t.classifyPart(f, counted, now)
	if first := firstIsolated(counted); c.Verdict == Suspect && !c.TermOver && len(first) < len(counted) {
		// What was lost after a verdict doesn't lift it.
		if earlier := t.classifyPart(f, first, now); (earlier.Verdict == Quarantined || earlier.TermOver) && !c.Shared {
			return earlier
		}
	}
	return c
}

// firstIsolated returns the first losses of a part that may quarantine it.
func firstIsolated(losses []Record) []Record {
	for n := 1; n < len(losses); n++ {
		if countLosses(losses[:n]) >= minIsolatedPartLosses {
			return losses[:n]
		}
	}
	return losses
}

// suspicion returns the classification of something that lost engines, with what
// doesn't depend on other losses.
func (t Table) suspicion(f Fingerprint, losses []Record) Classification {
	return Classification{
		Verdict: Suspect, Losses: countLosses(losses), KnownGood: anyKnownGood(losses), FirstLoss: losses[0].At, LastLoss: losses[len(losses)-1].At, LastAnswer: t.lastAnswer(f),
	}
}

// classifyRequest returns the classification of a request that lost engines.
func (t Table) classifyRequest(f Fingerprint, losses []Record, now time.Time) Classification {
	c, last := t.suspicion(f, losses), lastLossPerEngine(losses)
	c.OtherLosses = t.otherLosses(f, last, sameLossWindow)
	if len(last) >= minIsolatedLosses {
		c.Shared = t.isShared(f, last, now)
	}
	return c.quarantinedIf(c.isRequestQuarantined(losses, len(last)), c.Losses, now)
}

// classifyPart returns the classification of a part that lost engines.
func (t Table) classifyPart(f Fingerprint, losses []Record, now time.Time) Classification {
	c, last := t.suspicion(f, losses), lastLossPerEngine(losses)
	c.Account = onlyAccount(losses)
	if c.Losses < minIsolatedPartLosses && !anyQuarantined(losses) {
		return c
	}
	c.OtherLosses = t.otherLosses(f, last, laterOutageWindow)
	c.Shared = t.isPartExplained(f, losses, now)
	doublings := c.Losses
	if c.KnownGood {
		// An outage may be the reason, and many requests share the part.
		doublings = max(0, c.Losses-maxLosses)
	}
	return c.quarantinedIf(c.isPartQuarantined(losses, len(last)), doublings, now)
}

// quarantinedIf returns the classification with a quarantine if the condition
// holds. Its term after the last loss is baseTerm doubled a number of times.
func (c Classification) quarantinedIf(condition bool, doublings int, now time.Time) Classification {
	if !condition {
		return c
	}
	c.TermOver = now.Sub(c.LastLoss) >= baseTerm<<min(doublings, maxDoublings)
	if !c.TermOver {
		c.Verdict = Quarantined
	}
	return c
}

// isIsolated reports whether nothing else explains the losses.
func (c Classification) isIsolated() bool {
	return c.OtherLosses == 0 && !c.Shared && !c.KnownGood
}

// isRequestQuarantined reports whether the losses of a request, on a number of
// engines, quarantine it.
func (c Classification) isRequestQuarantined(losses []Record, engines int) bool {
	return c.Losses >= maxLosses || c.isIsolated() && engines >= minIsolatedLosses ||
		anyQuarantined(losses) && (!c.KnownGood || c.Losses >= minKnownGoodLosses)
}

// isPartQuarantined is the same for a part. Something that fewer requests share
// is quarantined in its place.
func (c Classification) isPartQuarantined(losses []Record, engines int) bool {
	if anyQuarantined(losses) && (!c.KnownGood || c.Losses >= maxLosses) {
		return true
	}
	return !c.Shared && (c.Losses >= maxLosses || c.isIsolated() && engines >= minIsolatedLosses && c.Losses >= minIsolatedPartLosses)
}

// Covers reports whether the table has a loss of the same engine and account for
// the request or part of a record.
func (t Table) Covers(r Record, now time.Time) bool {
	return slices.ContainsFunc(t.losses(r.Fingerprint, now), func(other Record) bool { return other.Account == r.Account && hasCounterpart([]Record{other}, r) })
}

// WithLossCounts returns records with their Losses set from the table.
func (t Table) WithLossCounts(now time.Time, records ...Record) []Record {
	counted := slices.Clone(records)
	with, _ := t.With(now, slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return r.Answered })...)
	for i, r := range counted {
		table := with
		if r.Answered {
			table = t
		}
		counted[i].Losses = table.Classify(r.Fingerprint, now).Losses
	}
	return counted
}

// losses returns the losses of a request or part since its last answer, oldest
// first.
func (t Table) losses(f Fingerprint, now time.Time) []Record {
	var found []Record
	for _, r := range t.records[f] {
		if r.Answered {
			found = nil
			continue
		}
		found = append(found, r)
	}
	lifetime := Lifetime
	for _, r := range found {
		lifetime = max(lifetime, r.lifetime())
	}
	return slices.DeleteFunc(found, func(r Record) bool { return now.Sub(r.At) >= lifetime })
}

// Explains reports whether an engine had been lost before the request of a loss was
// sent to it. An incarnation crashes only once, so the request did not crash it, unless
// it has answered in between.
func (t Table) Explains(l Loss) bool {
	if l.Incarnation == "" {
		return false
	}
	for _, records := range t.records {
		for _, r := range records {
			lost := !r.Answered && r.Engine == l.Engine && r.Incarnation == l.Incarnation
			if lost && r.At.Before(l.Sent) && l.Sent.Sub(r.At) < goneWindow && !l.AnsweredAt.After(r.At) {
				return true
			}
		}
	}
	return false
}

// LastLoss returns the last loss of a request or part since its last answer.
func (t Table) LastLoss(f Fingerprint, now time.Time) (Record, bool) {
	losses := t.losses(f, now)
	if len(losses) == 0 {
		return Record{}, false
	}
	return losses[len(losses)-1], true
}

// AnsweredAt returns the time of the last known answer, and false without one.
func (t Table) AnsweredAt(f Fingerprint) (time.Time, bool) {
	at := t.lastAnswer(f)
	return at, !at.IsZero()
}

// lastAnswer returns the time of the last known answer.
func (t Table) lastAnswer(f Fingerprint) time.Time {
	for _, r := range slices.Backward(t.records[f]) {
		if r.Answered {
			return r.At
		}
	}
	return time.Time{}
}

func anyKnownGood(losses []Record) bool {
	return slices.ContainsFunc(losses, func(r Record) bool { return r.KnownGood })
}

func anyQuarantined(losses []Record) bool {
	return slices.ContainsFunc(losses, func(r Record) bool { return r.Quarantined })
}

// onlyAccount returns the account that all losses have in common, or "".
func onlyAccount(losses []Record) string {
	account := losses[0].Account
	if slices.ContainsFunc(losses, func(r Record) bool { return r.Account != account }) {
		return ""
	}
	return account
}

// outageWindow returns the time within which losses count as one outage: while
// many requests share something, an outage hits it on several engines at once.
func outageWindow(losses []Record) time.Duration {
	switch knownGood := anyKnownGood(losses); {
	case losses[0].Fingerprint.IsPart() && knownGood:
		return knownGoodPartOutageWindow
	case losses[0].Fingerprint.IsPart():
		return partOutageWindow
	}
	return 0
}

// countLosses counts how often engines were lost, at least as often as a record
// says. Losses in quick succession count as one outage for a known-good request
// and for parts.
func countLosses(losses []Record) int {
	byOutage := anyKnownGood(losses) && !losses[0].Fingerprint.IsPart()
	window := outageWindow(losses)
	// A request that was sent after a loss was not part of the same outage.
	retriesCount := window == partOutageWindow
	count, recorded := 0, 0
	var lastCounted time.Time
	type incarnation struct{ engine, id string }
	lastLoss := map[incarnation]time.Time{}
	for _, r := range losses {
		i := incarnation{r.Engine, r.Incarnation}
		if byOutage {
			i = incarnation{}
		}
		before, known := lastLoss[i]
		isNew := !known || i.id == "" && r.sentTime().Sub(before) >= sameLossWindow
		if isNew && (count == 0 || r.At.Sub(lastCounted) >= window || retriesCount && r.Sent.After(lastCounted)) {
			count++
			lastCounted = r.At
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

// otherLosses counts the engines that were lost without the request or part
// shortly before one of its losses, or up to a time later.
func (t Table) otherLosses(f Fingerprint, last map[string]Record, later time.Duration) int {
	engines := map[string]bool{}
	for other, records := range t.records {
		if other == f {
			continue
		}
		for _, r := range records {
			if _, lostTogether := last[r.Engine]; !lostTogether && !r.Answered && precedesAny(r, last, later) {
				engines[r.Engine] = true
			}
		}
	}
	return len(engines)
}

// precedesAny reports whether a record is from shortly before one of the losses,
// or from no later than a time after it. A later one doesn't lift a verdict.
func precedesAny(r Record, last map[string]Record, later time.Duration) bool {
	for _, l := range last {
		if before := l.At.Sub(r.At); before <= otherLossWindow && before >= -later {
			return true
		}
	}
	return false
}

// isShared reports whether another unanswered request was on all of the lost
// engines.
func (t Table) isShared(f Fingerprint, last map[string]Record, now time.Time) bool {
	for other := range t.records {
		if other != f && !other.IsPart() && !other.isEngine() && coversAll(lastLossPerEngine(t.losses(other, now)), last) {
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

// isPartExplained reports whether a request or a part that fewer requests share
// was unanswered on all engines lost with a part. Such a part comes later in the
// prompt; refusing it refuses fewer requests.
func (t Table) isPartExplained(f Fingerprint, losses []Record, now time.Time) bool {
	for other := range t.records {
		if other == f || other.isEngine() {
			continue
		}
		others := t.losses(other, now)
		if len(others) == 0 || other.IsPart() && others[0].Depth <= losses[0].Depth {
			continue
		}
		if !slices.ContainsFunc(losses, func(l Record) bool { return !hasCounterpart(others, l) }) {
			return true
		}
	}
	return false
}

// hasCounterpart reports whether the same loss of an engine is among others.
func hasCounterpart(others []Record, l Record) bool {
	return slices.ContainsFunc(others, func(o Record) bool {
		return o.Engine == l.Engine && o.Incarnation == l.Incarnation && isWithin(o, l, sameLossWindow)
	})
}

// withoutOutages returns the losses of a part that don't coincide with losses of
// other engines. An outage takes several engines at once, a part one at a time.
func (t Table) withoutOutages(losses []Record) []Record {
	if len(losses) < minIsolatedPartLosses {
		return losses
	}
	last := lastLossPerEngine(losses)
	coincides := map[string]bool{}
	for _, records := range t.records {
		for _, r := range records {
			if _, lostTogether := last[r.Engine]; lostTogether || r.Answered {
				continue
			}
			for _, l := range losses {
				if after := r.At.Sub(l.At); after >= -partOutageWindow && after <= laterOutageWindow {
					coincides[l.ID] = true
				}
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(losses), func(l Record) bool { return coincides[l.ID] && !l.Quarantined })
}

// isWithin reports whether two records are at most a duration apart.
func isWithin(a, b Record, d time.Duration) bool { return a.At.Sub(b.At).Abs() <= d }
