package upstream_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// TestGivenUpCallsDoNotArriveLater guards against requests and orders that reach an
// upstream after they were given up.
func TestGivenUpCallsDoNotArriveLater(t *testing.T) {
	for name, send := range map[string]func(ctx context.Context, c *upstream.Client, address string) error{
		"stream": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Open(ctx, upstream.Call{Address: address, Method: http.MethodPost, Path: "/a", Attempt: "a"})
			return err
		},
		"service": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Run(ctx, upstream.Call{Address: address, Method: http.MethodPost, Path: "/a", Attempt: "a"})
			return err
		},
		"cancel": func(ctx context.Context, c *upstream.Client, address string) error {
			return c.Cancel(ctx, address, "a")
		},
		"load": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Load(ctx, address)
			return err
		},
		"events": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Events(ctx, address, 0)
			return err
		},
		"order": func(ctx context.Context, c *upstream.Client, address string) error {
			return c.Order(ctx, address, rollout.Order{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			end, err := standin.GiveUp(t.Context(), func(ctx context.Context, address string) error { return send(ctx, upstream.NewClient(), address) })
			is.NoErr(err)
			is.True(end.Reset)
		})
	}
}
