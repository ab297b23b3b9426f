package document

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// Snapshot is a folded state in the format of the log and of transfers between
// hosts. A reader can start from it without the records that it covers.
type Snapshot struct {
	// Covers is the offset of the last record folded into the snapshot.
	Covers int64
	// Rules is the newest version of the rules among the covered records.
	Rules    int
	Bodies   []Body
	Past     []Body
	Verdicts []EditResult
	// Checksum is the checksum of the state at Covers.
	Checksum string
	// Writer is the name of the host that created the snapshot.
	Writer string
	// Anchor and Stamps are set in transfers between hosts only, not on the log.
	Anchor int64   `json:",omitempty"`
	Stamps []Stamp `json:",omitempty"`
}

// Snapshot returns the snapshot of the state for the log.
func (s State) Snapshot(writer string) Snapshot {
	return Snapshot{
		Covers: s.Position(), Rules: s.Rules, Bodies: s.Bodies, Past: s.Past,
		Verdicts: s.Verdicts, Checksum: s.cachedChecksum(), Writer: writer,
	}
}

// Transfer returns the snapshot of the state for another host.
func (s State) Transfer(writer string) Snapshot {
	snapshot := s.Snapshot(writer)
	snapshot.Anchor, snapshot.Stamps = s.Anchor, s.Stamps
	return snapshot
}

// State decodes the state of the snapshot. Sections with the same text in an
// earlier state are copied from it instead of being decoded again. State
// returns an error if the snapshot is damaged or needs newer rules than this
// program supports.
func (n Snapshot) State(earlier State) (State, error) {
	if n.Rules > CurrentRules {
		return State{}, trace.BadParameter("the snapshot needs rules %d, this program supports rules up to %d", n.Rules, CurrentRules)
	}
	s := New()
	for _, section := range Sections() {
		i := slices.IndexFunc(n.Bodies, func(b Body) bool { return b.Section == section })
		if i < 0 {
			continue
		}
		if previous, ok := earlier.Body(section); ok && previous.Text == n.Bodies[i].Text {
			s.Document = s.Document.withSectionOf(earlier.Document, section)
		} else {
			next, err := s.Document.WithSection(section, []byte(n.Bodies[i].Text))
			if err != nil {
				return State{}, trace.Wrap(err, "decoding section %s of a snapshot", section)
			}
			s.Document = next
		}
		s.Bodies = append(s.Bodies, n.Bodies[i])
	}
	s.Document.Position, s.Rules = n.Covers, n.Rules
	s.Past, s.Verdicts = n.Past, n.Verdicts
	s.Anchor, s.Stamps = n.Anchor, n.Stamps
	if s.Checksum() != n.Checksum {
		return State{}, trace.CompareFailed("the snapshot up to offset %d does not match its checksum", n.Covers)
	}
	return s, nil
}

// foldSnapshot compares the checksum of a snapshot with this reader's checksum
// at the same position. A different checksum sets Conflict; a matching one
// moves the anchor forward, never back. The configuration does not change.
func (s State) foldSnapshot(before State, e envelope) State {
	n, err := decodeBody[Snapshot](e)
	if err != nil || n.Covers+1 <= s.Anchor {
		return s
	}
	checksum, ok := before.checksumAt(n.Covers)
	switch {
	case !ok:
		return s
	case checksum != n.Checksum:
		s.Conflict = fmt.Sprintf("snapshot of %s at offset %d", n.Writer, n.Covers)
		return s
	}
	s.Anchor = n.Covers + 1
	return s
}

// checksumAt returns the checksum of the state at its position or an earlier
// one. It returns false if there is no stamp of that position.
func (s State) checksumAt(position int64) (string, bool) {
	if position == s.Position() {
		return s.cachedChecksum(), true
	}
	for _, stamp := range s.Stamps {
		if stamp.Offset == position {
			return stamp.Checksum, true
		}
	}
	return "", false
}

// Retention describes the log's retention and current time.
type Retention struct {
	// Millis is how long the log stores a record, in milliseconds.
	Millis int64
	// Share is the fraction of Millis after which a snapshot is due.
	Share float64
	// First is the oldest offset that the log still stores.
	First int64
	// NowMillis is the current time by the log's clock, in Unix milliseconds.
	NowMillis int64
}

// maxStamps is the number of records after which a snapshot is due regardless
// of their age. It limits the records that a new reader has to fold.
const maxStamps = 256

// SnapshotDue reports whether the log has dropped, or may soon drop, a record
// that a new reader needs, or there are maxStamps records since the anchor.
func (s State) SnapshotDue(r Retention) bool {
	if s.Position() < 0 || s.Halt != "" || s.Conflict != "" {
		return false
	}
	if r.First > s.Anchor || len(s.Stamps) >= maxStamps {
		return true
	}
	return len(s.Stamps) > 0 && float64(r.NowMillis-s.Stamps[0].AppendedMillis) >= r.Share*float64(r.Millis)
}
