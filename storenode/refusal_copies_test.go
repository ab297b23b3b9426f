package storenode_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// listAgain lists the upstreams under earlier ids, too, as after a restart, and waits until
// the host knows them.
func (d *deployment) listAgain(round int) {
	last := ""
	for i, e := range d.upstreams() {
		entry := e.Entry()
		entry["born"] = time.Now().Add(-time.Minute).UnixMilli()
		last = fmt.Sprintf("earlier-%d-%d", round, i)
		d.store.Put("keyed.servers", last, entry)
	}
	d.await("the host knows them", func() bool { return d.hosts[0].Knows(last) })
}

// checkRefusals checks that no request ran that was refused, and that those which may run
// once did.
func (d *deployment) checkRefusals(id string, a answer, resumable bool) {
	d.t.Helper()
	ran := d.executions(id)
	if a.status != 200 && ran > 0 {
		d.t.Errorf("request %s: answered %d, ran %d times", id, a.status, ran)
	}
	if !resumable && ran > 1 {
		d.t.Errorf("request %s ran %d times", id, ran)
	}
}

// TestCopiedRefusalOfAnEarlierIncarnationIsNotBelieved has upstreams refuse requests for
// their earlier incarnations, which are still listed, and send copies of the refusals.
func TestCopiedRefusalOfAnEarlierIncarnationIsNotBelieved(t *testing.T) {
	const rounds, callers = 4, 24
	late := standin.RefusalCopies{Count: 1}
	for _, c := range []struct {
		name, host, path string
		prompt           bool
		copies           standin.RefusalCopies
	}{
		{"run once", serviceHost, "/post/a", false, late},
		{"run once, copied twice", serviceHost, "/post/a", false, standin.RefusalCopies{Count: 2}},
		{"run once, copied at once", serviceHost, "/post/a", false, standin.RefusalCopies{Count: 1, Early: true}},
		{"run once, copied some time later", serviceHost, "/post/a", false, standin.RefusalCopies{Count: 1, Late: 5 * time.Millisecond}},
		{"run once, copied with the end of the connection", serviceHost, "/post/a", false, standin.RefusalCopies{Count: 1, Close: true}},
		{"stream", modelHost, "/flag/a", true, late},
		{"resumable stream", modelHost, "/full/a", true, late},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 4, 4)
			d.t, d.is = t, is
			for _, e := range d.upstreams() {
				e.CopyRefusals(c.copies)
			}
			for round := range rounds {
				d.listAgain(round)
				var callersDone sync.WaitGroup
				for n := range callers {
					callersDone.Go(func() {
						id, headers := fmt.Sprintf("r-%d-%d", round, n), map[string]string(nil)
						if c.prompt {
							headers = map[string]string{"X-Model": "m1", "X-Token-Usage": "1000,20", "X-Prompt-Prefix": fmt.Sprintf("%x:800,cc:200", round*callers+n)}
						}
						d.checkRefusals(id, d.do(d.hosts[0], "POST", c.host, c.path, id, headers, "body"), c.path == "/full/a")
					})
				}
				callersDone.Wait()
			}
			copies := 0
			for _, e := range d.upstreams() {
				copies += e.SentCopies()
			}
			is.True(copies > 0) // some copies were sent
		})
	}
}

// TestCopiedRefusalIsNotBelievedWhereAStreamMoves has an engine refuse streams and send
// copies of the refusals; the streams run at another and move to the first one.
func TestCopiedRefusalIsNotBelievedWhereAStreamMoves(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 2, 0)
	// Streams go first to the engine that has cached their prompt.
	is.Equal(d.do(d.hosts[0], "POST", modelHost, "/full/a", "cached", longAnswerPrompt(0), "body").status, 200)
	first, second := d.engines[0], d.engines[1]
	if second.Ran()["cached"] > 0 {
		first, second = second, first
	}
	first.CopyRefusals(standin.RefusalCopies{Count: 1})
	for _, e := range d.engines {
		e.Pace(200 * time.Millisecond)
	}
	const streams = 8
	moved, cut, twice := 0, 0, 0
	for i := range streams {
		id := fmt.Sprint("s", i)
		first.Fail(standin.FullFault, 1)
		c := d.client(d.hosts[0])
		c.write("POST", modelHost, "/full/a", id, longAnswerPrompt(0), "body")
		resp, err := http.ReadResponse(c.in, nil)
		is.NoErr(err)
		first.Fail(standin.NoFault, 0)
		before, body, ended := first.Received(), "", make(chan struct{})
		go func() {
			defer close(ended)
			raw, err := io.ReadAll(resp.Body)
			if body = string(raw); err != nil {
				t.Log(err)
			}
			_ = resp.Body.Close()
		}()
		d.await("the stream has moved or ended", func() bool {
			d.hosts[0].Evacuate(second.ID)
			return first.Received() > before || second.Ran()[id] == 0 || isClosed(ended)
		})
		if <-ended; body != completeStream() {
			cut++
		}
		moved += first.Received() - before
		twice += d.executions(id) - 1
	}
	is.True(moved > 0) // some streams moved to the engine that had refused them
	is.Equal(cut, 0)
	is.Equal(twice, 0)
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
