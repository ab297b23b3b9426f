package loadreport_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/loadreport"
)

// encoder is implemented by all messages.
type encoder interface{ Encode([]byte) []byte }

// samples returns a message of each kind.
func samples() []encoder {
	loads := map[loadreport.EngineHash]loadreport.Load{
		loadreport.HashEngine("e1"): {Running: 2, Waiting: [loadreport.Ranks]int{0, 12_000, 5, 9, 0, 1}},
		loadreport.HashEngine("e2"): {Running: 300}, loadreport.HashEngine("e3"): {Running: 3}, loadreport.HashEngine("e4"): {Waiting: [loadreport.Ranks]int{7}}, loadreport.HashEngine("e5"): {},
	}
	updates := loadreport.Updates{
		Observed:     []loadreport.CachedPart{{Engine: loadreport.HashEngine("e2"), Part: 1 << 60}},
		Evicted:      []loadreport.CachedPart{{Engine: loadreport.HashEngine("e3"), Part: 5}, {Engine: 1, Part: 9}},
		NotListening: []loadreport.EngineHash{7, loadreport.HashEngine("e4")},
		Loaded:       []loadreport.LoadedWeights{{Engine: 8, Version: 300}},
	}
	limited := updates
	limited.Limits = []loadreport.Limit{{Engine: 8, Incarnation: 1 << 40, Limited: true, PerSecond: 4.25}, {Engine: 9}, {Engine: 10, Limited: true}}
	aggregated := limited
	aggregated.Domain, aggregated.Aggregator, aggregated.Sequence = 3, 4, 5
	return []encoder{
		loadreport.Report{Host: 7, Sequence: 300, Loads: loads, Updates: updates},
		loadreport.Report{Host: 7, Sequence: 301, Loads: loads, Updates: limited},
		loadreport.Summary{Domain: 1, Aggregator: 7, Sequence: 9, Members: []loadreport.HostHash{7, 8}, Digest: 1 << 30, Loads: loads},
		loadreport.Summary{Domain: 1, Aggregator: 7, Sequence: 10, Digest: 5, Loads: loads},
		aggregated,
	}
}

// TestEncode checks that encoded messages decode to the same value and that
// truncated ones are rejected.
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

// FuzzDecode checks that no input makes Decode panic.
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
			t.Fatalf("%v does not survive encoding and decoding: %v", message, err)
		}
	})
}

// TestLoad covers the arithmetic of loads.
func TestLoad(t *testing.T) {
	is := is.New(t)
	l := loadreport.Load{Running: 3, Waiting: [loadreport.Ranks]int{1, 2, 4, 8, 0, 16}}
	is.Equal(l.QueuedAhead(0), 1)
	is.Equal(l.QueuedAhead(2), 7)
	is.Equal(l.QueuedAhead(9), 31)
	is.Equal(l.Plus(l).QueuedAhead(9), 62)
	is.Equal(l.Plus(l).Minus(l), l)
	is.Equal(l.Minus(l.Plus(l)), loadreport.Load{})
	is.Equal(l.Plus(l).DividedBy(2), l)
	is.Equal(loadreport.Load{Waiting: [loadreport.Ranks]int{9}}.AtLeast(l), loadreport.Load{Running: 3, Waiting: [loadreport.Ranks]int{9, 2, 4, 8, 0, 16}})
}
