package upstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// TestEndlessServiceAnswer checks that the client stops reading an endless answer
// of a plain service after a bounded number of bytes, with an error for a call
// that may have been executed.
func TestEndlessServiceAnswer(t *testing.T) {
	for _, tt := range []struct{ name, start, repeated string }{
		{"a body", "HTTP/1.1 200 OK\r\n\r\n", "a"},
		{"a head", "HTTP/1.1 200 OK\r\n", "X-More: b\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, err := standin.NewEndless(standin.EndlessOptions{Begin: func(string) string { return tt.start }, Repeat: tt.repeated})
			is.NoErr(err)
			t.Cleanup(e.Close)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err = upstream.NewClient().Run(ctx, upstream.Call{Address: e.Address(), Method: "GET", Path: "/"})
			is.True(trace.IsConnectionProblem(err))
			is.NoErr(ctx.Err())
		})
	}
}
