package document

import (
	"encoding/json"
	"maps"

	"github.com/gravitational/trace"
)

// Edit is a record of the configuration stream: a new body for one section.
type Edit struct {
	// ID identifies the edit; a record that repeats an ID has no effect.
	ID string
	// Section is what the edit replaces.
	Section Section
	// Base is the revision of the section that the author read: the offset of
	// the edit that made it, or 0 for a section that was never edited.
	Base int64
	// Author names the operator.
	Author string
	// Body is the section in YAML.
	Body string
}

// Verdict tells what came of an edit.
type Verdict struct {
	Edit string
	// Section is what the edit was for.
	Section Section
	// Offset is where the edit is on the log.
	Offset int64
	// Author names the operator.
	Author string
	// Base is the revision that the edit was built on.
	Base int64
	// Accepted tells whether the edit is in force.
	Accepted bool
	// Reason tells why the edit was refused.
	Reason string
	// Current is the revision of the section after the verdict.
	Current int64
	// AppendedMillis is the log's time of the record, in Unix milliseconds.
	AppendedMillis int64
}

// Record is one record of the configuration stream as read from the log.
type Record struct {
	Offset int64
	// AppendedMillis is the log's time of the append, in Unix milliseconds.
	AppendedMillis int64
	Data           []byte
}

// State is what folding has built so far. It is immutable.
type State struct {
	// Document is the configuration in force.
	Document Document
	// Revisions holds, for each section, the offset of its last edit.
	Revisions map[Section]int64
	// Verdicts holds the audit trail, oldest first.
	Verdicts []Verdict
}

// New returns the state before the first record.
func New() State {
	return State{Document: Document{Position: -1}, Revisions: map[Section]int64{}}
}

// EncodeEdit returns the record of an edit.
func EncodeEdit(e Edit) ([]byte, error) {
	raw, err := json.Marshal(e)
	return raw, trace.Wrap(err)
}

// Fold returns the state after one more record. A record at or before the
// state's position changes nothing.
func (s State) Fold(r Record) State {
	if r.Offset <= s.Document.Position {
		return s
	}
	s.Document.Position = r.Offset
	var e Edit
	if err := json.Unmarshal(r.Data, &e); err != nil {
		return s
	}
	if _, seen := s.Verdict(e.ID); seen {
		return s
	}
	next, reason := s.apply(e)
	v := Verdict{Edit: e.ID, Section: e.Section, Offset: r.Offset, Author: e.Author, Base: e.Base, Accepted: reason == "", Reason: reason, AppendedMillis: r.AppendedMillis}
	if v.Accepted {
		s.Document = next
		s.Revisions = maps.Clone(s.Revisions)
		s.Revisions[e.Section] = r.Offset
	}
	v.Current = s.Revisions[e.Section]
	s.Verdicts = append(s.Verdicts[:len(s.Verdicts):len(s.Verdicts)], v)
	return s
}

// apply returns the changed document or the reason to refuse the edit.
func (s State) apply(e Edit) (Document, string) {
	if s.Revisions[e.Section] != e.Base {
		return Document{}, "the section has a newer revision"
	}
	next, err := s.Document.WithSection(e.Section, []byte(e.Body))
	if err != nil {
		return Document{}, err.Error()
	}
	if err := next.Check(); err != nil {
		return Document{}, err.Error()
	}
	return next, ""
}

// Verdict returns what came of the edit with the ID.
func (s State) Verdict(id string) (Verdict, bool) {
	for i := len(s.Verdicts) - 1; i >= 0; i-- {
		if s.Verdicts[i].Edit == id {
			return s.Verdicts[i], true
		}
	}
	return Verdict{}, false
}
