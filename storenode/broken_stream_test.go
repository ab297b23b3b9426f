package storenode_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestErrorOfNextEngineStaysOutOfStream breaks a stream off after its first event and
// has every other engine answer with something else than the rest of the stream.
func TestErrorOfNextEngineStaysOutOfStream(t *testing.T) {
	const (
		signed = "X-Attempt-Id: id\r\nX-Response-Stamp: s\r\n"
		events = "id: 2\ndata: error\n\n"
	)
	text := func(status, header, body string) string {
		return "HTTP/1.1 " + status + "\r\n" + strings.ReplaceAll(header, "id", "ID") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, c := range []struct{ name, answer string }{
		{"an error", text("500 Internal Server Error", signed+"Content-Type: text/event-stream\r\n", events)},
		{"a refusal", text("503 Service Unavailable", "X-Attempt-Id: id\r\nX-Not-Executed: 1\r\n", events)},
		{"an unsigned error", text("500 Internal Server Error", "X-Attempt-Id: id\r\n", events)},
		{"an unsigned success", text("200 OK", "X-Attempt-Id: id\r\nContent-Type: text/event-stream\r\n", events)},
		{"a client error", text("400 Bad Request", signed, events)},
		{"a redirect", text("302 Found", signed, events)},
		{"a success of another type", text("200 OK", signed+"Content-Type: text/plain\r\n", "internal error\n\nHTTP/1.1 500\n\n")},
		{"a success without a type", text("200 OK", signed, "internal error\n\n")},
		{"a success without content", "HTTP/1.1 204 No Content\r\n" + strings.ReplaceAll(signed, "id", "ID") + "\r\n"},
		{"another success", text("206 Partial Content", signed+"Content-Type: text/event-stream\r\n", events)},
		{"an answer to another request", text("200 OK", "X-Attempt-Id: other\r\nX-Response-Stamp: s\r\nContent-Type: text/event-stream\r\n", events)},
		{"no HTTP", "internal error\n\n"},
		{"a blank in a name", text("200 OK", signed+"Content-Type: text/event-stream\r\nX A: v\r\n", events)},
		{"a blank before a colon", text("200 OK", signed+"Content-Type: text/event-stream\r\nX-A : v\r\n", events)},
		{"a control byte in a name", text("200 OK", signed+"Content-Type: text/event-stream\r\nX\x01A: v\r\n", events)},
		{"status 000", text("000 No", signed+"Content-Type: text/event-stream\r\n", events)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 3, 0)
			for _, e := range d.engines {
				e.Fail(standin.CutFault, 1)
				e.AnswerResumed(c.answer)
			}
			answer := d.do(d.hosts[0], http.MethodPost, modelHost, "/full/a", "s", prompt, "body")
			is.Equal(answer.status, http.StatusOK)
			is.True(answer.truncated) // must not look complete
			is.Equal(answer.body, "id: 1\ndata: piece 1\n\n")
		})
	}
}
