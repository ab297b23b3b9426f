package document

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"
)

// CurrentRules is the newest version of the rules that this program supports.
// Increase it when the validation of edits changes, or when a section gets a
// new field or a record a new kind: older programs then stop at such a record
// instead of folding it differently.
const CurrentRules = 1

// Kind is the kind of a record of the configuration stream.
type Kind string

// Record kinds.
const (
	// EditKind replaces the body of one section.
	EditKind Kind = "Edit"
	// SnapshotKind is a complete folded state.
	SnapshotKind Kind = "Snapshot"
)

// envelope is the outer format of every record. It is the same in all versions
// of the rules.
type envelope struct {
	Kind  Kind
	Rules int
	Body  json.RawMessage
}

// Edit is a record of the configuration stream: a new body for one section.
type Edit struct {
	// ID identifies the edit. A record with an ID that was already folded has
	// no effect.
	ID string
	// Section is the section to replace.
	Section Section
	// Base is the revision of the section that the author read, or 0 for a
	// section that was never edited.
	Base int64
	// Author is the name of the operator.
	Author string
	// Body is the section in YAML.
	Body string
}

// Record is one record of the configuration stream as read from the log.
type Record struct {
	Offset int64
	// AppendedMillis is the time of the append by the log's clock, in Unix
	// milliseconds.
	AppendedMillis int64
	Data           []byte
}

// EncodeEdit encodes an edit as a record.
func EncodeEdit(e Edit) ([]byte, error) { return encode(EditKind, CurrentRules, e) }

// EncodeSnapshot encodes a snapshot as a record.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return encode(SnapshotKind, s.Rules, s) }

// DecodeEdit decodes the edit of a record. It returns false for a record of
// another kind or one that can't be decoded.
func DecodeEdit(data []byte) (Edit, bool) {
	e, ok := decodeEnvelope(data)
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

// decodeEnvelope decodes the envelope of a record. Data without a valid
// envelope has no effect in any version of the rules.
func decodeEnvelope(data []byte) (envelope, bool) {
	var e envelope
	if json.Unmarshal(data, &e) != nil || e.Rules < 1 {
		return envelope{}, false
	}
	return e, true
}

// decodeBody decodes the body of a record with supported rules. An unknown
// field is an error.
func decodeBody[T any](e envelope) (T, error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(e.Body))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&value)
	return value, trace.Wrap(err, "decoding a record")
}
