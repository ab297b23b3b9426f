package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// httpText returns an answer of an upstream. The head holds whole lines.
func httpText(status int, head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(body), body)
}

// startRepeater starts an upstream that sends its refusals once more, and a client of it.
func startRepeater(t *testing.T, answer func(nth int, r *http.Request) string) (*upstream.Client, *standin.Repeater) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	u, err := standin.NewRepeater(ctx, &wait, answer)
	is.New(t).NoErr(err)
	t.Cleanup(func() { stop(); wait.Wait() })
	return upstream.NewClient(), u
}

// booking returns a call that must not run twice.
func booking(address, attempt string) upstream.Call {
	return upstream.Call{Address: address, Method: http.MethodPost, Path: "/bookings", Body: []byte("{}"), Key: "key", Attempt: attempt}
}

// TestServiceCallThatRanIsNotTakenForRefused guards against a call that is reported as
// refused, or sent on as not started, though the service runs it: the service refuses the
// call before, sends that refusal once more and runs this call.
func TestServiceCallThatRanIsNotTakenForRefused(t *testing.T) {
	for _, c := range []struct{ name, head, next string }{
		{"the same attempt at the same address", "X-Attempt-Id: a\r\nX-Not-Started: true\r\n", "a"},
		{"an invalid request of the same attempt", "X-Attempt-Id: a\r\n", "a"},
		{"a service that names no attempt", "", "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client, service := startRepeater(t, func(nth int, r *http.Request) string {
				if nth == 1 {
					return httpText(http.StatusConflict, c.head, "")
				}
				if c.head == "" {
					return httpText(http.StatusOK, "", "ran")
				}
				return httpText(http.StatusOK, "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n", "ran")
			})
			_, _ = client.Run(context.Background(), booking(service.Address(), "a"))
			answer, err := client.Run(context.Background(), booking(service.Address(), c.next))
			is.NoErr(err)
			is.Equal(string(answer.Body), "ran")
			is.Equal(service.Copies(), 0)
		})
	}
}

// TestServiceAnswersAreNotCrossed guards against callers that get the answer to the call
// before, which follows a refusal that was sent twice.
func TestServiceAnswersAreNotCrossed(t *testing.T) {
	is := is.New(t)
	client, service := startRepeater(t, func(nth int, _ *http.Request) string {
		if nth == 1 {
			return httpText(http.StatusConflict, "", "")
		}
		return httpText(http.StatusOK, "", fmt.Sprint(nth))
	})
	for nth := range 4 {
		answer, err := client.Run(context.Background(), booking(service.Address(), fmt.Sprint(nth)))
		is.NoErr(err)
		if nth > 0 {
			is.Equal(string(answer.Body), fmt.Sprint(nth+1))
		}
	}
}

// openArriving opens a completion, anew if connecting took so long that no call arrived.
func openArriving(c *upstream.Client, engine *standin.Repeater, call upstream.Call) (*upstream.Stream, error) {
	for {
		before := len(engine.Seen())
		stream, err := c.Open(context.Background(), call)
		if err == nil || len(engine.Seen()) > before {
			return stream, err
		}
	}
}

// TestCompletionIsNotAnsweredByEarlierRefusal guards against a completion that is reported as
// refused though it runs, because the engine sent the refusal of the one before once more, and
// against an engine that counts as crashed because of that.
func TestCompletionIsNotAnsweredByEarlierRefusal(t *testing.T) {
	for _, c := range []struct {
		name, head string
		status     int
	}{
		{"not started", "X-Attempt-Id: a\r\nX-Not-Started: true\r\n", http.StatusServiceUnavailable},
		{"not started, without an attempt", "X-Not-Started: true\r\n", http.StatusServiceUnavailable},
		{"invalid", "X-Attempt-Id: a\r\n", http.StatusBadRequest},
		{"invalid, without an attempt", "", http.StatusBadRequest},
		{"failed", "X-Attempt-Id: a\r\n", http.StatusInternalServerError},
		{"failed, without an attempt", "", http.StatusInternalServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client, engine := startRepeater(t, func(nth int, r *http.Request) string {
				if nth == 1 {
					return httpText(c.status, c.head, "")
				}
				return httpText(http.StatusOK, "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n", "data: [DONE]\n\n")
			})
			call := upstream.Call{Address: engine.Address(), Method: http.MethodPost, Path: "/v1/completions", Attempt: "a"}
			_, err := openArriving(client, engine, call)
			var rejected *upstream.Rejected
			// Nothing else can have been answered on a new connection.
			is.Equal(errors.As(err, &rejected), c.status == http.StatusBadRequest)
			call.Attempt = "b"
			stream, err := openArriving(client, engine, call)
			is.NoErr(err)
			defer stream.Close()
			is.Equal(stream.Attempt, "b")
			is.Equal(engine.Copies(), 0)
		})
	}
}

