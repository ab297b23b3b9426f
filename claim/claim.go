// Package claim decides which attempt may run a request that must not be
// repeated.
//
// A claim is a record on the platform's log. The first valid claim of a key
// wins, and it is never taken over: a claim whose claimant can't finish
// leaves the outcome unknown. The package does no I/O.
package claim

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

const (
	// KeyLifetime is how long after its issue a key may be claimed. The log
	// must keep records for longer than KeyLifetime plus ClockSkew.
	KeyLifetime = 10 * time.Minute
	// ClockSkew is how far a caller's clock may be ahead of the log's.
	ClockSkew = 30 * time.Second
)

// Kind tells what a record says.
type Kind string

// The kinds of record.
const (
	// Take claims a key for one attempt.
	Take Kind = "Take"
	// Finish records the answer of the attempt that holds the key.
	Finish Kind = "Finish"
	// Release tells that the attempt never sent the request and never will.
	Release Kind = "Release"
)

// Record is one record of a claim stream.
type Record struct {
	Kind    Kind
	Account string
	// Key is the caller's idempotency key.
	Key string
	// Attempt identifies the attempt that claims or ends.
	Attempt string
	// Fingerprint is the hash of the request.
	Fingerprint string
	// IssuedMillis is when the caller made the key, in Unix milliseconds.
	IssuedMillis int64
	// Status and Body are the upstream's answer (Finish only).
	Status int    `json:",omitempty"`
	Body   []byte `json:",omitempty"`
}

// Encode returns the record as stored on the log.
func (r Record) Encode() ([]byte, error) {
	raw, err := json.Marshal(r)
	return raw, trace.Wrap(err)
}

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
	// Expired means that the key's claim came too late or too early to be
	// decided from the log.
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
	Status      int
	Body        []byte
}

type tableKey struct{ account, key string }

// Table is the fold of a claim stream. It is not safe for concurrent use.
type Table struct {
	entries map[tableKey]Entry
	expired map[string]bool
	// next is the offset that is folded next.
	next int64
}

// NewTable returns a table that starts at a log offset.
func NewTable(first int64) *Table {
	return &Table{entries: map[tableKey]Entry{}, expired: map[string]bool{}, next: first}
}

// Next returns the offset of the next record to fold.
func (t *Table) Next() int64 { return t.next }

// Fold applies one record. Records before Next change nothing.
func (t *Table) Fold(offset, appendedMillis int64, data []byte) {
	if offset < t.next {
		return
	}
	t.next = offset + 1
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return
	}
	k := tableKey{r.Account, r.Key}
	e, taken := t.entries[k]
	switch {
	case r.Kind == Take && !taken && !valid(r, appendedMillis):
		t.expired[r.Attempt] = true
	case r.Kind == Take && !taken:
		t.entries[k] = Entry{Attempt: r.Attempt, Fingerprint: r.Fingerprint, TakenMillis: appendedMillis}
	case r.Kind == Finish && taken && e.Attempt == r.Attempt:
		e.Finished, e.Status, e.Body = true, r.Status, r.Body
		t.entries[k] = e
	case r.Kind == Release && taken && e.Attempt == r.Attempt && !e.Finished:
		delete(t.entries, k)
	}
}

// valid tells whether a claim came within the lifetime of its key, by the
// log's own time.
func valid(r Record, appendedMillis int64) bool {
	age := time.Duration(appendedMillis-r.IssuedMillis) * time.Millisecond
	return age >= -ClockSkew && age <= KeyLifetime
}

// Standing returns where a key stands for an attempt.
func (t *Table) Standing(account, key, attempt, fingerprint string) (Standing, Entry) {
	if t.expired[attempt] {
		return Expired, Entry{}
	}
	e, taken := t.entries[tableKey{account, key}]
	switch {
	case !taken:
		return Free, Entry{}
	case e.Attempt == attempt:
		return Held, e
	case e.Fingerprint != fingerprint:
		return Mismatch, e
	case e.Finished:
		return Finished, e
	}
	return Running, e
}
