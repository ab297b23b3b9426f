// Package replica maintains a host's replica of the configuration and of the
// upstreams' entries: records of the platform's store, read from the store
// itself or received from other hosts.
//
// A State is an immutable value; a Syncer keeps it up to date. Records of a
// topic are ordered by their offsets, so deltas from any source can be merged in
// any order, and a state never goes back to older records.
package replica

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/kumquathoist/kumquathoist/catalog"
	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/discovery"
	"github.com/kumquathoist/kumquathoist/isolation"
	"github.com/kumquathoist/kumquathoist/software"
)

// Topic is one of the record logs of the store.
type Topic int

// The topics.
const (
	// Operator holds the configuration and the target weights versions.
	Operator Topic = iota
	// Upstreams holds the entries that upstreams write about themselves.
	Upstreams
	// Software holds the software versions that serve each service, and those that
	// left lately, as hosts recorded them.
	Software
	topicCount
)

// Topics returns all topics.
func Topics() []Topic { return []Topic{Operator, Upstreams, Software} }

// String returns the topic's name for logs and metrics.
func (t Topic) String() string { return [...]string{"Operator", "Upstreams", "Software"}[t] }

// Record is the latest value of a key.
type Record struct {
	Key    string
	Offset int64
	// Value is nil if the key was removed.
	Value []byte `json:",omitempty"`
}

// Delta holds changes of one topic.
type Delta struct {
	Topic Topic
	// Position is the offset up to which the sender has all records.
	Position int64
	// Full means that a key that is not listed was removed before Position.
	Full    bool
	Records []Record
}

// Decoded is the content of a record; one field is set.
type Decoded struct {
	Catalog *catalog.Catalog
	Weights *TargetWeights
	Entry   *discovery.Entry
	// Software holds the software versions of the service that the key names.
	Software *software.Versions
	// Bounds tell when versions of target weights were not replaced yet.
	Bounds *RecordedBounds
	// Groups tell which accounts share cached parts.
	Groups *RecordedGroups
}

// TargetWeights is the weights version that operators want for a model.
type TargetWeights struct {
	Model   string
	Version int64
}

// Decoder decodes a record; on error, the record is ignored.
type Decoder func(t Topic, key string, value []byte) (Decoded, error)

// WeightsHistory is a target weights version, the earliest time at which this
// host could have known it, and the versions before it.
type WeightsHistory struct {
	Version int64
	Since   clock.Instant
	// observed means that this host, or another one that told it, knew all records at
	// Since, so that the version was certainly not set before.
	observed bool
	// earlier are the previous target versions, the newest first.
	earlier []WeightsHistory
	// told is what other hosts have observed, recorded what the store tells.
	told, recorded bounds
}

// maxEarlierVersions limits the previous target versions that are stored; no more
// than that are set within the time in which engines must load a version.
const maxEarlierVersions = 32

// FirstAfter returns the first known target version after a version. An engine
// that no longer has the older version has at least this one.
func (h WeightsHistory) FirstAfter(version int64) (next int64, ok bool) {
	first, ok := h.firstAfter(version)
	return first.Version, ok
}

// ReplacedSince returns the time since which a version is replaced by a newer
// target version.
func (h WeightsHistory) ReplacedSince(version int64) (clock.Instant, bool) {
	next, ok := h.firstAfter(version)
	if !ok {
		return 0, false
	}
	since := max(next.Since, h.told.replacedSince(version))
	if !next.observed {
		since = max(since, h.recorded.replacedSince(version))
	}
	return since, true
}

// versions returns the version and the earlier ones, the newest first.
func (h WeightsHistory) versions() []WeightsHistory {
	return append([]WeightsHistory{h}, h.earlier...)
}

// firstAfter returns the first known target version after a version.
func (h WeightsHistory) firstAfter(version int64) (WeightsHistory, bool) {
	if h.Version <= version {
		return WeightsHistory{}, false
	}
	next := h
	for _, earlier := range h.earlier {
		if earlier.Version <= version {
			break
		}
		next = earlier
	}
	return next, true
}

// with returns the history after a newer target version was set.
func (h WeightsHistory) with(version int64, since clock.Instant, observed bool) WeightsHistory {
	next := WeightsHistory{Version: version, Since: since, observed: observed, told: h.told, recorded: h.recorded}
	if h.Version > 0 {
		next.earlier = append([]WeightsHistory{{Version: h.Version, Since: h.Since, observed: h.observed}}, h.earlier[:min(len(h.earlier), maxEarlierVersions)]...)
	}
	return next
}

