package claim_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/kumquathoist/kumquathoist/claim"
)

const (
	// retention is how long the log of these tests retains records.
	retention = 3 * claim.KeyLifetime
	// maxClockOffset bounds the offset of the log's clock from the true time.
	maxClockOffset = claim.KeyLifetime
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "17", "rapid.checks": "2000", "rapid.steps": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// attempt is one attempt to claim a key.
type attempt struct {
	record claim.Record
	// confirmed is set if the claim is on the log at or before offset.
	confirmed bool
	offset    int64
	ran       bool
	closed    bool
}

// entry is one append on the model's log.
type entry struct {
	// trueAt and loggedAt are the time of the append, true and by the log's
	// clock.
	trueAt, loggedAt int64
	data             []byte
}

// model drives the fold with late, duplicated and lost appends, a log that
// trims and whose clock steps, and readers that start at any offset.
type model struct {
	log     []entry
	trimmed int
	// now is the true time, and clockOffset is added for the log's clock.
	now, clockOffset int64
	attempts         []*attempt
	keys             map[string]int64
	inFlight         [][]byte
	runs             map[string]int
	steadyReader     *claim.Table
	steps            int
}

func newModel() *model {
	return &model{now: 1_000_000_000, keys: map[string]int64{}, runs: map[string]int{}, steadyReader: claim.NewTable(0)}
}

func (m *model) append(raw []byte) int64 {
	m.log = append(m.log, entry{m.now, m.now + m.clockOffset, raw})
	return int64(len(m.log) - 1)
}

// read folds the records that a table has not seen yet.
func (m *model) read(t *claim.Table) *claim.Table {
	for i := max(int(t.Next()), m.trimmed); i < len(m.log); i++ {
		t.Fold(int64(i), m.log[i].loggedAt, m.log[i].data)
	}
	return t
}

func encode(t *rapid.T, r claim.Record) []byte {
	raw, err := claim.EncodeBatch([]claim.Record{r})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func (m *model) newAttempt(t *rapid.T) {
	key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
	key = fmt.Sprint(key, m.now/claim.KeyLifetime.Milliseconds())
	if _, ok := m.keys[key]; !ok {
		m.keys[key] = m.now + m.clockOffset + rapid.Int64Range(-60_000, 20_000).Draw(t, "skew")
	}
	m.attempts = append(m.attempts, &attempt{record: claim.Record{
		Kind: claim.Take, Key: key, Attempt: fmt.Sprint("attempt-", len(m.attempts)), IssuedMillis: m.keys[key],
	}})
}

func (m *model) pick(t *rapid.T) *attempt {
	if len(m.attempts) == 0 {
		m.newAttempt(t)
	}
	recent := m.attempts[max(0, len(m.attempts)-6):]
	return rapid.SampledFrom(recent).Draw(t, "attempt")
}

// take appends a claim; its answer may be lost and a copy may arrive later.
func (m *model) take(t *rapid.T) {
	a := m.pick(t)
	if a.closed {
		return
	}
	raw := encode(t, a.record)
	if rapid.Bool().Draw(t, "late copy") {
		m.inFlight = append(m.inFlight, raw)
	}
	if rapid.IntRange(0, 4).Draw(t, "lost before the log") > 0 {
		offset := m.append(raw)
		if rapid.IntRange(0, 4).Draw(t, "answer lost") > 0 {
			a.confirmed, a.offset = true, offset
		}
	}
}

// run runs an attempt if a reader shows that it holds the key.
func (m *model) run(t *rapid.T) {
	a := m.pick(t)
	if !a.confirmed || a.closed || a.ran {
		return
	}
	reader := m.steadyReader
	if rapid.Bool().Draw(t, "fresh reader") {
		reader = claim.NewTable(0)
	}
	if s, _ := m.read(reader).Status(a.record); s == claim.Held {
		a.ran = true
		m.runs[a.record.Key]++
	}
}

func (m *model) release(t *rapid.T) {
	a := m.pick(t)
	if a.ran {
		return
	}
	a.closed = true
	m.inFlight = append(m.inFlight, encode(t, a.record.WithRelease()))
}

func (m *model) finish(t *rapid.T) {
	if a := m.pick(t); a.ran {
		m.inFlight = append(m.inFlight, encode(t, a.record.WithAnswer(200, "", []byte("x"))))
	}
}

func (m *model) deliver(t *rapid.T) {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
	m.append(m.inFlight[i])
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
}

// advanceTime advances the clock and trims the log.
func (m *model) advanceTime(t *rapid.T) {
	m.now += rapid.Int64Range(0, (claim.KeyLifetime/2).Milliseconds()).Draw(t, "time")
	for m.trimmed < len(m.log) && m.log[m.trimmed].trueAt < m.now-retention.Milliseconds() {
		m.trimmed++
	}
}

// stepClock changes the offset of the log's clock.
func (m *model) stepClock(t *rapid.T) {
	m.clockOffset = rapid.Int64Range(-maxClockOffset.Milliseconds(), maxClockOffset.Milliseconds()).Draw(t, "shift")
}

// TestKeyRunsAtMostOnce searches interleavings of attempts, of readers that
// start at any offset, and of a log that loses, duplicates, delays and trims.
func TestKeyRunsAtMostOnce(t *testing.T) {
	steps, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		action := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) {
				m.steps++
				f(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": action(m.newAttempt), "take": action(m.take), "take again": action(m.take),
			"run": action(m.run), "run another": action(m.run), "release": action(m.release),
			"finish": action(m.finish), "land": action(m.deliver), "pass": action(m.advanceTime), "step": action(m.stepClock),
			"": func(t *rapid.T) {
				for key, n := range m.runs {
					if n > 1 {
						t.Fatalf("key %s ran %d times", key, n)
					}
				}
			},
		})
		steps += m.steps
		runs += len(m.runs)
	})
	t.Logf("%d steps, %d keys ran", steps, runs)
}

