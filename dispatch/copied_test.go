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

// TestRepeatedAnswerIsNoCrash guards against a request that is refused as one that crashes
// engines because its engines sent the answers to the request before once more.
func TestRepeatedAnswerIsNoCrash(t *testing.T) {
	const stream = "id: 1\ndata: {}\n\ndata: [DONE]\n\n"
	served := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %%s\r\nX-Incarnation: 7\r\nX-Weights: v1\r\nContent-Length: %d\r\n\r\n%s", len(stream), stream)
	for _, c := range []struct {
		name, first string
		repeatsAll  bool
	}{
		{"refusals", "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n", false},
		{"all answers", served, true},
	} {
		t.Run(c.name, func(t *testing.T) {
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
						return fmt.Sprintf(c.first, id)
					}
					return fmt.Sprintf(served, id)
				})
				is.NoErr(err)
				if c.repeatsAll {
					e.RepeatAll()
				}
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
			for sent := 0; sent < 2 || c.repeatsAll && copies() < 2 && sent < 20; sent++ {
				s.send(nil, nothing)
			}
			if c.repeatsAll {
				is.True(copies() >= 2) // two losses make a request one that crashes engines
			} else {
				is.Equal(copies(), 0)
			}
			before := len(engines[0].Seen())
			s.send(nil, nothing)
			is.True(slices.Contains(engines[0].Seen()[before:], "/v1/completions"))
		})
	}
}
