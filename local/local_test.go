package local_test

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/local"
)

var (
	curlLine   = regexp.MustCompile(`(?m)^  curl (?:-N )?(\S+)((?: -H '[^']+')+) -d '([^']+)'$`)
	curlHeader = regexp.MustCompile(`-H '([^:]+): ([^']+)'`)
)

// TestGreeting starts the default system and each sample and sends the requests
// of the printed curl lines: a completion, and twice a call that must run at
// most once.
func TestGreeting(t *testing.T) {
	for sample, routers := range map[string]int{"": 3, "halvorsen": 6, "hviezdna-kupola": 6} {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		system, err := local.New(ctx, local.Options{Routers: 3, Engines: 3, Sample: sample})
		is.NoErr(err)
		is.Equal(len(system.Routers), routers)
		lines := curlLine.FindAllStringSubmatch(local.Greeting(system), -1)
		is.Equal(len(lines), 2)
		completion := send(t, lines[0])
		is.Equal(strings.Count(completion, "id: "), 32)
		is.True(strings.HasSuffix(completion, "data: [DONE]\n\n"))
		booking := send(t, lines[1])
		is.True(strings.Contains(booking, `"Service":"`+system.Service+`"`))
		is.Equal(send(t, lines[1]), booking) // the same answer
		executions := 0
		for _, s := range system.Services {
			for _, n := range s.Runs() {
				executions += n
			}
		}
		is.Equal(executions, 1)
		cancel()
		system.Wait()
	}
}

// send sends the request of a curl line and returns the answer.
func send(t *testing.T, line []string) string {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequest(http.MethodPost, line[1], strings.NewReader(line[3]))
	is.NoErr(err)
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded") // as curl does
	for _, h := range curlHeader.FindAllStringSubmatch(line[2], -1) {
		req.Header.Set(h[1], h[2])
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	raw, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	return string(raw)
}
