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
	// Capacity bounds the records of a table; the newest are kept.
	Capacity = 512
	// sameLoss is how far apart the records of one lost engine may be.
	sameLoss = 3 * time.Second
	// background is how long the loss of another engine makes losses count
	// less, since engines then fail for other reasons too.
	background = 30 * time.Second
	// enoughEngines condemns a request that alone was on each of them.
	enoughEngines = 2
	// mostEngines condemns a request whoever else was there.
	mostEngines = 4
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

// Record tells what became of a request at one engine.
type Record struct {
	// ID identifies the record; one attempt may lead to several.
	ID          string
	Fingerprint Fingerprint
	// Engine names the engine that was lost.
	Engine string
	// Answered tells that the request was answered after all; what it was
	// suspected of before then no longer counts.
	Answered bool
	// At is when it happened, on this host's clock.
	At time.Time
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
	records map[string]Record
}

// With returns the table with more records, and those of them that it did
// not have. Records past their lifetime are left out, and so are those that a
// full table drops: it may have had them before.
func (t Table) With(now time.Time, more ...Record) (Table, []Record) {
	merged := make(map[string]Record, len(t.records)+len(more))
	for id, r := range t.records {
		merged[id] = r
	}
	var fresh []Record
	for _, r := range more {
		known, ok := merged[r.ID]
		if ok && !r.At.Before(known.At) {
			continue
		}
		merged[r.ID] = r
		if !ok {
			fresh = append(fresh, r)
		}
	}
	next := Table{records: newest(merged, now)}
	return next, slices.DeleteFunc(fresh, func(r Record) bool {
		_, kept := next.records[r.ID]
		return !kept
	})
}

// newest drops records past their lifetime and the oldest above Capacity.
func newest(records map[string]Record, now time.Time) map[string]Record {
	for id, r := range records {
		if now.Sub(r.At) >= Lifetime {
			delete(records, id)
		}
	}
	if len(records) <= Capacity {
		return records
	}
	for _, r := range sorted(records)[:len(records)-Capacity] {
		delete(records, r.ID)
	}
	return records
}

// sorted returns records from the oldest to the newest.
func sorted(records map[string]Record) []Record {
	all := make([]Record, 0, len(records))
	for _, r := range records {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Record) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	return all
}

// Len returns the number of records.
func (t Table) Len() int { return len(t.records) }

// Records returns the records from the oldest to the newest.
func (t Table) Records() []Record { return sorted(t.records) }

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

// Judge tells how to treat a request and why. It is condemned when it was on
// several lost engines and no other request, not answered since, was on all
// of them.
func (t Table) Judge(f Fingerprint, now time.Time) Judgement {
	losses := t.losses(f, now)
	if len(losses) == 0 {
		return Judgement{Verdict: Clean}
	}
	j := Judgement{Verdict: Suspect, Losses: len(losses), OtherLosses: t.otherLosses(f, losses)}
	for _, l := range losses {
		if l.At.After(j.Last) {
			j.Last = l.At
		}
	}
	if j.Losses >= enoughEngines {
		j.Shared = t.shared(f, losses, now)
	}
	if j.Losses >= mostEngines || j.Losses >= enoughEngines+j.OtherLosses && !j.Shared {
		j.Verdict = Condemned
	}
	return j
}

// losses returns the last loss of each engine that was lost with a request
// since it was last answered.
func (t Table) losses(f Fingerprint, now time.Time) map[string]Record {
	var answered time.Time
	for _, r := range t.records {
		if r.Fingerprint == f && r.Answered && r.At.After(answered) {
			answered = r.At
		}
	}
	found := map[string]Record{}
	for _, r := range t.records {
		if r.Fingerprint != f || r.Answered || !r.At.After(answered) || now.Sub(r.At) >= Lifetime {
			continue
		}
		if last, ok := found[r.Engine]; !ok || r.At.After(last.At) {
			found[r.Engine] = r
		}
	}
	return found
}

// otherLosses counts engines that were lost without the request shortly
// before or after, up to the number that leaves only mostEngines to count.
func (t Table) otherLosses(f Fingerprint, losses map[string]Record) int {
	engines := map[string]bool{}
	for _, r := range t.records {
		if _, with := losses[r.Engine]; !with && !r.Answered && r.Fingerprint != f && near(r, losses, background) {
			engines[r.Engine] = true
		}
	}
	return min(len(engines), mostEngines-enoughEngines)
}

// near tells whether a record is within a time of one of the losses.
func near(r Record, losses map[string]Record, d time.Duration) bool {
	for _, l := range losses {
		if within(r, l, d) {
			return true
		}
	}
	return false
}

// shared tells whether another request, not answered since, was on every one
// of the lost engines.
func (t Table) shared(f Fingerprint, losses map[string]Record, now time.Time) bool {
	tested := map[Fingerprint]bool{f: true}
	for _, r := range t.records {
		l, with := losses[r.Engine]
		if !with || tested[r.Fingerprint] || !within(r, l, sameLoss) {
			continue
		}
		tested[r.Fingerprint] = true
		if coversAll(t.losses(r.Fingerprint, now), losses) {
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
