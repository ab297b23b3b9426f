package claim

import "time"

// Status is the status of a key as one attempt sees it.
type Status int

// The statuses of a key.
const (
	// Free means that nobody holds the key.
	Free Status = iota
	// Held means that this attempt holds the key and may run.
	Held
	// Running means that another attempt holds the key.
	Running
	// Finished means that the key has an answer.
	Finished
	// Lost means that another attempt sent the request and lost its answer.
	Lost
	// Expired means that the claim was made outside the lifetime of its key, so
	// that the log may have trimmed an earlier one.
	Expired
	// Mismatch means that the key was claimed for another request.
	Mismatch
)

// Entry is the state of one key on the log.
type Entry struct {
	Attempt     string
	Fingerprint string
	// TakenMillis is when the winning claim was appended, by the log's clock.
	TakenMillis int64
	Finished    bool
	Lost        bool
	Status      int
	ContentType string
	Body        []byte
	Omitted     bool
}

// accountKey identifies a key within its account.
type accountKey struct{ account, key string }

// expiry is when an attempt and its key are removed, by the log's clock.
type expiry struct {
	atMillis int64
	key      accountKey
	attempt  string
}

// Table is the fold of a claim stream. It is not safe for concurrent use.
type Table struct {
	entries map[accountKey]Entry
	// expired and released hold attempts that can never hold a key.
	expired, released map[string]bool
	// expiries is ordered by the log's clock.
	expiries []expiry
	// clockMillis is the latest time seen from the log. If the log's clock
	// steps back, an old key must not become valid again.
	clockMillis int64
	// answerKeys holds the keys with stored answers, oldest first, and
	// answerBytes the total size of the answers.
	answerKeys  []accountKey
	answerBytes int
	next        int64
}

// NewTable returns an empty table that starts at an offset of the log.
func NewTable(first int64) *Table {
	return &Table{entries: map[accountKey]Entry{}, expired: map[string]bool{}, released: map[string]bool{}, next: first}
}

// Next returns the offset of the next record to fold.
func (t *Table) Next() int64 { return t.next }

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }

// Fold applies the batch at one offset. It ignores offsets before Next and
// batches that can't be decoded.
func (t *Table) Fold(offset, appendedMillis int64, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	t.clockMillis = max(t.clockMillis, appendedMillis)
	t.removeExpired()
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
	k := accountKey{r.Account, r.Key}
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
			t.storeAnswer(k, e)
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
func (t *Table) take(k accountKey, r Record) {
	switch {
	case t.released[r.Attempt]:
		return
	case !r.valid(t.clockMillis):
		t.expired[r.Attempt] = true
	default:
		t.entries[k] = Entry{Attempt: r.Attempt, Fingerprint: r.Fingerprint, TakenMillis: t.clockMillis}
	}
	t.expiries = append(t.expiries, expiry{expiryMillis(t.clockMillis), k, r.Attempt})
}

// storeAnswer records a stored answer and evicts the oldest ones above the
// limit. Repeats of an evicted answer's key learn that it was not stored.
func (t *Table) storeAnswer(k accountKey, e Entry) {
	t.answerKeys = append(t.answerKeys, k)
	t.answerBytes += len(e.Body)
	for t.answerBytes > MaxTableAnswerBytes {
		oldest := t.answerKeys[0]
		t.answerKeys = t.answerKeys[1:]
		evicted, ok := t.entries[oldest]
		if !ok {
			continue
		}
		t.answerBytes -= len(evicted.Body)
		evicted.Body, evicted.Omitted = nil, true
		t.entries[oldest] = evicted
	}
}

// release releases an attempt, whose claim may still be appended later.
func (t *Table) release(k accountKey, e Entry, r Record) {
	t.released[r.Attempt] = true
	t.expiries = append(t.expiries, expiry{expiryMillis(t.clockMillis), k, r.Attempt})
	if e.Attempt == r.Attempt {
		delete(t.entries, k)
	}
}

// expiryMillis returns when a record that was appended at a time has no effect
// any more: by then every claim of its key is outside the key's lifetime.
func expiryMillis(appendedMillis int64) int64 {
	return appendedMillis + (KeyLifetime + 2*ClockSkew).Milliseconds()
}

// removeExpired removes attempts and keys that have expired.
func (t *Table) removeExpired() {
	for len(t.expiries) > 0 && t.expiries[0].atMillis < t.clockMillis {
		x := t.expiries[0]
		t.expiries = t.expiries[1:]
		delete(t.expired, x.attempt)
		delete(t.released, x.attempt)
		if e, ok := t.entries[x.key]; ok && e.Attempt == x.attempt {
			t.answerBytes -= len(e.Body)
			delete(t.entries, x.key)
		}
	}
	for len(t.answerKeys) > 0 && !t.has(t.answerKeys[0]) {
		t.answerKeys = t.answerKeys[1:]
	}
}

// has reports whether the table has the key.
func (t *Table) has(k accountKey) bool {
	_, ok := t.entries[k]
	return ok
}

// Status returns the status of a record's key for its attempt, and its entry.
func (t *Table) Status(r Record) (Status, Entry) {
	if t.expired[r.Attempt] {
		return Expired, Entry{}
	}
	e, taken := t.entries[accountKey{r.Account, r.Key}]
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

// WithinKeyLifetime reports whether the log still has every claim of a key
// issued at a time. Both times are Unix milliseconds of the log's clock.
func WithinKeyLifetime(issuedMillis, nowMillis int64) bool {
	age := time.Duration(nowMillis-issuedMillis) * time.Millisecond
	return age >= -ClockSkew && age <= KeyLifetime
}
