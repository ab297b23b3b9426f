package document

import (
	"testing"

	"github.com/matryer/is"
)

// editRecord returns the record of an edit. The log appends one record per
// second.
func editRecord(t *testing.T, offset int64, e Edit) Record {
	t.Helper()
	raw, err := EncodeEdit(e)
	is.New(t).NoErr(err)
	return Record{Offset: offset, AppendedMillis: 1000 * offset, Data: raw}
}

// TestFirstEditIsARevision checks that an edit at offset 0 is not mistaken for
// a section that was never edited: a second edit with base 0 is refused.
func TestFirstEditIsARevision(t *testing.T) {
	is := is.New(t)
	s := New()
	s = s.Fold(editRecord(t, 0, Edit{ID: "a", Section: RoutingSection, Body: "WasteWeight: 0.1"}))
	s = s.Fold(editRecord(t, 1, Edit{ID: "b", Section: RoutingSection, Body: "WasteWeight: 0.2"}))
	result, ok := s.EditResult("b")
	is.True(ok)
	is.True(!result.Accepted)
	is.Equal(s.Document.Routing.WasteWeight, 0.1)
}

// foldEdits folds edits at the offsets after the state's position.
func foldEdits(t *testing.T, s State, edits ...Edit) State {
	t.Helper()
	for _, e := range edits {
		s = s.Fold(editRecord(t, s.Position()+1, e))
	}
	return s
}

func weightEdit(id string, base int64, value string) Edit {
	return Edit{ID: id, Section: RoutingSection, Base: base, Author: "ana", Body: "WasteWeight: " + value}
}

// TestFoldRecordKinds checks the effect of each kind of record after one edit.
func TestFoldRecordKinds(t *testing.T) {
	edit := func(e Edit) []byte {
		raw, err := EncodeEdit(e)
		is.New(t).NoErr(err)
		return raw
	}
	for _, c := range []struct {
		name     string
		data     []byte
		value    float64
		position int64
		reason   string
	}{
		{"next revision", edit(weightEdit("b", 1, "0.2")), 0.2, 1, ""},
		{"older base", edit(weightEdit("b", 0, "0.2")), 0.1, 1, "the edit is built on revision 0, and the section is at revision 1 by ana"},
		{"base that does not exist yet", edit(weightEdit("b", 7, "0.2")), 0.1, 1, "the edit is built on revision 7, and the section is at revision 1 by ana"},
		{"same id", edit(weightEdit("a", 1, "0.2")), 0.1, 1, ""},
		{"problems", edit(weightEdit("b", 1, "2\nColour: red")), 0.1, 1, "1:14: WasteWeight: 2 is out of range, 0 to 1; 2:1: Colour: unknown key"},
		{"out of range", edit(weightEdit("b", 1, "2")), 0.1, 1, "1:14: WasteWeight: 2 is out of range, 0 to 1"},
		{"no section", edit(Edit{ID: "b", Section: "Colours"}), 0.1, 1, `there is no section "Colours"`},
		{"newer rules", []byte(`{"Kind":"Edit","Rules":2,"Body":{}}`), 0.1, 0, ""},
		{"unknown kind", []byte(`{"Kind":"Poem","Rules":1,"Body":{}}`), 0.1, 1, ""},
		{"unknown field", []byte(`{"Kind":"Edit","Rules":1,"Body":{"ID":"b","Section":"Routing","Base":1,"Body":"WasteWeight: 0.2","Colour":1}}`), 0.1, 1, ""},
		{"no record", []byte("\x00\xff"), 0.1, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := foldEdits(t, New(), weightEdit("a", 0, "0.1")).Fold(Record{Offset: 1, Data: c.data})
			is.Equal(s.Document.Routing.WasteWeight, c.value)
			is.Equal(s.Position(), c.position)
			is.Equal(s.Halt != "", c.position == 0)
			result, _ := s.EditResult("b")
			is.Equal(result.Reason, c.reason)
		})
	}
}

// TestAuditSectionLimitsHistory checks the limits on the audit trail and on
// older revisions.
func TestAuditSectionLimitsHistory(t *testing.T) {
	is := is.New(t)
	s := foldEdits(t, New(), Edit{ID: "bounds", Section: AuditSection, Body: "Verdicts: 2\nBodies: 1"},
		weightEdit("a", 0, "0.1"), weightEdit("b", 2, "0.2"), weightEdit("c", 3, "0.3"))
	is.Equal(len(s.Verdicts), 2)
	_, found := s.BodyAt(RoutingSection, 3)
	is.True(found)
	_, found = s.BodyAt(RoutingSection, 2)
	is.True(!found)
}

// TestSnapshotNeedsAllRecordsAfterIt checks that a reader does not start from a
// snapshot if the log dropped records after those that it covers.
func TestSnapshotNeedsAllRecordsAfterIt(t *testing.T) {
	is := is.New(t)
	one := foldEdits(t, New(), weightEdit("a", 0, "0.1"))
	raw, err := EncodeSnapshot(one.Snapshot("paused"))
	is.NoErr(err)
	late := Record{Offset: 3, Data: raw}
	three := foldEdits(t, one, weightEdit("b", 1, "0.2"), weightEdit("c", 2, "0.3"))
	fresh, err := EncodeSnapshot(three.Fold(late).Snapshot("owner"))
	is.NoErr(err)
	r := NewReplica().Read(Page{Records: []Record{late}, First: 2, Next: 4})
	is.Equal(r.Position(), int64(-1)) // Record 1 is missing.
	r = r.Read(Page{Records: []Record{{Offset: 5, Data: raw}}, First: 5, Next: 6})
	is.Equal(r.Position(), int64(-1)) // Records 1 to 4 are missing.
	r = r.Read(Page{Records: []Record{{Offset: 6, Data: fresh}}, First: 5, Next: 7})
	is.Equal(r.Position(), int64(-1)) // The snapshot covers records up to 3; record 4 is missing.
	r = NewReplica().Read(Page{Records: []Record{{Offset: 4, Data: fresh}, {Offset: 5, Data: raw}}, First: 4, Next: 6})
	is.Equal(r.Position(), int64(5))
	is.Equal(r.Document.Routing.WasteWeight, 0.3) // The older snapshot, appended later, did not override it.
}

// TestSnapshotDue checks when a snapshot is due: by the age of records, or once
// the log dropped one.
func TestSnapshotDue(t *testing.T) {
	is := is.New(t)
	s := foldEdits(t, New(), weightEdit("a", 0, "0.1"), weightEdit("b", 1, "0.2"))
	due := func(first, now int64) bool {
		return s.SnapshotDue(Retention{Millis: 10_000, Share: 0.5, First: first, NowMillis: now})
	}
	is.True(!due(0, 4_999))
	is.True(due(0, 5_000))
	is.True(due(1, 0)) // The log already dropped a record.
	raw, err := EncodeSnapshot(s.Snapshot("owner"))
	is.NoErr(err)
	s = s.Fold(Record{Offset: 2, AppendedMillis: 6_000, Data: raw})
	is.True(!due(2, 10_999))
	is.True(due(2, 11_000))
	is.True(!New().SnapshotDue(Retention{First: 9}))
}
