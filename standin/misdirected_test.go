package standin_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestMisdirectedRequestAsksForNoPause sends a request that names another engine, whose
// address this one took over, while this one wants no requests. The answer must not ask
// for a pause, which the caller would take for the other engine's.
func TestMisdirectedRequestAsksForNoPause(t *testing.T) {
	is := is.New(t)
	e, err := standin.NewPlatformEngine("desk-8", "desk", "north", "")
	is.NoErr(err)
	defer e.Close()
	e.RejectWithRetryAfter("1.7", time.Minute)
	ask := func(instance string) *http.Response {
		r, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+"/post/a", nil)
		is.NoErr(err)
		r.Header.Set("X-Expect-Instance", instance)
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp
	}
	is.Equal(ask("desk-8").Header.Get("Retry-After"), "1.7")
	other := ask("desk-6")
	is.Equal(other.StatusCode, http.StatusMisdirectedRequest)
	is.Equal(other.Header.Get("Retry-After"), "")
}
