package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

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
