package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

// EditResult is the decision about an edit.
type EditResult struct {
	Edit string
	// Section is the section that the edit replaces.
	Section Section
	// Offset is the offset of the edit on the log.
	Offset int64
	// Author is the name of the operator.
	Author string
	// Base is the revision that the edit was built on.
	Base int64
	// Accepted reports whether the edit took effect.
	Accepted bool
	// Reason says why the edit was refused. It is for people only: hosts agree
	// on Accepted, but not necessarily on this text.
	Reason string `json:",omitempty"`
	// Current is the revision of the section after the edit was folded.
	Current int64
	// AppendedMillis is the time of the append by the log's clock, in Unix
	// milliseconds.
	AppendedMillis int64
}

// Body is one accepted revision of a section.
type Body struct {
	Section Section
	// Revision is the offset of the edit plus 1. Revision 0 is a section that
	// was never edited.
	Revision int64
	// Text is the YAML as written by its author.
	Text string
}

// Stamp describes a folded record and the state after it.
type Stamp struct {
	Offset int64
	// AppendedMillis is the time of the append by the log's clock, in Unix
	// milliseconds.
	AppendedMillis int64
	// Checksum is the checksum of the state after the record.
	Checksum string
}

// State is the result of folding the records so far. It is immutable.
type State struct {
	// Document is the current configuration.
	Document Document
	// Rules is the newest version of the rules among the folded records.
	Rules int
	// Bodies holds the current revision of each edited section, in the order of
	// Sections.
	Bodies []Body
	// Past holds older accepted revisions, oldest first, within the limits of
	// the Audit section.
	Past []Body
	// Verdicts is the audit trail, oldest first, within the limits of the Audit
	// section.
	Verdicts []EditResult
	// Anchor is the offset of the oldest record that a new reader needs: the
	// first one that the newest snapshot does not cover.
	Anchor int64
	// Stamps describes the folded records from Anchor on.
	Stamps []Stamp
	// Halt is the reason why folding stopped permanently, or empty.
	Halt string
	// Conflict describes a difference from the state of a snapshot or peer at the
	// same position, or is empty.
	Conflict string
}

// New returns the state before the first record.
func New() State { return State{Document: Document{Position: -1}, Rules: 1} }

// Position returns the offset of the last folded record, or -1.
func (s State) Position() int64 { return s.Document.Position }

// Revision returns the current revision of a section, or 0 if it was never
// edited.
func (s State) Revision(section Section) int64 {
	body, _ := s.Body(section)
	return body.Revision
}

// Body returns the current body of a section.
func (s State) Body(section Section) (Body, bool) {
	i := slices.IndexFunc(s.Bodies, func(b Body) bool { return b.Section == section })
	if i < 0 {
		return Body{Section: section}, false
	}
	return s.Bodies[i], true
}

// BodyAt returns the body of a current or past revision, if the state still
// has it.
func (s State) BodyAt(section Section, revision int64) (Body, bool) {
	for _, b := range slices.Concat(s.Bodies, s.Past) {
		if b.Section == section && b.Revision == revision {
			return b, true
		}
	}
	return Body{}, false
}

// EditResult returns the result of the edit with the ID.
func (s State) EditResult(id string) (EditResult, bool) {
	for i := len(s.Verdicts) - 1; i >= 0; i-- {
		if s.Verdicts[i].Edit == id {
			return s.Verdicts[i], true
		}
	}
	return EditResult{}, false
}

// Checksum returns a digest of everything that affects the folding of later
// records. Readers at the same position have the same checksum.
func (s State) Checksum() string {
	h := sha256.New()
	fmt.Fprintf(h, "position %d rules %d\n", s.Position(), s.Rules)
	for _, b := range slices.Concat(s.Bodies, s.Past) {
		fmt.Fprintf(h, "body %s %d %d\n%s\n", b.Section, b.Revision, len(b.Text), b.Text)
	}
	for _, v := range s.Verdicts {
		fmt.Fprintf(h, "verdict %q %s %d %d %t %d\n", v.Edit, v.Section, v.Offset, v.Base, v.Accepted, v.AppendedMillis)
	}
	return hex.EncodeToString(h.Sum(nil)[:checksumBytes])
}

// checksumBytes is the length of a checksum before hexadecimal encoding.
const checksumBytes = 16

// withBody returns the state with a new current revision of a section.
func (s State) withBody(next Document, body Body) State {
	s.Document = next
	old, edited := s.Body(body.Section)
	var bodies []Body
	for _, section := range Sections() {
		current, ok := s.Body(section)
		switch {
		case section == body.Section:
			bodies = append(bodies, body)
		case ok:
			bodies = append(bodies, current)
		}
	}
	s.Bodies = bodies
	if edited {
		s.Past = append(slices.Clone(s.Past), old)
	}
	return s
}

// withAuditLimits returns the state with its history cut to the limits of the
// Audit section and to maxPastBytes.
func (s State) withAuditLimits(nowMillis int64) State {
	audit := s.Document.Audit.withDefaults()
	first := max(len(s.Verdicts)-audit.Verdicts, 0)
	if audit.Days > 0 {
		oldest := nowMillis - int64(audit.Days)*millisPerDay
		for first < len(s.Verdicts)-1 && s.Verdicts[first].AppendedMillis < oldest {
			first++
		}
	}
	s.Verdicts = s.Verdicts[first:]
	count, bytes := map[Section]int{}, 0
	var past []Body
	for _, b := range slices.Backward(s.Past) {
		count[b.Section]++
		bytes += len(b.Text)
		if count[b.Section] <= audit.Bodies && bytes <= maxPastBytes {
			past = append(past, b)
		}
	}
	slices.Reverse(past)
	s.Past = past
	return s
}

const millisPerDay = 24 * 60 * 60 * 1000

// LastChecksum returns the checksum from the stamp of the last record, or "" if
// the state has no such stamp. It computes nothing.
func (s State) LastChecksum() string {
	if n := len(s.Stamps); n > 0 && s.Stamps[n-1].Offset == s.Position() {
		return s.Stamps[n-1].Checksum
	}
	return ""
}

// cachedChecksum returns the checksum of the state and computes it only if
// there is no stamp of the last record.
func (s State) cachedChecksum() string {
	if checksum := s.LastChecksum(); checksum != "" {
		return checksum
	}
	return s.Checksum()
}
