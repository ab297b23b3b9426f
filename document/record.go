package document

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// CurrentRules is the newest version of the rules that this program knows.
// A change to what makes an edit acceptable, a new field of a section or a
// new kind of record needs a higher number, so that older programs stop at
// such a record instead of deciding it differently.
const CurrentRules = 1

// Kind tells what a record of the configuration stream is.
type Kind string

// The kinds of record.
const (
	// EditKind is a new body for one section.
	EditKind Kind = "Edit"
	// SnapshotKind is a whole folded state.
	SnapshotKind Kind = "Snapshot"
)

// envelope is the outermost form of every record. It is the same for every
// version of the rules.
type envelope struct {
	Kind  Kind
	Rules int
	Body  json.RawMessage
}

// Edit is a record of the configuration stream: a new body for one section.
type Edit struct {
	// ID identifies the edit; a record that repeats an ID has no effect.
	ID string
	// Section is what the edit replaces.
	Section Section
	// Base is the revision of the section that the author read, or 0 for a
	// section that was never edited.
	Base int64
	// Author names the operator.
	Author string
	// Body is the section in YAML.
	Body string
}

// Record is one record of the configuration stream as read from the log.
type Record struct {
	Offset int64
	// AppendedMillis is the log's time of the append, in Unix milliseconds.
	AppendedMillis int64
	Data           []byte
}

// EncodeEdit returns the record of an edit.
func EncodeEdit(e Edit) ([]byte, error) { return encode(EditKind, CurrentRules, e) }

// EncodeSnapshot returns the record of a snapshot.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return encode(SnapshotKind, s.Rules, s) }

// DecodeEdit returns the edit of a record. It reports false for a record of
// another kind.
func DecodeEdit(data []byte) (Edit, bool) {
	e, ok := open(data)
	if !ok || e.Kind != EditKind {
		return Edit{}, false
	}
	edit, err := decodeBody[Edit](e)
	return edit, err == nil
}

func encode(kind Kind, rules int, value any) ([]byte, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return nil, trace.Wrap(err, "encoding the body of a record")
	}
	raw, err := json.Marshal(envelope{kind, rules, body})
	return raw, trace.Wrap(err, "encoding a record")
}

// open decodes the envelope of a record. What is no envelope has no effect
// under any version of the rules.
func open(data []byte) (envelope, bool) {
	var e envelope
	if json.Unmarshal(data, &e) != nil || e.Rules < 1 {
		return envelope{}, false
	}
	return e, true
}

// decodeBody decodes the body of a record whose rules are known. A field that
// the rules don't know is an error.
func decodeBody[T any](e envelope) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(e.Body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	return value, trace.Wrap(err, "decoding a record")
}
