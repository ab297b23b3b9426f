package claim

import "time"

// Standing tells where a key stands for one attempt.
type Standing int

// The standings.
const (
	// Free means that nobody holds the key.
	Free Standing = iota
	// Held means that the asking attempt holds the key and may run.
	Held
	// Running means that another attempt holds the key.
	Running
	// Finished means that the key has an answer.
	Finished
	// Lost means that another attempt sent the request and lost its answer.
	Lost
	// Expired means that the claim came outside the lifetime of its key, so
	// that the log may have forgotten an earlier one.
	Expired
	// Mismatch means that the key was claimed for another request.
	Mismatch
)

// Entry is what the log says of one key.
type Entry struct {
	Attempt     string
	Fingerprint string
	// TakenMillis is the log's time of the winning claim.
	TakenMillis int64
	Finished    bool
	Lost        bool
	Status      int
	ContentType string
	Body        []byte
	Omitted     bool
}

// name identifies a key within its account.
type name struct{ account, key string }

// expiry is when a part of a table may be forgotten, by the log's time.
type expiry struct {
	atMillis int64
	entry    name
	attempt  string
}

// Table is the fold of a claim stream. It is not safe for concurrent use.
type Table struct {
	entries map[name]Entry
	// expired and closed hold attempts that can never hold a key.
	expired, closed map[string]bool
	// expiries is in the order of the log's time.
	expiries []expiry
	// clockMillis is the latest time that the log has shown. A log whose clock
	// steps back must not make an old key valid again.
	clockMillis int64
	// answers holds the keys whose answers are kept, oldest first, and
	// answerBytes their size.
	answers     []name
	answerBytes int
	next        int64
}

// NewTable returns a table that starts at a log offset.
func NewTable(first int64) *Table {
	return &Table{entries: map[name]Entry{}, expired: map[string]bool{}, closed: map[string]bool{}, next: first}
}

// Next returns the offset of the next record to fold.
func (t *Table) Next() int64 { return t.next }

// Len returns the number of keys that the table remembers.
func (t *Table) Len() int { return len(t.entries) }

// Fold applies the batch at one offset. Offsets before Next change nothing,
// nor does a batch that can't be decoded.
func (t *Table) Fold(offset, appendedMillis int64, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	t.clockMillis = max(t.clockMillis, appendedMillis)
	t.forget()
	records, err := DecodeBatch(data)
	if err != nil {
		return
	}
	for _, r := range records {
		t.apply(r)
	}
}

// apply folds one record.
func (t *Table) apply(r Record) {
	k := name{r.Account, r.Key}
	e, taken := t.entries[k]
	holds := taken && e.Attempt == r.Attempt
	switch r.Kind {
	case Take:
		if !taken {
			t.take(k, r)
		}
	case Finish:
		if holds && !e.Finished {
			e.Finished, e.Status, e.ContentType, e.Body, e.Omitted = true, r.Status, r.ContentType, r.Body, r.Omitted
			t.entries[k] = e
			t.keepAnswer(k, e)
		}
	case Lose:
		if holds && !e.Finished {
			e.Lost = true
			t.entries[k] = e
		}
	case Release:
		if !holds || !e.Finished && !e.Lost {
			t.release(k, e, r)
		}
	}
}

// take gives a free key to an attempt.
func (t *Table) take(k name, r Record) {
	switch {
	case t.closed[r.Attempt]:
		return
	case !r.valid(t.clockMillis):
		t.expired[r.Attempt] = true
	default:
		t.entries[k] = Entry{Attempt: r.Attempt, Fingerprint: r.Fingerprint, TakenMillis: t.clockMillis}
	}
	t.expiries = append(t.expiries, expiry{forgetAt(t.clockMillis), k, r.Attempt})
}

// keepAnswer bounds the memory of answers: the oldest are dropped first, and
// repeats of their keys are told that the answer was not kept.
func (t *Table) keepAnswer(k name, e Entry) {
	t.answers = append(t.answers, k)
	t.answerBytes += len(e.Body)
	for t.answerBytes > MaxKeptBytes {
		oldest := t.answers[0]
		t.answers = t.answers[1:]
		dropped, ok := t.entries[oldest]
		if !ok {
			continue
		}
		t.answerBytes -= len(dropped.Body)
		dropped.Body, dropped.Omitted = nil, true
		t.entries[oldest] = dropped
	}
}

// release closes an attempt, whose claim may still land later.
func (t *Table) release(k name, e Entry, r Record) {
	t.closed[r.Attempt] = true
	t.expiries = append(t.expiries, expiry{forgetAt(t.clockMillis), k, r.Attempt})
	if e.Attempt == r.Attempt {
		delete(t.entries, k)
	}
}

// forgetAt returns when a record of a moment can't matter any more: by then
// every claim of its key is outside the key's lifetime.
func forgetAt(appendedMillis int64) int64 {
	return appendedMillis + (KeyLifetime + 2*ClockSkew).Milliseconds()
}

// forget drops what can't matter any more.
func (t *Table) forget() {
	for len(t.expiries) > 0 && t.expiries[0].atMillis < t.clockMillis {
		x := t.expiries[0]
		t.expiries = t.expiries[1:]
		delete(t.expired, x.attempt)
		delete(t.closed, x.attempt)
		if e, ok := t.entries[x.entry]; ok && e.Attempt == x.attempt {
			t.answerBytes -= len(e.Body)
			delete(t.entries, x.entry)
		}
	}
	for len(t.answers) > 0 && !t.remembers(t.answers[0]) {
		t.answers = t.answers[1:]
	}
}

// remembers tells whether the table has the key.
func (t *Table) remembers(k name) bool {
	_, ok := t.entries[k]
	return ok
}

// Standing returns where the key of a record stands for its attempt.
func (t *Table) Standing(r Record) (Standing, Entry) {
	if t.expired[r.Attempt] {
		return Expired, Entry{}
	}
	e, taken := t.entries[name{r.Account, r.Key}]
	switch {
	case !taken:
		return Free, Entry{}
	case e.Fingerprint != r.Fingerprint:
		return Mismatch, e
	case e.Finished:
		return Finished, e
	case e.Lost:
		return Lost, e
	case e.Attempt == r.Attempt:
		return Held, e
	}
	return Running, e
}

// Decidable tells whether the log can still know every claim of a key that
// was issued at a time, both in Unix milliseconds of the log.
func Decidable(issuedMillis, nowMillis int64) bool {
	age := time.Duration(nowMillis-issuedMillis) * time.Millisecond
	return age >= -ClockSkew && age <= KeyLifetime
}
