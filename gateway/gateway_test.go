package gateway_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/kumquathoist/kumquathoist/dispatch"
	"github.com/kumquathoist/kumquathoist/document"
	"github.com/kumquathoist/kumquathoist/gateway"
	"github.com/kumquathoist/kumquathoist/ingress"
	"github.com/kumquathoist/kumquathoist/membership"
	"github.com/kumquathoist/kumquathoist/request"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// answerLimit bounds the wait for an answer. A passing run needs far less.
const answerLimit = 20 * time.Second

// fakeRunner answers completions with the given texts and records the requests.
type fakeRunner struct {
	texts   []string
	failure *request.Failure
	// hold, if set, blocks requests until it is closed.
	hold chan struct{}
	got  chan request.Request
	// ended receives the context error of a held request, or nil.
	ended chan error
}

func (f *fakeRunner) Complete(ctx context.Context, _ document.Document, r request.Request, sink dispatch.Sink) *request.Failure {
	f.got <- r
	for i, text := range f.texts {
		data := fmt.Sprintf(`{"id":"x","choices":[{"delta":{"content":%q}}]}`, text)
		if sink(upstream.Chunk{Position: i + 1, Data: []byte(data)}) != nil {
			if f.hold != nil {
				f.ended <- ctx.Err()
			}
			return nil
		}
		if f.hold == nil {
			continue
		}
		select {
		case <-f.hold:
		case <-ctx.Done():
			f.ended <- ctx.Err()
			return request.Refuse(request.UpstreamFailed, "left")
		}
	}
	if f.failure == nil {
		_ = sink(upstream.Chunk{End: true})
	}
	return f.failure
}

func (f *fakeRunner) Serve(ctx context.Context, _ document.Document, r request.Request) (upstream.Answer, *request.Failure) {
	f.got <- r
	if f.hold != nil {
		select {
		case <-f.hold:
		case <-ctx.Done():
		}
		f.ended <- ctx.Err()
	}
	return upstream.Answer{Status: http.StatusCreated, ContentType: "text/plain", Body: []byte("booked")}, f.failure
}

func (f *fakeRunner) Hosts() []membership.Host { return nil }

// testDocument has an account mill that may use one model and one service.
var testDocument = document.Document{
	Capacity: document.Capacity{Pools: []document.Pool{
		{Name: "engines", Kind: document.EnginePool},
		{Name: "approvals", Kind: document.ServicePool}, {Name: "seats", Kind: document.ServicePool},
	}},
	Models: document.Models{Models: []document.Model{{Name: "matcher", Pool: "engines"}, {Name: "drafts", Pool: "engines"}}},
	Accounts: document.Accounts{Accounts: []document.Account{
		{Name: "mill", KeyHash: document.HashKey("mill-key"), Models: []string{"matcher"}, Services: []string{"approvals"}},
	}},
}

func newRunner() *fakeRunner {
	return &fakeRunner{texts: []string{"a", "b"}, got: make(chan request.Request, 100), ended: make(chan error, 1)}
}

// start serves a gateway with small limits and returns its address. The
// connection limit has headroom, since the host may notice that a connection was
// closed only after the next one is open.
func start(t *testing.T, f *fakeRunner) string {
	t.Helper()
	return startLimited(t, f, 64)
}

// startLimited is like start with a limit on open connections.
func startLimited(t *testing.T, f *fakeRunner, connections int) string {
	t.Helper()
	s := settings.Default()
	s.Listen.Callers = "127.0.0.1:0"
	s.Limits = settings.Limits{BodyBytes: 4096, HeaderBytes: 2048, Connections: connections, IdleSeconds: 1, DeadlineSeconds: 60}
	ctx, cancel := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	g, err := gateway.New(ctx, &wait, gateway.Options{
		Allotment: machine, Bodies: newBodies(),
		Settings: s, Runner: f, Directory: f, Metrics: tally.NoopScope,
		Document: func() (document.Document, bool) { return testDocument, true },
	})
	is.New(t).NoErr(err)
	t.Cleanup(func() {
		cancel()
		wait.Wait()
	})
	return g.Address()
}

// exchange sends raw bytes and returns the status and the body of the answer.
func exchange(t *testing.T, address, raw string) (int, string) {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(answerLimit)))
	_, _ = conn.Write([]byte(raw))
	method, _, _ := strings.Cut(raw, " ")
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	is.NoErr(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp.StatusCode, string(body)
}

