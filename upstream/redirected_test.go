package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/rollout"
	"github.com/kumquathoist/kumquathoist/upstream"
)

// unreachable is a URL at which nothing listens.
const unreachable = "http://127.0.0.1:1/"

// TestRedirectedCallIsNotTakenForNotStarted guards against a call that ran and is sent again,
// since its answer redirects to an address that can't be reached.
func TestRedirectedCallIsNotTakenForNotStarted(t *testing.T) {
	for _, status := range []int{301, 302, 303, 307, 308} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			is := is.New(t)
			client, service := startRepeater(t, func(int, *http.Request) string {
				return httpText(status, "X-Attempt-Id: a\r\nLocation: "+unreachable+"\r\n", "moved")
			})
			answer, err := client.Run(context.Background(), booking(service.Address(), "a"))
			is.NoErr(err)
			is.Equal(answer.Status, status)
			is.Equal(string(answer.Body), "moved")
			_, err = client.Open(context.Background(), booking(service.Address(), "a"))
			var notStarted *upstream.NotStarted
			is.True(!errors.As(err, &notStarted))
		})
	}
}

// TestAnswersOfOtherAddressesAreNotBelieved guards against control calls that are answered by
// an address to which they were redirected.
func TestAnswersOfOtherAddressesAreNotBelieved(t *testing.T) {
	for name, call := range map[string]func(ctx context.Context, c *upstream.Client, address string) error{
		"order": func(ctx context.Context, c *upstream.Client, address string) error {
			return c.Order(ctx, address, rollout.Order{})
		},
		"cancel": func(ctx context.Context, c *upstream.Client, address string) error {
			return c.Cancel(ctx, address, "a")
		},
		"load": func(ctx context.Context, c *upstream.Client, address string) error {
			_, err := c.Load(ctx, address)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, other := startRepeater(t, func(int, *http.Request) string { return httpText(http.StatusOK, "", "{}") })
			client, engine := startRepeater(t, func(int, *http.Request) string {
				return httpText(http.StatusFound, "Location: http://"+other.Address()+"/\r\n", "")
			})
			is.True(call(context.Background(), client, engine.Address()) != nil)
			is.Equal(len(other.Seen()), 0)
		})
	}
}
