// Package quarantine decides which requests crash the engines that run them.
//
// Hosts share records of engines that were lost while a request was in its
// prefill or first tokens, and of requests that were answered after all. A
// table is a set of such records: merging is commutative and idempotent, so
// hosts agree without an order. The package does no I/O.
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
	// Capacity bounds the records of a table: the requests that run on 30
	// engines with 64 places each, lost at once, and some more.
	Capacity = 2048
	// sameLoss is how far apart the records of one lost engine may be, and how
	// long an outage may pause.
	sameLoss = 3 * time.Second
	// background is how long the loss of another engine makes losses count
	// less, since engines then fail for other reasons too.
	background = 30 * time.Second
	// enoughEngines condemns a request that alone was on each of them, while
	// no other engine was lost.
	enoughEngines = 2
	// mostLosses condemns a request whoever else was there. One less refuses
	// nine times as many innocent requests in an outage of half the engines
	// (TestMeasure).
	mostLosses = 4
	// enoughDespite is from how many lost engines the verdict of a host holds
	// for others that know the request to be sound. Callers' rules bound what
	// is sent after the third.
	enoughDespite = 3
	// firstTerm doubles with each loss to the time for which a condemned
	// request is refused after the last: a minute after two losses, eight after
	// five. Then it is a suspect again, since some are condemned by mistake.
	firstTerm = 15 * time.Second
	// maxDoublings takes the term beyond the lifetime of a record.
	maxDoublings = 6
)

// Fingerprint identifies what a request asks for, whoever sends it.
type Fingerprint string

// Of returns the fingerprint of a request. The account and the key are not
// part of it, since a caller may send the same request again with others.
func Of(r request.Request) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(r.Model + "\x00" + r.Path + "\x00"))
	_, _ = h.Write(r.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:16]))
}

// Loss is an engine that was lost while it ran a request.
type Loss struct {
	// Attempt identifies the send.
	Attempt     string
	Fingerprint Fingerprint
	Engine      string
	// Start tells this start of the engine from others, as far as its host
	// knew when it sent the request; "" if it did not.
	Start string
	// Sent is when the engine was sent the request.
	Sent time.Time
}

// Record tells what became of a request at one engine.
type Record struct {
	// ID identifies the record; one attempt may lead to several.
	ID          string
	Fingerprint Fingerprint
	// Engine names the engine that was lost, Start its start if known.
	Engine, Start string
	// Answered tells that the request was answered after all; what it was
	// suspected of before then no longer counts.
	Answered bool
	// Sent is when the engine was sent the request; the zero time means just
	// before At.
	Sent time.Time
	// At is when it happened, on this host's clock.
	At time.Time
	// Losses counts the losses that its host knew of, with this one; for an
	// answer, those that it clears. It holds when their records are dropped.
	Losses int
	// Sound tells that the request had been answered lately, by the host that
	// lost the engine or one that passed the record on.
	Sound bool
	// Condemned tells that the request was condemned with this loss, by a host
	// whose other records are not at hand. Of a sound request that holds from
	// enoughDespite losses on.
	Condemned bool
}

// Verdict tells how to treat a request.
type Verdict int

// The verdicts.
const (
	// Clean means that the request was on no lost engine.
	Clean Verdict = iota
	// Suspect means that it may run, one at a time on each host.
	Suspect
	// Condemned means that it is refused.
	Condemned
)

// String names the verdict in logs.
func (v Verdict) String() string { return [...]string{"Clean", "Suspect", "Condemned"}[v] }

// Table is a set of records. It is immutable.
type Table struct {
	// records of each request are ordered by time and id.
	records map[Fingerprint][]Record
	count   int
}

// With returns the table with more records, and those of them that it did
// not have. Records past their lifetime are left out, and so are those that a
// full table drops: it may have had them before.
func (t Table) With(now time.Time, more ...Record) (Table, []Record) {
	next := Table{records: make(map[Fingerprint][]Record, len(t.records)+len(more)), count: t.count}
	for f, records := range t.records {
		if expired(records[len(records)-1], now) {
			next.count -= len(records)
			continue
		}
		next.records[f] = records
	}
	var fresh []Record
	for _, r := range more {
		if !expired(r, now) && next.add(r) {
			fresh = append(fresh, r)
		}
	}
	next.dropLightest()
	return next, slices.DeleteFunc(fresh, func(r Record) bool {
		return !slices.ContainsFunc(next.records[r.Fingerprint], func(kept Record) bool { return kept.ID == r.ID })
	})
}

func expired(r Record, now time.Time) bool { return now.Sub(r.At) >= Lifetime }

// add adds a record to a table in the making, and tells whether it is new.
// The earlier of two records with one id is kept.
func (t *Table) add(r Record) bool {
	records := t.records[r.Fingerprint]
	i := slices.IndexFunc(records, func(known Record) bool { return known.ID == r.ID })
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
	slices.SortFunc(changed, byTime)
	t.records[r.Fingerprint] = changed
	return i < 0
}

// dropLightest drops what tells least from a table in the making until it is
// within its capacity, so that many requests on one lost engine don't push
// out what is known of a request that lost several.
func (t *Table) dropLightest() {
	if t.count <= Capacity {
		return
	}
	for _, r := range t.Records()[:t.count-Capacity] {
		kept := slices.DeleteFunc(slices.Clone(t.records[r.Fingerprint]), func(other Record) bool { return other.ID == r.ID })
		if t.records[r.Fingerprint] = kept; len(kept) == 0 {
			delete(t.records, r.Fingerprint)
		}
	}
	t.count = Capacity
}