// head builds the request line and headers of a request by account mill.
func head(line string, headers ...string) string {
	return line + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer mill-key\r\n" + strings.Join(headers, "\r\n")
}

// post builds a complete POST request.
func post(path, body string, headers ...string) string {
	headers = append(headers, fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)))
	return head("POST "+path, headers...) + body
}

const (
	chat     = "/v1/chat/completions"
	goodBody = `{"model":"matcher","messages":[{"role":"user","content":"pair"}]}`
)

// TestBadInput sends invalid requests and checks that each gets a typed answer,
// reaches no upstream and does not affect another request.
func TestBadInput(t *testing.T) {
	keyed := "Idempotency-Key: 0197a7a4-0000-7000-8000-000000000000"
	chunked := "Transfer-Encoding: chunked"
	tests := []struct {
		name, raw string
		status    int
		code      request.Code
	}{
		{"oversized body", post(chat, strings.Repeat(" ", 5000)), 413, request.TooLarge},
		{"oversized chunked body", head("POST "+chat, chunked, "", "2000\r\n"+strings.Repeat("x", 0x2000)), 413, request.TooLarge},
		{"oversized head", post(chat, goodBody, "X-Long: "+strings.Repeat("x", 4000)), 431, request.HeadTooLarge},
		{"incomplete body", head("POST "+chat, "Content-Length: 100\r\n\r\n{"), 408, request.TooSlow},
		{"incomplete head", "POST /v1/chat", 408, request.TooSlow},
		{"truncated JSON", post(chat, goodBody[:30]), 400, request.BadRequest},
		{"data after the JSON", post(chat, goodBody+"{}"), 400, request.BadRequest},
		{"JSON that is no object", post(chat, `[1]`), 400, request.BadRequest},
		{"no body", post(chat, ""), 400, request.BadRequest},
		{"model of a wrong type", post(chat, `{"model":1,"messages":[{"role":"user","content":"x"}]}`), 400, request.BadRequest},
		{"stream of a wrong type", post(chat, strings.Replace(goodBody, "{", `{"stream":"yes",`, 1)), 400, request.BadRequest},
		{"negative token limit", post(chat, strings.Replace(goodBody, "{", `{"max_tokens":-1,`, 1)), 400, request.BadRequest},
		{"two choices", post(chat, strings.Replace(goodBody, "{", `{"n":2,`, 1)), 400, request.BadRequest},
		{"duplicate model key", post(chat, strings.Replace(goodBody, "{", `{"model":"drafts",`, 1)), 400, request.BadRequest},
		{"model in another case", post(chat, `{"Model":"matcher","messages":[{"role":"user","content":"x"}]}`), 404, request.NotFound},
		{"no messages", post(chat, `{"model":"matcher","messages":[]}`), 400, request.BadRequest},
		{"message without a role", post(chat, `{"model":"matcher","messages":[{"content":"x"}]}`), 400, request.BadRequest},
		{"content of a wrong type", post(chat, `{"model":"matcher","messages":[{"role":"user","content":{"a":1}}]}`), 400, request.BadRequest},
		{"part without a type", post(chat, `{"model":"matcher","messages":[{"role":"user","content":[{"text":"x"}]}]}`), 400, request.BadRequest},
		{"two prompts", post("/v1/completions", `{"model":"matcher","prompt":["a","b"]}`), 400, request.BadRequest},
		{"unknown model", post(chat, strings.Replace(goodBody, "matcher", "ghost", 1)), 404, request.NotFound},
		{"forbidden model", post(chat, strings.Replace(goodBody, "matcher", "drafts", 1)), 403, request.Forbidden},
		{"unknown key", "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ghost\r\n\r\n", 401, request.Unauthenticated},
		{"no key", "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n", 401, request.Unauthenticated},
		{"another scheme", "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Basic bWlsbA==\r\n\r\n", 401, request.Unauthenticated},
		{"unknown path", head("GET /v2/x", "", ""), 404, request.NotFound},
		{"wrong method", head("GET "+chat, "", ""), 405, request.NoMethod},
		{"unknown method", head("BREW "+chat, "", ""), 405, request.NoMethod},
		{"no deadline left", post(chat, goodBody, "X-Deadline-Millis: 0"), 503, request.DeadlineTooNear},
		{"negative deadline", post(chat, goodBody, "X-Deadline-Millis: -5"), 400, request.BadRequest},
		{"deadline too far", post(chat, goodBody, "X-Deadline-Millis: 99999999999999999999"), 400, request.BadRequest},
		{"bad priority", post(chat, goodBody, "X-Priority: high"), 400, request.BadRequest},
		{"priority out of range", post(chat, goodBody, "X-Priority: 10"), 400, request.BadRequest},
		{"bad position", post(chat, goodBody, "Last-Event-ID: abc"), 400, request.BadRequest},
		{"compressed body", post(chat, goodBody, "Content-Encoding: gzip"), 400, request.BadRequest},
		{"length and chunks", post(chat, goodBody, chunked), 400, request.BadRequest},
		{"two lengths", post(chat, goodBody, "Content-Length: 1"), 400, request.BadRequest},
		{"same length twice", post(chat, "{}", "Content-Length: 2"), 400, request.BadRequest},
		{"signed length", head("POST "+chat, "Content-Length: +2\r\n\r\n{}"), 400, request.BadRequest},
		{"folded header", post(chat, goodBody, "X-Fold: a\r\n b"), 400, request.BadRequest},
		{"bare line feed", head("POST "+chat, "X-A: b\nX-C: d", "Content-Length: 2\r\n\r\n{}"), 400, request.BadRequest},
		{"space before the colon", post(chat, goodBody, "X-A : b"), 400, request.BadRequest},
		{"unknown coding", post(chat, goodBody, "Transfer-Encoding: xchunked"), 400, request.BadRequest},
		{"bad chunk size", head("POST "+chat, chunked, "", "zz\r\n{}\r\n0\r\n\r\n"), 400, request.BadRequest},
		{"unknown service", post("/services/ghost/x", "", keyed), 404, request.NotFound},
		{"engines as a service", post("/services/engines/x", "", keyed), 404, request.NotFound},
		{"forbidden service", post("/services/seats/x", "", keyed), 403, request.Forbidden},
		{"unsupported service method", head("TRACE /services/approvals/x", "", ""), 405, request.NoMethod},
		{"non-repeatable call without a key", post("/services/approvals/x", "{}"), 400, request.BadRequest},
		{"key without an issue time", post("/services/approvals/x", "{}", "Idempotency-Key: 17"), 400, request.BadRequest},
		{"key too long", post("/services/approvals/x", "{}", "Idempotency-Key: "+strings.Repeat("k", 300)), 400, request.BadRequest},
		{"invalid X-Repeatable", post("/services/approvals/x", "{}", keyed, "X-Repeatable: maybe"), 400, request.BadRequest},
		{"completion that may not be repeated", post(chat, goodBody, "X-Repeatable: false"), 400, request.BadRequest},
		{"dots in the path", post("/services/approvals/../seats/x", "{}", keyed), 400, request.BadRequest},
		{"escaped dots", post("/services/approvals/%2e%2E/x", "{}", keyed), 400, request.BadRequest},
		{"escaped slash", post("/services/approvals/a%2f..%2fb", "{}", keyed), 400, request.BadRequest},
		{"backslash", post(`/services/approvals/a\b`, "{}", keyed), 400, request.BadRequest},
		{"escaped control", post("/services/approvals/a%00b", "{}", keyed), 400, request.BadRequest},
	}
	is := is.New(t)
	held := newRunner()
	held.hold = make(chan struct{})
	address := start(t, held)
	resp := open(t, address, strings.Replace(goodBody, "{", `{"stream":true,`, 1))
	<-held.got
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			status, body := exchange(t, address, tt.raw)
			var answer struct {
				Error struct {
					Code    request.Code
					Outcome request.Outcome
				}
			}
			is.NoErr(json.Unmarshal([]byte(body), &answer)) // the answer is typed
			is.Equal(status, tt.status)
			is.Equal(answer.Error.Code, tt.code)
			is.Equal(answer.Error.Outcome, wantOutcome(tt.raw, tt.code))
			is.Equal(len(held.got), 0) // nothing reached an upstream
		})
	}
	close(held.hold)
	whole, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(string(whole), "data: [DONE]\n\n")) // the open stream is complete
}