// TestStatus checks the status of a key for first attempts and repeats.
func TestStatus(t *testing.T) {
	const at = int64(1_000_000)
	take := claim.Record{Kind: claim.Take, Account: "mill", Key: "k", Attempt: "one", Fingerprint: "f", IssuedMillis: at}
	other, changed, foreign := take, take, take
	other.Attempt = "two"
	changed.Attempt, changed.Fingerprint = "three", "g"
	foreign.Account, foreign.Attempt = "grocer", "four"
	late := at + claim.KeyLifetime.Milliseconds() + 1
	tests := []struct {
		name   string
		log    []claim.Record
		at     int64
		record claim.Record
		want   claim.Status
	}{
		{"nothing claimed", nil, at, take, claim.Free},
		{"first claim", []claim.Record{take}, at, take, claim.Held},
		{"claim duplicated", []claim.Record{take, take}, at, take, claim.Held},
		{"second claim", []claim.Record{take, other}, at, other, claim.Running},
		{"finished", []claim.Record{take, take.WithAnswer(200, "", nil), other}, at, other, claim.Finished},
		{"another body", []claim.Record{take, changed}, at, changed, claim.Mismatch},
		{"another account", []claim.Record{take, foreign}, at, foreign, claim.Held},
		{"answer lost", []claim.Record{take, take.WithLoss(), other}, at, other, claim.Lost},
		{"release after the loss", []claim.Record{take, take.WithLoss(), take.WithRelease(), other}, at, other, claim.Lost},
		{"released", []claim.Record{take, take.WithRelease(), other}, at, other, claim.Held},
		{"claim appended after its release", []claim.Record{take.WithRelease(), take}, at, take, claim.Free},
		{"release after the answer", []claim.Record{take, take.WithAnswer(200, "", nil), take.WithRelease(), other}, at, other, claim.Finished},
		{"foreign answer", []claim.Record{take, other.WithAnswer(200, "", nil)}, at, other, claim.Running},
		{"key too old", []claim.Record{take}, late, take, claim.Expired},
		{"key from the future", []claim.Record{take}, at - claim.ClockSkew.Milliseconds() - 1, take, claim.Expired},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := claim.NewTable(0)
			for i, r := range test.log {
				raw, err := claim.EncodeBatch([]claim.Record{r})
				is.New(t).NoErr(err)
				table.Fold(int64(i), test.at, raw)
			}
			got, _ := table.Status(test.record)
			is.New(t).Equal(got, test.want)
		})
	}
}

// TestTableRemovesExpired checks that the lifetime of keys bounds the table.
func TestTableRemovesExpired(t *testing.T) {
	is := is.New(t)
	table := claim.NewTable(0)
	for second := range int64(1200) {
		at := second * time.Second.Milliseconds()
		raw, err := claim.EncodeBatch([]claim.Record{{Kind: claim.Take, Key: fmt.Sprint(second), Attempt: fmt.Sprint(second), IssuedMillis: at}})
		is.NoErr(err)
		table.Fold(second, at, raw)
	}
	maxKeys := int((claim.KeyLifetime + 2*claim.ClockSkew).Seconds()) + 1
	is.Equal(table.Len(), maxKeys)
}

// TestAnswersAreBounded checks that the oldest answers are evicted, but never
// the claims.
func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	table := claim.NewTable(0)
	const maxAnswers = claim.MaxTableAnswerBytes / claim.MaxAnswerBytes
	record := func(n int) claim.Record {
		return claim.Record{Kind: claim.Take, Key: fmt.Sprint(n), Attempt: fmt.Sprint(n), IssuedMillis: 1}
	}
	for n := range maxAnswers + 1 {
		raw, err := claim.EncodeBatch([]claim.Record{record(n), record(n).WithAnswer(200, "", make([]byte, claim.MaxAnswerBytes))})
		is.NoErr(err)
		table.Fold(int64(n), 1, raw)
	}
	for n := range maxAnswers + 1 {
		s, e := table.Status(record(n))
		is.Equal(s, claim.Finished)
		is.Equal(e.Omitted, n == 0)
	}
}
