// Package quarantine decides which requests, and which prompt parts that requests
// share, crash the engines that run them.
//
// Hosts share records of engines that were lost while a request was in its
// prefill or first tokens, and of suspects that were answered later. A lost
// request has one record for itself and one for each shared part of its prompt.
// A table is a set of such records. Merging is commutative and idempotent, so
// hosts agree whatever the order of the records. The package does no I/O.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Lifetime is how long a record counts, unless it causes a longer quarantine.
	Lifetime = 10 * time.Minute
	// Capacity bounds the records of a table. It suffices for 30 engines with
	// 64 running requests each that are lost at once, and some more.
	Capacity = 2048
	// sameLossWindow bounds the time between records of the same lost engine,
	// and between the losses of one outage.
	sameLossWindow = 3 * time.Second
	// otherLossWindow is the time before a loss in which the loss of another
	// engine makes it count less, since engines then fail for other reasons too.
	otherLossWindow = 30 * time.Second
	// minIsolatedLosses is the number of lost engines that quarantines a
	// request if no other request was on all of them and no other engine was
	// lost at the time.
	minIsolatedLosses = 2
	// minIsolatedPartLosses is the same for a part. The first two are often one
	// request and its retry.
	minIsolatedPartLosses = 3
	// maxLosses is the number of losses that quarantines a request regardless
	// of other losses and requests. One less refuses nine times as many innocent
	// requests in an outage of half the engines (TestMeasure).
	maxLosses = 4
	// minKnownGoodLosses is the number of losses from which a quarantine by
	// another host applies to a request that is known to be good. Rules for
	// callers limit the attempts after the third loss.
	minKnownGoodLosses = 3
	// partOutageWindow is the time within which losses with the same part count
	// as one outage, knownGoodPartOutageWindow the time for a part that was
	// answered recently. In the latter, the answer to one of many requests with
	// the part ends the suspicion unless nothing is answered at all.
	partOutageWindow          = 200 * time.Millisecond
	knownGoodPartOutageWindow = time.Second
	// laterOutageWindow is the time after a loss with a part within which the loss
	// of another engine may be the same outage, since hosts notice it at slightly
	// different times. Later ones don't lift a verdict.
	laterOutageWindow = 50 * time.Millisecond
	// goneWindow is how long a lost engine that has not answered since counts as gone:
	// restarts take seconds.
	goneWindow = 3 * time.Second
	// minSilence is how long an engine that stands still leaves a check unanswered.
	minSilence = 100 * time.Millisecond
	// baseTerm doubles with each loss to give the time for which a quarantined
	// request is refused after its last loss: a minute after two losses, eight
	// after five. Then it is a suspect again, since some requests are
	// quarantined by mistake.
	baseTerm = 15 * time.Second
	// maxDoublings bounds the doublings of baseTerm, to a term of 16 minutes.
	maxDoublings = 6
)

// Loss describes an engine that was lost while it ran a request.
type Loss struct {
	Content

	// Attempt identifies the attempt that failed.
	Attempt string
	Engine  string
	// Incarnation distinguishes restarts of the engine, as known to the host
	// when it sent the request; "" if unknown.
	Incarnation string
	// Sent is when the request was sent to the engine.
	Sent time.Time
	// AnsweredAt is when the engine last answered this host; zero if not known.
	AnsweredAt time.Time
	// Events counts the events of the answer that had arrived.
	Events int
	// Reset reports that the engine's machine reset the connection. SilentSince is since
	// when the engine had left a check unanswered by then; zero if it had not.
	Reset       bool
	SilentSince time.Time
}

// IsUnread reports whether the engine can't have begun the request: it stood still, and its
// machine reset the connection as it does for a process that ends before it has read what
// has arrived.
func (l Loss) IsUnread(now time.Time) bool {
	return l.Reset && l.Events == 0 && !l.SilentSince.IsZero() && now.Sub(l.SilentSince) >= minSilence
}

// Record is the outcome of a request on one engine, for the request itself or for
// one of its parts.
type Record struct {
	// ID identifies the record; one attempt may lead to several.
	ID          string
	Fingerprint Fingerprint
	// Depth is the position of a part in the prompt, from 1; 0 for a request.
	Depth int
	// Account is the client account of a request that lost an engine, or "" if
	// a part lost engines with those of several accounts.
	Account string
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
	// it applies from minKnownGoodLosses on, for a known-good part from maxLosses
	// on.
	Quarantined bool
}

// Expired reports whether the record no longer counts.
func (r Record) Expired(now time.Time) bool { return now.Sub(r.At) >= r.lifetime() }

// lifetime returns how long the record counts, and earlier losses with it. It
// outlives the quarantine that it causes, so that a next loss prolongs that.
func (r Record) lifetime() time.Duration {
	return max(Lifetime, 2*baseTerm<<min(r.Losses, maxDoublings))
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
		if records[len(records)-1].Expired(now) {
			next.count -= len(records)
			continue
		}
		next.records[f] = records
	}
	var fresh []Record
	for _, r := range more {
		if !r.Expired(now) && next.add(r) {
			fresh = append(fresh, r)
		}
	}
	next.dropLeastSignificant()
	return next, slices.DeleteFunc(fresh, func(r Record) bool {
		return !slices.ContainsFunc(next.records[r.Fingerprint], func(other Record) bool { return other.ID == r.ID })
	})
}

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