// open sends a completion and returns the open answer.
func open(t *testing.T, address, body string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+chat, strings.NewReader(body))
	is.New(t).NoErr(err)
	req.Header.Set("Authorization", "Bearer mill-key")
	resp, err := http.DefaultClient.Do(req)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// TestCompletionBodies checks the prompt levels decoded from the usual forms of a
// body.
func TestCompletionBodies(t *testing.T) {
	image := `{"type":"image_url","image_url":{"url":"u"}}`
	tests := []struct {
		path, body string
		levels     []string
	}{
		{chat, `{"model":"matcher","messages":[{"role":"system","content":"rules"},{"role":"user","content":"p\u00e1r"}]}`, []string{"rules", "pár"}},
		{chat, `{"model":"matcher","messages":[{"role":"user","content":[{"type":"text","text":"a"},` + image + `,{"type":"text","text":"b"}]}]}`, []string{"a" + image + "b"}},
		{chat, `{"model":"matcher","stream":null,"messages":[{"role":"assistant","content":null,"tool_calls":[]},{"role":"user","content":""}]}`, []string{"", ""}},
		{"/v1/completions", ` {"model":"matcher","stream" : false ,"max_tokens":null,"max_completion_tokens":7,"prompt":"pair"}`, []string{"pair"}},
		{"/v1/completions", `{"model":"matcher","prompt":["pair"]}`, []string{"pair"}},
	}
	f := newRunner()
	address := start(t, f)
	for _, tt := range tests {
		is := is.New(t)
		status, _ := exchange(t, address, post(tt.path, tt.body, "X-Priority: 9", "X-Deadline-Millis: 1500"))
		is.Equal(status, http.StatusOK)
		r := <-f.got
		var levels []string
		for _, l := range r.Levels {
			levels = append(levels, string(l))
		}
		is.Equal(levels, tt.levels)
		is.Equal(r.Priority, 9)
		is.Equal(r.MaxTokens > 0, strings.Contains(tt.body, ":7,"))
		is.Equal(r.Remaining, 1500*time.Millisecond)
		var sent struct{ Stream bool }
		is.NoErr(json.Unmarshal(r.Body, &sent))
		is.True(sent.Stream) // engines always stream
	}
}

