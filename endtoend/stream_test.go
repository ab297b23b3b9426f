package endtoend

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

const streamBody = `{"model":"matcher","stream":true,"max_tokens":%d,"prompt":%q}`

// streamed is what a caller read of a stream.
type streamed struct {
	// events holds the data of each event; positions are checked to be in
	// order from the first one asked for.
	events []string
	// ended tells that the end marker came, failure the last error event.
	ended   bool
	failure string
	version string
}

// caller reads one stream event by event.
type caller struct {
	t       *testing.T
	resp    *http.Response
	scanner *bufio.Scanner
	after   int
	streamed
}

// openStream asks a router for a stream, after a position.
func openStream(t *testing.T, r *router, body string, after int, version string) *caller {
	t.Helper()
	header := map[string]string{}
	if after > 0 {
		header["Last-Event-ID"], header["X-Model-Version"] = strconv.Itoa(after), version
	}
	resp, err := r.open(http.MethodPost, "/v1/completions", header, body)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("%s answered %s", r.name, resp.Status)
	}
	c := &caller{t: t, resp: resp, scanner: bufio.NewScanner(resp.Body), after: after}
	c.version = resp.Header.Get("X-Model-Version")
	return c
}

// read reads up to a number of events, or all of them if it is 0.
func (c *caller) read(most int) {
	c.t.Helper()
	isError := false
	for (most == 0 || len(c.events) < most) && c.scanner.Scan() {
		name, value, _ := strings.Cut(c.scanner.Text(), ": ")
		switch {
		case name == "id" && value != strconv.Itoa(c.after+len(c.events)+1):
			c.t.Fatalf("event %s after %d", value, c.after+len(c.events))
		case name == "event":
			isError = value == "error"
		case name == "data" && isError:
			c.failure = value
		case name == "data" && value == "[DONE]":
			c.ended = true
		case name == "data":
			c.events = append(c.events, text(value))
		}
	}
}

// text returns the text of an event, which does not depend on the engine.
func text(data string) string {
	_, rest, _ := strings.Cut(data, `"text":"`)
	part, _, _ := strings.Cut(rest, `"`)
	return part
}

// whole reads a stream to its end.
func whole(t *testing.T, r *router, body string) []string {
	t.Helper()
	c := openStream(t, r, body, 0, "")
	c.read(0)
	is.New(t).True(c.ended)
	return c.events
}

// running returns the index of the engine that runs a request.
func (s *system) running(t *testing.T) int {
	t.Helper()
	found := -1
	eventually(t, "an engine runs the stream", func() bool {
		for i, e := range s.engines {
			var load standin.EngineLoad
			call(t, http.MethodGet, e.url()+"/control/load", nil, nil, &load)
			if load.Running > 0 {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// TestEngineFaults puts a fault into the engine of a running stream: the
// caller's stream is whole, in order and has the same text.
func TestEngineFaults(t *testing.T) {
	t.Parallel()
	const tokens = 150
	faults := []struct {
		name string
		put  syscall.Signal
	}{
		{"stop", syscall.SIGSTOP},
		{"kill", syscall.SIGKILL},
	}
	s := startSystem(t, options{routers: 1, engines: 3, engineArgs: []string{"--token-millis", "20"}})
	for i, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			is := is.New(t)
			body := fmt.Sprintf(streamBody, tokens, fmt.Sprint("prompt ", i))
			c := openStream(t, s.routers[0], body, 0, "")
			c.read(10)
			struck := s.engines[s.running(t)]
			struck.signal(fault.put)
			c.read(0)
			struck.signal(syscall.SIGCONT)
			is.True(c.ended)
			is.Equal(c.failure, "")
			is.Equal(len(c.events), tokens)
			is.Equal(c.events, whole(t, s.routers[0], body))
		})
	}
}

// TestEngineStreamFaults lets every engine's stream end early, then only
// without its end marker: the caller gets the rest from other engines, or an
// explicit error, never a silent end.
func TestEngineStreamFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 3})
	body := fmt.Sprintf(streamBody, 30, "prompt")
	want := whole(t, s.routers[0], body)

	s.engines[0].faults(t, standin.EngineFaults{CutAfterTokens: 5})
	s.engines[1].faults(t, standin.EngineFaults{OmitEnd: true})
	is.Equal(whole(t, s.routers[0], body), want)

	for _, e := range s.engines {
		e.faults(t, standin.EngineFaults{OmitEnd: true})
	}
	c := openStream(t, s.routers[0], body, 0, "")
	c.read(0)
	is.True(!c.ended)
	is.Equal(c.events, want)
	is.True(strings.Contains(c.failure, `"code":"UpstreamFailed","outcome":"Unknown"`))
}

