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

// TestServiceThatSendsWithoutEnd checks that an answer of a plain service that
// never ends is given up after a bounded number of bytes, as one that may have
// run.
func TestServiceThatSendsWithoutEnd(t *testing.T) {
	for _, tt := range []struct{ name, begin, again string }{
		{"a body", "HTTP/1.1 200 OK\r\n\r\n", "a"},
		{"a head", "HTTP/1.1 200 OK\r\n", "X-More: b\r\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, err := standin.NewEndless(standin.EndlessOptions{Begin: func(string) string { return tt.begin }, Again: tt.again})
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