// Change is one change made by a merge, for the log.
type Change struct {
	Topic  Topic
	Key    string
	Offset int64
	// Removed marks a removal, Rejected a record that can't be decoded, and
	// Deferred a removal that does not take effect yet.
	Removed, Rejected, Deferred bool
	Err                         error
	Decoded                     Decoded
}

// State is the replicated state of all topics. It is immutable.
type State struct {
	Catalog   catalog.Catalog
	Upstreams discovery.Set
	weights   map[string]WeightsHistory
	// told is what other hosts have observed of target weights by model, recorded what
	// the store tells.
	told, recorded map[string]bounds
	// groups tell which accounts share cached parts by model, recordedGroups what the
	// store tells of that.
	groups, recordedGroups map[string]isolation.History
	software               map[string]software.Versions
	topicStates            [topicCount]topicState
	// deferred holds removed upstreams and when their removal takes effect.
	deferred map[string]clock.Instant
}

// topicState holds the latest record of each key, including removals.
type topicState struct {
	position int64
	records  map[string]Record
	// listed means that the records of all keys were received once.
	listed bool
	// changesFrom is the position from which on each change is known. A list of all
	// keys doesn't tell which were removed before it.
	changesFrom int64
	// sum is the checksum of the records below the position.
	sum uint64
}

// Digest identifies what a host knows of a topic. Hosts at the same position have the
// same checksum.
type Digest struct {
	Position int64
	Sum      uint64
}

// checksum returns the checksum of the records below the position.
func (t topicState) checksum() uint64 {
	var sum uint64
	h := fnv.New64a()
	for key, r := range t.records {
		if r.Value == nil || r.Offset >= t.position {
			continue
		}
		h.Reset()
		_ = binary.Write(h, binary.BigEndian, r.Offset)
		_, _ = h.Write([]byte(key))
		sum += h.Sum64() // in any order
	}
	return sum
}

// Position returns the offset up to which all records of a topic are known.
func (s State) Position(t Topic) int64 { return s.topicStates[t].position }

// Digest returns the digest of a topic.
func (s State) Digest(t Topic) Digest {
	return Digest{s.topicStates[t].position, s.topicStates[t].sum}
}

// Listed reports whether all keys of a topic are known, so that a key without a record
// has none in the store.
func (s State) Listed(t Topic) bool { return s.topicStates[t].listed }

// WeightsHistory returns the target weights versions of a model.
func (s State) WeightsHistory(model string) (WeightsHistory, bool) {
	h, ok := s.weights[model]
	return h, ok
}

// Software returns the recorded software versions of a service, if any were.
func (s State) Software(service string) (software.Versions, bool) {
	v, ok := s.software[service]
	return v, ok
}

