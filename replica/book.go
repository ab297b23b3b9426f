// Package replica keeps what a host knows of the configuration and of the
// upstreams: records of the platform's store, read from the store itself or
// passed on by other hosts.
//
// A Book is the pure state; a Keeper feeds it. Records of a topic are ordered
// by their offsets, so books merge news from any source in any order, and a
// book never goes back.
package replica

import (
	"maps"
	"slices"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
)

// Topic is one of the store's lists of records.
type Topic int

// The topics.
const (
	// Operator holds the configuration and the weights named by operators.
	Operator Topic = iota
	// Upstreams holds what upstreams say of themselves.
	Upstreams
	topics
)

// String returns the topic's name for logs.
func (t Topic) String() string { return [...]string{"Operator", "Upstreams"}[t] }

// Record is the newest value of a key.
type Record struct {
	Key    string
	Offset int64
	// Value is nil if the key was removed.
	Value []byte `json:",omitempty"`
}

// Delta is news of one topic.
type Delta struct {
	Topic Topic
	// Position is the offset up to which the sender knows everything.
	Position int64
	// Full tells that a key that is not listed was removed before Position.
	Full    bool
	Records []Record
}

// News is what a record says.
type News struct {
	Catalog *catalog.Catalog
	Weights *Weights
	Entry   *discovery.Entry
}

// Weights is the number of a model's weights that operators want.
type Weights struct {
	Model  string
	Number int64
}

// Decoder reads a record; an error means that it says nothing.
type Decoder func(t Topic, key string, value []byte) (News, error)

// Named is a number of weights and when this host could first have known it.
type Named struct {
	Number int64
	Since  clock.Instant
	// before are the numbers that were named earlier, the newest first.
	before []Named
}

// namedKept bounds the earlier numbers that are remembered; more are not
// named within the time in which engines must follow.
const namedKept = 32

// After returns the first number known to be named after given weights, which an
// engine may have that no longer has those.
func (n Named) After(weights int64) (number int64, ok bool) {
	next, ok := n.next(weights)
	return next.Number, ok
}

// Replaced returns since when weights are replaced by newer ones.
func (n Named) Replaced(weights int64) (clock.Instant, bool) {
	next, ok := n.next(weights)
	return next.Since, ok
}

// next returns the first that is known to be named after given weights.
func (n Named) next(weights int64) (Named, bool) {
	if n.Number <= weights {
		return Named{}, false
	}
	next := n
	for _, earlier := range n.before {
		if earlier.Number <= weights {
			break
		}
		next = earlier
	}
	return next, true
}

// with returns the named weights after newer ones were named.
func (n Named) with(number int64, since clock.Instant) Named {
	next := Named{Number: number, Since: since}
	if n.Number > 0 {
		next.before = append([]Named{{Number: n.Number, Since: n.Since}}, n.before[:min(len(n.before), namedKept)]...)
	}
	return next
}

// Change tells what a merge did, for the log.
type Change struct {
	Topic  Topic
	Key    string
	Offset int64
	// Removed, Rejected and Deferred tell of a removal, of a record that
	// can't be used, and of a removal that is not yet believed.
	Removed, Rejected, Deferred bool
	Err                         error
	News                        News
}

// Book is everything that is known. It is immutable.
type Book struct {
	Catalog catalog.Catalog
	Roster  discovery.Roster
	weights map[string]Named
	topics  [topics]shelf
	// missing holds upstreams whose removal is believed from a time on.
	missing map[string]clock.Instant
}

// shelf holds the newest record of each key, removals included.
type shelf struct {
	position int64
	records  map[string]Record
}

// Position returns the offset up to which a topic is known.
func (b Book) Position(t Topic) int64 { return b.topics[t].position }

// Weights returns the number of a model's weights that operators want.
func (b Book) Weights(model string) (Named, bool) {
	n, ok := b.weights[model]
	return n, ok
}

// Since returns what a reader lacks that knows a topic up to a position.
func (b Book) Since(t Topic, position int64) Delta {
	s := b.topics[t]
	d := Delta{Topic: t, Position: s.position, Full: position == 0}
	for _, r := range s.records {
		if r.Offset >= position && (r.Value != nil || !d.Full) {
			d.Records = append(d.Records, r)
		}
	}
	sortByOffset(d.Records)
	return d
}

