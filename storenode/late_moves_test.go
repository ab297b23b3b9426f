package storenode_test

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/standin"
)

// migrationTimeout is how long hosts wait for the memory of a run that was stopped.
const migrationTimeout = 1500 * time.Millisecond

// movedID is the ID of the stream of a test.
const movedID = "s"

// target adds an engine to which streams can move.
func (d *deployment) target() *standin.PlatformEngine {
	d.t.Helper()
	e := d.engine("target", "models", "m1")
	d.await("the host knows the engine", func() bool { return d.hosts[0].Knows(e.ID) })
	return e
}

// TestSilentEngineMovesLate has an engine fall silent before a stream moves away from it.
// It carries the move out when it wakes. The caller gets the whole stream without a pause
// that it would not wait for, and no engine keeps memory that nobody will use.
func TestSilentEngineMovesLate(t *testing.T) {
	const count = 6
	for _, c := range []struct {
		name, path string
		// interval is the time between two events of the engine.
		interval time.Duration
		// moved is when the stream is to move and wakes when the engine wakes, both
		// after it fell silent; 0 for as soon as the stream was sent elsewhere.
		moved, wakes time.Duration
		// fault is the fault of the other engine's first request.
		fault standin.PlatformFault
		// continued is how often the stream goes on with its memory, ran how often it
		// is read in again.
		continued, ran int
	}{
		{"stream that may not be resumed", "/flag/a", 500 * time.Millisecond, 0, 1600 * time.Millisecond, standin.NoFault, 1, 0},
		{"stream resumed elsewhere meanwhile", "/full/a", 500 * time.Millisecond, 700 * time.Millisecond, 2500 * time.Millisecond, standin.NoFault, 0, 1},
		{"stream that stays since the other engine is full", "/full/a", 500 * time.Millisecond, 0, 1800 * time.Millisecond, standin.FullFault, 1, 0},
		{"stream whose second attempt hangs", "/full/a", 500 * time.Millisecond, 0, 0, standin.SilentFault, 1, 1},
		{"stream whose engine wakes without an event", "/full/a", 5 * time.Second, 0, 0, standin.SilentFault, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newSilentEngines(t, 1, count, 0, c.interval)
			caller := d.client(d.hosts[0])
			pauses := &pauseReader{in: caller.in}
			caller.in = bufio.NewReader(pauses)
			done := make(chan answer, 1)
			prompt := longAnswerPrompt(0)
			prompt["X-Deadline-Ms"] = "19000"
			go func() {
				caller.write(http.MethodPost, modelHost, c.path, movedID, prompt, "body")
				done <- caller.read()
			}()
			source, _ := d.engineOf(nil)
			target := d.target()
			target.Fail(c.fault, 1)
			target.Pace(500 * time.Millisecond)
			events, _ := pauses.heard()
			if c.interval < callerPatience {
				events++ // the silence begins right after an event
			}
			d.awaitEvents(pauses, max(events, 1))
			source.Pause()
			time.Sleep(c.moved)
			d.hosts[0].Evacuate(source.Options.ID)
			if c.wakes > 0 {
				time.Sleep(c.wakes - c.moved)
			} else {
				d.await("the stream was sent elsewhere", func() bool { return target.Ran()[movedID] == 1 })
			}
			source.Resume()
			a := <-done
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, wholeStream(count))
			is.True(!a.truncated)
			d.awaitPatient(pauses, callerPatience)
			is.Equal(target.Continued(), c.continued)
			is.Equal(target.Ran()[movedID], c.ran)
			is.True(target.Received() >= c.continued)
			d.await("no copy is left", func() bool { return target.Copies() == 0 })
		})
	}
}

// TestUnusedMemoryIsFreed has a run stop whose memory arrives at another engine when nobody
// will use it any more.
func TestUnusedMemoryIsFreed(t *testing.T) {
	for _, c := range []struct {
		name string
		// copied is how long the copy takes after the stop.
		copied time.Duration
		// leaves makes the caller leave between the two.
		leaves bool
	}{
		{"the caller has left", 500 * time.Millisecond, true},
		{"the stream goes on without it", migrationTimeout + 700*time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 1, 0)
			source := d.engines[0]
			source.Pace(400 * time.Millisecond)
			source.MoveTakes(c.copied)
			caller := d.client(d.hosts[0])
			caller.write(http.MethodPost, modelHost, "/full/a", movedID, longAnswerPrompt(0), "body")
			d.await("the stream runs", func() bool { return d.executions(movedID) == 1 })
			target := d.target()
			d.await("the stream moves", func() bool {
				d.hosts[0].Evacuate(source.ID)
				return source.Moves() == 1
			})
			if c.leaves {
				time.Sleep(c.copied / 2)
				is.NoErr(caller.conn.Close())
			} else {
				a := caller.read()
				is.Equal(a.body, completeStream())
				is.True(!a.truncated)
			}
			d.await("the memory has moved", func() bool { return target.Received() == 1 })
			d.await("no copy is left", func() bool { return target.Copies() == 0 })
		})
	}
}

// TestAnswerOfMoveIsLost has an engine move a stream without a word: it goes on with the
// memory that was copied before.
func TestAnswerOfMoveIsLost(t *testing.T) {
	for _, path := range []string{"/full/a", "/flag/a"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 1, 0)
			source := d.engines[0]
			source.Pace(400 * time.Millisecond)
			caller := d.client(d.hosts[0])
			caller.write(http.MethodPost, modelHost, path, movedID, longAnswerPrompt(0), "body")
			d.await("the stream runs", func() bool { return d.executions(movedID) == 1 })
			target := d.target()
			source.Fail(standin.LostMoveFault, 1)
			d.await("the stream moves", func() bool {
				d.hosts[0].Evacuate(source.ID)
				return source.Moves() == 1
			})
			a := caller.read()
			is.Equal(a.body, completeStream())
			is.True(!a.truncated)
			is.Equal(target.Ran()[movedID], 0)
			is.Equal(target.Continued(), 1)
		})
	}
}

