package upstream_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/standin"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// answerLimit is the time in which an answer must have come or failed.
const answerLimit = 5 * time.Second

// TestInvalidHeadIsNoAnswer guards against answers of engines and services that are taken
// for whole although their heads are invalid. The call may have run: it is neither sent again nor
// reported as not started.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	lines := []string{"X A: v", "X-A : v", "Content-Length : 2", "Transfer-Encoding : chunked", "X-Not-Started : true", "X-Attempt-Id : b", "X\x00A: v", "X\tA: v", "X\x7fA: v"}
	for name, call := range map[string]func(ctx context.Context, c *upstream.Client, address string) error{
		"service": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Run(ctx, booking(address, "a"))
			return err
		},
		"completion": func(ctx context.Context, c *upstream.Client, address string) error {
			s, err := c.Open(ctx, booking(address, "a"))
			if err == nil {
				s.Close()
			}
			return err
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
		"cancellation": func(ctx context.Context, c *upstream.Client, address string) error {
			return c.Cancel(ctx, address, "a")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, head := range standin.InvalidHeads("Content-Type: application/json\r\n", "{}", lines) {
				ctx, stop := context.WithTimeout(t.Context(), answerLimit)
				server, err := standin.NewScripted(head)
				is.New(t).NoErr(err)
				var notStarted *upstream.NotStarted
				if err := call(ctx, upstream.NewClient(), server.Address()); err == nil || errors.As(err, &notStarted) {
					t.Errorf("%s: %v", head.Name, err)
				}
				if server.Requests() != 1 {
					t.Errorf("%s: %d requests", head.Name, server.Requests())
				}
				stop()
				server.Close()
			}
		})
	}
}
