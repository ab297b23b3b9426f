package socket_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/httpheader"
	"github.com/kumquathoist/kumquathoist/socket"
	"github.com/kumquathoist/kumquathoist/standin"
)

// answerLimit is the time in which an answer must have come or failed.
const answerLimit = 5 * time.Second

// TestInvalidHeadIsNoAnswer guards against answers that are taken for whole although their
// heads are invalid. The server must have got the request once.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	checkInvalidHeads(t, standin.InvalidHeads("Content-Type: text/plain\r\n", "body", standin.InvalidFields(4)))
}

// TestNameThatBeginsWithBlankIsNoAnswer does the same with names that begin with a blank or a line
// feed.
func TestNameThatBeginsWithBlankIsNoAnswer(t *testing.T) {
	checkInvalidHeads(t, standin.InvalidHeads("Content-Type: text/plain\r\n", "body", []string{" X-A: v", "\tX-A: v", "\nX-A: v"}))
}

// checkInvalidHeads checks that a client takes none of the heads for that of an answer.
func checkInvalidHeads(t *testing.T, heads []standin.RawAnswer) {
	t.Helper()
	accepted := 0
	for _, head := range heads {
		ctx, stop := context.WithTimeout(t.Context(), answerLimit)
		server, err := standin.NewScripted(head)
		is.New(t).NoErr(err)
		transport := &http.Transport{}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address(), nil)
		is.New(t).NoErr(err)
		resp, err := socket.NewHTTPClient(transport).Do(req)
		if err == nil {
			accepted++
			body := make([]byte, 4)
			n, _ := io.ReadFull(resp.Body, body)
			t.Errorf("%s: %s, header %q, body %q", head.Name, resp.Status, resp.Header, body[:n])
			_ = resp.Body.Close()
		}
		if server.Requests() != 1 {
			t.Errorf("%s: %d requests", head.Name, server.Requests())
		}
		transport.CloseIdleConnections()
		stop()
		server.Close()
	}
	t.Logf("%d of %d heads were answers", accepted, len(heads))
}

// TestConnectionOfInvalidAnswerIsNotKept sends a second request after an answer that is none of
// the protocol and has no body: the library then keeps the connection before it returns the head.
func TestConnectionOfInvalidAnswerIsNotKept(t *testing.T) {
	for name, head := range map[string]string{
		"status": "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n",
		"name":   "HTTP/1.1 200 OK\r\nX A: v\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, stop := context.WithTimeout(t.Context(), answerLimit)
			server, err := standin.NewScripted(standin.RawAnswer{Raw: head})
			is.NoErr(err)
			transport := &http.Transport{}
			client := socket.NewHTTPClient(transport)
			for nth := range 3 {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address(), nil)
				is.NoErr(err)
				resp, err := client.Do(req)
				if err == nil {
					_ = resp.Body.Close()
				}
				is.True(err != nil)
				is.Equal(server.Connections(), nth+1)
			}
			stop()
			server.Close()
		})
	}
}

// TestInvalidTrailerIsNoField sends answers with invalid fields after their last chunk: none of
// them is a field of the head, and no part of a body counts as the whole.
func TestInvalidTrailerIsNoField(t *testing.T) {
	for _, line := range standin.InvalidFields(4) {
		is := is.New(t)
		server, err := standin.NewScripted(standin.RawAnswer{
			Raw: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n", Closes: true,
		})
		is.NoErr(err)
		resp, err := socket.NewHTTPClient(&http.Transport{}).Get("http://" + server.Address())
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.True(err != nil || string(body) == "body")
		is.Equal(resp.Header, http.Header{"Content-Type": {"text/plain"}})
		_ = resp.Body.Close()
		server.Close()
	}
}

// TestInformationalHeadsAreBounded sends informational heads without an end, or a few.
func TestInformationalHeadsAreBounded(t *testing.T) {
	for count, valid := range map[int]bool{0: true, 1: true, httpheader.MaxInformational: true, httpheader.MaxInformational + 1: false, 100_000: false} {
		is := is.New(t)
		server, err := standin.NewScripted(standin.RawAnswer{
			Raw: strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", count) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", Closes: true,
		})
		is.NoErr(err)
		resp, err := socket.NewHTTPClient(&http.Transport{}).Get("http://" + server.Address())
		is.Equal(err == nil, valid)
		if err == nil {
			_ = resp.Body.Close()
		}
		server.Close()
	}
}