// TestMovedRunIsNoCrash has a run stop to move without an answer: its engine has not
// crashed.
func TestMovedRunIsNoCrash(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1, 1, 0)
	var output standin.Output
	var wait conc.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	event.WriteTo(ctx, &wait, &output)
	source := d.engines[0]
	source.Pace(400 * time.Millisecond)
	source.Fail(standin.LostMoveFault, 1)
	caller := d.client(d.hosts[0])
	caller.write(http.MethodPost, modelHost, "/full/a", movedID, longAnswerPrompt(0), "body")
	d.await("the stream runs", func() bool { return d.executions(movedID) == 1 })
	target := d.target()
	d.await("the stream moves", func() bool {
		d.hosts[0].Evacuate(source.ID)
		return source.Moves() == 1
	})
	is.Equal(caller.read().body, completeStream())
	is.Equal(target.Ran()[movedID], 0)
	is.Equal(target.Continued(), 1)
	cancel()
	wait.Wait()
	event.Discard()
	is.Equal(countEvents(&output, "loss recorded"), 0)
}

// patientPrompt returns the i-th prompt with a long answer, for which the caller has time.
func patientPrompt(i int) map[string]string {
	headers := longAnswerPrompt(i)
	headers["X-Deadline-Ms"] = "19000"
	return headers
}

// TestStreamOutlivesSlowMove guards against cutting a stream that may be resumed, has stopped
// to move and may be sent to no other engine, while its memory is still on its way.
func TestStreamOutlivesSlowMove(t *testing.T) {
	for _, c := range []struct {
		name string
		// attempts is how often the stream may be sent, refused means that the other
		// engine refused it at first.
		attempts int
		refused  bool
	}{
		{"one engine may run it", 1, false},
		{"the other engine has refused it", 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 1, 0)
			d.configure(func(config map[string]any) {
				full := config["routes"].([]any)[0].(map[string]any)
				full["max_attempts"], full["timeout_ms"] = c.attempts, 20000
				config["routes"] = append(config["routes"].([]any), route("new", modelHost, "/new/", "streaming", "models", nil))
			})
			d.await("the configuration is in force", func() bool {
				return d.do(d.hosts[0], http.MethodPost, modelHost, "/new/a", fmt.Sprint(time.Now().UnixNano()), prompt, "body").status == http.StatusOK
			})
			source, target := d.engines[0], (*standin.PlatformEngine)(nil)
			source.Pace(time.Second)
			source.MoveTakes(migrationTimeout + 700*time.Millisecond)
			if c.refused {
				target = d.target()
				target.Fail(standin.FullFault, math.MaxInt)
			}
			caller := d.client(d.hosts[0])
			var id string
			for sent := 0; id == ""; sent++ {
				next := fmt.Sprint(movedID, sent)
				caller.write(http.MethodPost, modelHost, "/full/a", next, patientPrompt(sent), "body")
				d.await("the stream runs", func() bool { return source.Ran()[next] == 1 })
				if !c.refused || arrived(target, next) {
					id = next
				} else {
					is.Equal(caller.read().status, http.StatusOK)
				}
			}
			if c.refused {
				target.Fail(standin.NoFault, 0)
			} else {
				target = d.target()
			}
			d.await("the stream moves", func() bool {
				d.hosts[0].Evacuate(source.ID)
				return source.Moves() == 1
			})
			a := caller.read()
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, completeStream())
			is.True(!a.truncated)
			is.Equal(target.Continued(), 1)
			is.Equal(target.Ran()[id], 0) // the route's attempts are used up
			is.Equal(target.Copies(), 0)
		})
	}
}

// arrived reports whether a request has reached an engine.
func arrived(e *standin.PlatformEngine, request string) bool {
	return slices.ContainsFunc(e.Seen(), func(head http.Header) bool { return head.Get("X-Attempt-Id") == request })
}

// TestStreamIsNotMovedToSilentEngine guards against stopping a stream for an engine that is
// known to be silent, though another one answers.
func TestStreamIsNotMovedToSilentEngine(t *testing.T) {
	const moved = "moved"
	is := is.New(t)
	d := newSilentEngines(t, 1, 6, 0, 10*time.Second)
	silent := d.engines[0]
	caller := d.client(d.hosts[0])
	caller.write(http.MethodPost, modelHost, "/full/a", silentRequest, silentPrompt, "body")
	d.engineOf(nil)
	silent.Pause()
	source := d.engine("source", "models", "m1")
	source.Pace(2 * time.Second)
	d.await("the stream has left the silent engine", func() bool { return source.Ran()[silentRequest] == 1 })
	is.NoErr(caller.conn.Close())
	moving := d.client(d.hosts[0])
	moving.write(http.MethodPost, modelHost, "/full/a", moved, patientPrompt(0), "body")
	d.await("the other stream runs", func() bool { return source.Ran()[moved] == 1 })
	target, err := standin.NewPlatformEngine("target", "models", "south", "m1") // the silent one is nearer
	is.NoErr(err)
	t.Cleanup(target.Close)
	d.store.Put("keyed.servers", target.ID, target.Entry())
	d.await("the host knows the engine", func() bool { return d.hosts[0].Knows(target.ID) })
	d.await("the stream moves", func() bool {
		d.hosts[0].Evacuate(source.ID)
		return source.Moves() == 1
	})
	a := moving.read()
	is.Equal(a.body, completeStream())
	is.True(!a.truncated)
	is.Equal(target.Continued(), 1)
}
