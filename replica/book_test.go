package replica_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/replica"
)

// decode reads test records: "c7" is version 7 of the configuration, "w3"
// weights number 3, "e1.2" an entry of start 1 and beat 2.
func decode(_ replica.Topic, key string, value []byte) (replica.News, error) {
	text := string(value)
	kind, rest := text[:1], text[1:]
	number, err := strconv.ParseInt(strings.Split(rest, ".")[0], 10, 64)
	if err != nil {
		return replica.News{}, errors.New("torn")
	}
	switch kind {
	case "c":
		c := catalog.New(number, catalog.Limits{}, nil, nil, nil, nil)
		return replica.News{Catalog: &c}, nil
	case "w":
		return replica.News{Weights: &replica.Weights{Model: "m", Number: number}}, nil
	}
	e := discovery.Entry{ID: key, Service: "s", Born: number}
	if _, beat, ok := strings.Cut(rest, "."); ok {
		e.Beat, _ = strconv.ParseInt(beat, 10, 64)
	}
	return replica.News{Entry: &e}, nil
}

func record(key string, offset int64, value string) replica.Record {
	r := replica.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// ids returns the upstreams of a book.
func ids(b replica.Book) string {
	var found []string
	for _, e := range b.Roster.Service("s") {
		found = append(found, fmt.Sprintf("%s@%d.%d", e.ID, e.Born, e.Beat))
	}
	return strings.Join(found, " ")
}

const now = clock.Instant(time.Hour)

func merge(b replica.Book, d replica.Delta) replica.Book {
	next, _ := b.With(d, decode, replica.Times{Known: now})
	return next
}

func upstreams(position int64, full bool, records ...replica.Record) replica.Delta {
	return replica.Delta{Topic: replica.Upstreams, Position: position, Full: full, Records: records}
}

// TestBookWith covers what each kind of news changes.
func TestBookWith(t *testing.T) {
	start := merge(replica.Book{}, upstreams(3, true, record("a", 1, "e1.1"), record("b", 2, "e1.1")))
	for _, c := range []struct {
		name  string
		delta replica.Delta
		want  string
	}{
		{"a later beat", upstreams(4, false, record("a", 3, "e1.2")), "a@1.2 b@1.1"},
		{"a removal", upstreams(4, false, record("a", 3, "")), "b@1.1"},
		{"an older record than known", upstreams(4, false, record("a", 0, "e1.0")), "a@1.1 b@1.1"},
		{"an old record of a key that is gone", upstreams(4, false, record("c", 2, "e1.0")), "a@1.1 b@1.1"},
		{"an entry of an earlier start", upstreams(4, false, record("a", 3, "e0.9")), "a@1.1 b@1.1"},
		{"an earlier beat of the same start", upstreams(4, false, record("a", 3, "e1.0")), "a@1.1 b@1.1"},
		{"a new start under the same id", upstreams(4, false, record("a", 3, "e2.0")), "a@2.0 b@1.1"},
		{"a torn record", upstreams(4, false, record("a", 3, "eX")), "a@1.1 b@1.1"},
		{"a full list without one", upstreams(9, true, record("a", 1, "e1.1")), "a@1.1"},
		{"a full list of an earlier time", upstreams(1, true), "a@1.1 b@1.1"},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(ids(merge(start, c.delta)), c.want) })
	}
}

// TestReturnAfterOutage keeps upstreams whose entries lapsed while the store
// was away for as long as they have to return.
func TestReturnAfterOutage(t *testing.T) {
	is := is.New(t)
	b := merge(replica.Book{}, upstreams(3, true, record("a", 1, "e1.1"), record("b", 2, "e1.1")))
	back := now.Add(2 * time.Second)
	b, changes := b.With(upstreams(5, false, record("a", 3, ""), record("b", 4, "")), decode, replica.Times{Known: now, Return: back})
	is.True(changes[0].Deferred)
	is.Equal(ids(b), "a@1.1 b@1.1")
	b = merge(b, upstreams(6, false, record("b", 5, "e1.2")))
	b, gone := b.Settled(back)
	is.Equal(gone, []string{"a"})
	is.Equal(ids(b), "b@1.2")
}

// TestReplaced dates weights by the first newer ones that were named.
func TestReplaced(t *testing.T) {
	is := is.New(t)
	var b replica.Book
	for i, at := range []clock.Instant{now, now.Add(time.Second), now.Add(2 * time.Second)} {
		d := replica.Delta{Topic: replica.Operator, Position: int64(i + 1), Records: []replica.Record{record("version/m", int64(i), fmt.Sprint("w", 2*i+1))}}
		b, _ = b.With(d, decode, replica.Times{Named: at})
	}
	named, ok := b.Weights("m")
	is.True(ok)
	is.Equal(named.Number, int64(5))
	for weights, want := range map[int64]clock.Instant{0: now, 1: now.Add(time.Second), 2: now.Add(time.Second), 3: now.Add(2 * time.Second)} {
		since, replaced := named.Replaced(weights)
		is.True(replaced)
		is.Equal(since, want)
	}
	_, replaced := named.Replaced(5)
	is.True(!replaced)
	// An engine that no longer has some weights has at least the next.
	for weights, want := range map[int64]int64{0: 1, 1: 3, 2: 3, 3: 5, 4: 5} {
		next, ok := named.After(weights)
		is.True(ok)
		is.Equal(next, want)
	}
	_, ok = named.After(5)
	is.True(!ok)
}

// TestOrderOfNews gives books the same records in any order, in any pieces
// and from any sender: they end the same, and never go back meanwhile.
func TestOrderOfNews(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	for range 300 {
		var log []replica.Record
		for offset := range int64(12) {
			value := fmt.Sprintf("e1.%d", offset)
			if random.IntN(4) == 0 {
				value = ""
			}
			log = append(log, record([]string{"a", "b", "c"}[random.IntN(3)], offset, value))
		}
		newest := map[string]replica.Record{}
		for _, r := range log {
			newest[r.Key] = r
		}
		whole := merge(replica.Book{}, upstreams(12, false, log...))
		var b replica.Book
		for range 6 {
			from := random.Int64N(12)
			b = merge(b, upstreams(0, false, log[from:from+1+random.Int64N(12-from)]...))
			before := b.Position(replica.Upstreams)
			b = merge(b, merge(replica.Book{}, upstreams(6, false, log[:6]...)).Since(replica.Upstreams, b.Position(replica.Upstreams)))
			is.True(b.Position(replica.Upstreams) >= before)
		}
		b = merge(b, whole.Since(replica.Upstreams, b.Position(replica.Upstreams)))
		is.Equal(ids(b), ids(whole))
		is.Equal(b.Position(replica.Upstreams), whole.Position(replica.Upstreams))
		fresh := merge(replica.Book{}, whole.Since(replica.Upstreams, 0))
		is.Equal(ids(fresh), ids(whole))
	}
}