func sortByOffset(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return int(a.Offset - b.Offset) })
}

// Times are the instants that a merge depends on.
type Times struct {
	// Known is when the news could first have been known.
	Known clock.Instant
	// Named is that for weights, which count from when they were named: it is
	// earlier while nobody told this host anything.
	Named clock.Instant
	// Return is when removals are believed that an outage of the store may
	// have caused; the zero value if there was none.
	Return clock.Instant
}

// With returns the book with news, and what changed.
func (b Book) With(d Delta, decode Decoder, at Times) (Book, []Change) {
	next, s := b.copied(d.Topic)
	var changes []Change
	// Each roster is a copy, so entries are entered together.
	var entries []discovery.Entry
	enter := func() {
		next.Roster, entries = next.Roster.With(entries...), nil
	}
	listed := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		listed[r.Key] = true
		// All below the position is known; an older record of a key that is
		// not there was overtaken by its removal.
		if known, ok := s.records[r.Key]; r.Offset < s.position || ok && known.Offset >= r.Offset {
			continue
		}
		s.records[r.Key] = r
		if r.Value == nil {
			enter()
		}
		c := next.apply(d.Topic, r, decode, at)
		if c.News.Entry != nil {
			entries = append(entries, *c.News.Entry)
		}
		changes = append(changes, c)
	}
	enter()
	if d.Full {
		for key, known := range s.records {
			if !listed[key] && known.Value != nil && known.Offset < d.Position {
				gone := Record{Key: key, Offset: known.Offset}
				s.records[key] = gone
				changes = append(changes, next.apply(d.Topic, gone, decode, at))
			}
		}
	}
	s.position = max(s.position, d.Position)
	next.topics[d.Topic] = s
	return next, changes
}

// copied returns a book whose maps may be changed.
func (b Book) copied(t Topic) (Book, shelf) {
	s := shelf{position: b.topics[t].position, records: map[string]Record{}}
	maps.Copy(s.records, b.topics[t].records)
	weights, missing := map[string]Named{}, map[string]clock.Instant{}
	maps.Copy(weights, b.weights)
	maps.Copy(missing, b.missing)
	b.weights, b.missing = weights, missing
	return b, s
}

// apply takes over one record, but for an entry, which is left to the caller.
func (b *Book) apply(t Topic, r Record, decode Decoder, at Times) Change {
	c := Change{Topic: t, Key: r.Key, Offset: r.Offset, Removed: r.Value == nil}
	if c.Removed {
		if t == Upstreams {
			c.Deferred = b.remove(r.Key, at)
		}
		return c
	}
	if c.News, c.Err = decode(t, r.Key, r.Value); c.Err != nil {
		c.Rejected = true
		return c
	}
	if n := c.News.Catalog; n != nil && n.Version > b.Catalog.Version {
		b.Catalog = *n
	}
	if n := c.News.Weights; n != nil && n.Number > b.weights[n.Model].Number {
		b.weights[n.Model] = b.weights[n.Model].with(n.Number, at.Named)
	}
	if c.News.Entry != nil {
		delete(b.missing, r.Key)
	}
	return c
}

// remove drops an upstream, or defers that until the store has been back long
// enough for the upstream to return.
func (b *Book) remove(id string, at Times) (deferred bool) {
	if _, ok := b.Roster.Entry(id); ok && at.Return > at.Known {
		b.missing[id] = at.Return
		return true
	}
	b.Roster = b.Roster.Without(id)
	return false
}

// Settled returns the book without upstreams that did not return in time,
// and their ids.
func (b Book) Settled(now clock.Instant) (Book, []string) {
	var gone []string
	for id, until := range b.missing {
		if !now.Before(until) {
			gone = append(gone, id)
		}
	}
	if len(gone) == 0 {
		return b, nil
	}
	next, _ := b.copied(Upstreams)
	for _, id := range gone {
		delete(next.missing, id)
	}
	next.Roster = next.Roster.Without(gone...)
	slices.Sort(gone)
	return next, gone
}
