// Package claim decides which attempt may run a request that must not be
// repeated.
//
// A claim is a record on the platform's log. The first valid claim of a key
// wins and is never taken over: if the claimant can't finish, the outcome
// stays unknown. Records may be appended twice or late; folding is idempotent.
// The package does no I/O.
package claim

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"
)

const (
	// KeyLifetime is how long after its issue a key may be claimed. The log
	// must retain records for longer than KeyLifetime plus ClockSkew.
	KeyLifetime = 10 * time.Minute
	// ClockSkew is how far a caller's clock may be ahead of the log's.
	ClockSkew = 30 * time.Second
	// MaxAnswerBytes bounds each answer that is stored for repeats.
	MaxAnswerBytes = 64 << 10
	// MaxTableAnswerBytes bounds the total size of the answers in one table.
	MaxTableAnswerBytes = 8 << 20
)

// Kind is the kind of a record.
type Kind string

// The kinds of record.
const (
	// Take claims a key for one attempt.
	Take Kind = "Take"
	// Finish records the answer of the attempt that holds the key.
	Finish Kind = "Finish"
	// Lose records that the attempt sent the request and got no answer, so that
	// its outcome stays unknown.
	Lose Kind = "Lose"
	// Release records that the attempt has not sent the request and never will.
	Release Kind = "Release"
)

// Record is one entry of a claim stream.
type Record struct {
	Kind    Kind
	Account string
	// Key is the caller's idempotency key.
	Key string
	// Attempt identifies the attempt that the record belongs to.
	Attempt string
	// Fingerprint is the hash of the request.
	Fingerprint string `json:",omitempty"`
	// IssuedMillis is when the caller made the key, in Unix milliseconds.
	IssuedMillis int64
	// Status, ContentType and Body are the upstream's answer (Finish only).
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Omitted is set if the answer was too large to store.
	Omitted bool `json:",omitempty"`
}

// WithAnswer returns the record that finishes the attempt. An answer larger
// than MaxAnswerBytes is not stored.
func (r Record) WithAnswer(status int, contentType string, body []byte) Record {
	r.Kind, r.Fingerprint, r.Status, r.ContentType = Finish, "", status, contentType
	r.Omitted = len(body) > MaxAnswerBytes
	if !r.Omitted {
		r.Body = body
	}
	return r
}

// WithLoss returns the record of a lost answer.
func (r Record) WithLoss() Record {
	r.Kind, r.Fingerprint = Lose, ""
	return r
}

// WithRelease returns the record that releases the key.
func (r Record) WithRelease() Record {
	r.Kind, r.Fingerprint = Release, ""
	return r
}

// EncodeBatch encodes records for one append to the log.
func EncodeBatch(records []Record) ([]byte, error) {
	raw, err := json.Marshal(records)
	return raw, trace.Wrap(err)
}

// DecodeBatch decodes the records of one append. It returns trace.BadParameter
// if the data is not a batch.
func DecodeBatch(raw []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(raw, &records); err != nil {
		return nil, trace.BadParameter("not a batch of claim records: %v", err)
	}
	return records, nil
}

// valid reports whether a claim was appended within the lifetime of its key,
// by the log's clock.
func (r Record) valid(appendedMillis int64) bool {
	return WithinKeyLifetime(r.IssuedMillis, appendedMillis)
}
