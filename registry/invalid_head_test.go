package registry_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/standin"
)

// TestInvalidHeadIsNoAnswer guards against appends that are taken for done, and records and
// host lists, from an answer whose head is invalid.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, base string) error{
		"append": func(ctx context.Context, base string) error {
			_, err := registry.NewLog(base).Append(ctx, "claims-0", []byte("a"))
			return err
		},
		"read": func(ctx context.Context, base string) error {
			_, err := registry.NewLog(base).Read(ctx, "claims-0", 0, 0)
			return err
		},
		"host list": func(ctx context.Context, base string) error {
			_, err := registry.NewHostList(base).Hosts(ctx)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, head := range standin.InvalidHeads("Content-Type: application/json\r\n", "{}", []string{"X A: v", "X-A : v", "Content-Length : 2", "X\x00A: v", "X\x7fA: v"}) {
				ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
				server, err := standin.NewScripted(head)
				is.New(t).NoErr(err)
				if err := call(ctx, "http://"+server.Address()); err == nil || server.Requests() != 1 {
					t.Errorf("%s: %v, %d requests", head.Name, err, server.Requests())
				}
				stop()
				server.Close()
			}
		})
	}
}
