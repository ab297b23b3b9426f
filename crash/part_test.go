package crash_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/quarantine"
)

// withPart returns the content of a request with a part.
func withPart(account, req, part string) quarantine.Content {
	return quarantine.Content{Request: quarantine.Fingerprint(req), Parts: []quarantine.Fingerprint{quarantine.PartOf("m", []byte(part))}, Account: account}
}

// loseWithPart loses engines with different requests of an account that share the
// deadly part.
func loseWithPart(g *crash.Guard, account string, engines int) {
	for i := range engines {
		req := fmt.Sprint(account, engines, i)
		g.Lost(quarantine.Loss{Content: withPart(account, req, "deadly"), Attempt: req, Engine: "engine-" + req, Sent: time.Now()})
	}
}

// await waits until a condition holds.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		is.New(t).True(time.Now().Before(deadline))
	}
}

// TestPartIsRefusedOnAllHosts loses engines on one host with requests that share
// a part, and expects all hosts to refuse it for that account alone.
func TestPartIsRefusedOnAllHosts(t *testing.T) {
	is := is.New(t)
	guards := startGuards(t, 3)
	loseWithPart(guards[0], "mill", 3)
	for _, g := range guards {
		await(t, func() bool { return !admitsContent(g, withPart("mill", "new", "deadly")) })
		is.True(admitsContent(g, withPart("mill", "new", "other")))
		is.True(admitsContent(g, withPart("grocer", "new", "deadly")))
		is.True(g.IsQuarantined("waiting", withPart("mill", "admitted before", "deadly")))
	}
}

func admitsContent(g *crash.Guard, c quarantine.Content) bool {
	release, refused := g.Admit(context.Background(), "attempt", c)
	if refused != nil {
		return false
	}
	release()
	return true
}

// TestAnswersElsewhereClearPart loses engines on one host with a popular part
// that other hosts answer all the time.
func TestAnswersElsewhereClearPart(t *testing.T) {
	is := is.New(t)
	guards := startGuards(t, 3)
	for i := range 6 {
		req := fmt.Sprint("q", i)
		is.True(!guards[0].Lost(quarantine.Loss{Content: withPart("mill", req, "popular"), Attempt: req, Engine: "engine-" + req, Sent: time.Now()}))
		if i == 0 {
			continue // a single loss needs no answer of another host
		}
		await(t, func() bool {
			guards[1].Started("answered", withPart("mill", "answered", "popular"))
			return !guards[0].IsSuspect(withPart("mill", "x", "popular").Parts[0])
		})
	}
}

// TestOneHostTriesPartAfterItsTerm has three hosts know a part whose quarantine
// has ended. Of all their requests one is tried at a time.
func TestOneHostTriesPartAfterItsTerm(t *testing.T) {
	is := is.New(t)
	guards := startGuards(t, 3)
	part := withPart("mill", "", "deadly").Parts[0]
	records := []quarantine.Record{{ID: "1", Fingerprint: part, Account: "mill", Engine: "e", Losses: 3, Quarantined: true, At: time.Now().Add(-3 * time.Minute)}}
	var releases []func()
	tries := func() int {
		count := 0
		for _, g := range guards {
			for i := range 3 {
				if release, refused := g.Admit(context.Background(), "attempt", withPart("mill", fmt.Sprint("q", i), "deadly")); refused == nil {
					releases = append(releases, release)
					count++
				}
			}
		}
		return count
	}
	for _, g := range guards {
		g.Merge(records)
	}
	is.Equal(tries(), 1)
	releases[0]()
	is.Equal(tries(), 1)
	for _, g := range guards {
		g.Started("answered", withPart("mill", "q", "deadly"))
		is.True(admitsContent(g, withPart("mill", "q", "deadly")))
	}
}

// TestPartVerdictSurvivesRestart persists a verdict on a part and starts a host
// that reads it. A further account widens the stored verdict, an answer removes
// it.
func TestPartVerdictSurvivesRestart(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{records: map[quarantine.Fingerprint]quarantine.Record{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	start := func() *crash.Guard {
		return crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s})
	}
	g, part := start(), withPart("mill", "", "deadly").Parts[0]
	loseWithPart(g, "mill", 2)
	is.True(!s.has(part))
	loseWithPart(g, "mill", 5)
	await(t, func() bool { return s.has(part) })
	restarted := start()
	await(t, func() bool { return !admitsContent(restarted, withPart("mill", "q", "deadly")) })
	is.True(admitsContent(restarted, withPart("grocer", "q", "deadly")))
	loseWithPart(g, "grocer", 1)
	restarted = start()
	await(t, func() bool {
		restarted = start()
		await(t, func() bool { return !admitsContent(restarted, withPart("mill", "q", "deadly")) })
		return !admitsContent(restarted, withPart("grocer", "q", "deadly"))
	})
	g.Started("answered", withPart("mill", "q", "deadly"))
	await(t, func() bool { return !s.has(part) })
}

// TestVerdictOfIncompleteEvidenceIsNotPersisted quarantines a part whose losses are
// explained by another one, of which the records arrive a little later.
func TestVerdictOfIncompleteEvidenceIsNotPersisted(t *testing.T) {
	is := is.New(t)
	s := &fakeStore{records: map[quarantine.Fingerprint]quarantine.Record{
		"old": {ID: "1", Fingerprint: "old", Engine: "e", Losses: 4, Quarantined: true, At: time.Now().Add(-time.Minute)},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	defer wait.Wait()
	defer cancel()
	g := crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }, Store: s, ConfirmDelay: 2 * time.Second})
	is.True(!admits(g, "old"))
	document, deadly := quarantine.PartOf("m", []byte("document")), quarantine.PartOf("m", []byte("deadly"))
	sound := quarantine.Content{Request: "new", Parts: []quarantine.Fingerprint{document}, Account: "mill"}
	var late []quarantine.Record
	for _, engine := range []string{"a", "b", "c"} {
		beside := quarantine.Content{Request: quarantine.Fingerprint("beside " + engine), Parts: sound.Parts, Account: "mill"}
		g.Lost(quarantine.Loss{Content: beside, Attempt: engine, Engine: engine, Sent: time.Now()})
		late = append(late, quarantine.Record{ID: "late " + engine, Fingerprint: deadly, Depth: 2, Account: "mill", Engine: engine, Sent: time.Now(), At: time.Now()})
	}
	is.True(!admitsContent(g, sound))
	g.Answered("x", quarantine.Content{Request: "old"})
	await(t, func() bool { return !s.has("old") }) // the host has written since
	is.True(!s.has(document))
	g.Merge(late)
	is.True(admitsContent(g, sound))
	await(t, func() bool { return g.Pending() == 0 })
	is.True(!s.has(document))
}
