package upstream_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// BenchmarkClient measures one call of each kind with an upstream in the same process that
// names the call and the attempt in its answers.
func BenchmarkClient(b *testing.B) {
	ctx := context.Background()
	for _, bb := range []struct {
		name string
		send func(c *upstream.Client, address string) error
	}{
		{"completion", func(c *upstream.Client, address string) error {
			s, err := c.Open(ctx, upstream.Call{Address: address, Method: http.MethodPost, Path: "/v1/completions", Body: []byte("{}"), Attempt: "a"})
			if err != nil {
				return err
			}
			defer s.Close()
			_, err = s.Next()
			s.SkipRest()
			return err
		}},
		{"service", func(c *upstream.Client, address string) error {
			_, err := c.Run(ctx, booking(address, "a"))
			return err
		}},
		{"order", func(c *upstream.Client, address string) error { return c.Order(ctx, address, rollout.Order{}) }},
		{"load", func(c *upstream.Client, address string) error { _, err := c.Load(ctx, address); return err }},
		{"events", func(c *upstream.Client, address string) error { _, err := c.Events(ctx, address, 0); return err }},
	} {
		b.Run(bb.name, func(b *testing.B) {
			is := is.New(b)
			var connections atomic.Int64
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				w.Header().Set("X-Call-Id", r.Header.Get("X-Call-Id"))
				if r.URL.Path == "/v1/completions" {
					_, _ = io.WriteString(w, "data: [DONE]\n\n")
					return
				}
				_, _ = io.WriteString(w, "{}")
			}))
			server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					connections.Add(1)
				}
			}
			server.Start()
			b.Cleanup(server.Close)
			client := upstream.NewClient()
			b.ReportAllocs()
			for b.Loop() {
				is.NoErr(bb.send(client, server.Listener.Addr().String()))
			}
			b.ReportMetric(float64(connections.Load())/float64(b.N), "connections/op")
		})
	}
}
