package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

// startRepeaters replaces the engines of a session.
func startRepeaters(t *testing.T, s *session, answer func(engine, nth int, r *http.Request) string) []*standin.Repeater {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	var wait conc.WaitGroup
	t.Cleanup(func() { stop(); wait.Wait() })
	var engines []*standin.Repeater
	for i := range s.engines {
		e, err := standin.NewRepeater(ctx, &wait, func(nth int, r *http.Request) string { return answer(i, nth, r) })
		is.New(t).NoErr(err)
		engines = append(engines, e)
		s.engines[i].Address = e.Address()
	}
	return engines
}

// wholeStream returns a complete stream that names the attempt of a request.
func wholeStream(r *http.Request) string {
	const stream = "id: 1\ndata: {}\n\ndata: [DONE]\n\n"
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Incarnation: 7\r\nX-Weights: v1\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Attempt-Id"), len(stream), stream)
}

// TestRepeatedRefusalIsNoCrash guards against a request that is refused as one that crashes
// engines because its engines sent the refusals of the request before once more.
func TestRepeatedRefusalIsNoCrash(t *testing.T) {
	is := is.New(t)
	s := newSession(t, nil, nil, nil)
	engines := startRepeaters(t, s, func(_, nth int, r *http.Request) string {
		if nth == 1 {
			return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		}
		return wholeStream(r)
	})
	nothing := func() {}
	s.send(nil, nothing)
	s.send(nil, nothing)
	before := len(engines[0].Seen())
	s.send(nil, nothing)
	is.True(slices.Contains(engines[0].Seen()[before:], "/v1/completions"))
	for _, e := range engines {
		is.Equal(e.Copies(), 0)
	}
}

// maxSends bounds the requests that are sent until connections have been used again.
const maxSends = 100

// TestRepeatedStreamIsNoCrash guards against a request that is refused as one that crashes
// engines because its engines sent the streams of the request before once more.
func TestRepeatedStreamIsNoCrash(t *testing.T) {
	is := is.New(t)
	s := newSession(t, nil, nil, nil)
	// mu guards last.
	var mu sync.Mutex
	last := map[string]string{}
	engines := startRepeaters(t, s, func(_, _ int, r *http.Request) string {
		if r.URL.Path != "/v1/completions" {
			return "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		}
		mu.Lock()
		defer mu.Unlock()
		earlier := last[r.RemoteAddr]
		last[r.RemoteAddr] = wholeStream(r)
		return earlier + last[r.RemoteAddr]
	})
	nothing := func() {}
	// A request gets to the third engine after copies at two, and two losses would make it one
	// that crashes engines.
	isAtThird := func() bool { return slices.Contains(engines[2].Seen(), "/v1/completions") }
	for range maxSends {
		if isAtThird() {
			break
		}
		s.send(nil, nothing)
	}
	is.True(isAtThird())
}
