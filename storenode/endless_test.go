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

// endlessService starts a service whose answers begin with valid headers and then
// repeat a text until the client closes the connection.
func endlessService(d *deployment, begin, repeat string, pause time.Duration) string {
	e, err := standin.NewEndless(standin.EndlessOptions{
		Begin: func(id string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: s.%s\r\n%s", id, id, begin)
		},
		Repeat: repeat, Pause: pause,
	})
	d.is.NoErr(err)
	d.t.Cleanup(e.Close)
	return e.Address()
}

// TestEndlessUpstreamAnswers has a service send endless answers, fast or slowly,
// while other requests are sent. Their callers must get an answer by their
// deadline, memory must stay bounded, and all other requests must be served.
func TestEndlessUpstreamAnswers(t *testing.T) {
	fast, piece := strings.Repeat("a", 64<<10), fmt.Sprintf("%x\r\n%s\r\n", 4096, strings.Repeat("a", 4096))
	for _, tt := range []struct {
		name, path, begin, repeat string
		pause                     time.Duration
	}{
		{"a body without a length", "/read/a", "\r\n", fast, 0},
		{"a body in chunks", "/read/a", "Transfer-Encoding: chunked\r\n\r\n", piece, 0},
		{"a body, a little at a time", "/read/a", "\r\n", "a", 50 * time.Millisecond},
		{"header lines", "/read/a", "", strings.Repeat("X-More: b\r\n", 100), 0},
		// With an engine, cache events and status reports are endless as well.
		{"an endless event", "/flag/a", "Transfer-Encoding: chunked\r\n\r\n", piece, 0},
		{"chunks of a byte", "/flag/a", "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\na\r\n", 1000), 0},
		{"header lines of an engine", "/flag/a", "", strings.Repeat("X-More: b\r\n", 100), 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := newDeployment(t, 1, 1, 1)
			service := "desk"
			if tt.path == "/flag/a" {
				service = "models"
			}
			// The endless service takes the place of one of the upstreams.
			e := d.services[0]
			if service == "models" {
				e = d.engines[0]
			}
			entry := e.Entry()
			entry["address"] = endlessService(d, tt.begin, tt.repeat, tt.pause)
			d.store.Put("keyed.servers", e.ID, entry)
			host, method := serviceHost, "GET"
			if service == "models" {
				host, method = modelHost, "POST"
			}
			send := func(id string) answer {
				headers := map[string]string{"X-Deadline-Ms": "1500", "X-Model": "m1", "X-Token-Usage": "100,5", "X-Prompt-Prefix": "aa:100"}
				return d.do(d.hosts[0], method, host, tt.path, id, headers, bodyOf(method))
			}
			d.await("the host knows the address", func() bool {
				a := send(fmt.Sprint("k", time.Now().UnixNano()))
				return a.status != http.StatusOK || a.truncated
			})
			var callers conc.WaitGroup
			for i := range 24 {
				callers.Go(func() {
					for n := range 3 {
						a := send(fmt.Sprint("e", i, "-", n))
						if service == "desk" && (a.status == http.StatusOK || a.status == 0) {
							t.Errorf("an endless answer got status %d", a.status)
						}
					}
				})
			}
			otherHost := modelHost
			otherPath := "/full/a"
			if service == "models" {
				otherHost, otherPath = serviceHost, "/post/a"
			}
			for i := range 200 {
				is.Equal(d.do(d.hosts[0], "POST", otherHost, otherPath, fmt.Sprint("g", i), prompt, "body").status, http.StatusOK)
			}
			callers.Wait()
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			is.True(memory.HeapAlloc < 128<<20)
		})
	}
}
