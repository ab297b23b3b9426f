package cmd

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestGivenUpCallDoesNotArriveLater guards against edits and drains that reach a host
// after their command was interrupted.
func TestGivenUpCallDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	end, err := standin.GiveUp(t.Context(), func(ctx context.Context, address string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address, strings.NewReader("{}"))
		is.NoErr(err)
		resp, err := newHTTPClient().Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	})
	is.NoErr(err)
	is.True(end.Reset)
}
