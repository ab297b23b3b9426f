package standin_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestOrderForAnotherInstance checks that an engine rejects an order for the
// instance that used its address before.
func TestOrderForAnotherInstance(t *testing.T) {
	e, err := standin.NewPlatformEngine("models-9", "models", "a", "m")
	is.New(t).NoErr(err)
	defer e.Close()
	for _, test := range []struct {
		name, instance string
		status, orders int
	}{
		{"another instance", "models-5", http.StatusMisdirectedRequest, 0},
		{"this instance", "models-9", http.StatusAccepted, 1},
		{"no instance given", "", http.StatusAccepted, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			body := strings.NewReader(`{"op":"version","version":2,"holder":"host-0","fencing_token":1}`)
			req, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+"/order", body)
			is.NoErr(err)
			if test.instance != "" {
				req.Header.Set("X-Expect-Instance", test.instance)
			}
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, test.status)
			is.Equal(len(e.Orders()), test.orders)
		})
	}
}
