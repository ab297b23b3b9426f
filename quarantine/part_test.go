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

// lossOf returns the records of an engine lost with a request of an account that
// has the given parts.
func lossOf(account, req, engine string, at time.Duration, parts ...string) []quarantine.Record {
	var records []quarantine.Record
	for depth, f := range content(account, req, parts...).Fingerprints() {
		r := loss(f, engine, at)
		r.ID += req
		r.Depth, r.Account = depth, account
		records = append(records, r)
	}
	return records
}

func content(account, req string, parts ...string) quarantine.Content {
	c := quarantine.Content{Request: quarantine.Fingerprint(req), Account: account}
	for _, p := range parts {
		c.Parts = append(c.Parts, part(p))
	}
	return c
}

func part(name string) quarantine.Fingerprint { return quarantine.PartOf("m", []byte(name)) }

func join(lists ...[]quarantine.Record) []quarantine.Record {
	var all []quarantine.Record
	for _, l := range lists {
		all = append(all, l...)
	}
	return all
}

// TestPartVerdicts checks which parts are quarantined after losses.
func TestPartVerdicts(t *testing.T) {
	const s = time.Second
	popular := func(records []quarantine.Record) []quarantine.Record {
		for i := range records {
			records[i].KnownGood = records[i].Fingerprint.IsPart()
		}
		return records
	}
	for _, tt := range []struct {
		name        string
		records     []quarantine.Record
		at          time.Duration
		quarantined []string
	}{
		{"one loss", lossOf("mill", "q1", "a", 0, "first", "deadly"), s, nil},
		{"a request and its retry", join(lossOf("mill", "q1", "a", 0, "first", "deadly"), lossOf("mill", "q1", "b", s, "first", "deadly")), s, nil},
		{"two requests on three engines", join(
			lossOf("mill", "q1", "a", 0, "first", "deadly"), lossOf("mill", "q1", "b", s, "first", "deadly"), lossOf("mill", "q2", "c", 2*s, "first", "deadly"),
		), 2 * s, []string{"deadly"}},
		{"one request on three engines", join(
			lossOf("mill", "q1", "a", 0, "first", "doc"), lossOf("mill", "q1", "b", s, "first", "doc"), lossOf("mill", "q1", "c", 2*s, "first", "doc"),
		), 2 * s, nil},
		{"one request on four engines, others beside it", join(
			lossOf("mill", "q1", "a", 0, "doc"), lossOf("mill", "q1", "b", s, "doc"), lossOf("mill", "q1", "c", 2*s, "doc"), lossOf("mill", "q1", "d", 3*s, "doc"),
			lossOf("mill", "q2", "a", 0, "doc"), lossOf("mill", "q3", "d", 3*s, "doc"),
		), 3 * s, nil},
		{"one of the requests was answered", join(
			lossOf("mill", "q1", "a", 0, "doc"), lossOf("mill", "q2", "b", s, "doc"), []quarantine.Record{answered(part("doc"), 1500*time.Millisecond)}, lossOf("mill", "q3", "c", 2*s, "doc"),
		), 2 * s, nil},
		{"an answer arrives after the losses that came later", join(
			lossOf("mill", "q3", "c", 2*s, "doc"), lossOf("mill", "q2", "b", s, "doc"), lossOf("mill", "q1", "a", 0, "doc"), []quarantine.Record{answered(part("doc"), 1500*time.Millisecond)},
		), 2 * s, nil},
		{"the deeper of two parts on the same engines", join(
			lossOf("mill", "q1", "a", 0, "doc", "deadly"), lossOf("mill", "q2", "b", s, "doc", "deadly"), lossOf("mill", "q3", "c", 2*s, "doc", "deadly"),
		), 2 * s, []string{"deadly"}},
		{"the deeper part, and the other once it loses another engine", join(
			lossOf("mill", "q1", "a", 0, "deadly", "doc"), lossOf("mill", "q2", "b", s, "deadly", "doc"), lossOf("mill", "q3", "c", 2*s, "deadly", "doc"), lossOf("mill", "q4", "d", 3*s, "deadly", "other"),
		), 3 * s, []string{"doc", "deadly"}},
		{"other engines are lost too, three losses", join(
			lossOf("mill", "q1", "a", 0, "deadly"), lossOf("mill", "q2", "b", s, "deadly"), lossOf("mill", "q3", "c", 2*s, "deadly"), lossOf("mill", "x", "z", 3*s/2, "doc"),
		), 2 * s, nil},
		{"other engines are lost too, four losses", join(
			lossOf("mill", "q1", "a", 0, "deadly"), lossOf("mill", "q2", "b", s, "deadly"), lossOf("mill", "q3", "c", 2*s, "deadly"), lossOf("mill", "x", "z", 3*s/2, "doc"), lossOf("mill", "q4", "d", 3*s, "deadly"),
		), 3 * s, []string{"deadly"}},
		{"another engine is lost just after the third loss", join(
			lossOf("mill", "q1", "a", 0, "deadly"), lossOf("mill", "q2", "b", s, "deadly"), lossOf("mill", "q3", "c", 2*s, "deadly"),
			lossOf("mill", "x", "z", 2*s+s/12, "doc"),
		), 3 * s, []string{"deadly"}},
		{"after the third loss the part loses another engine in an outage", join(
			lossOf("mill", "q1", "a", 0, "deadly"), lossOf("mill", "q2", "b", s, "deadly"), lossOf("mill", "q3", "c", 2*s, "deadly"),
			lossOf("mill", "x", "z", 2*s+s/12, "doc"), lossOf("mill", "q4", "d", 3*s, "deadly"), lossOf("mill", "y", "w", 3*s, "doc"),
		), 4 * s, []string{"deadly"}},
		{"four outages of three engines each", join(
			lossOf("mill", "q1", "a", 0, "doc"), lossOf("mill", "x1", "b", 0, "other"), lossOf("mill", "x2", "c", s/10, "other"),
			lossOf("mill", "q2", "d", 3*s, "doc"), lossOf("mill", "x3", "e", 3*s, "other"), lossOf("mill", "x4", "f", 3*s+s/10, "other"),
			lossOf("mill", "q3", "g", 6*s, "doc"), lossOf("mill", "x5", "h", 6*s, "other"), lossOf("mill", "x6", "i", 6*s+s/10, "other"),
			lossOf("mill", "q4", "j", 9*s, "doc"), lossOf("mill", "x7", "k", 9*s, "other"), lossOf("mill", "x8", "l", 9*s+s/10, "other"),
			[]quarantine.Record{answered(part("other"), 10*s)},
		), 10 * s, nil},
		{"one engine that restarts under its name", join(
			lossOf("mill", "q1", "a", 0, "deadly"), lossOf("mill", "q2", "a", 4*s, "deadly"), lossOf("mill", "q3", "a", 8*s, "deadly"), lossOf("mill", "q4", "a", 12*s, "deadly"),
		), 12 * s, []string{"deadly"}},
		{"all engines at once", join(
			lossOf("mill", "q1", "a", 0, "first"), lossOf("mill", "q2", "b", time.Millisecond, "first"), lossOf("mill", "q3", "c", 2*time.Millisecond, "first"),
			lossOf("mill", "q4", "d", 3*time.Millisecond, "first"), lossOf("mill", "q5", "e", 4*time.Millisecond, "first"),
		), s, nil},
		{"a popular part, an outage within a second", popular(join(
			lossOf("mill", "q1", "a", 0, "first"), lossOf("mill", "q2", "b", s/5, "first"), lossOf("mill", "q3", "c", 2*s/5, "first"),
			lossOf("mill", "q4", "d", 3*s/5, "first"), lossOf("mill", "q5", "e", 4*s/5, "first"),
		)), s, nil},
		{"a popular part, nothing is answered for seconds", popular(join(
			lossOf("mill", "q1", "a", 0, "first"), lossOf("mill", "q2", "b", s, "first"), lossOf("mill", "q3", "c", 2*s, "first"), lossOf("mill", "q4", "d", 3*s, "first"),
		)), 3 * s, []string{"first"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 1))
			for range 5 {
				table, _ := quarantine.Table{}.With(start, tt.records...)
				var got []string
				for _, name := range []string{"first", "doc", "other", "deadly"} {
					if table.Verdict(part(name), start.Add(tt.at)) == quarantine.Quarantined {
						got = append(got, name)
					}
				}
				is.Equal(got, tt.quarantined)
				random.Shuffle(len(tt.records), func(i, j int) { tt.records[i], tt.records[j] = tt.records[j], tt.records[i] })
			}
		})
	}
}

