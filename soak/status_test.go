package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/standin"
)

// TestRequestsToAnEarlierIDBreakNoPause guards against hosts that are blamed for requests
// to an upstream whose address the one with the pause took over.
func TestRequestsToAnEarlierIDBreakNoPause(t *testing.T) {
	for _, c := range []struct {
		name, expected string
		violations     int
	}{
		{"requests to the upstream that wants none", "desk-8", 1},
		{"requests to an earlier one at its address", "desk-6", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e, err := standin.NewPlatformEngine("desk-8", "desk", "north", "")
			is.NoErr(err)
			defer e.Close()
			e.RejectWithRetryAfter("60", time.Minute)
			send := func(instance string) {
				r, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+"/post/a", nil)
				is.NoErr(err)
				r.Header.Set("X-Expect-Instance", instance)
				r.Header.Set("X-Attempt-Id", "r")
				resp, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
			}
			send("desk-8")
			for range 2 * pauseMaxSends {
				send(c.expected)
			}
			h := &host{name: "host-4"}
			fi := &faultInjector{deployment: &deployment{}}
			var arrivals []hostArrival
			for i, a := range e.Arrivals() {
				if i > 0 {
					a.At = a.At.Add(2 * pauseGrace)
				}
				arrivals = append(arrivals, hostArrival{a, &call{host: h}})
			}
			is.Equal(len(fi.checkPauses(e, h, arrivals)), c.violations)
		})
	}
}
