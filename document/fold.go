package document

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxBodyBytes limits the body of one section.
	maxBodyBytes = 2 << 20
	// maxPastBytes limits the total size of the older revisions of all
	// sections.
	maxPastBytes = 4 << 20
)

// Fold returns the state after one more record. A record at or before the
// state's position has no effect. A record that needs newer rules than this
// program knows stops folding permanently, and the position no longer moves.
func (s State) Fold(r Record) State {
	if r.Offset <= s.Position() || s.Halt != "" {
		return s
	}
	e, ok := decodeEnvelope(r.Data)
	if ok && e.Rules > CurrentRules {
		s.Halt = fmt.Sprintf("record %d needs rules %d, this program supports rules up to %d", r.Offset, e.Rules, CurrentRules)
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
	return s.withStamp(r)
}

// foldEdit accepts or refuses an edit and records the result.
func (s State) foldEdit(r Record, envelope envelope) State {
	e, err := decodeBody[Edit](envelope)
	if err != nil || e.ID == "" {
		return s
	}
	if _, duplicate := s.EditResult(e.ID); duplicate {
		return s
	}
	next, reason := s.applyEdit(e)
	result := EditResult{Edit: e.ID, Section: e.Section, Offset: r.Offset, Author: e.Author, Base: e.Base, Accepted: reason == "", Reason: reason, AppendedMillis: r.AppendedMillis}
	if result.Accepted {
		s = s.withBody(next, Body{Section: e.Section, Revision: r.Offset + 1, Text: e.Body})
	}
	result.Current = s.Revision(e.Section)
	s.Verdicts = append(slices.Clone(s.Verdicts), result)
	return s.withAuditLimits(r.AppendedMillis)
}

// applyEdit returns the changed document, or the reason why the edit is
// refused.
func (s State) applyEdit(e Edit) (Document, string) {
	if !slices.Contains(Sections(), e.Section) {
		return Document{}, fmt.Sprintf("there is no section %q", e.Section)
	}
	if current := s.Revision(e.Section); current != e.Base {
		return Document{}, fmt.Sprintf("the edit is built on revision %d, and the section is at revision %d%s", e.Base, current, s.byAuthor(current))
	}
	next, err := s.Document.Replace(e.Section, []byte(e.Body))
	if err != nil {
		return Document{}, strings.ReplaceAll(err.Error(), "\n", "; ")
	}
	return next, ""
}

// byAuthor returns " by" and the author of a revision, or "" if the revision
// is no longer in the audit trail.
func (s State) byAuthor(revision int64) string {
	for _, result := range s.Verdicts {
		if result.Accepted && result.Offset+1 == revision {
			return " by " + result.Author
		}
	}
	return ""
}

// withStamp returns the state with a stamp of the last folded record. Stamps
// before the anchor are removed.
func (s State) withStamp(r Record) State {
	stamp := Stamp{Offset: r.Offset, AppendedMillis: r.AppendedMillis, Checksum: s.Checksum()}
	var retained []Stamp
	for _, old := range s.Stamps {
		if old.Offset >= s.Anchor {
			retained = append(retained, old)
		}
	}
	s.Stamps = append(retained, stamp)
	return s
}
