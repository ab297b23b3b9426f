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

// harness starts and calls the engines under test.
type harness struct {
	*testing.T
}

func (h harness) startEngine(change func(*standin.EngineOptions)) *standin.Engine {
	h.Helper()
	o := standin.DefaultEngineOptions("engine")
	o.TokenMillis, o.AnswerTokens = 0.1, 4
	change(&o)
	ctx, cancel := context.WithCancel(context.Background())
	e, err := standin.NewEngine(ctx, "127.0.0.1:0", o)
	is.New(h).NoErr(err)
	h.Cleanup(func() {
		cancel()
		e.Wait()
	})
	return e
}

// call sends JSON, decodes the answer into a non-nil value and returns the
// status.
func (h harness) call(method, url string, body, into any) int {
	h.Helper()
	is := is.New(h)
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

// answer is the outcome of a completion request.
type answer struct {
	name   string
	status int
	cached string
	body   string
}

// complete sends a completion request and sends its outcome to outcomes.
func (h harness) complete(e *standin.Engine, name, prompt string, priority int, outcomes chan<- answer) {
	raw, _ := json.Marshal(map[string]any{"model": "m", "prompt": prompt})
	req, _ := http.NewRequest(http.MethodPost, e.URL()+"/v1/completions", bytes.NewReader(raw))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Attempt-Id", name)
	req.Header.Set("X-Priority", strconv.Itoa(priority))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		outcomes <- answer{name: name, body: err.Error()}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	outcomes <- answer{name, resp.StatusCode, resp.Header.Get("X-Cached-Tokens"), string(body)}
}

// awaitLoad waits until the engine reports the given load.
func (h harness) awaitLoad(e *standin.Engine, running, queued int) {
	h.Helper()
	for {
		var load standin.EngineLoad
		h.call(http.MethodGet, e.URL()+"/control/load", nil, &load)
		if load.Running == running && load.Queued == queued {
			return
		}
		time.Sleep(pollInterval)
	}
}

// TestPriorities checks that a free slot goes to the waiting request with the
// highest priority, and that a cancelled request leaves the queue.
func TestPriorities(t *testing.T) {
	is := is.New(t)
	h := harness{t}
	e := h.startEngine(func(o *standin.EngineOptions) { o.Slots, o.AnswerTokens = 1, 50 })
	h.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{SlowFactor: 1e6}, nil)
	outcomes := make(chan answer, 4)
	go h.complete(e, "first", "x", 0, outcomes)
	h.awaitLoad(e, 1, 0)
	for i, name := range []string{"low", "cancelled", "high"} {
		go h.complete(e, name, "x", []int{1, 2, 9}[i], outcomes)
		h.awaitLoad(e, 1, i+1)
	}
	h.call(http.MethodPost, e.URL()+"/control/cancel", map[string]string{"Attempt": "cancelled"}, nil)
	is.Equal((<-outcomes).status, http.StatusServiceUnavailable)
	h.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{}, nil)
	h.call(http.MethodPost, e.URL()+"/control/cancel", map[string]string{"Attempt": "first"}, nil)
	is.Equal((<-outcomes).name, "first")
	is.Equal((<-outcomes).name, "high")
	is.Equal((<-outcomes).name, "low")
}

// TestPrefill checks that a short prompt overtakes a long one during its
// prefill, and that cancelling a request frees the accelerator.
func TestPrefill(t *testing.T) {
	is := is.New(t)
	h := harness{t}
	e := h.startEngine(func(o *standin.EngineOptions) { o.PrefillTokensPerSecond = 400_000 })
	long := strings.Repeat("x", 1000*prefix.PieceBytes)
	outcomes := make(chan answer, 2)
	go h.complete(e, "long", long, 0, outcomes)
	h.awaitLoad(e, 1, 0)
	go h.complete(e, "short", "y", 0, outcomes)
	is.Equal((<-outcomes).name, "short")
	h.call(http.MethodPost, e.URL()+"/control/cancel", map[string]string{"Attempt": "long"}, nil)
	is.Equal((<-outcomes).status, http.StatusServiceUnavailable)
	h.awaitLoad(e, 0, 0)
}

// TestFreeze checks that a frozen engine sends nothing and resumes after the
// freeze.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	h := harness{t}
	e := h.startEngine(func(*standin.EngineOptions) {})
	h.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{Frozen: true}, nil)
	outcomes := make(chan answer, 1)
	go h.complete(e, "held", "x", 0, outcomes)
	time.Sleep(10 * pollInterval)
	is.Equal(len(outcomes), 0)
	h.call(http.MethodPost, e.URL()+"/faults", standin.EngineFaults{}, nil)
	outcome := <-outcomes
	is.Equal(outcome.status, http.StatusOK)
	is.True(strings.HasSuffix(outcome.body, "[DONE]\n\n"))
}

// TestTransfers checks that pieces exported to a kept store, imported from
// there by a second engine and from that one by a third count as cached.
func TestTransfers(t *testing.T) {
	is := is.New(t)
	h := harness{t}
	fast := func(o *standin.EngineOptions) { o.PrefillTokensPerSecond, o.TransferMillis = 1e7, 0 }
	first, second, third := h.startEngine(fast), h.startEngine(fast), h.startEngine(fast)
	ctx, cancel := context.WithCancel(context.Background())
	kept, err := standin.NewKeptStore(ctx, "127.0.0.1:0", 100)
	is.NoErr(err)
	defer kept.Wait()
	defer cancel()
	prompt := strings.Repeat("z", 3*prefix.PieceBytes)
	outcomes := make(chan answer, 1)
	h.complete(first, "a", prompt, 0, outcomes)
	is.Equal((<-outcomes).cached, "0")
	var pieces []string
	for _, k := range prefix.Pieces(prefix.Scope{Model: "m", Weights: "v1"}, []byte(prompt)) {
		pieces = append(pieces, k.String())
	}
	move := func(e *standin.Engine, operation, peer string, pieces ...string) int {
		var moved standin.KVMoved
		is.Equal(h.call(http.MethodPost, e.URL()+"/control/"+operation, standin.KVOrder{Pieces: pieces, Peer: peer}, &moved), http.StatusOK)
		return moved.Pieces
	}
	is.Equal(move(second, "import", kept.URL(), pieces...), 0) // the kept store is still empty
	is.Equal(move(first, "export", kept.URL(), pieces...), 3)
	is.Equal(move(second, "import", kept.URL(), pieces[0], pieces[1]), 2)
	is.Equal(move(third, "import", second.URL(), pieces...), 2) // it stops at the gap
	h.complete(third, "b", prompt, 0, outcomes)
	is.Equal((<-outcomes).cached, "8192")
	var counts standin.KeptCounts
	h.call(http.MethodGet, kept.URL()+"/counts", nil, &counts)
	is.Equal(counts, standin.KeptCounts{Pieces: 3, Reads: 3, Misses: 1, Writes: 3})
	h.call(http.MethodPost, kept.URL()+"/faults", standin.KeptFaults{Down: true, Empty: true}, nil)
	is.Equal(move(second, "import", kept.URL(), pieces...), 0)
}