func byTime(a, b Record) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID)) }

// Len returns the number of records.
func (t Table) Len() int { return t.count }

// Records returns the records from those that tell least to those that tell
// most: by the losses that they count, and the oldest first.
func (t Table) Records() []Record {
	all := make([]Record, 0, t.count)
	for _, records := range t.records {
		all = append(all, records...)
	}
	slices.SortFunc(all, func(a, b Record) int { return cmp.Or(cmp.Compare(a.Losses, b.Losses), byTime(a, b)) })
	return all
}

// Judgement is a verdict with what led to it.
type Judgement struct {
	Verdict Verdict
	// Losses counts the lost engines that ran the request, OtherLosses those
	// lost without it shortly before or after.
	Losses, OtherLosses int
	// Shared tells that another unanswered request was on all of them.
	Shared bool
	// Last is when the last of them was lost.
	Last time.Time
}

// Verdict tells how to treat a request.
func (t Table) Verdict(f Fingerprint, now time.Time) Verdict { return t.Judge(f, now).Verdict }

// Judge tells how to treat a request and why. It is condemned when several
// engines were lost under it, fewer if nothing else explains them: no other
// engine was lost at the time, and no other request, not answered since, was
// on all of them. After its term it may be tried again.
func (t Table) Judge(f Fingerprint, now time.Time) Judgement {
	losses := t.losses(f, now)
	if len(losses) == 0 {
		return Judgement{Verdict: Clean}
	}
	last := lastOfEach(losses)
	j := Judgement{Verdict: Suspect, Losses: countLosses(losses), OtherLosses: t.otherLosses(f, last), Last: losses[len(losses)-1].At}
	if len(last) >= enoughEngines {
		j.Shared = t.shared(f, last, now)
	}
	alone := len(last) >= enoughEngines && j.OtherLosses == 0 && !j.Shared && !sound(losses)
	if j.Losses >= mostLosses || alone || condemned(losses) && (!sound(losses) || j.Losses >= enoughDespite) {
		j.Verdict = Condemned
	}
	if now.Sub(j.Last) >= firstTerm<<min(j.Losses, maxDoublings) {
		j.Verdict = Suspect
	}
	return j
}

// Counted returns a record with the number of losses that the table knows of.
func (t Table) Counted(r Record, now time.Time) Record {
	if !r.Answered {
		t, _ = t.With(now, r)
	}
	r.Losses = t.Judge(r.Fingerprint, now).Losses
	return r
}

// losses returns the losses of a request since it was last answered, the
// oldest first.
func (t Table) losses(f Fingerprint, now time.Time) []Record {
	var found []Record
	for _, r := range t.records[f] {
		switch {
		case r.Answered:
			found = nil
		case !expired(r, now):
			found = append(found, r)
		}
	}
	return found
}

func sound(losses []Record) bool {
	return slices.ContainsFunc(losses, func(r Record) bool { return r.Sound })
}

func condemned(losses []Record) bool {
	return slices.ContainsFunc(losses, func(r Record) bool { return r.Condemned })
}

// countLosses counts how often engines were lost. Of a request that is known
// to be sound, losses that follow each other closely are one outage.
func countLosses(losses []Record) int {
	outages := sound(losses)
	count, counted := 0, 0
	type start struct{ engine, start string }
	ended := map[start]time.Time{}
	for _, r := range losses {
		s := start{r.Engine, r.Start}
		if outages {
			s = start{}
		}
		before, known := ended[s]
		if !known || s.start == "" && r.sent().Sub(before) >= sameLoss {
			count++
		}
		ended[s] = r.At
		counted = max(counted, r.Losses)
	}
	return max(count, counted)
}

// sent returns when the engine was sent the request.
func (r Record) sent() time.Time {
	if r.Sent.IsZero() {
		return r.At
	}
	return r.Sent
}

// lastOfEach returns the last loss of each engine.
func lastOfEach(losses []Record) map[string]Record {
	last := map[string]Record{}
	for _, r := range losses {
		last[r.Engine] = r
	}
	return last
}

// otherLosses counts engines that were lost without the request shortly
// before or after.
func (t Table) otherLosses(f Fingerprint, last map[string]Record) int {
	engines := map[string]bool{}
	for other, records := range t.records {
		if other == f {
			continue
		}
		for _, r := range records {
			if _, with := last[r.Engine]; !with && !r.Answered && near(r, last, background) {
				engines[r.Engine] = true
			}
		}
	}
	return len(engines)
}

// near tells whether a record is within a time of one of the losses.
func near(r Record, last map[string]Record, d time.Duration) bool {
	for _, l := range last {
		if within(r, l, d) {
			return true
		}
	}
	return false
}

// shared tells whether another request, not answered since, was on every one
// of the lost engines.
func (t Table) shared(f Fingerprint, last map[string]Record, now time.Time) bool {
	for other := range t.records {
		if other != f && coversAll(lastOfEach(t.losses(other, now)), last) {
			return true
		}
	}
	return false
}

// coversAll tells whether every loss has one of the same engine and time.
func coversAll(others, losses map[string]Record) bool {
	for engine, l := range losses {
		other, ok := others[engine]
		if !ok || !within(other, l, sameLoss) {
			return false
		}
	}
	return true
}

// within tells whether two records are at most as far apart.
func within(a, b Record, d time.Duration) bool { return a.At.Sub(b.At).Abs() <= d }
