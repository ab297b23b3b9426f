package storenode_test

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// writeWithHeaders sends a request with headers whose body comes in two chunks.
func (c *client) writeWithHeaders(path, id string, headers map[string]string) {
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Api-Key: %s\r\nTransfer-Encoding: chunked\r\n", path, modelHost, id, goodKey)
	for k, v := range headers {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	_, _ = io.WriteString(c.conn, b.String()+"\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n")
}

// TestStreamsOutliveRefusals guards against cutting streams that stopped to move while engines refuse requests.
func TestStreamsOutliveRefusals(t *testing.T) {
	const streams, count = 8, 10
	for _, c := range []struct {
		name, path string
		// refusing is the number of engines that refuse requests, of three.
		refusing int
	}{
		{"resumable, all engines refuse", "/full/a", 3},
		{"resumable, two of three refuse", "/full/a", 2},
		{"not resumable, all engines refuse", "/flag/a", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := &silentEngines{deployment: newDeployment(t, 0, 0, 1)}
			d.configure(func(config map[string]any) {
				for _, r := range config["routes"].([]any)[:2] {
					r.(map[string]any)["timeout_ms"] = 20000
				}
			})
			for i := range 3 {
				d.startEngineWith(i, standin.PlatformProcessOptions{Events: count, Interval: 500 * time.Millisecond, LoadTime: 400 * time.Millisecond})
			}
			d.awaitReady(d.host(0))
			d.watchStalls()
			answers := make(chan answer, streams)
			for i := range streams {
				go func() {
					caller := d.client(d.hosts[0])
					headers := maps.Clone(longAnswerPrompt(i))
					headers["X-Deadline-Ms"] = "15000"
					caller.writeWithHeaders(c.path, fmt.Sprint("s", i), headers)
					answers <- caller.read()
				}()
			}
			d.await("all run", func() bool { return len(d.runs()) == streams })
			time.Sleep(600 * time.Millisecond) // the first events have arrived
			for _, e := range d.engines[:c.refusing] {
				e.Trouble(standin.PlatformTrouble{RejectFor: 800 * time.Millisecond})
			}
			d.store.Put("keyed.op", "version/m1", map[string]any{"model": "m1", "version": 2})
			cut := 0
			for range streams {
				a := <-answers
				is.Equal(a.status, http.StatusOK)
				if a.truncated || a.body != wholeStream(count) {
					cut++
				}
			}
			is.Equal(cut, 0)
			refused := 0
			for _, e := range d.engines {
				refused += len(e.Refusals())
			}
			is.True(refused > 0) // a stream that had stopped was refused
			moved := 0
			for _, r := range d.runs() {
				if r.Moved {
					moved++
				}
			}
			t.Logf("%d refusals, %d runs from memory, %d in all", refused, moved, len(d.runs()))
			is.True(len(d.runs()) > streams)
		})
	}
}

// runs returns the runs of all engines.
func (d *silentEngines) runs() []standin.PlatformRun {
	var all []standin.PlatformRun
	for _, e := range d.engines {
		all = append(all, e.Runs()...)
	}
	return all
}

