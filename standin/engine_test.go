package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/prefix"
	"github.com/kumquathoist/kumquathoist/standin"
)

const pollInterval = 5 * time.Millisecond

// bench is engines under test.
type bench struct {
	*testing.T
}

func (b bench) engine(change func(*standin.EngineOptions)) *standin.Engine {
	b.Helper()
	o := standin.DefaultEngineOptions("engine")
	o.TokenMillis, o.AnswerTokens = 0.1, 4
	change(&o)
	ctx, cancel := context.WithCancel(context.Background())
	e, err := standin.NewEngine(ctx, "127.0.0.1:0", o)
	is.New(b).NoErr(err)
	b.Cleanup(func() {
		cancel()
		e.Wait()
	})
	return e
}

// call sends JSON, decodes the answer if wanted and returns its status.
func (b bench) call(method, url string, body, into any) int {
	b.Helper()
	is := is.New(b)
	raw, err := json.Marshal(body)
	is.NoErr(err)
	req, err := http.NewRequest(method, url, bytes.NewReader(raw))
	is.NoErr(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	if into != nil {
		is.NoErr(json.NewDecoder(resp.Body).Decode(into))
	}
	return resp.StatusCode
}

// answer is the end of a completion.
type answer struct {
	name   string
	status int
	cached string
	body   string
}

// complete sends a completion and passes on its end.
func (b bench) complete(e *standin.Engine, name, prompt string, priority int, ends chan<- answer) {
	raw, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt})
	req, _ := http.NewRequest(http.MethodPost, e.URL()+"/v1/completions", bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Attempt-Id", name)
	req.Header.Set("X-Priority", strconv.Itoa(priority))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		ends <- answer{name: name, body: err.Error()}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	ends <- answer{name, resp.StatusCode, resp.Header.Get("X-Cached-Tokens"), string(body)}
}

// await waits until the load is as wanted.
func (b bench) await(e *standin.Engine, running, queued int) {
	b.Helper()
	for {
		var load standin.EngineLoad
		b.call(http.MethodGet, e.URL()+"/control/load", nil, &load)
		if load.Running == running && load.Queued == queued {
			return
		}
		time.Sleep(pollInterval)
	}
}

// TestPriorities checks that a slot goes to the highest priority that waits,
// and that a cancelled request leaves the queue.
func TestPriorities(t *testing.T) {
	is := is.New(t)
	b := bench{t}
	e := b.engine(func(o *standin.EngineOptions) { o.Slots, o.AnswerTokens = 1, 50 })
	b.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{SlowFactor: 1e6}, nil)
	ends := make(chan answer, 4)
	go b.complete(e, "first", "x", 0, ends)
	b.await(e, 1, 0)
	for i, name := range []string{"low", "gone", "high"} {
		go b.complete(e, name, "x", []int{1, 2, 9}[i], ends)
		b.await(e, 1, i+1)
	}
	b.call(http.MethodPost, e.URL()+"/control/cancel", map[string]string{"Attempt": "gone"}, nil)
	is.Equal((<-ends).status, http.StatusServiceUnavailable)
	b.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{}, nil)
	b.call(http.MethodPost, e.URL()+"/control/cancel", map[string]string{"Attempt": "first"}, nil)
	is.Equal((<-ends).name, "first")
	is.Equal((<-ends).name, "high")
	is.Equal((<-ends).name, "low")
}

// TestPrefill checks that a short prompt passes a long one that is being
// read, and that a cancelled prompt frees the accelerator.
func TestPrefill(t *testing.T) {
	is := is.New(t)
	b := bench{t}
	e := b.engine(func(o *standin.EngineOptions) { o.PrefillTokensPerSecond = 400_000 })
	long := strings.Repeat("x", 1000*prefix.PieceBytes)
	ends := make(chan answer, 2)
	go b.complete(e, "long", long, 0, ends)
	b.await(e, 1, 0)
	go b.complete(e, "short", "y", 0, ends)
	is.Equal((<-ends).name, "short")
	b.call(http.MethodPost, e.URL()+"/control/cancel", map[string]string{"Attempt": "long"}, nil)
	is.Equal((<-ends).status, http.StatusServiceUnavailable)
	b.await(e, 0, 0)
}

// TestFreeze checks that a frozen engine says nothing and goes on after the
// freeze.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	b := bench{t}
	e := b.engine(func(*standin.EngineOptions) {})
	b.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{Frozen: true}, nil)
	ends := make(chan answer, 1)
	go b.complete(e, "held", "x", 0, ends)
	time.Sleep(10 * pollInterval)
	is.Equal(len(ends), 0)
	b.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{}, nil)
	end := <-ends
	is.Equal(end.status, http.StatusOK)
	is.True(strings.HasSuffix(end.body, "[DONE]\n\n"))
}

// TestTransfers moves pieces from an engine to a kept store, from there to
// another engine, and on to a third; all count as cached there.
func TestTransfers(t *testing.T) {
	is := is.New(t)
	b := bench{t}
	fast := func(o *standin.EngineOptions) { o.PrefillTokensPerSecond, o.TransferMillis = 1e7, 0 }
	first, second, third := b.engine(fast), b.engine(fast), b.engine(fast)
	ctx, cancel := context.WithCancel(context.Background())
	kept, err := standin.NewKept(ctx, "127.0.0.1:0", 100)
	is.NoErr(err)
	defer kept.Wait()
	defer cancel()
	prompt := strings.Repeat("z", 3*prefix.PieceBytes)
	ends := make(chan answer, 1)
	b.complete(first, "a", prompt, 0, ends)
	is.Equal((<-ends).cached, "0")
	var pieces []string
	for _, k := range prefix.Pieces(prefix.Scope{Model: "m", Weights: "v1"}, []byte(prompt)) {
		pieces = append(pieces, k.String())
	}
	move := func(e *standin.Engine, what, peer string, pieces ...string) int {
		var moved standin.KVMoved
		is.Equal(b.call(http.MethodPost, e.URL()+"/control/"+what, standin.KVOrder{Pieces: pieces, Peer: peer}, &moved), http.StatusOK)
		return moved.Pieces
	}
	is.Equal(move(second, "import", kept.URL(), pieces...), 0) // nothing is kept yet
	is.Equal(move(first, "export", kept.URL(), pieces...), 3)
	is.Equal(move(second, "import", kept.URL(), pieces[0], pieces[1]), 2)
	is.Equal(move(third, "import", second.URL(), pieces...), 2) // it stops at the gap
	b.complete(third, "b", prompt, 0, ends)
	is.Equal((<-ends).cached, "8192")
	var counts standin.KeptCounts
	b.call(http.MethodGet, kept.URL()+"/counts", nil, &counts)
	is.Equal(counts, standin.KeptCounts{Pieces: 3, Reads: 3, Misses: 1, Writes: 3})
	b.call(http.MethodPost, kept.URL()+"/faults", standin.KeptFaults{Down: true, Empty: true}, nil)
	is.Equal(move(second, "import", kept.URL(), pieces...), 0)
}
