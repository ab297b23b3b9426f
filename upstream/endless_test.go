package upstream_test

import (
	"context"
	"net/http"
	"runtime"
	"strings"
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

// TestEndlessAnswersTakeBoundedMemory guards against engines and services whose bytes
// without end a host would keep until it runs out of memory.
func TestEndlessAnswersTakeBoundedMemory(t *testing.T) {
	const (
		// maxAllocated limits all memory of a call: a host of 256 MB makes some eight
		// at a time.
		maxAllocated = 32 << 20
		ok           = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Incarnation: i\r\n\r\n"
	)
	calls := map[string]func(ctx context.Context, c *upstream.Client, address string) error{
		"load": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Load(ctx, address)
			return err
		},
		"cache events": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Events(ctx, address, 0)
			return err
		},
		"stream": func(ctx context.Context, c *upstream.Client, address string) error {
			s, err := c.Open(ctx, upstream.Call{Address: address, Method: http.MethodPost, Path: "/a", Attempt: "a"})
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			return err
		},
	}
	for _, tt := range []struct{ name, begin, repeated string }{
		{"a string", ok + "{\"A\":\"", strings.Repeat("a", 4096)},
		{"a list", ok + "{\"Kept\":[", strings.Repeat("1,", 2048)},
		{"spaces", ok, strings.Repeat(" ", 4096)},
		{"lines of one event", ok + "id: 1\n", "data: " + strings.Repeat("a", 1000) + "\n"},
		{"a head", "HTTP/1.1 200 OK\r\n", "X-More: b\r\n"},
	} {
		for name, send := range calls {
			t.Run(tt.name+" to "+name, func(t *testing.T) {
				is := is.New(t)
				e, err := standin.NewEndless(standin.EndlessOptions{Begin: func(string) string { return tt.begin }, Repeat: tt.repeated})
				is.NoErr(err)
				t.Cleanup(e.Close)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err = send(ctx, upstream.NewClient(), e.Address())
				runtime.ReadMemStats(&after)
				t.Logf("%d kB were allocated: %v", (after.TotalAlloc-before.TotalAlloc)>>10, err)
				is.True(err != nil)
				is.NoErr(ctx.Err())
				is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
			})
		}
	}
}