// TestPartVerdictIsLimitedToItsAccount has one account name a part of another in
// requests that crash engines.
func TestPartVerdictIsLimitedToItsAccount(t *testing.T) {
	is := is.New(t)
	records := join(lossOf("mill", "q1", "a", 0, "part"), lossOf("mill", "q2", "b", time.Second, "part"), lossOf("mill", "q3", "c", 2*time.Second, "part"))
	table, _ := quarantine.Table{}.With(start, records...)
	c := table.Classify(part("part"), start.Add(2*time.Second))
	is.Equal(c.Verdict, quarantine.Quarantined)
	is.True(c.AppliesTo("mill"))
	is.True(!c.AppliesTo("grocer"))
	table, _ = table.With(start, lossOf("grocer", "q4", "d", 3*time.Second, "part")...)
	c = table.Classify(part("part"), start.Add(3*time.Second))
	is.True(c.AppliesTo("grocer"))
	is.True(c.AppliesTo("co-op"))
}

// TestRecordsOutliveTheirQuarantine loses an engine again after each term. Until
// the term reaches its maximum, each is longer than the one before.
func TestRecordsOutliveTheirQuarantine(t *testing.T) {
	is := is.New(t)
	table, at := quarantine.Table{}, time.Duration(0)
	add := func(req, engine string) {
		now := start.Add(at)
		table, _ = table.With(now, table.WithLossCounts(now, lossOf("mill", req, engine, at, "deadly")...)...)
	}
	for i := range 3 {
		at += time.Second
		add(fmt.Sprint("q", i), fmt.Sprint("e", i))
	}
	for i := range 6 {
		since := at
		for table.Verdict(part("deadly"), start.Add(at)) == quarantine.Quarantined {
			at += time.Second
		}
		c := table.Classify(part("deadly"), start.Add(at))
		is.True(c.TermOver)
		is.Equal(at-since, 15*time.Second<<min(3+i, 6))
		add(fmt.Sprint("trial", i), fmt.Sprint("t", i))
	}
}

// TestContentOf checks that requests share the fingerprints of equal parts of the
// same model, up to a number of parts.
func TestContentOf(t *testing.T) {
	is := is.New(t)
	r := request.Request{Account: "mill", Model: "m", Body: []byte("1")}
	a := quarantine.ContentOf(r, "m", []byte("first"), []byte("doc"))
	r.Account, r.Body = "grocer", []byte("2")
	b := quarantine.ContentOf(r, "m", []byte("first"), []byte("doc"))
	is.True(a.Request != b.Request)
	is.Equal(a.Parts, b.Parts)
	is.True(a.Parts[0].IsPart())
	is.True(!a.Request.IsPart())
	is.True(quarantine.ContentOf(r, "other", []byte("first")).Parts[0] != a.Parts[0])
	many := make([][]byte, 100)
	for i := range many {
		many[i] = []byte{byte(i)}
	}
	parts := quarantine.ContentOf(r, "m", many...).Parts
	is.Equal(len(parts), 16)
	is.Equal(parts[15], quarantine.PartOf("m", []byte{99}))
}
