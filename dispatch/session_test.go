package dispatch_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/admission"
	"github.com/kumquathoist/kumquathoist/crash"
	"github.com/kumquathoist/kumquathoist/dispatch"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/engine"
	"github.com/kumquathoist/kumquathoist/gateway"
	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/upstream"
)

var update = flag.Bool("update", false, "write the golden files")

const sessionBody = `{"model":"matcher","stream":true,"prompt":"Match invoice 17."}`

// script is an engine's handler for one call.
type script func(w http.ResponseWriter, r *http.Request)

// session records the messages of a caller and the engines.
type session struct {
	t       *testing.T
	engines []document.Upstream
	scripts [][]script
	// onCancel, if set, is called for each cancel request.
	onCancel func(ctx context.Context)
	router   *dispatch.Dispatcher
	caller   string
	// mu guards the fields below. Cancels are recorded separately because they
	// arrive at any time after a failure.
	mu          sync.Mutex
	transcripts []strings.Builder
	cancels     []strings.Builder
	calls       int
}

// newSession starts a router with scripted engines behind it.
func newSession(t *testing.T, scripts ...[]script) *session {
	t.Helper()
	is := is.New(t)
	s := &session{t: t, scripts: scripts, transcripts: make([]strings.Builder, len(scripts)+1), cancels: make([]strings.Builder, len(scripts))}
	for i := range scripts {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.answer(i, w, r) }))
		t.Cleanup(server.Close)
		s.engines = append(s.engines, document.Upstream{Name: fmt.Sprintf("engine-%d", i+1), Address: strings.TrimPrefix(server.URL, "http://")})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	s.router = dispatch.New(dispatch.Options{
		Client: upstream.NewClient(), Engines: s, Admit: admission.New(admission.Options{}),
		Crashes: crash.NewGuard(ctx, &wait, crash.Options{Peers: func() []string { return nil }}),
	})
	doc := document.Document{
		Capacity: document.Capacity{Pools: []document.Pool{{Name: "engines", Kind: document.EnginePool, Upstreams: s.engines}}},
		Models:   document.Models{Models: []document.Model{{Name: "matcher", Pool: "engines", Version: "v1"}}},
		Accounts: document.Accounts{Accounts: []document.Account{{Name: "mill", KeyHash: document.HashKey("key")}}},
	}
	conf := settings.Default()
	conf.Listen.Callers = "127.0.0.1:0"
	g, err := gateway.New(ctx, &wait, gateway.Options{
		Allotment: machine, Bodies: newBodies(),
		Settings: conf, Runner: s.router, Engines: s, Metrics: tally.NoopScope,
		Document: func() (document.Document, bool) { return doc, true },
	})
	is.NoErr(err)
	s.caller = "http://" + g.Address()
	t.Cleanup(func() {
		cancel()
		http.DefaultClient.CloseIdleConnections()
		wait.Wait()
	})
	return s
}

// Choose returns the engines in order.
func (s *session) Choose(_ context.Context, _ document.Pool, _ document.Model, _ request.Request, tried []string) (engine.Choice, bool) {
	if len(tried) == len(s.engines) {
		return engine.Choice{}, false
	}
	return engine.Choice{Upstream: s.engines[len(tried)]}, true
}

// Started counts nothing.
func (s *session) Started(engine.Choice) func(engine.Report) { return func(engine.Report) {} }

// Ready returns the number of all engines.
func (s *session) Ready(document.Pool, string) int { return len(s.engines) }

// record appends to the transcript of a side; side 0 is the caller.
func (s *session) record(side int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.transcripts[side], format, args...)
}

// answer records a call to an engine and runs its next script.
func (s *session) answer(i int, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	if r.URL.Path == "/control/cancel" {
		if s.onCancel != nil {
			s.onCancel(r.Context())
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		fmt.Fprintf(&s.cancels[i], "> %s %s\n> %s\n", r.Method, r.URL.Path, body)
		return
	}
	s.record(i+1, "> %s %s\n", r.Method, r.URL.Path)
	for _, name := range []string{"X-Request-Id", "X-Attempt-Id", "X-Cache-Salt", "X-Expect-Incarnation", "X-Expect-Weights", "X-Resume-After", "X-Priority"} {
		if value := r.Header.Get(name); value != "" {
			s.record(i+1, "> %s: %s\n", name, value)
		}
	}
	s.record(i+1, "> %s\n", body)
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	next := s.scripts[i][0]
	s.scripts[i] = s.scripts[i][1:]
	next(recorder{w, func(raw string) { s.record(i+1, "< %s\n", raw) }}, r)
}

// recorder records what an engine writes.
type recorder struct {
	http.ResponseWriter
	record func(string)
}

// Write implements io.Writer.
func (r recorder) Write(raw []byte) (int, error) {
	r.record(strings.ReplaceAll(strings.TrimSpace(string(raw)), "\n", "\n< "))
	n, err := r.ResponseWriter.Write(raw)
	r.ResponseWriter.(http.Flusher).Flush()
	return n, err
}

// streamTokens returns a script that streams tokens and then runs end.
func streamTokens(from, to int, end script) script {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		w.Header().Set("X-Incarnation", "7")
		w.Header().Set("X-Weights", "v1")
		for i := from; i <= to; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"choices\":[{\"text\":\"w%d \"}]}\n\n", i, i)
		}
		end(w, r)
	}
}

