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

// streamResult is what a streamReader has read.
type streamResult struct {
	// events holds the text of each event. The reader checks that the positions
	// are consecutive from the first requested one.
	events []string
	// ended reports whether the end marker was received; failure is the last
	// error event.
	ended   bool
	failure string
	version string
}

// streamReader reads a stream event by event.
type streamReader struct {
	t       *testing.T
	resp    *http.Response
	scanner *bufio.Scanner
	after   int
	streamResult
}

// openStream requests a stream from a router; if after is positive, only the events
// after that position.
func openStream(t *testing.T, r *router, body string, after int, version string) *streamReader {
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
	c := &streamReader{t: t, resp: resp, scanner: bufio.NewScanner(resp.Body), after: after}
	c.version = resp.Header.Get("X-Model-Version")
	return c
}

// read reads until limit events have been read in total, or to the end of the stream
// if limit is 0.
func (c *streamReader) read(limit int) {
	c.t.Helper()
	isError := false
	for (limit == 0 || len(c.events) < limit) && c.scanner.Scan() {
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
			c.events = append(c.events, eventText(value))
		}
	}
}

// eventText returns the text of an event, which is the same for all engines.
func eventText(data string) string {
	_, rest, _ := strings.Cut(data, `"text":"`)
	content, _, _ := strings.Cut(rest, `"`)
	return content
}

// readWhole requests a stream, checks that it has its end marker and returns its
// events.
func readWhole(t *testing.T, r *router, body string) []string {
	t.Helper()
	c := openStream(t, r, body, 0, "")
	c.read(0)
	is.New(t).True(c.ended)
	return c.events
}

// runningEngine returns the index of the engine that runs a request.
func (s *system) runningEngine(t *testing.T) int {
	t.Helper()
	found := -1
	eventually(t, "an engine runs the stream", func() bool {
		for i, e := range s.engines {
			var load standin.EngineLoad
			callJSON(t, http.MethodGet, e.url()+"/control/load", nil, nil, &load)
			if load.Running > 0 {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// TestEngineFaults freezes or kills the engine of a running stream. The caller's
// stream must be complete, in order and have the same text.
func TestEngineFaults(t *testing.T) {
	t.Parallel()
	const tokens = 150
	faults := []struct {
		name   string
		signal syscall.Signal
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
			faulty := s.engines[s.runningEngine(t)]
			faulty.signal(fault.signal)
			c.read(0)
			faulty.signal(syscall.SIGCONT)
			is.True(c.ended)
			is.Equal(c.failure, "")
			is.Equal(len(c.events), tokens)
			is.Equal(c.events, readWhole(t, s.routers[0], body))
		})
	}
}

// TestEngineStreamFaults truncates the streams of engines or omits the end marker.
// The caller must get the remaining events from another engine or an explicit
// error, never a silent end.
func TestEngineStreamFaults(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 3})
	body := fmt.Sprintf(streamBody, 30, "prompt")
	want := readWhole(t, s.routers[0], body)

	s.engines[0].setFaults(t, standin.EngineFaults{CutAfterTokens: 5})
	s.engines[1].setFaults(t, standin.EngineFaults{OmitEnd: true})
	is.Equal(readWhole(t, s.routers[0], body), want)

	for _, e := range s.engines {
		e.setFaults(t, standin.EngineFaults{OmitEnd: true})
	}
	c := openStream(t, s.routers[0], body, 0, "")
	c.read(0)
	is.True(!c.ended)
	is.Equal(c.events, want)
	is.True(strings.Contains(c.failure, `"code":"UpstreamFailed","outcome":"Unknown"`))
}

// TestRouterKilled kills a router during a stream. The caller resumes at another
// router after its last event.
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
	is.Equal(append(first.events, second.events...), readWhole(t, s.routers[1], body))
}

// TestRouterFrozen freezes a router during a stream for longer than its token
// timeout and resumes it. The stream must be complete.
func TestRouterFrozen(t *testing.T) {
	t.Parallel()
	const pause = 4 * time.Second
	is := is.New(t)
	s := startSystem(t, options{routers: 1, engines: 2, engineArgs: []string{"--token-millis", "20"}})
	body := fmt.Sprintf(streamBody, 100, "prompt")
	want := readWhole(t, s.routers[0], body)
	c := openStream(t, s.routers[0], body, 0, "")
	c.read(10)
	s.routers[0].signal(syscall.SIGSTOP)
	time.Sleep(pause)
	s.routers[0].signal(syscall.SIGCONT)
	c.read(0)
	is.True(c.ended)
	is.Equal(c.events, want)
}

// TestResumeNeedsVersion resumes a stream without a weights version and with a
// version that no engine runs. The router must refuse both.
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

// TestPlannedStop stops a router with SIGTERM. The router must first leave the
// address answers, still serve callers that have an older address answer, abort
// no request, and end a stream that exceeds the stream timeout with an event that
// says how to resume it at another router.
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
	is.Equal(readWhole(t, s.routers[0], short), readWhole(t, s.routers[1], short))

	first.read(0)
	is.True(!first.ended)
	is.True(strings.Contains(first.failure, `"code":"HostStopping"`))
	is.True(strings.Contains(first.failure, fmt.Sprintf("Last-Event-ID: %d and X-Model-Version: v1", len(first.events))))
	second := openStream(t, s.routers[1], long, len(first.events), first.version)
	second.read(0)
	is.True(second.ended)
	is.Equal(append(first.events, second.events...), readWhole(t, s.routers[1], long))
	<-s.routers[0].done
	is.True(strings.Contains(s.routers[0].output(), "HandedOver=1 Cut=0"))
}
