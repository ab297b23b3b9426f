package storenode_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRequestsGoOnFromTheirOwnMemory has an engine stop runs whose memory fits no other
// engine, several times, and send copies of these refusals, which name the memory.
func TestRequestsGoOnFromTheirOwnMemory(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 2, 0)
	const streams, rounds = 6, 3
	first, second := d.engines[0], d.engines[1]
	first.Fail(standin.FullFault, streams)
	for _, e := range d.engines {
		e.Pace(500 * time.Millisecond)
	}
	id := func(i int) string { return fmt.Sprint("s", i) }
	answers := make(chan answer, streams)
	for i := range streams {
		go func() {
			answers <- d.do(d.hosts[0], "POST", modelHost, "/full/a", id(i), longAnswerPrompt(i), "body")
		}()
	}
	d.await("all streams are running", func() bool { return len(second.Ran()) == streams })
	time.Sleep(200 * time.Millisecond) // the first events arrive
	second.CopyRefusals(standin.RefusalCopies{Count: 1, ControlCalls: true})
	second.Fail(standin.NoRoomFault, 2*streams*rounds)
	for range rounds {
		d.hosts[0].Evacuate(second.ID)
		time.Sleep(400 * time.Millisecond) // the streams go on
	}
	cut, twice, others := 0, 0, 0
	for range streams {
		if a := <-answers; a.truncated || a.body != completeStream() {
			cut++
		}
	}
	for i := range streams {
		if d.executions(id(i)) > 1 {
			twice++
		}
	}
	for _, e := range d.engines {
		for _, h := range e.Seen() {
			if from := h.Get("Kv-From"); from != "" && !strings.HasSuffix(from, "/h-"+h.Get("X-Attempt-Id")) {
				others++
			}
		}
	}
	t.Logf("%d runs stopped, %d went on, %d copies", second.Moves(), second.Continued(), second.SentCopies())
	is.True(second.Continued() > streams) // most stopped several times
	is.Equal(others, 0)                   // went on from the memory of others
	is.Equal(cut, 0)
	is.Equal(twice, 0)
}