// TestCompletionIsNotAnsweredByEarlierStream guards against a completion that is answered by
// the stream of the one before, because the engine sent that once more.
func TestCompletionIsNotAnsweredByEarlierStream(t *testing.T) {
	is := is.New(t)
	last := map[string]string{}
	client, engine := startRepeater(t, func(_ int, r *http.Request) string {
		earlier := last[r.RemoteAddr]
		last[r.RemoteAddr] = httpText(http.StatusOK, "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n", "data: [DONE]\n\n")
		return earlier + last[r.RemoteAddr]
	})
	for nth := range 4 {
		attempt := fmt.Sprint(nth)
		stream, err := openArriving(client, engine, upstream.Call{Address: engine.Address(), Method: http.MethodPost, Path: "/v1/completions", Attempt: attempt})
		if nth%2 == 1 {
			is.True(errors.Is(err, upstream.ErrWrongAttempt))
			continue
		}
		is.NoErr(err)
		is.Equal(stream.Attempt, attempt)
		_, err = stream.Next()
		is.NoErr(err)
		stream.SkipRest()
		stream.Close()
	}
	is.Equal(engine.Connections(), 2)
}

// TestAnswerWithoutAttemptOnAUsedConnection guards against a completion that is rejected by an
// earlier answer, and against a crashed engine whose proxy's answer doesn't count as its loss.
func TestAnswerWithoutAttemptOnAUsedConnection(t *testing.T) {
	for _, tt := range []struct {
		status     int
		isDoubtful bool
	}{
		{http.StatusOK, true},
		{http.StatusBadRequest, true},
		{http.StatusInternalServerError, false},
		{http.StatusServiceUnavailable, false},
	} {
		t.Run(http.StatusText(tt.status), func(t *testing.T) {
			is := is.New(t)
			client, engine := startRepeater(t, func(nth int, r *http.Request) string {
				if nth == 1 {
					return httpText(http.StatusOK, "X-Attempt-Id: "+r.Header.Get("X-Attempt-Id")+"\r\n", "data: [DONE]\n\n")
				}
				return httpText(tt.status, "", "")
			})
			call := upstream.Call{Address: engine.Address(), Method: http.MethodPost, Path: "/v1/completions", Attempt: "a"}
			stream, err := client.Open(context.Background(), call)
			is.NoErr(err)
			stream.SkipRest()
			call.Attempt = "b"
			_, err = client.Open(context.Background(), call)
			is.True(trace.IsConnectionProblem(err))
			is.Equal(errors.Is(err, upstream.ErrWrongAttempt), tt.isDoubtful)
			is.Equal(engine.Connections(), 1)
		})
	}
}