// TestFailures checks how a failure is sent to callers with and without
// streaming.
func TestFailures(t *testing.T) {
	is := is.New(t)
	f := newRunner()
	f.failure = request.Refuse(request.UpstreamFailed, "no engine").WithOutcome(request.Unknown).WithRetryAfter(1500 * time.Millisecond)
	address := start(t, f)
	status, body := exchange(t, address, post(chat, goodBody))
	want := `{"error":{"message":"no engine","type":"server_error","code":"UpstreamFailed","outcome":"Unknown","retry_after_seconds":2}}`
	is.Equal(status, http.StatusBadGateway)
	is.Equal(body, want)
	status, body = exchange(t, address, post(chat, strings.Replace(goodBody, "{", `{"stream":true,`, 1)))
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(body, "id: 1\ndata: {"))
	is.True(strings.HasSuffix(body, "event: error\ndata: "+want+"\n\n"))
	is.True(!strings.Contains(body, "[DONE]"))
}

// TestServiceCalls checks which parts of a call and its answer are passed between
// a caller and a plain service.
func TestServiceCalls(t *testing.T) {
	is := is.New(t)
	f := newRunner()
	address := start(t, f)
	key := "0197a7a4-0000-7000-8000-000000000000"
	raw := post("/services/approvals/a%20b/c?x=1", "seat=4", "Idempotency-Key: "+key, "Content-Type: application/x-www-form-urlencoded",
		"Accept: text/plain", "Connection: X-Secret-Hop", "X-Secret-Hop: 1", "Proxy-Authorization: Basic x", "Cookie: a=b")
	status, body := exchange(t, address, raw)
	is.Equal(status, http.StatusCreated)
	is.Equal(body, "booked")
	r := <-f.got
	r.ID = ""
	is.Equal(r, request.Request{ // no other header is passed on
		Kind: request.ServiceCall, Account: "mill", Service: "approvals", Method: "POST", Path: "/a%20b/c?x=1",
		ContentType: "application/x-www-form-urlencoded", Accept: "text/plain", Body: []byte("seat=4"),
		Key: key, KeyIssued: r.KeyIssued, Remaining: time.Minute,
	})
	_, _ = exchange(t, address, head("GET /services/approvals/x", "Idempotency-Key: "+key+"\r\nX-Repeatable: false\r\nConnection: close\r\n\r\n"))
	is.True(!(<-f.got).Idempotent) // the header overrides the method
	for method, repeatable := range map[string]bool{"GET": true, "HEAD": true, "PUT": false, "PATCH": false, "DELETE": false} {
		_, _ = exchange(t, address, head(method+" /services/approvals/x", "Idempotency-Key: "+key+"\r\nConnection: close\r\n\r\n"))
		r := <-f.got
		is.Equal(r.Method, method)
		is.Equal(r.Idempotent, repeatable)
	}
}

