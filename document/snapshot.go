package document

import (
	"fmt"
	"slices"

	"github.com/gravitational/trace"
)

// Snapshot is a folded state as it goes on the log and between hosts. It lets
// a reader start without the records that it covers.
type Snapshot struct {
	// Covers is the offset of the last record that was folded into it.
	Covers int64
	// Rules is the newest version of the rules among the covered records.
	Rules    int
	Bodies   []Body
	Past     []Body
	Verdicts []Verdict
	// Checksum is that of the state at Covers.
	Checksum string
	// Writer names the host that made the snapshot.
	Writer string
	// Anchor and Stamps go between hosts only, not on the log.
	Anchor int64   `json:",omitempty"`
	Stamps []Stamp `json:",omitempty"`
}

// Snapshot returns the state as a record for the log.
func (s State) Snapshot(writer string) Snapshot {
	return Snapshot{
		Covers: s.Position(), Rules: s.Rules, Bodies: s.Bodies, Past: s.Past,
		Verdicts: s.Verdicts, Checksum: s.sum(), Writer: writer,
	}
}

// Transfer returns the state as it goes to another host.
func (s State) Transfer(writer string) Snapshot {
	snapshot := s.Snapshot(writer)
	snapshot.Anchor, snapshot.Stamps = s.Anchor, s.Stamps
	return snapshot
}

// State returns the state that a snapshot holds. Sections whose text an
// earlier state has too are taken from that instead of being decoded again.
// It is an error if the snapshot is damaged or needs newer rules than this
// program knows.
func (n Snapshot) State(earlier State) (State, error) {
	if n.Rules > CurrentRules {
		return State{}, trace.BadParameter("the snapshot needs rules %d, this program knows rules up to %d", n.Rules, CurrentRules)
	}
	s := New()
	for _, section := range Sections() {
		i := slices.IndexFunc(n.Bodies, func(b Body) bool { return b.Section == section })
		if i < 0 {
			continue
		}
		if known, ok := earlier.Body(section); ok && known.Text == n.Bodies[i].Text {
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
		return State{}, trace.CompareFailed("the snapshot at offset %d does not have its checksum", n.Covers)
	}
	return s, nil
}

// foldSnapshot compares a snapshot with what this reader knows of the
// position that it covers. It never changes the configuration. A snapshot
// that matches moves the anchor forward, never back.
func (s State) foldSnapshot(before State, e envelope) State {
	n, err := decodeBody[Snapshot](e)
	if err != nil || n.Covers+1 <= s.Anchor {
		return s
	}
	sum, known := before.checksumAt(n.Covers)
	switch {
	case !known:
		return s
	case sum != n.Checksum:
		s.Conflict = fmt.Sprintf("snapshot of %s at offset %d", n.Writer, n.Covers)
		return s
	}
	s.Anchor = n.Covers + 1
	return s
}

// checksumAt returns the checksum that the state had at an earlier position.
func (s State) checksumAt(position int64) (string, bool) {
	if position == s.Position() {
		return s.sum(), true
	}
	for _, stamp := range s.Stamps {
		if stamp.Offset == position {
			return stamp.Checksum, true
		}
	}
	return "", false
}

// Retention is what is known of how long the log keeps records.
type Retention struct {
	// Millis is how long the log keeps a record.
	Millis int64
	// Share is the part of Millis after which a snapshot is due.
	Share float64
	// First is the oldest offset that the log keeps.
	First int64
	// NowMillis is the log's time, in Unix milliseconds.
	NowMillis int64
}

// maxStamps is the number of records after which a snapshot is due whatever
// their age; it bounds what a new reader folds.
const maxStamps = 256

// SnapshotDue tells whether the log may soon drop, or has dropped, a record
// that a new reader needs.
func (s State) SnapshotDue(r Retention) bool {
	if s.Position() < 0 || s.Halt != "" || s.Conflict != "" {
		return false
	}
	if r.First > s.Anchor || len(s.Stamps) >= maxStamps {
		return true
	}
	return len(s.Stamps) > 0 && float64(r.NowMillis-s.Stamps[0].AppendedMillis) >= r.Share*float64(r.Millis)
}
