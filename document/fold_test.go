package document

import (
	"testing"

	"github.com/matryer/is"
)

// record returns the record of an edit of the routing section.
func record(t *testing.T, offset int64, e Edit) Record {
	t.Helper()
	raw, err := EncodeEdit(e)
	is.New(t).NoErr(err)
	return Record{Offset: offset, AppendedMillis: 1000 * offset, Data: raw}
}

// TestFirstEditCountsAsRevision checks that a section edited at offset 0 does
// not look like one that was never edited.
func TestFirstEditCountsAsRevision(t *testing.T) {
	is := is.New(t)
	s := New()
	s = s.Fold(record(t, 0, Edit{ID: "a", Section: RoutingSection, Body: "WasteWeight: 0.1"}))
	s = s.Fold(record(t, 1, Edit{ID: "b", Section: RoutingSection, Body: "WasteWeight: 0.2"}))
	v, ok := s.Verdict("b")
	is.True(ok)
	is.True(!v.Accepted)
	is.Equal(s.Document.Routing.WasteWeight, 0.1)
}
