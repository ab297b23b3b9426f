package storenode_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRequestsGoOnFromTheirOwnMemory has two engines stop runs for each other, several times,
// when there is no room for the rest of their memory, and send copies of these refusals, which
// name the memory.
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
	for _, e := range d.engines {
		e.CopyRefusals(standin.RefusalCopies{Count: 1, ControlCalls: true})
		e.Fail(standin.LateNoRoomFault, 2*streams*rounds)
	}
	for i := range rounds {
		d.hosts[0].Evacuate(d.engines[(i+1)%2].ID)
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
	continued := first.Continued() + second.Continued()
	t.Logf("%d runs stopped, %d went on, %d copies", first.Moves()+second.Moves(), continued, first.SentCopies()+second.SentCopies())
	is.True(continued > streams) // most stopped several times
	is.Equal(others, 0)          // went on from the memory of others
	is.Equal(cut, 0)
	is.Equal(twice, 0)
}
