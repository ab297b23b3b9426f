package document

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxBodyBytes bounds the body of one section.
	maxBodyBytes = 2 << 20
	// maxPastBytes bounds the older revisions that are kept, all sections
	// together.
	maxPastBytes = 4 << 20
)

// Fold returns the state after one more record. A record at or before the
// state's position changes nothing. A record under newer rules than this
// program knows stops folding for good: the state then keeps its position.
func (s State) Fold(r Record) State {
	if r.Offset <= s.Position() || s.Halt != "" {
		return s
	}
	e, ok := open(r.Data)
	if ok && e.Rules > CurrentRules {
		s.Halt = fmt.Sprintf("record %d needs rules %d, this program knows rules up to %d", r.Offset, e.Rules, CurrentRules)
		return s
	}
	before := s
	s.Document.Position = r.Offset
	s.Rules = max(s.Rules, e.Rules)
	switch {
	case ok && e.Kind == EditKind:
		s = s.foldEdit(r, e)
	case ok && e.Kind == SnapshotKind:
		s = s.foldSnapshot(before, e)
	}
	return s.stamped(r)
}

// foldEdit decides an edit and adds its verdict.
func (s State) foldEdit(r Record, envelope envelope) State {
	e, err := decodeBody[Edit](envelope)
	if err != nil || e.ID == "" {
		return s
	}
	if _, seen := s.Verdict(e.ID); seen {
		return s
	}
	next, reason := s.apply(e)
	v := Verdict{Edit: e.ID, Section: e.Section, Offset: r.Offset, Author: e.Author, Base: e.Base, Accepted: reason == "", Reason: reason, AppendedMillis: r.AppendedMillis}
	if v.Accepted {
		s = s.withBody(next, Body{Section: e.Section, Revision: r.Offset + 1, Text: e.Body})
	}
	v.Current = s.Revision(e.Section)
	s.Verdicts = append(slices.Clone(s.Verdicts), v)
	return s.bounded(r.AppendedMillis)
}

// apply returns the changed document or the reason to refuse the edit.
func (s State) apply(e Edit) (Document, string) {
	if !slices.Contains(Sections(), e.Section) {
		return Document{}, fmt.Sprintf("there is no section %q", e.Section)
	}
	if current := s.Revision(e.Section); current != e.Base {
		return Document{}, fmt.Sprintf("the edit is built on revision %d, and the section is at revision %d%s", e.Base, current, s.madeBy(current))
	}
	next, err := s.Document.Replace(e.Section, []byte(e.Body))
	if err != nil {
		return Document{}, strings.ReplaceAll(err.Error(), "\n", "; ")
	}
	return next, ""
}

// madeBy names the author of a revision, if the audit trail still has it.
func (s State) madeBy(revision int64) string {
	for _, v := range s.Verdicts {
		if v.Accepted && v.Offset+1 == revision {
			return " by " + v.Author
		}
	}
	return ""
}

// stamped returns the state with a stamp of the record that it was folded to.
func (s State) stamped(r Record) State {
	stamp := Stamp{Offset: r.Offset, AppendedMillis: r.AppendedMillis, Checksum: s.Checksum()}
	var kept []Stamp
	for _, old := range s.Stamps {
		if old.Offset >= s.Anchor {
			kept = append(kept, old)
		}
	}
	s.Stamps = append(kept, stamp)
	return s
}
