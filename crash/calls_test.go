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
	is.True(!guard.Lost(quarantine.Loss{Attempt: "call", Fingerprint: "crasher", Engine: "engine-1", Sent: time.Now()}))
	is.True(guard.Lost(quarantine.Loss{Attempt: "call", Fingerprint: "crasher", Engine: "engine-2", Sent: time.Now()}))
}

// TestAnswerAfterLossEndsSuspicion answers a call that has lost an engine. A
// loss during a later call with the same request makes it a suspect again; it
// isn't quarantined.
func TestAnswerAfterLossEndsSuspicion(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	is.True(!guard.Lost(quarantine.Loss{Attempt: "call", Fingerprint: "innocent", Engine: "engine-1", Sent: time.Now()}))
	guard.Answered("call", "innocent")
	is.True(!guard.Lost(quarantine.Loss{Attempt: "later", Fingerprint: "innocent", Engine: "engine-2", Sent: time.Now()}))
}

// TestPopularRequestsSurviveOutage loses all engines at once with the same
// request on each. Since it was answered before, it isn't quarantined.
func TestPopularRequestsSurviveOutage(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	release, refused := guard.Admit(context.Background(), "first", "popular")
	is.Equal(refused, nil)
	guard.Answered("first", "popular")
	release()
	sent := time.Now()
	for i := range 6 {
		is.True(!guard.Lost(quarantine.Loss{Attempt: fmt.Sprint("call-", i), Fingerprint: "popular", Engine: fmt.Sprint("engine-", i), Sent: sent}))
	}
	release, refused = guard.Admit(context.Background(), "next", "popular")
	is.Equal(refused, nil)
	release()
}
