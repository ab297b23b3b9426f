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

// TestInvalidHeadIsNoAnswer guards against commands that print what is no answer of a host.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	for _, head := range standin.InvalidHeads("Content-Type: application/json\r\n", "{}", []string{"X A: v", "X-A : v", "Content-Length : 2", "X\x00A: v", "X\tA: v", "X\x7fA: v"}) {
		is := is.New(t)
		host, err := standin.NewScripted(head)
		is.NoErr(err)
		resp, err := newHTTPClient().Get("http://" + host.Address())
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: %s", head.Name, resp.Status)
		}
		host.Close()
	}
}