// TestRouterKilled kills a router in mid-stream: the caller goes on at
// another one after the last event that it has.
func TestRouterKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 2, engines: 2, engineArgs: []string{"--token-millis", "20"}})
	body := fmt.Sprintf(streamBody, 100, "prompt")
	first := openStream(t, s.routers[0], body, 0, "")
	first.read(10)
	s.routers[0].signal(syscall.SIGKILL)
	first.read(0)
	is.True(!first.ended)
	is.Equal(first.failure, "")

	second := openStream(t, s.routers[1], body, len(first.events), first.version)
	second.read(0)
	is.True(second.ended)
	is.Equal(append(first.events, second.events...), whole(t, s.routers[1], body))
}

// TestRouterFrozen freezes a router in mid-stream for longer than it waits for
// a token, and thaws it: the stream is whole.
func TestRouterFrozen(t *testing.T) {
	t.Parallel()
	const frozen = 4 * time.Second
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 2, engineArgs: []string{"--token-millis", "20"}})
	body := fmt.Sprintf(streamBody, 100, "prompt")
	want := whole(t, s.routers[0], body)
	c := openStream(t, s.routers[0], body, 0, "")
	c.read(10)
	s.routers[0].signal(syscall.SIGSTOP)
	time.Sleep(frozen)
	s.routers[0].signal(syscall.SIGCONT)
	c.read(0)
	is.True(c.ended)
	is.Equal(c.events, want)
}

// TestResumeNeedsVersion refuses to go on with an answer whose weights are
// not named, or are not there any more.
func TestResumeNeedsVersion(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 1})
	body := fmt.Sprintf(streamBody, 10, "prompt")
	_, status := s.routers[0].send(t, http.MethodPost, "/v1/completions", map[string]string{"Last-Event-ID": "3"}, body)
	is.Equal(status, http.StatusBadRequest)
	answer, status := s.routers[0].send(t, http.MethodPost, "/v1/completions", map[string]string{"Last-Event-ID": "3", "X-Model-Version": "v0"}, body)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(answer, `"outcome":"NotRun"`))
}

// TestPlannedStop stops a router with SIGTERM: it leaves the address answers
// first, still serves callers with a kept answer, cuts no request, and ends
// the stream that is longer than its allowance with an event that tells how
// to go on at another router.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{
		routers: 2, engines: 2, engineArgs: []string{"--token-millis", "20"},
		configure: func(_ *system, conf *settings.Settings) { conf.Stop.StreamSeconds = 1 },
	})
	long := fmt.Sprintf(streamBody, 250, "a long reconciliation")
	first := openStream(t, s.routers[0], long, 0, "")
	first.read(5)
	s.routers[0].signal(syscall.SIGTERM)
	eventually(t, "the stopping router leaves its address answer", func() bool {
		body, _ := s.routers[0].send(t, http.MethodGet, "/v1/addresses", nil, "")
		return !strings.Contains(body, s.routers[0].callers) && strings.Contains(body, s.routers[1].callers)
	})
	short := fmt.Sprintf(streamBody, 5, "a quick flag")
	is.Equal(whole(t, s.routers[0], short), whole(t, s.routers[1], short))

	first.read(0)
	is.True(!first.ended)
	is.True(strings.Contains(first.failure, `"code":"HostStopping"`))
	is.True(strings.Contains(first.failure, fmt.Sprintf("Last-Event-ID: %d and X-Model-Version: v1", len(first.events))))
	second := openStream(t, s.routers[1], long, len(first.events), first.version)
	second.read(0)
	is.True(second.ended)
	is.Equal(append(first.events, second.events...), whole(t, s.routers[1], long))
	<-s.routers[0].done
	is.True(strings.Contains(s.routers[0].output(), "HandedOver=1 Cut=0"))
}