// TestCompletionAfterRefusalIsAnswered guards against a completion that fails because the
// engine sends its refusal of the one before once more.
func TestCompletionAfterRefusalIsAnswered(t *testing.T) {
	const notStartedField = "X-Not-Started: true\r\n"
	for _, c := range []struct {
		status      int
		field, body string
	}{
		{http.StatusServiceUnavailable, notStartedField, "the queue is full"},
		{http.StatusTooManyRequests, notStartedField, "the queue is full"},
		{http.StatusServiceUnavailable, notStartedField, ""},
		{http.StatusTooManyRequests, notStartedField, ""},
		{http.StatusBadRequest, "", "invalid"},
		{http.StatusBadRequest, "", ""},
		{http.StatusInternalServerError, "", ""},
	} {
		t.Run(fmt.Sprintf("%d %q", c.status, c.body), func(t *testing.T) {
			is := is.New(t)
			client, engine := startRepeater(t, func(nth int, r *http.Request) string {
				head := "X-Attempt-Id: " + r.Header.Get("X-Attempt-Id") + "\r\n"
				if nth == 1 {
					return httpText(c.status, head+c.field, c.body)
				}
				return httpText(http.StatusOK, head, "data: [DONE]\n\n")
			})
			call := upstream.Call{Address: engine.Address(), Method: http.MethodPost, Path: "/v1/completions", Attempt: "a"}
			_, err := client.Open(context.Background(), call)
			var notStarted *upstream.NotStarted
			is.Equal(errors.As(err, &notStarted), c.field != "")
			call.Attempt = "b"
			stream, err := client.Open(context.Background(), call)
			is.NoErr(err)
			defer stream.Close()
			is.Equal(engine.Copies(), 0)
		})
	}
}

// TestControlCallsAreNotAnsweredByOthers guards against an order that is taken for accepted
// or refused, and a report that is taken for an engine's present one, because of an earlier
// refusal that the engine sent once more.
func TestControlCallsAreNotAnsweredByOthers(t *testing.T) {
	const empty, object = "", `{"Reason":"loading"}`
	report := func(nth int) string {
		return httpText(http.StatusOK, "", fmt.Sprintf(`{"Name":"e","Incarnation":%d,"Version":"v%d"}`, nth, nth))
	}
	for _, tt := range []struct {
		name, refusal string
		answer        func(nth int) string
		run           func(ctx context.Context, is *is.I, c *upstream.Client, address string)
	}{
		{"an accepted order is not taken for refused", empty, func(int) string { return httpText(http.StatusOK, "", "{}") }, func(ctx context.Context, is *is.I, c *upstream.Client, address string) {
			_ = c.Order(ctx, address, rollout.Order{Fence: 1})
			is.NoErr(c.Order(ctx, address, rollout.Order{Fence: 2}))
		}},
		{"a refused order is not taken for accepted", empty, func(nth int) string {
			if nth == 2 {
				return httpText(http.StatusOK, "", `{"Attempt":"a"}`)
			}
			return httpText(http.StatusConflict, "", "")
		}, func(ctx context.Context, is *is.I, c *upstream.Client, address string) {
			_ = c.Order(ctx, address, rollout.Order{Fence: 1})
			_ = c.Cancel(ctx, address, "a")
			is.True(trace.IsCompareFailed(c.Order(ctx, address, rollout.Order{Fence: 2})))
		}},
		{"a refusal is not taken for a load report", object, report, func(ctx context.Context, is *is.I, c *upstream.Client, address string) {
			_, _ = c.Load(ctx, address)
			load, err := c.Load(ctx, address)
			is.NoErr(err)
			is.Equal(load.Version, "v2")
		}},
		{"a load report is not that of an earlier incarnation", empty, report, func(ctx context.Context, is *is.I, c *upstream.Client, address string) {
			_ = c.Order(ctx, address, rollout.Order{Fence: 1})
			_, _ = c.Load(ctx, address)
			load, err := c.Load(ctx, address)
			is.NoErr(err)
			is.Equal(load.Incarnation, int64(3))
		}},
		{"cache events are not those of an earlier incarnation", empty, report, func(ctx context.Context, is *is.I, c *upstream.Client, address string) {
			_ = c.Order(ctx, address, rollout.Order{Fence: 1})
			_, _ = c.Load(ctx, address)
			events, err := c.Events(ctx, address, 0)
			is.NoErr(err)
			is.Equal(events.Incarnation, int64(3))
		}},
	} {
		for name, idLine := range idLines {
			t.Run(tt.name+", "+name, func(t *testing.T) {
				client, engine := startRepeater(t, func(nth int, r *http.Request) string {
					if nth == 1 {
						return withLine(httpText(http.StatusConflict, "Content-Type: application/json\r\n", tt.refusal), idLine(r))
					}
					return withLine(tt.answer(nth), idLine(r))
				})
				tt.run(context.Background(), is.New(t), client, engine.Address())
				is.New(t).Equal(engine.Copies(), 0)
			})
		}
	}
}