func sendDone(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "data: [DONE]\n\n") }

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func breakConnection(w http.ResponseWriter, _ *http.Request) {
	w.(recorder).record("(the connection breaks)")
	panic(http.ErrAbortHandler)
}

func sendNotStarted(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Not-Started", "true")
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, "another incarnation")
}

// send sends the request and records the answer; it calls started after the
// second token.
func (s *session) send(header map[string]string, started func()) {
	s.t.Helper()
	is := is.New(s.t)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.caller+"/v1/completions", strings.NewReader(sessionBody))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("X-Request-Id", "request-1")
	s.record(0, "> POST /v1/completions\n")
	for _, name := range []string{"Last-Event-ID", "X-Model-Version"} {
		if header[name] != "" {
			req.Header.Set(name, header[name])
			s.record(0, "> %s: %s\n", name, header[name])
		}
	}
	s.record(0, "> %s\n", sessionBody)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	s.record(0, "< %s\n", resp.Status)
	for _, name := range []string{"Content-Type", "Retry-After", "X-Model-Version", "X-Request-Id"} {
		if value := resp.Header.Get(name); value != "" {
			s.record(0, "< %s: %s\n", name, value)
		}
	}
	var all []byte
	for part := make([]byte, 1); err == nil; _, err = resp.Body.Read(part) {
		if all = append(all, part[0]); bytes.HasSuffix(all, []byte("w2")) {
			started()
		}
	}
	is.Equal(err, io.EOF)
	is.NoErr(resp.Body.Close())
	s.record(0, "< %s\n\n", strings.ReplaceAll(strings.TrimSpace(string(all[1:])), "\n", "\n< "))
}

var attemptID = regexp.MustCompile(`[0-9a-f]{32}`)

// compare compares the session with its golden file once the engines have
// received the expected number of calls.
func (s *session) compare(name string, calls int) {
	s.t.Helper()
	is := is.New(s.t)
	for {
		s.mu.Lock()
		reached := s.calls >= calls
		s.mu.Unlock()
		if reached {
			break
		}
		time.Sleep(time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var all bytes.Buffer
	fmt.Fprintf(&all, "# The caller\n\n%s", s.transcripts[0].String())
	for i := range s.engines {
		fmt.Fprintf(&all, "# engine-%d\n\n%s\n", i+1, s.transcripts[i+1].String()+s.cancels[i].String())
	}
	ids := map[string]string{}
	got := attemptID.ReplaceAllStringFunc(all.String(), func(id string) string {
		if ids[id] == "" {
			ids[id] = fmt.Sprintf("attempt-%d", len(ids)+1)
		}
		return ids[id]
	})
	path := filepath.Join("testdata", name+".golden")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(want))
}

// TestSessions compares complete sessions with golden files. Completions don't
// use the log, so the files have no section for it.
func TestSessions(t *testing.T) {
	nothing := func() {}
	t.Run("normal", func(t *testing.T) {
		s := newSession(t, []script{streamTokens(1, 3, sendDone)})
		s.send(nil, nothing)
		s.compare("normal", 1)
	})
	t.Run("resumed", func(t *testing.T) {
		s := newSession(t, []script{streamTokens(1, 2, breakConnection), sendNotStarted}, []script{streamTokens(3, 4, sendDone)})
		s.send(nil, nothing)
		s.compare("resumed", 4)
	})
	t.Run("crasher", func(t *testing.T) {
		s := newSession(t, []script{breakConnection}, []script{breakConnection}, []script{streamTokens(1, 3, sendDone)})
		s.send(nil, nothing)
		s.send(nil, nothing)
		s.compare("crasher", 4)
	})
	t.Run("drain", func(t *testing.T) {
		s := newSession(t, []script{streamTokens(1, 2, hang)})
		s.send(nil, s.router.Stop)
		// The caller resumes at another router.
		other := newSession(t, []script{streamTokens(3, 4, sendDone)})
		other.send(map[string]string{"Last-Event-ID": "2", "X-Model-Version": "v1"}, nothing)
		other.compare("drain_other", 1)
		s.compare("drain", 2)
	})
}

// TestUnstreamedAnswer checks that an answer that is not streamed is complete
// although its engine failed in between.
func TestUnstreamedAnswer(t *testing.T) {
	is := is.New(t)
	s := newSession(t, []script{streamTokens(1, 2, breakConnection), sendNotStarted}, []script{streamTokens(3, 4, sendDone)})
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.caller+"/v1/completions", strings.NewReader(`{"model":"matcher","prompt":"x"}`))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer key")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	var body struct{ Choices []struct{ Text string } }
	is.NoErr(json.NewDecoder(resp.Body).Decode(&body))
	is.NoErr(resp.Body.Close())
	is.Equal(body.Choices[0].Text, "w1 w2 w3 w4 ")
}

// machine is what a host of the tests has.
var machine = settings.Machine{MemoryMB: 512, Descriptors: 4096}.Allotment(32 << 10)

// newBodies returns the bodies of a host.
func newBodies() *ingress.Bodies {
	return ingress.NewBodies(ingress.BodyOptions{Limits: machine.Limits, IDHeader: gateway.RequestIDHeader, Copies: gateway.BodyCopies, Metrics: tally.NoopScope})
}
