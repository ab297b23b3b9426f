package registry_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/standin"
)

// TestGivenUpCallsDoNotArriveLater guards against edits of the configuration that reach
// the log after they were given up.
func TestGivenUpCallsDoNotArriveLater(t *testing.T) {
	for name, send := range map[string]func(ctx context.Context, base string) error{
		"append": func(ctx context.Context, base string) error {
			_, err := registry.NewLog(base).Append(ctx, registry.ConfigurationStream, []byte("{}"))
			return err
		},
		"read": func(ctx context.Context, base string) error {
			_, err := registry.NewLog(base).Read(ctx, registry.ConfigurationStream, 0, time.Second)
			return err
		},
		"hosts": func(ctx context.Context, base string) error {
			_, err := registry.NewHostList(base).Hosts(ctx)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			end, err := standin.GiveUp(t.Context(), func(ctx context.Context, address string) error { return send(ctx, "http://"+address) })
			is.NoErr(err)
			is.True(end.Reset)
		})
	}
}