// TestCallerDisconnects checks that completions and repeatable calls are cancelled
// when the caller disconnects, and that other calls continue.
func TestCallerDisconnects(t *testing.T) {
	key := "Idempotency-Key: 0197a7a4-0000-7000-8000-000000000000"
	for raw, ends := range map[string]bool{
		post(chat, goodBody): true,
		post("/services/approvals/x", "{}", key, "X-Repeatable: true"): true,
		post("/services/approvals/x", "{}", key):                       false,
	} {
		is := is.New(t)
		f := newRunner()
		f.hold = make(chan struct{})
		address := start(t, f)
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		_, err = conn.Write([]byte(raw))
		is.NoErr(err)
		<-f.got
		is.NoErr(conn.Close())
		if ends {
			is.Equal(<-f.ended, context.Canceled)
			continue
		}
		status, _ := exchange(t, address, head("GET /healthz", "", ""))
		is.Equal(status, http.StatusOK)
		is.Equal(len(f.ended), 0) // still runs
		close(f.hold)
		is.NoErr(<-f.ended)
	}
}

// TestConnectionLimits checks the limit on open connections and the idle timeout: a caller
// is refused while requests in progress use all connections, and idle ones make room.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	const connections = 4
	f := newRunner()
	f.hold, f.ended = make(chan struct{}), make(chan error, connections)
	address := startLimited(t, f, connections)
	var held []net.Conn
	for range connections {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte(post("/services/approvals/a", "{}", "X-Repeatable: true")))
		is.NoErr(err)
		held = append(held, conn)
	}
	// The refused caller may be faster than the last of the others.
	status, body := exchange(t, address, head("GET /healthz", "Connection: close", "", ""))
	for try := 0; try < 100 && status != http.StatusServiceUnavailable; try++ {
		status, body = exchange(t, address, head("GET /healthz", "Connection: close", "", ""))
	}
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"code":"TooManyOpen","outcome":"Unknown"`))
	close(f.hold)
	for _, conn := range held {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusCreated)
		_, _ = io.Copy(io.Discard, resp.Body)
		is.NoErr(resp.Body.Close())
	}
	status, _ = exchange(t, address, head("GET /healthz", "", ""))
	is.Equal(status, http.StatusOK) // an idle one has made room
	// The host closes idle connections.
	for _, conn := range held {
		_, err := io.ReadAll(conn)
		is.NoErr(err)
	}
}

// TestCodesPage checks that docs/API.md lists every code.
func TestCodesPage(t *testing.T) {
	is := is.New(t)
	source, err := os.ReadFile("../request/request.go")
	is.NoErr(err)
	page, err := os.ReadFile("../docs/API.md")
	is.NoErr(err)
	codes := regexp.MustCompile(`Code = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	is.True(len(codes) > 0)
	for _, code := range codes {
		status := (&request.Failure{Code: request.Code(code[1])}).Status()
		is.True(strings.Contains(string(page), fmt.Sprintf("| %s | %d |", code[1], status))) // the page has the code
	}
}

// wantOutcome returns the expected outcome of a refusal by the gateway. A service
// call with a key that is refused because of the configuration may have run
// under an earlier configuration. No other refused request has run.
func wantOutcome(raw string, code request.Code) request.Outcome {
	refusedByDocument := slices.Contains([]request.Code{request.Unauthenticated, request.Forbidden, request.NotFound}, code)
	if refusedByDocument && strings.Contains(raw, "/services/") && strings.Contains(raw, "\r\nIdempotency-Key:") {
		return request.Unknown
	}
	return request.NotRun
}

// machine is what a host of the tests has.
var machine = settings.Machine{MemoryMB: 512, Descriptors: 4096}.Allotment(32 << 10)

// newBodies returns the bodies of a host.
func newBodies() *ingress.Bodies {
	return ingress.NewBodies(ingress.BodyOptions{Limits: machine.Limits, IDHeader: gateway.RequestIDHeader, Copies: gateway.BodyCopies, Metrics: tally.NoopScope})
}
