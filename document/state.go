package document

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
)

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
	// Reason tells why the edit was refused. It is for people: hosts agree on
	// Accepted, not on the wording.
	Reason string `json:",omitempty"`
	// Current is the revision of the section after the verdict.
	Current int64
	// AppendedMillis is the log's time of the record, in Unix milliseconds.
	AppendedMillis int64
}

// Body is one accepted revision of a section.
type Body struct {
	Section Section
	// Revision is one more than the offset of the edit, so that 0 stays free
	// for a section that was never edited.
	Revision int64
	// Text is the YAML as its author wrote it.
	Text string
}

// Stamp is what a reader remembers of a folded record.
type Stamp struct {
	Offset int64
	// AppendedMillis is the log's time of the append, in Unix milliseconds.
	AppendedMillis int64
	// Checksum is that of the state after the record.
	Checksum string
}

// State is what folding has built so far. It is immutable.
type State struct {
	// Document is the configuration in force.
	Document Document
	// Rules is the newest version of the rules among the folded records.
	Rules int
	// Bodies holds the revision in force of each edited section, in the order
	// of Sections.
	Bodies []Body
	// Past holds older accepted revisions, oldest first; the Audit section
	// bounds their number.
	Past []Body
	// Verdicts holds the audit trail, oldest first; the Audit section bounds it.
	Verdicts []Verdict
	// Anchor is the offset of the oldest record that the state depends on: the
	// one after what the newest snapshot covers.
	Anchor int64
	// Stamps holds what is known of the records from Anchor on.
	Stamps []Stamp
	// Halt tells why folding stopped for good; empty while it goes on.
	Halt string
	// Conflict tells that a snapshot differs from this state; empty if none did.
	Conflict string
}

// New returns the state before the first record.
func New() State { return State{Document: Document{Position: -1}, Rules: 1} }

// Position returns the offset of the last folded record, or -1.
func (s State) Position() int64 { return s.Document.Position }

// Revision returns the revision in force of a section, or 0.
func (s State) Revision(section Section) int64 {
	body, _ := s.Body(section)
	return body.Revision
}

// Body returns the revision in force of a section.
func (s State) Body(section Section) (Body, bool) {
	i := slices.IndexFunc(s.Bodies, func(b Body) bool { return b.Section == section })
	if i < 0 {
		return Body{Section: section}, false
	}
	return s.Bodies[i], true
}

// BodyAt returns a revision of a section that is in force or still kept.
func (s State) BodyAt(section Section, revision int64) (Body, bool) {
	for _, b := range slices.Concat(s.Bodies, s.Past) {
		if b.Section == section && b.Revision == revision {
			return b, true
		}
	}
	return Body{}, false
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

// Checksum returns a digest of all that decides how later records fold.
// Readers at the same position have the same checksum.
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

// checksumBytes is the length of a checksum.
const checksumBytes = 16

// withBody returns the state with a new revision of a section in force.
func (s State) withBody(next Document, body Body) State {
	s.Document = next
	old, edited := s.Body(body.Section)
	var bodies []Body
	for _, section := range Sections() {
		held, ok := s.Body(section)
		switch {
		case section == body.Section:
			bodies = append(bodies, body)
		case ok:
			bodies = append(bodies, held)
		}
	}
	s.Bodies = bodies
	if edited {
		s.Past = append(slices.Clone(s.Past), old)
	}
	return s
}

// bounded returns the state without what the Audit section does not keep.
func (s State) bounded(nowMillis int64) State {
	audit := s.Document.Audit.withDefaults()
	first := max(len(s.Verdicts)-audit.Verdicts, 0)
	if audit.Days > 0 {
		oldest := nowMillis - int64(audit.Days)*millisPerDay
		for first < len(s.Verdicts)-1 && s.Verdicts[first].AppendedMillis < oldest {
			first++
		}
	}
	s.Verdicts = s.Verdicts[first:]
	kept, bytes := map[Section]int{}, 0
	var past []Body
	for _, b := range slices.Backward(s.Past) {
		kept[b.Section]++
		bytes += len(b.Text)
		if kept[b.Section] <= audit.Bodies && bytes <= maxPastBytes {
			past = append(past, b)
		}
	}
	slices.Reverse(past)
	s.Past = past
	return s
}

const millisPerDay = 24 * 60 * 60 * 1000

// LastChecksum returns the checksum of the state without computing it again;
// it is empty if the state came without one.
func (s State) LastChecksum() string {
	if n := len(s.Stamps); n > 0 && s.Stamps[n-1].Offset == s.Position() {
		return s.Stamps[n-1].Checksum
	}
	return ""
}

// sum returns the checksum of the state, computed only if it is not known.
func (s State) sum() string {
	if known := s.LastChecksum(); known != "" {
		return known
	}
	return s.Checksum()
}
