package crash_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/quarantine"
)

// TestEachLossCounts loses several engines during one call.
func TestEachLossCounts(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	is.True(!guard.Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: "call", Engine: "engine-1", Sent: time.Now()}))
	is.True(guard.Lost(quarantine.Loss{Content: quarantine.Content{Request: "crasher"}, Attempt: "call", Engine: "engine-2", Sent: time.Now()}))
}

// TestAnswerAfterLossEndsSuspicion answers a call that has lost an engine. A
// loss during a later call with the same request makes it a suspect again; it
// isn't quarantined.
func TestAnswerAfterLossEndsSuspicion(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	is.True(!guard.Lost(quarantine.Loss{Content: quarantine.Content{Request: "innocent"}, Attempt: "call", Engine: "engine-1", Sent: time.Now()}))
	guard.Answered("call", quarantine.Content{Request: "innocent"})
	is.True(!guard.Lost(quarantine.Loss{Content: quarantine.Content{Request: "innocent"}, Attempt: "later", Engine: "engine-2", Sent: time.Now()}))
}

// TestPopularRequestsSurviveOutage loses all engines at once with the same
// request on each. Since it was answered before, it isn't quarantined.
func TestPopularRequestsSurviveOutage(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	release, refused := guard.Admit(context.Background(), "first", quarantine.Content{Request: "popular"})
	is.Equal(refused, nil)
	guard.Answered("first", quarantine.Content{Request: "popular"})
	release()
	sent := time.Now()
	for i := range 6 {
		is.True(!guard.Lost(quarantine.Loss{Content: quarantine.Content{Request: "popular"}, Attempt: fmt.Sprint("call-", i), Engine: fmt.Sprint("engine-", i), Sent: sent}))
	}
	release, refused = guard.Admit(context.Background(), "next", quarantine.Content{Request: "popular"})
	is.Equal(refused, nil)
	release()
}
