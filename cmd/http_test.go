package cmd

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestGivenUpCallDoesNotArriveLater guards against edits and drains that reach a host
// after their command was interrupted.
func TestGivenUpCallDoesNotArriveLater(t *testing.T) {
	is := is.New(t)
	m, err := standin.NewMute()
	is.NoErr(err)
	t.Cleanup(m.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Address(), strings.NewReader("{}"))
	is.NoErr(err)
	resp, err := newHTTPClient().Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil)
	is.True(m.NextEnd().Reset)
}
