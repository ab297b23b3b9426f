package crash_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEachLossOfACallCounts loses several engines under one call.
func TestEachLossOfACallCounts(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	is.True(!guard.Lost("call", "crasher", "engine-1", time.Now()))
	is.True(guard.Lost("call", "crasher", "engine-2", time.Now()))
}

// TestAnAnswerAfterALossClearsTheCall answers a call that has lost an engine;
// the next call like it is suspected anew, not condemned.
func TestAnAnswerAfterALossClearsTheCall(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	is.True(!guard.Lost("call", "innocent", "engine-1", time.Now()))
	guard.Answered("call", "innocent")
	is.True(!guard.Lost("later", "innocent", "engine-2", time.Now()))
}

// TestPopularRequestsOutliveAnOutage loses all engines at once with the same
// request on each, which was answered before.
func TestPopularRequestsOutliveAnOutage(t *testing.T) {
	is := is.New(t)
	guard := startGuards(t, 1)[0]
	release, refused := guard.Admit(context.Background(), "first", "popular")
	is.Equal(refused, nil)
	guard.Answered("first", "popular")
	release()
	sent := time.Now()
	for i := range 6 {
		is.True(!guard.Lost(fmt.Sprint("call-", i), "popular", fmt.Sprint("engine-", i), sent))
	}
	release, refused = guard.Admit(context.Background(), "next", "popular")
	is.Equal(refused, nil)
	release()
}
