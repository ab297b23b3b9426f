package http1_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/call"
	"github.com/kumquathoist/kumquathoist/http1"
	"github.com/kumquathoist/kumquathoist/platform"
	"github.com/kumquathoist/kumquathoist/standin"
)

// answerLimit is the time in which an answer must have come or failed.
const answerLimit = 5 * time.Second

// TestInvalidHeadIsNoAnswer guards against answers that are taken for whole although their
// heads are invalid. The request may have run, and its connection carries no other.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	accepted := 0
	// Blanks and line feeds at the start of a name are seen in raw lines only.
	heads := standin.InvalidHeads("X-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n", "body", append(standin.InvalidFields(4), " X-A: v", "\tX-A: v", "\nX-A: v"))
	for _, head := range heads {
		ctx, stop := context.WithTimeout(t.Context(), answerLimit)
		upstream, err := standin.NewScripted(head)
		is.New(t).NoErr(err)
		pool := http1.NewPool(platform.Wire{}, http1.NewDialer())
		x, err := pool.Send(ctx, upstream.Address(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r\r\n\r\n"), nil)
		if err == nil {
			accepted++
			body := make([]byte, 4)
			n, _ := io.ReadFull(x, body)
			t.Errorf("%s: status %d, fields %q, body %q", head.Name, x.Status, x.Fields, body[:n])
			x.Discard()
		}
		if errors.Is(err, http1.ErrNotSent) || pool.HasIdle(upstream.Address()) {
			t.Errorf("%s: %v, kept: %v", head.Name, err, pool.HasIdle(upstream.Address()))
		}
		stop()
		upstream.Close()
	}
	t.Logf("%d of %d heads were answers", accepted, len(heads))
}

// TestInvalidTrailerIsNotPassedOn sends whole answers with invalid fields after their last chunk,
// which nobody reads.
func TestInvalidTrailerIsNotPassedOn(t *testing.T) {
	for _, line := range standin.InvalidFields(4) {
		is := is.New(t)
		upstream, err := standin.NewScripted(standin.RawAnswer{
			Raw: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Response-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n", Closes: true,
		})
		is.NoErr(err)
		x, err := http1.NewPool(platform.Wire{}, http1.NewDialer()).Send(t.Context(), upstream.Address(), "r", "GET", []byte("GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r\r\n\r\n"), nil)
		is.NoErr(err)
		body, err := io.ReadAll(x)
		is.NoErr(err)
		is.Equal(string(body), "body")
		is.Equal(x.Fields, []call.Field{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}, {Name: "X-Attempt-Id", Value: "r"}, {Name: "X-Response-Stamp", Value: "s"}})
		x.Discard()
		upstream.Close()
	}
}
