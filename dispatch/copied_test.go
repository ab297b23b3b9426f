package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRepeatedRefusalIsNoCrash guards against a request that is refused as one that crashes
// engines because its engines sent the refusals of the request before once more.
func TestRepeatedRefusalIsNoCrash(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	t.Cleanup(func() { stop(); wait.Wait() })
	s := newSession(t, nil, nil, nil)
	var engines []*standin.Repeater
	for i := range s.engines {
		e, err := standin.NewRepeater(ctx, &wait, func(nth int, r *http.Request) string {
			id := r.Header.Get("X-Attempt-Id")
			if nth == 1 {
				return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n", id)
			}
			const stream = "id: 1\ndata: {}\n\ndata: [DONE]\n\n"
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Incarnation: 7\r\nX-Weights: v1\r\nContent-Length: %d\r\n\r\n%s", id, len(stream), stream)
		})
		is.NoErr(err)
		engines = append(engines, e)
		s.engines[i].Address = e.Address()
	}
	copies := func() (n int) {
		for _, e := range engines {
			n += e.Copies()
		}
		return n
	}
	nothing := func() {}
	s.send(nil, nothing)
	s.send(nil, nothing)
	is.True(copies() >= 2) // two losses make a request one that crashes engines
	before := len(engines[0].Seen())
	s.send(nil, nothing)
	is.True(slices.Contains(engines[0].Seen()[before:], "/v1/completions"))
}