// idLines returns, for each kind of engine, the head line that names the call.
var idLines = map[string]func(r *http.Request) string{
	"the engine repeats IDs": func(r *http.Request) string { return "X-Call-Id: " + r.Header.Get("X-Call-Id") + "\r\n" },
	"the engine names none":  func(*http.Request) string { return "" },
}

// withLine adds a line to the head of an answer.
func withLine(answer, line string) string {
	status, rest, _ := strings.Cut(answer, "\r\n")
	return status + "\r\n" + line + rest
}

// reportCalls fetch the number of the incarnation that an engine reports.
var reportCalls = map[string]func(c *upstream.Client, address string) (int64, error){
	"load": func(c *upstream.Client, address string) (int64, error) {
		load, err := c.Load(context.Background(), address)
		return load.Incarnation, err
	},
	"cache events": func(c *upstream.Client, address string) (int64, error) {
		report, err := c.Events(context.Background(), address, 0)
		return report.Incarnation, err
	},
}

// TestCopyOfAnEarlierReportIsNotBelieved guards against a report that is taken for an engine's
// present one, because the engine sent the one before once more where the next was due.
func TestCopyOfAnEarlierReportIsNotBelieved(t *testing.T) {
	for kind, fetch := range reportCalls {
		for name, idLine := range idLines {
			t.Run(kind+", "+name, func(t *testing.T) {
				is := is.New(t)
				last := map[string]string{}
				client, engine := startRepeater(t, func(nth int, r *http.Request) string {
					earlier := last[r.RemoteAddr]
					last[r.RemoteAddr] = withLine(httpText(http.StatusOK, "", fmt.Sprintf(`{"Incarnation":%d}`, nth)), idLine(r))
					return earlier + last[r.RemoteAddr]
				})
				for range 4 {
					incarnation, err := fetch(client, engine.Address())
					is.NoErr(err)
					is.Equal(incarnation, int64(len(engine.Seen())))
				}
			})
		}
	}
}

// TestReportsShareAConnection guards against a connection for each report of an engine that
// names the call that it answers.
func TestReportsShareAConnection(t *testing.T) {
	for kind, fetch := range reportCalls {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			client, engine := startRepeater(t, func(_ int, r *http.Request) string {
				return withLine(httpText(http.StatusOK, "", "{}"), idLines["the engine repeats IDs"](r))
			})
			for range 4 {
				_, err := fetch(client, engine.Address())
				is.NoErr(err)
			}
			is.Equal(engine.Connections(), 1)
		})
	}
}

// TestAnswerThatNamesAnotherCallIsNoReport guards against the report of another engine behind
// an intermediary that gives its answer to the wrong call.
func TestAnswerThatNamesAnotherCallIsNoReport(t *testing.T) {
	for kind, fetch := range reportCalls {
		t.Run(kind, func(t *testing.T) {
			client, engine := startRepeater(t, func(int, *http.Request) string {
				return httpText(http.StatusOK, "X-Call-Id: other\r\n", `{"Incarnation":1}`)
			})
			_, err := fetch(client, engine.Address())
			is.New(t).True(trace.IsConnectionProblem(err))
		})
	}
}

// TestRefusedControlCallsAreErrors guards against a refusal that is decoded as a load report,
// which would order new weights, and against a cancellation that is taken for done.
func TestRefusedControlCallsAreErrors(t *testing.T) {
	is := is.New(t)
	client, engine := startRepeater(t, func(int, *http.Request) string {
		return httpText(http.StatusServiceUnavailable, "Content-Type: application/json\r\n", `{"Reason":"loading"}`)
	})
	_, err := client.Load(context.Background(), engine.Address())
	is.True(trace.IsConnectionProblem(err))
	is.True(trace.IsConnectionProblem(client.Cancel(context.Background(), engine.Address(), "a")))
}
