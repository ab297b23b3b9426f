package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
)

// TestCutCopyOfARefusalIsNotBelieved has an upstream run a request and write, right before
// or after its answer, the copy of an earlier refusal; the first of the two is cut after each
// byte of its head in turn.
func TestCutCopyOfARefusalIsNotBelieved(t *testing.T) {
	const ran = "HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nX-Response-Stamp: s\r\nContent-Length: 3\r\n\r\nran"
	for name, refusal := range map[string]string{
		"id first":          "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: first\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
		"id last":           "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\nX-Not-Executed: 1\r\nX-Attempt-Id: first\r\n\r\nfull",
		"wrong address":     "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 4\r\nX-Instance-Id: i\r\nX-Attempt-Id: first\r\n\r\nfull",
		"no length":         "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: first\r\n\r\nfull",
		"chunked":           "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: first\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
		"connection closes": "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nX-Not-Executed: 1\r\nX-Attempt-Id: first\r\nContent-Length: 4\r\n\r\nfull",
	} {
		for order, texts := range map[string][2]string{"the copy is cut": {refusal, ran}, "the answer is cut": {ran, refusal}} {
			t.Run(name+", "+order, func(t *testing.T) {
				var believed []string
				for cut := range strings.Index(texts[0], "\r\n\r\n") + 4 {
					x := answerOf(t, texts[0][:cut]+texts[1])
					if x == nil {
						continue
					}
					if x.NotRun || x.Status != http.StatusOK {
						believed = append(believed, fmt.Sprint(cut))
					}
					x.Discard()
				}
				if len(believed) > 0 {
					t.Errorf("believed to have refused the request that ran if cut after %d of the bytes: %s", len(believed), strings.Join(believed, " "))
				}
			})
		}
	}
}

// TestHeadsMayNameTheProtocol has an upstream name the protocol in its answer's head.
func TestHeadsMayNameTheProtocol(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy, 1.1 other",
		"HTTP/1.1 200 HTTP/1.1 is spoken here\r\nServer: HTTP/1.1",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nVia: HTTP/1.0 20 HTTP/1.1 2",
	} {
		x := answerOf(t, head+"\r\nX-Attempt-Id: second\r\nContent-Length: 3\r\n\r\nran")
		if x == nil {
			t.Errorf("no answer with the head %q", head)
			continue
		}
		x.Discard()
	}
}

// answerOf returns the answer that is believed to be that of the request "second" if an
// upstream writes a text and closes the connection; nil if none is.
func answerOf(t *testing.T, text string) *http1.Exchange {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = conn.Write([]byte(text))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	x, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(ctx, listener.Addr().String(), "second", "POST", []byte("POST / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: second\r\nContent-Length: 0\r\n\r\n"), nil)
	if ctx.Err() != nil {
		t.Fatal(err)
	}
	if err != nil {
		return nil
	}
	return x
}

// TestCutBodyIsNotFilledUpWithACopy has an upstream cut the body of its answer after each byte
// and write a copy of an earlier refusal right after it.
func TestCutBodyIsNotFilledUpWithACopy(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: first\r\nX-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
	body := strings.Repeat("the answer of the upstream, ", 3)
	for _, length := range []int{len(body), 4096, 8192, 20000} {
		long := strings.Repeat("b", length-len(body)) + body
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nX-Response-Stamp: s\r\nContent-Length: %d\r\n\r\n", length)
		var believed []int
		for cut := length - len(body); cut < length; cut++ {
			if _, joined, ok := bodyOf(t, head+long[:cut]+refusal); ok && !joined {
				believed = append(believed, cut)
			}
		}
		if len(believed) > 0 {
			t.Errorf("%d bytes believed to be whole if cut after bytes %v", length, believed)
		}
	}
	const quoted = "a client sees HTTP/1.1 503 Service Unavailable and"
	for name, text := range map[string]string{
		"nothing": "", "a copy": refusal, "the start of a copy": refusal[:5], "bytes that are no answer": "\x00\x01 noise",
	} {
		for _, whole := range []string{body, quoted} {
			if strings.Contains(whole, "HTTP") && (len(text) == 5 || name == "bytes that are no answer") {
				continue // can't be told from the rest of an answer
			}
			got, joined, ok := bodyOf(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nContent-Length: %d\r\n\r\n%s%s", len(whole), whole, text))
			if !ok || joined || got != whole {
				t.Errorf("%q followed by %s: got %q, joined: %v", whole, name, got, joined)
			}
		}
	}
}

// bodyOf returns the body of the answer to the request "second" if an upstream writes a text,
// and whether it is joined from two answers.
func bodyOf(t *testing.T, text string) (body string, joined, ok bool) {
	t.Helper()
	x := answerOf(t, text)
	if x == nil {
		return "", false, false
	}
	defer x.Discard()
	raw, err := io.ReadAll(x)
	return string(raw), x.IsJoined(raw), err == nil
}