// Since returns the records that a reader at a position of a topic lacks: all of them
// if some removal after that position may be unknown here.
func (s State) Since(t Topic, position int64) Delta {
	topic := s.topicStates[t]
	d := Delta{Topic: t, Position: topic.position, Full: position == 0 || position < topic.changesFrom}
	for _, r := range topic.records {
		if d.Full && r.Value != nil || !d.Full && r.Offset >= position {
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
	// FirstKnown is the earliest time at which this host could have known the
	// changes.
	FirstKnown clock.Instant
	// WeightsKnown is the same for target weights versions, which count from
	// when operators set them. It is earlier than FirstKnown if this host was
	// without updates before.
	WeightsKnown clock.Instant
	// WeightsObserved means that this host knew all records at WeightsKnown.
	WeightsObserved bool
	// DeferUntil is when removals take effect that an outage of the store may
	// have caused; the zero value if there was no outage.
	DeferUntil clock.Instant
	// Now is the time of the merge.
	Now clock.Instant
}

// Merge returns the state after a delta, and the changes.
func (s State) Merge(d Delta, decode Decoder, at Times) (State, []Change) {
	next, topic := s.clone(d.Topic)
	var changes []Change
	// Each update of the set copies it, so entries are added in batches.
	var entries []discovery.Entry
	flush := func() {
		next.Upstreams, entries = next.Upstreams.With(entries...), nil
	}
	listed := make(map[string]bool, len(d.Records))
	for _, r := range d.Records {
		listed[r.Key] = true
		if !topic.lacks(d, r) {
			continue
		}
		topic.records[r.Key] = r
		if r.Value == nil {
			flush()
		}
		c := next.apply(d.Topic, r, decode, at)
		if c.Decoded.Entry != nil {
			entries = append(entries, *c.Decoded.Entry)
		}
		changes = append(changes, c)
	}
	flush()
	if d.Full {
		for key, known := range topic.records {
			if !listed[key] && known.Value != nil && known.Offset < d.Position {
				removal := Record{Key: key, Offset: known.Offset}
				topic.records[key] = removal
				changes = append(changes, next.apply(d.Topic, removal, decode, at))
			}
		}
	}
	topic.position, topic.listed = max(topic.position, d.Position), topic.listed || d.Full
	if d.Full {
		topic.changesFrom = topic.position
	}
	topic.sum = topic.checksum()
	next.topicStates[d.Topic] = topic
	return next, changes
}

// lacks reports whether a record of a delta is news.
func (t topicState) lacks(d Delta, r Record) bool {
	known, ok := t.records[r.Key]
	switch {
	case d.Full && d.Position >= t.position:
		// What a current list names is there, whatever was missed or mistaken before.
		return !ok || known.Offset < r.Offset || known.Offset == r.Offset && known.Value == nil
	case r.Offset < t.position:
		// All records below the position are known; an older record of a key that is
		// missing was superseded by its removal.
		return false
	}
	return !ok || known.Offset < r.Offset
}

// clone returns a copy of the state and of a topic whose maps may be changed.
func (s State) clone(t Topic) (State, topicState) {
	topic := s.topicStates[t]
	topic.records = maps.Clone(topic.records)
	if topic.records == nil {
		topic.records = map[string]Record{}
	}
	weights, deferred := map[string]WeightsHistory{}, map[string]clock.Instant{}
	maps.Copy(weights, s.weights)
	recorded := maps.Clone(s.software)
	if recorded == nil {
		recorded = map[string]software.Versions{}
	}
	maps.Copy(deferred, s.deferred)
	s.weights, s.software, s.deferred = weights, recorded, deferred
	return s, topic
}

// apply applies one record, except for an upstream's entry, which the caller adds.
func (s *State) apply(t Topic, r Record, decode Decoder, at Times) Change {
	c := Change{Topic: t, Key: r.Key, Offset: r.Offset, Removed: r.Value == nil}
	if c.Removed {
		switch t {
		case Upstreams:
			c.Deferred = s.removeUpstream(r.Key, at)
		case Software:
			delete(s.software, r.Key)
		}
		return c
	}
	if c.Decoded, c.Err = decode(t, r.Key, r.Value); c.Err != nil {
		c.Rejected = true
		return c
	}
	if next := c.Decoded.Catalog; next != nil && next.Version > s.Catalog.Version {
		s.Catalog = *next
		*s = s.withGroups()
	}
	if w := c.Decoded.Weights; w != nil && w.Version > s.weights[w.Model].Version {
		s.weights[w.Model] = s.weights[w.Model].with(w.Version, at.WeightsKnown, at.WeightsObserved)
		*s = s.withHistories().withGroups()
	}
	if c.Decoded.Entry != nil {
		delete(s.deferred, r.Key)
	}
	if c.Decoded.Software != nil {
		s.software[r.Key] = *c.Decoded.Software
	}
	if n := c.Decoded.Bounds; n != nil {
		recorded := maps.Clone(s.recorded)
		if recorded == nil {
			recorded = map[string]bounds{}
		}
		recorded[n.Model] = bounds{}.with(n.Bounds, at.Now.Add(-clockMargin))
		s.recorded = recorded
		*s = s.withHistories()
	}
	if g := c.Decoded.Groups; g != nil {
		*s = s.withRecordedGroups(*g).withGroups()
	}
	return c
}

// removeUpstream removes an upstream. After an outage of the store it defers the
// removal, so that the upstream has time to write its entry again.
func (s *State) removeUpstream(id string, at Times) (deferred bool) {
	if _, ok := s.Upstreams.Entry(id); ok && at.DeferUntil > at.FirstKnown {
		s.deferred[id] = at.DeferUntil
		return true
	}
	s.Upstreams = s.Upstreams.Without(id)
	return false
}

// ApplyDeferred returns the state without upstreams whose deferred removal is
// due, and their IDs.
func (s State) ApplyDeferred(now clock.Instant) (State, []string) {
	var removed []string
	for id, until := range s.deferred {
		if !now.Before(until) {
			removed = append(removed, id)
		}
	}
	if len(removed) == 0 {
		return s, nil
	}
	next, _ := s.clone(Upstreams)
	for _, id := range removed {
		delete(next.deferred, id)
	}
	next.Upstreams = next.Upstreams.Without(removed...)
	slices.Sort(removed)
	return next, removed
}
