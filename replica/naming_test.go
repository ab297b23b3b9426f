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
		if age := clock.Now().Sub(h.Since); h.Version == version && known(age) {
			return age
		}
		if time.Now().After(deadline) {
			t.Fatalf("target weights are %d since %v", h.Version, clock.Now().Sub(h.Since))
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

// TestRecordedNamings merges what the store tells of a version before and after the
// version itself, into a state that knows nothing else of its age.
func TestRecordedNamings(t *testing.T) {
	is := is.New(t)
	now := clock.Instant(time.Hour)
	at := replica.Times{WeightsKnown: now.Add(-13 * time.Second), Now: now}
	decodeNaming := func(t replica.Topic, key string, value []byte) (replica.Decoded, error) {
		if t == replica.Software {
			return replica.Decoded{Namings: &replica.RecordedNamings{Model: "m", Namings: []replica.Naming{{Version: 2, Age: 4 * time.Second}}}}, nil
		}
		return decode(t, key, value)
	}
	weights := replica.Delta{Topic: replica.Operator, Position: 1, Records: []replica.Record{record("weights", 0, "w2")}}
	told := replica.Delta{Topic: replica.Software, Position: 1, Records: []replica.Record{record("weights/m", 0, "n")}}
	for _, deltas := range [][]replica.Delta{{weights, told}, {told, weights}} {
		var s replica.State
		for _, d := range deltas {
			s, _ = s.Merge(d, decodeNaming, at)
		}
		h, _ := s.WeightsHistory("m")
		is.Equal(now.Sub(h.Since), 7*time.Second) // times of day of hosts differ by up to 3 s
		is.True(s.IsRecorded("m", 2))
		is.Equal(len(s.Namings(now)), 0) // no host has observed it
	}
	at.WeightsKnown, at.WeightsObserved = now.Add(-time.Second), true
	s, _ := replica.State{}.Merge(told, decodeNaming, at)
	s, _ = s.Merge(weights, decodeNaming, at)
	h, _ := s.WeightsHistory("m")
	is.Equal(now.Sub(h.Since), time.Second) // what a host has observed is better
}
