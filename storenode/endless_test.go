package storenode_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/kumquathoist/kumquathoist/standin"
)

// endlessService starts a service that answers every request properly at first
// and then sends the same again and again until its caller closes.
func endlessService(w *world, begin, again string, pause time.Duration) string {
	e, err := standin.NewEndless(standin.EndlessOptions{
		Begin: func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s.%s\r\n%s", id, id, begin)
		},
		Repeat: again, Pause: pause,
	})
	w.is.NoErr(err)
	w.t.Cleanup(e.Close)
	return e.Address()
}

// TestUpstreamsThatSendWithoutEnd has a service send what never ends, fast and
// a little at a time, while other requests go on: callers get an answer by
// their deadline, no memory is held, and all others are served.
func TestUpstreamsThatSendWithoutEnd(t *testing.T) {
	fast, piece := strings.Repeat("a", 64<<10), fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("a", 4096))
	for _, tt := range []struct {
		name, path, begin, again string
		pause                    time.Duration
	}{
		{"a body without a length", "/read/a", "\r\n", fast, 0},
		{"a body in chunks", "/read/a", "Transfer-Encoding: chunked\r\n\r\n", piece, 0},
		{"a body, a little at a time", "/read/a", "\r\n", "a", 50 * time.Millisecond},
		{"header lines", "/read/a", "", strings.Repeat("X-More: b\r\n", 100), 0},
		// An engine's cache events and reports are as endless as its answers.
		{"an event without its end", "/flag/a", "Transfer-Encoding: chunked\r\n\r\n", piece, 0},
		{"chunks of a byte", "/flag/a", "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\na\r\n", 1000), 0},
		{"header lines of an engine", "/flag/a", "", strings.Repeat("X-More: b\r\n", 100), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 1, 1, 1)
			service := "desk"
			if tt.path == "/flag/a" {
				service = "models"
			}
			// What never ends takes the place of one of the upstreams.
			e := w.services[0]
			if service == "models" {
				e = w.engines[0]
			}
			entry := e.Entry()
			entry["address"] = endlessService(w, tt.begin, tt.again, tt.pause)
			w.store.Put("keyed.servers", e.ID, entry)
			host, method := serviceHost, "GET"
			if service == "models" {
				host, method = modelHost, "POST"
			}
			send := func(id string) answer {
				headers := map[string]string{"X-Deadline-Ms": "1500", "X-Model": "m1", "X-Token-Usage": "100,5", "X-Prompt-Prefix": "aa:100"}
				return w.do(w.hosts[0], method, host, tt.path, id, headers, bodyOf(method))
			}
			w.await("the host knows the address", func() bool {
				a := send(fmt.Sprint("k", time.Now().UnixNano()))
				return a.status != http.StatusOK || a.broken
			})
			var callers conc.WaitGroup
			for i := range 24 {
				callers.Go(func() {
					for n := range 3 {
						a := send(fmt.Sprint("e", i, "-", n))
						if service == "desk" && (a.status == http.StatusOK || a.status == 0) {
							t.Errorf("an answer without end got %d", a.status)
						}
					}
				})
			}
			good := modelHost
			path := "/full/a"
			if service == "models" {
				good, path = serviceHost, "/post/a"
			}
			for i := range 200 {
				is.Equal(w.do(w.hosts[0], "POST", good, path, fmt.Sprint("g", i), prompt, "body").status, http.StatusOK)
			}
			callers.Wait()
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			is.True(memory.HeapAlloc < 128<<20)
		})
	}
}
