// Package quarantine decides which requests crash the engines that run them.
//
// Hosts share records of engines that were lost while a request was in its
// prefill or first tokens, and of suspect requests that were answered later. A
// table is a set of such records. Merging is commutative and idempotent, so
// hosts agree whatever the order of the records. The package does no I/O.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/kumquathoist/kumquathoist/request"
)

const (
	// Lifetime is how long a record counts.
	Lifetime = 10 * time.Minute
	// Capacity bounds the records of a table. It suffices for 30 engines with
	// 64 running requests each that are lost at once, and some more.
	Capacity = 2048
	// sameLossWindow bounds the time between records of the same lost engine,
	// and between the losses of one outage.
	sameLossWindow = 3 * time.Second
	// otherLossWindow is the time around a loss in which the loss of another
	// engine makes it count less, since engines then fail for other reasons too.
	otherLossWindow = 30 * time.Second
	// minIsolatedLosses is the number of lost engines that quarantines a
	// request if no other request was on all of them and no other engine was
	// lost at the time.
	minIsolatedLosses = 2
	// maxLosses is the number of losses that quarantines a request regardless
	// of other losses and requests. One less refuses nine times as many innocent
	// requests in an outage of half the engines (TestMeasure).
	maxLosses = 4
	// minKnownGoodLosses is the number of losses from which a quarantine by
	// another host applies to a request that is known to be good. Rules for
	// callers limit the attempts after the third loss.
	minKnownGoodLosses = 3
	// baseTerm doubles with each loss to give the time for which a quarantined
	// request is refused after its last loss: a minute after two losses, eight
	// after five. Then it is a suspect again, since some requests are
	// quarantined by mistake.
	baseTerm = 15 * time.Second
	// maxDoublings bounds the doublings of baseTerm; the longest term exceeds the
	// lifetime of a record.
	maxDoublings = 6
)

// Fingerprint identifies the content of a request, whoever sends it.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request. It doesn't cover the
// account and the key, since a caller may resend the request with others.
func FingerprintOf(r request.Request) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(r.Model + "\x00" + r.Path + "\x00"))
	_, _ = h.Write(r.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Loss describes an engine that was lost while it ran a request.
type Loss struct {
	// Attempt identifies the attempt that failed.
	Attempt     string
	Fingerprint Fingerprint
	Engine      string
	// Incarnation distinguishes restarts of the engine, as known to the host
	// when it sent the request; "" if unknown.
	Incarnation string
	// Sent is when the request was sent to the engine.
	Sent time.Time
}

// Record is the outcome of a request on one engine.
type Record struct {
	// ID identifies the record; one attempt may lead to several.
	ID          string
	Fingerprint Fingerprint
	// Engine is the engine that was lost, Incarnation its incarnation if known.
	Engine, Incarnation string
	// Answered reports that the request was answered; its earlier losses no
	// longer count.
	Answered bool
	// Sent is when the request was sent to the engine; the zero time means just
	// before At.
	Sent time.Time
	// At is when the engine was lost or the request was answered, on this
	// host's clock.
	At time.Time
	// Losses counts the losses known to the host that made the record,
	// including this one; for an answer, the losses that it clears. The count
	// stays valid when the records of those losses are dropped.
	Losses int
	// KnownGood reports that the request had been answered recently by the host
	// that lost the engine or a host that forwarded the record.
	KnownGood bool
	// Quarantined reports that a host quarantined the request with this loss,
	// perhaps because of records that this table lacks. For a known-good request
	// it applies from minKnownGoodLosses on.
	Quarantined bool
}

// Verdict says how to treat a request.
type Verdict int

// The verdicts.
const (
	// Clean means that no engine was lost with the request since its last answer.
	Clean Verdict = iota
	// Suspect means that the request may run, one at a time on each host.
	Suspect
	// Quarantined means that the request is refused.
	Quarantined
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"Clean", "Suspect", "Condemned"}[v] }

// Table is a set of records. It is immutable.
type Table struct {
	// records holds the records of each request, ordered by time and id.
	records map[Fingerprint][]Record
	count   int
}

// With returns the table with more records, and the records that are new to
// it. Expired records aren't new, nor are records that a full table drops: it
// may have had them before.
func (t Table) With(now time.Time, more ...Record) (Table, []Record) {
	next := Table{records: make(map[Fingerprint][]Record, len(t.records)+len(more)), count: t.count}
	for f, records := range t.records {
		if isExpired(records[len(records)-1], now) {
			next.count -= len(records)
			continue
		}
		next.records[f] = records
	}
	var fresh []Record
	for _, r := range more {
		if !isExpired(r, now) && next.add(r) {
			fresh = append(fresh, r)
		}
	}
	next.dropLeastSignificant()
	return next, slices.DeleteFunc(fresh, func(r Record) bool {
		return !slices.ContainsFunc(next.records[r.Fingerprint], func(other Record) bool { return other.ID == r.ID })
	})
}

func isExpired(r Record, now time.Time) bool { return now.Sub(r.At) >= Lifetime }

// add adds a record to a table under construction, and reports whether it is
// new. Of two records with one id the earlier stays.
func (t *Table) add(r Record) bool {
	records := t.records[r.Fingerprint]
	i := slices.IndexFunc(records, func(other Record) bool { return other.ID == r.ID })
	if i >= 0 && !r.At.Before(records[i].At) {
		return false
	}
	changed := slices.Clone(records)
	if i >= 0 {
		changed[i] = r
	} else {
		changed = append(changed, r)
		t.count++
	}
	slices.SortFunc(changed, compareTime)
	t.records[r.Fingerprint] = changed
	return i < 0
}

// dropLeastSignificant drops records with the fewest losses from a table under
// construction until it is within its capacity, so that many requests on one
// lost engine don't evict the records of a request that lost several.
func (t *Table) dropLeastSignificant() {
	if t.count <= Capacity {
		return
	}
	for _, r := range t.Records()[:t.count-Capacity] {
		remaining := slices.DeleteFunc(slices.Clone(t.records[r.Fingerprint]), func(other Record) bool { return other.ID == r.ID })
		if t.records[r.Fingerprint] = remaining; len(remaining) == 0 {
			delete(t.records, r.Fingerprint)
		}
	}
	t.count = Capacity
}

func compareTime(a, b Record) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) }

// Len returns the number of records.
func (t Table) Len() int { return t.count }

// Records returns the records ordered by the losses that they count, then by
// time.
func (t Table) Records() []Record {
	all := make([]Record, 0, t.count)
	for _, records := range t.records {
		all = append(all, records...)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Or(cmp.Compare(a.Losses, b.Losses), compareTime(a, b)) })
	return all
}

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
