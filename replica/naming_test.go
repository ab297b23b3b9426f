package replica_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/clock"
	"github.com/kumquathoist/kumquathoist/replica"
)

// weightsAge awaits a target weights version at a host and returns how long it is set
// at most, as far as the host knows.
func weightsAge(t *testing.T, s *replica.Syncer, version int64, known func(time.Duration) bool) time.Duration {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		h, _ := s.State().WeightsHistory("m")
		since, _ := h.ReplacedSince(version - 1)
		age := clock.Now().Sub(since)
		if h.Version == version && known(age) {
			return age
		}
		if time.Now().After(deadline) {
			t.Fatalf("target weights are %d since %v", h.Version, age)
		}
	}
}

// TestStartedHostLearnsWhenWeightsWereNamed starts hosts while engines still have to load
// new weights, for which operators give them 15 s. Where nobody can tell how long ago the
// weights were named, the replaced ones must be out of use soon; a host that was there
// tells others, and what one of them only assumes isn't told on.
func TestStartedHostLearnsWhenWeightsWereNamed(t *testing.T) {
	is := is.New(t)
	const grace = 15 * time.Second
	store := &fakeStore{}
	store.logs[replica.Operator] = []replica.Record{record("config", 0, "c1"), record("weights", 1, "w1")}
	store.logs[replica.Upstreams] = []replica.Record{record("a", 0, "e1.1")}
	options := replica.Options{Store: store, Peers: fakePeers{false}, OldWeightsGrace: grace, ReadsStore: func() bool { return true }}
	always := func(time.Duration) bool { return true }
	witness := startSyncer(t, options)
	is.True(weightsAge(t, witness, 1, always) > grace-2*time.Second) // named before its start
	store.set(func() {
		store.logs[replica.Operator] = append(store.logs[replica.Operator], record("weights", 2, "w2"))
	})
	is.True(weightsAge(t, witness, 2, always) < 10*time.Second) // it was there
	alone := startSyncer(t, options)
	is.True(weightsAge(t, alone, 2, always) > grace-2*time.Second)
	options.Peers = relayingPeers{alone}
	misled := startSyncer(t, options)
	is.True(weightsAge(t, misled, 2, always) > grace-2*time.Second)
	options.Peers = relayingPeers{witness}
	told := startSyncer(t, options)
	weightsAge(t, told, 2, func(age time.Duration) bool { return age < 10*time.Second })
	options.Peers = relayingPeers{told}
	toldAgain := startSyncer(t, options)
	weightsAge(t, toldAgain, 2, func(age time.Duration) bool { return age < 10*time.Second })
}

// TestRecordedBounds merges what the store tells of a version before and after the version
// itself, into a state that knows nothing else of its age.
func TestRecordedBounds(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	at := replica.Times{WeightsKnown: now.Add(-13 * time.Second), Now: now}
	decodeBound := func(t replica.Topic, key string, value []byte) (replica.Decoded, error) {
		if t == replica.Software {
			return replica.Decoded{Bounds: &replica.RecordedBounds{Model: "m", Bounds: []replica.Bound{{After: 1, Age: 4 * time.Second}}}}, nil
		}
		return decode(t, key, value)
	}
	weights := replica.Delta{Topic: replica.Operator, Position: 1, Records: []replica.Record{record("weights", 0, "w2")}}
	told := replica.Delta{Topic: replica.Software, Position: 1, Records: []replica.Record{record("weights/m", 0, "n")}}
	for _, deltas := range [][]replica.Delta{{weights, told}, {told, weights}} {
		var s replica.State
		for _, d := range deltas {
			s, _ = s.Merge(d, decodeBound, at)
		}
		h, _ := s.WeightsHistory("m")
		since, _ := h.ReplacedSince(1)
		is.Equal(now.Sub(since), 7*time.Second) // times of day of hosts differ by up to 3 s
		is.True(s.IsRecorded("m", 1))
		is.Equal(len(s.Bounds(now)), 0) // no host has observed it
	}
	at.WeightsKnown, at.WeightsObserved = now.Add(-time.Second), true
	s, _ := replica.State{}.Merge(told, decodeBound, at)
	s, _ = s.Merge(weights, decodeBound, at)
	h, _ := s.WeightsHistory("m")
	since, _ := h.ReplacedSince(1)
	is.Equal(now.Sub(since), time.Second) // what a host has observed is better
}

// TestMissedVersions has a host be frozen while versions 9 and 10 are set, and learn of 11
// and of when that was set. An engine with version 8 has been replaced since 9, of which
// the host knows only from others.
func TestMissedVersions(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	merge := func(s replica.State, offset int64, value string, known time.Duration) replica.State {
		s, _ = s.Merge(replica.Delta{Topic: replica.Operator, Position: offset + 1, Records: []replica.Record{record("weights", offset, value)}}, decode, replica.Times{WeightsKnown: now.Add(-known), WeightsObserved: true, Now: now})
		return s
	}
	witness := merge(replica.State{}, 0, "w8", time.Minute)
	frozen := merge(witness, 3, "w11", 7*time.Second) // it last knew all 7 s ago
	for i, named := range []time.Duration{4 * time.Second, 3 * time.Second, time.Second} {
		witness = merge(witness, int64(1+i), []string{"w9", "w10", "w11"}[i], named)
	}
	age := func(s replica.State, version int64) time.Duration {
		h, _ := s.WeightsHistory("m")
		since, ok := h.ReplacedSince(version)
		is.True(ok)
		return now.Sub(since)
	}
	is.Equal(age(frozen, 8), 7*time.Second)
	told := frozen.WithBounds(witness.Bounds(now), now)
	is.Equal(age(told, 8), 4*time.Second) // 9 was set no earlier
	is.Equal(age(told, 9), 3*time.Second)
	is.Equal(age(told, 10), time.Second)
	first := merge(replica.State{}, 0, "w2", time.Second) // no version was set before
	is.Equal(first.Bounds(now), map[string][]replica.Bound{"m": {{After: 0, Age: time.Second}}})
}
