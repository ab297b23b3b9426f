package http1_test

import (
	"strings"
	"testing"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// TestStatusLineOfTheProtocol checks that only what the protocol allows counts as the
// status line of an answer.
func TestStatusLineOfTheProtocol(t *testing.T) {
	const rest = "X-Attempt-Id: r\r\nX-Response-Stamp: s\r\nContent-Length: 4\r\n\r\nbody"
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 404 No": 404, "HTTP/1.1 599 Odd": 599,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Made": 201,
		"HTTP/1.1 000 No": 0, "HTTP/1.1 000": 0, "HTTP/1.1 001 No": 0, "HTTP/1.1 099 No": 0, "HTTP/1.1 99 No": 0, "HTTP/1.1 600 No": 0, "HTTP/1.1 999 No": 0, "HTTP/1.1 1000 No": 0,
		"HTTP/1.1 2000": 0, "HTTP/1.1 -20 No": 0, "HTTP/1.1 +20 No": 0, "HTTP/1.1 2 0 No": 0, "HTTP/1.1  OK": 0, "HTTP/1.1": 0, "HTTP/1.1 ２００ OK": 0, "HTTP/2.0 200 OK": 0, "ICY 200 OK": 0, "200 OK": 0,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 No": 0,
	} {
		upstream := newScriptedUpstream(t)
		answer := []byte(line + "\r\n" + rest)
		upstream.answer.Store(&answer)
		x, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(t.Context(), upstream.listener.Addr().String(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
		name := strings.ReplaceAll(line, "\r\n", "|")
		switch {
		case err != nil && want != 0:
			t.Errorf("%q: %v", name, err)
		case err == nil && x.Status != want:
			t.Errorf("%q counts as an answer with the status %d", name, x.Status)
		}
		if err == nil {
			x.Discard()
		}
	}
}
