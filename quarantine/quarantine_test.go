package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/quarantine"
	"github.com/kumquathoist/kumquathoist/request"
)

var start = time.Unix(1_000_000, 0)

// loss returns a record of an engine lost with a request.
func loss(f quarantine.Fingerprint, engine string, at time.Duration) quarantine.Record {
	return quarantine.Record{ID: fmt.Sprint(f, engine, at), Fingerprint: f, Engine: engine, At: start.Add(at)}
}

func answered(f quarantine.Fingerprint, at time.Duration) quarantine.Record {
	return quarantine.Record{ID: fmt.Sprint(f, "answered", at), Fingerprint: f, Answered: true, At: start.Add(at)}
}

func TestVerdict(t *testing.T) {
	type records = []quarantine.Record
	tests := []struct {
		name    string
		records records
		at      time.Duration
		want    quarantine.Verdict
	}{
		{"nothing known", nil, 0, quarantine.Clean},
		{"one engine", records{loss("x", "a", 0)}, 0, quarantine.Suspect},
		{"one engine twice", records{loss("x", "a", 0), loss("x", "a", time.Minute)}, time.Minute, quarantine.Suspect},
		{"two engines", records{loss("x", "a", 0), loss("x", "b", time.Second)}, time.Second, quarantine.Quarantined},
		{"two engines, another request on one", records{loss("x", "a", 0), loss("y", "a", 0), loss("x", "b", time.Second)}, time.Second, quarantine.Quarantined},
		{"two engines, another request on both", records{loss("x", "a", 0), loss("y", "a", 0), loss("x", "b", time.Second), loss("y", "b", time.Second)}, time.Second, quarantine.Suspect},
		{"the other request was answered since", records{loss("x", "a", 0), loss("y", "a", 0), loss("x", "b", time.Second), loss("y", "b", time.Second), answered("y", 2*time.Second)}, 2 * time.Second, quarantine.Quarantined},
		{"answered since", records{loss("x", "a", 0), loss("x", "b", 1), answered("x", 2)}, 2, quarantine.Clean},
		{"answered before", records{answered("x", 0), loss("x", "a", 1), loss("x", "b", 2)}, 2, quarantine.Quarantined},
		{"another engine is lost too", records{loss("x", "a", 0), loss("x", "b", 1), loss("z", "c", 2)}, 2, quarantine.Suspect},
		{"four engines, another request on all", records{
			loss("x", "a", 0), loss("x", "b", 1), loss("x", "c", 2), loss("x", "d", 3),
			loss("y", "a", 0), loss("y", "b", 1), loss("y", "c", 2), loss("y", "d", 3),
		}, 3, quarantine.Quarantined},
		{"expired", records{loss("x", "a", 0), loss("x", "b", 0)}, quarantine.Lifetime, quarantine.Clean},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			table, _ := quarantine.Table{}.With(start, tt.records...)
			is.Equal(table.Verdict("x", start.Add(tt.at)), tt.want)
		})
	}
}

// TestMerge merges records in different orders, more than once and beyond the
// capacity.
func TestMerge(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 3))
	var records []quarantine.Record
	for i := range quarantine.Capacity + 100 {
		records = append(records, loss(quarantine.Fingerprint(fmt.Sprint(i%40)), fmt.Sprint("engine-", i%7), time.Duration(i)*time.Millisecond))
	}
	want, _ := quarantine.Table{}.With(start, records...)
	is.Equal(len(want.Records()), quarantine.Capacity)
	for range 20 {
		random.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		half := random.IntN(len(records))
		left, _ := quarantine.Table{}.With(start, records[:half]...)
		got, _ := left.With(start, records[half:]...)
		got, fresh := got.With(start, want.Records()...)
		is.Equal(got, want)
		is.Equal(len(fresh), 0)
	}
}

func TestFingerprintOf(t *testing.T) {
	is := is.New(t)
	r := request.Request{Account: "mill", Model: "matcher", Path: "/v1/completions", Body: []byte("{}"), Key: "1"}
	again, other := r, r
	again.Account, again.Key, again.ID = "grocer", "2", "2"
	other.Body = []byte("{ }")
	is.Equal(quarantine.FingerprintOf(r), quarantine.FingerprintOf(again))
	is.True(quarantine.FingerprintOf(r) != quarantine.FingerprintOf(other))
}

// TestDroppedRecordsAreNotNew merges records that a full table has dropped as
// its oldest. If they counted as new, hosts with full tables would forward them
// to each other forever.
func TestDroppedRecordsAreNotNew(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	record := func(i int) quarantine.Record {
		return quarantine.Record{ID: fmt.Sprint("r", i), Fingerprint: quarantine.Fingerprint(fmt.Sprint("f", i)), Engine: "e", At: now.Add(time.Duration(i) * time.Millisecond)}
	}
	table, repeated := quarantine.Table{}, 0
	for round := range 2 {
		for i := range quarantine.Capacity + 100 {
			var fresh []quarantine.Record
			table, fresh = table.With(now.Add(time.Second), record(i))
			if round > 0 {
				repeated += len(fresh)
			}
		}
	}
	is.Equal(repeated, 0)
	is.Equal(len(table.Records()), quarantine.Capacity)
}