// TestStreamWaitsForUpstream guards against cutting a stream that no engine takes at the moment.
func TestStreamWaitsForUpstream(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// moves makes the stream stop to move; otherwise its engine breaks it off.
		moves bool
		// refuses makes the other engine refuse requests; otherwise engines accept no
		// connections.
		refuses bool
		// continued is how often the stream goes on with its memory, ran how often the other
		// engine reads it in again.
		continued, ran int
	}{
		{"broken off, the other engine refuses", "/full/a", false, true, 0, 1},
		{"broken off, no connection", "/full/a", false, false, 0, 1},
		{"moved, no connection", "/full/a", true, false, 1, 0},
		{"moved, may not be resumed, no connection", "/flag/a", true, false, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 0, 1, 0)
			dialer := &cutDialer{}
			d.dialers = map[int]*cutDialer{0: dialer}
			d.awaitReady(d.host(0))
			source := d.engines[0]
			source.Pace(400 * time.Millisecond)
			if !c.moves {
				source.Fail(standin.CutFault, 1)
			}
			caller := d.client(d.hosts[0])
			caller.write(http.MethodPost, modelHost, c.path, movedID, patientPrompt(0), "body")
			_, err := caller.in.Peek(1) // the answer has begun
			is.NoErr(err)
			target := d.target()
			switch {
			case c.refuses:
				target.RejectWithRetryAfter("0.3", 1200*time.Millisecond)
			case c.moves:
				source.MoveTakes(300 * time.Millisecond)
				d.await("the stream moves", func() bool {
					d.hosts[0].Evacuate(source.ID)
					return source.Moves() == 1
				})
				fallthrough
			default:
				dialer.set(refuseCut)
				time.AfterFunc(1200*time.Millisecond, func() { dialer.set(noCut) })
			}
			a := caller.read()
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, completeStream())
			is.True(!a.truncated)
			is.Equal(target.Continued()+source.Continued(), c.continued)
			is.Equal(target.Ran()[movedID], c.ran)
		})
	}
}

// TestWaitingStreamsKeepToTheRetryBudget guards against waiting streams that flood engines which refuse them.
func TestWaitingStreamsKeepToTheRetryBudget(t *testing.T) {
	const streams = 20
	is := is.New(t)
	d := newDeployment(t, 0, 1, 0)
	d.configure(func(config map[string]any) { config["routes"].([]any)[0].(map[string]any)["timeout_ms"] = 20000 })
	d.awaitReady(d.host(0))
	source := d.engines[0]
	source.Pace(800 * time.Millisecond)
	answers := make(chan answer, streams)
	for i := range streams {
		go func() {
			answers <- d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", fmt.Sprint("s", i), patientPrompt(i), "body")
		}()
	}
	d.await("all run", func() bool { return len(source.Ran()) == streams })
	target := d.target()
	for _, e := range []*standin.PlatformEngine{source, target} {
		e.RejectWithRetryAfter("0.05", 2*time.Second)
	}
	d.await("all are to move", func() bool {
		d.hosts[0].Evacuate(source.ID)
		return source.Moves() == streams
	})
	for range streams {
		a := <-answers
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, completeStream())
		is.True(!a.truncated)
	}
	arrivals, first := len(source.Seen())+len(target.Seen()), 2*streams // with the first request to go on of each
	t.Logf("%d arrivals", arrivals)
	is.True(float64(arrivals-first) <= 0.2*streams+50)
}

// TestWaitingStreamEndsWithItsCaller guards against sending a stream whose caller left while it waited.
func TestWaitingStreamEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 0)
	source := d.engines[0]
	source.Pace(400 * time.Millisecond)
	caller := d.client(d.hosts[0])
	caller.write(http.MethodPost, modelHost, "/full/a", movedID, longAnswerPrompt(0), "body")
	_, err := caller.in.Peek(1) // the answer has begun
	is.NoErr(err)
	target := d.target()
	const refusal = 1500 * time.Millisecond
	accepts := time.Now().Add(refusal)
	for _, e := range []*standin.PlatformEngine{source, target} {
		e.RejectWithRetryAfter("0.1", refusal)
	}
	d.await("the stream moves", func() bool {
		d.hosts[0].Evacuate(source.ID)
		return source.Moves() == 1
	})
	d.await("both engines have refused it", func() bool { return arrived(target, movedID) && d.arrivals(movedID) > 1 })
	is.NoErr(caller.conn.Close())
	d.await("no copy is left", func() bool { return target.Copies() == 0 })
	sent := d.arrivals(movedID) + len(target.Seen())
	time.Sleep(time.Until(accepts) + 500*time.Millisecond)
	is.Equal(d.arrivals(movedID)+len(target.Seen()), sent)
	is.Equal(source.Continued()+target.Continued(), 0)
}
