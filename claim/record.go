// Package claim decides which attempt may run a request that must not be
// repeated.
//
// A claim is a record on the platform's log. The first valid claim of a key
// wins, and it is never taken over: a claim whose claimant can't finish
// leaves the outcome unknown. Records may be appended twice and may land
// late; folding them again changes nothing. The package does no I/O.
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
	// MaxAnswerBytes bounds the answers that are kept for repeats.
	MaxAnswerBytes = 64 << 10
	// MaxKeptBytes bounds the answers that one table keeps.
	MaxKeptBytes = 8 << 20
)

// Kind tells what a record says.
type Kind string

// The kinds of record.
const (
	// Take claims a key for one attempt.
	Take Kind = "Take"
	// Finish records the answer of the attempt that holds the key.
	Finish Kind = "Finish"
	// Lose tells that the attempt sent the request and got no answer, so that
	// its outcome will stay unknown.
	Lose Kind = "Lose"
	// Release tells that the attempt never sent the request and never will.
	Release Kind = "Release"
)

// Record is one entry of a claim stream.
type Record struct {
	Kind    Kind
	Account string
	// Key is the caller's idempotency key.
	Key string
	// Attempt identifies the attempt that claims or ends.
	Attempt string
	// Fingerprint is the hash of the request.
	Fingerprint string `json:",omitempty"`
	// IssuedMillis is when the caller made the key, in Unix milliseconds.
	IssuedMillis int64
	// Status, ContentType and Body are the upstream's answer (Finish only).
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Omitted tells that the answer was too large to keep.
	Omitted bool `json:",omitempty"`
}

// WithAnswer returns the record that finishes the attempt. An answer larger
// than MaxAnswerBytes is not kept.
func (r Record) WithAnswer(status int, contentType string, body []byte) Record {
	r.Kind, r.Fingerprint, r.Status, r.ContentType = Finish, "", status, contentType
	r.Omitted = len(body) > MaxAnswerBytes
	if !r.Omitted {
		r.Body = body
	}
	return r
}

// WithLoss returns the record that tells that the answer was lost.
func (r Record) WithLoss() Record {
	r.Kind, r.Fingerprint = Lose, ""
	return r
}

// WithRelease returns the record that gives the key back.
func (r Record) WithRelease() Record {
	r.Kind, r.Fingerprint = Release, ""
	return r
}

// EncodeBatch returns records as they are stored on the log, in one append.
func EncodeBatch(records []Record) ([]byte, error) {
	raw, err := json.Marshal(records)
	return raw, trace.Wrap(err)
}

// DecodeBatch returns the records of one append. What is not a batch gives
// trace.BadParameter.
func DecodeBatch(raw []byte) ([]Record, error) {
	var records []Record
	if err := json.Unmarshal(raw, &records); err != nil {
		return nil, trace.BadParameter("not a batch of claim records: %v", err)
	}
	return records, nil
}

// valid tells whether a claim came within the lifetime of its key, by the
// log's own time.
func (r Record) valid(appendedMillis int64) bool {
	return Decidable(r.IssuedMillis, appendedMillis)
}
