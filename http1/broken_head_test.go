package http1_test

import (
	"io"
	"strings"
	"testing"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// TestAnswerThatBreaksOffIsNotWhole ends the connection after each byte of an answer:
// it must be complete only with its last byte, whatever its framing.
func TestAnswerThatBreaksOffIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: r\r\nX-Response-Stamp: s\r\n"
	for _, answer := range []string{
		head + "Content-Length: 4\r\n\r\nbody",
		head + "Content-Length: 0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		head + "Content-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
	} {
		upstream := newScriptedUpstream(t)
		for end := range len(answer) {
			if strings.HasSuffix(answer, "\r\n\r\n") && end == len(answer)-1 && !strings.Contains(answer, "chunked") {
				continue // a line may end with a bare line feed
			}
			cut := []byte(answer[:end])
			upstream.answer.Store(&cut)
			x, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(t.Context(), upstream.listener.Addr().String(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), nil)
			if err != nil {
				continue
			}
			if _, err := io.ReadAll(x); err == nil || x.Complete() {
				t.Errorf("%q counts as a whole answer", cut)
			}
			x.Discard()
		}
	}
}
