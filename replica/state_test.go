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

// decode decodes test records: "c7" is version 7 of the configuration, "w3"
// target weights version 3, "e1.2" an entry with start time 1 and heartbeat 2.
func decode(_ replica.Topic, key string, value []byte) (replica.Decoded, error) {
	text := string(value)
	kind, numbers := text[:1], text[1:]
	number, err := strconv.ParseInt(strings.Split(numbers, ".")[0], 10, 64)
	if err != nil {
		return replica.Decoded{}, errors.New("truncated record")
	}
	switch kind {
	case "c":
		c := catalog.New(number, catalog.Limits{}, nil, nil, nil, nil)
		return replica.Decoded{Catalog: &c}, nil
	case "w":
		return replica.Decoded{Weights: &replica.TargetWeights{Model: "m", Version: number}}, nil
	}
	e := discovery.Entry{ID: key, Service: "s", StartTime: number}
	if _, heartbeat, ok := strings.Cut(numbers, "."); ok {
		e.Heartbeat, _ = strconv.ParseInt(heartbeat, 10, 64)
	}
	return replica.Decoded{Entry: &e}, nil
}

func record(key string, offset int64, value string) replica.Record {
	r := replica.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// upstreamIDs returns the upstreams of a state with their start times and heartbeats.
func upstreamIDs(s replica.State) string {
	var found []string
	for _, e := range s.Upstreams.Service("s") {
		found = append(found, fmt.Sprintf("%s@%d.%d", e.ID, e.StartTime, e.Heartbeat))
	}
	return strings.Join(found, " ")
}

const now = clock.Instant(time.Hour)

func merge(s replica.State, d replica.Delta) replica.State {
	next, _ := s.Merge(d, decode, replica.Times{FirstKnown: now})
	return next
}

func upstreams(position int64, full bool, records ...replica.Record) replica.Delta {
	return replica.Delta{Topic: replica.Upstreams, Position: position, Full: full, Records: records}
}

// TestStateMerge covers the effect of each kind of delta.
func TestStateMerge(t *testing.T) {
	start := merge(replica.State{}, upstreams(3, true, record("a", 1, "e1.1"), record("b", 2, "e1.1")))
	for _, c := range []struct {
		name  string
		delta replica.Delta
		want  string
	}{
		{"a later heartbeat", upstreams(4, false, record("a", 3, "e1.2")), "a@1.2 b@1.1"},
		{"a removal", upstreams(4, false, record("a", 3, "")), "b@1.1"},
		{"a record older than the known one", upstreams(4, false, record("a", 0, "e1.0")), "a@1.1 b@1.1"},
		{"an old record of a removed key", upstreams(4, false, record("c", 2, "e1.0")), "a@1.1 b@1.1"},
		{"an entry with an earlier start time", upstreams(4, false, record("a", 3, "e0.9")), "a@1.1 b@1.1"},
		{"an earlier heartbeat of the same start", upstreams(4, false, record("a", 3, "e1.0")), "a@1.1 b@1.1"},
		{"a later start time under the same ID", upstreams(4, false, record("a", 3, "e2.0")), "a@2.0 b@1.1"},
		{"a truncated record", upstreams(4, false, record("a", 3, "eX")), "a@1.1 b@1.1"},
		{"a full list without one upstream", upstreams(9, true, record("a", 1, "e1.1")), "a@1.1"},
		{"an outdated full list", upstreams(1, true), "a@1.1 b@1.1"},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(upstreamIDs(merge(start, c.delta)), c.want) })
	}
}

// TestReturnAfterOutage checks that upstreams whose entries expired during an
// outage of the store stay until they have had time to write new ones.
func TestReturnAfterOutage(t *testing.T) {
	is := is.New(t)
	s := merge(replica.State{}, upstreams(3, true, record("a", 1, "e1.1"), record("b", 2, "e1.1")))
	deferUntil := now.Add(2 * time.Second)
	s, changes := s.Merge(upstreams(5, false, record("a", 3, ""), record("b", 4, "")), decode, replica.Times{FirstKnown: now, DeferUntil: deferUntil})
	is.True(changes[0].Deferred)
	is.Equal(upstreamIDs(s), "a@1.1 b@1.1")
	s = merge(s, upstreams(6, false, record("b", 5, "e1.2")))
	s, removed := s.ApplyDeferred(deferUntil)
	is.Equal(removed, []string{"a"})
	is.Equal(upstreamIDs(s), "b@1.2")
}

// TestReplaced checks that a weights version counts as replaced since the first
// newer target version was set.
func TestReplaced(t *testing.T) {
	is := is.New(t)
	var s replica.State
	for i, at := range []clock.Instant{now, now.Add(time.Second), now.Add(2 * time.Second)} {
		d := replica.Delta{Topic: replica.Operator, Position: int64(i + 1), Records: []replica.Record{record("version/m", int64(i), fmt.Sprint("w", 2*i+1))}}
		s, _ = s.Merge(d, decode, replica.Times{WeightsKnown: at})
	}
	history, ok := s.WeightsHistory("m")
	is.True(ok)
	is.Equal(history.Version, int64(5))
	for version, want := range map[int64]clock.Instant{0: now, 1: now.Add(time.Second), 2: now.Add(time.Second), 3: now.Add(2 * time.Second)} {
		since, replaced := history.ReplacedSince(version)
		is.True(replaced)
		is.Equal(since, want)
	}
	_, replaced := history.ReplacedSince(5)
	is.True(!replaced)
	// An engine that no longer has a version has at least the next one.
	for version, want := range map[int64]int64{0: 1, 1: 3, 2: 3, 3: 5, 4: 5} {
		next, ok := history.FirstAfter(version)
		is.True(ok)
		is.Equal(next, want)
	}
	_, ok = history.FirstAfter(5)
	is.True(!ok)
}

// TestMergeOrder merges the same records in any order, in any batches and from
// any sender: the final states are equal, and a position never goes back.
func TestMergeOrder(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(7, 7))
	for range 300 {
		var log []replica.Record
		for offset := range int64(12) {
			value := fmt.Sprintf("e1.%d", offset)
			if rng.IntN(4) == 0 {
				value = ""
			}
			log = append(log, record([]string{"a", "b", "c"}[rng.IntN(3)], offset, value))
		}
		newest := map[string]replica.Record{}
		for _, r := range log {
			newest[r.Key] = r
		}
		complete := merge(replica.State{}, upstreams(12, false, log...))
		var s replica.State
		for range 6 {
			from := rng.Int64N(12)
			s = merge(s, upstreams(0, false, log[from:from+1+rng.Int64N(12-from)]...))
			before := s.Position(replica.Upstreams)
			s = merge(s, merge(replica.State{}, upstreams(6, false, log[:6]...)).Since(replica.Upstreams, s.Position(replica.Upstreams)))
			is.True(s.Position(replica.Upstreams) >= before)
		}
		s = merge(s, complete.Since(replica.Upstreams, s.Position(replica.Upstreams)))
		is.Equal(upstreamIDs(s), upstreamIDs(complete))
		is.Equal(s.Position(replica.Upstreams), complete.Position(replica.Upstreams))
		fromScratch := merge(replica.State{}, complete.Since(replica.Upstreams, 0))
		is.Equal(upstreamIDs(fromScratch), upstreamIDs(complete))
	}
}
