package loadreport_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/loadreport"
)

// encoder is a message.
type encoder interface{ Encode([]byte) []byte }

// samples returns a message of each kind.
func samples() []encoder {
	loads := map[loadreport.Engine]loadreport.Load{
		loadreport.Short("e1"): {Running: 2, Waiting: [loadreport.Ranks]int{0, 12_000, 5, 9, 0, 1}},
		loadreport.Short("e2"): {Running: 300}, loadreport.Short("e3"): {Running: 3}, loadreport.Short("e4"): {Waiting: [loadreport.Ranks]int{7}}, loadreport.Short("e5"): {},
	}
	news := loadreport.News{
		Seen:    []loadreport.Sighting{{Engine: loadreport.Short("e2"), Part: 1 << 60}},
		Dropped: []loadreport.Sighting{{Engine: loadreport.Short("e3"), Part: 5}, {Engine: 1, Part: 9}},
		Down:    []loadreport.Engine{7, loadreport.Short("e4")},
		Loaded:  []loadreport.Loaded{{Engine: 8, Number: 300}},
	}
	gathered := news
	gathered.Domain, gathered.Gatherer, gathered.Number = 3, 4, 5
	return []encoder{
		loadreport.Pulse{Host: 7, Number: 300, Loads: loads, News: news},
		loadreport.Summary{Domain: 1, Gatherer: 7, Number: 9, Members: []loadreport.Member{7, 8}, Digest: 1 << 30, Loads: loads},
		loadreport.Summary{Domain: 1, Gatherer: 7, Number: 10, Digest: 5, Loads: loads},
		gathered,
	}
}

// TestEncode reads back what was written, and no part of it.
func TestEncode(t *testing.T) {
	is := is.New(t)
	for _, message := range samples() {
		raw := message.Encode(nil)
		decoded, err := loadreport.Decode(raw)
		is.NoErr(err)
		is.Equal(decoded, message)
		for n := range raw {
			_, err := loadreport.Decode(raw[:n])
			is.True(err != nil)
		}
	}
}

// FuzzDecode reads anything without failing.
func FuzzDecode(f *testing.F) {
	for _, message := range samples() {
		f.Add(message.Encode(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		message, err := loadreport.Decode(b)
		if err != nil {
			return
		}
		raw := message.(encoder).Encode(nil)
		again, err := loadreport.Decode(raw)
		if err != nil || len(again.(encoder).Encode(nil)) != len(raw) {
			t.Fatalf("%v is not read back: %v", message, err)
		}
	})
}

// TestAhead counts what goes before a request.
func TestAhead(t *testing.T) {
	is := is.New(t)
	l := loadreport.Load{Running: 3, Waiting: [loadreport.Ranks]int{1, 2, 4, 8, 0, 16}}
	is.Equal(l.Ahead(0), 1)
	is.Equal(l.Ahead(2), 7)
	is.Equal(l.Ahead(9), 31)
	is.Equal(l.Plus(l).Ahead(9), 62)
	is.Equal(l.Plus(l).Minus(l), l)
	is.Equal(l.Minus(l.Plus(l)), loadreport.Load{})
	is.Equal(l.Plus(l).Share(2), l)
	is.Equal(loadreport.Load{Waiting: [loadreport.Ranks]int{9}}.AtLeast(l), loadreport.Load{Running: 3, Waiting: [loadreport.Ranks]int{9, 2, 4, 8, 0, 16}})
}
