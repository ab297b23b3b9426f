package endtoend

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/kumquathoist/kumquathoist/operator"
	"github.com/kumquathoist/kumquathoist/placement"
	"github.com/kumquathoist/kumquathoist/registry"
	"github.com/kumquathoist/kumquathoist/settings"
	"github.com/kumquathoist/kumquathoist/standin"
)

// Exit codes of the command-line client.
const (
	exitOK      = 0
	exitFailed  = 1
	exitRefused = 3
	exitUnknown = 4
)

// runForExitCode runs an operator command against a router and returns its output
// and exit code.
func (s *system) runForExitCode(router int, args ...string) (string, int) {
	output, err := s.runCommand(router, args[0], args[1:]...)
	if err == nil {
		return output, exitOK
	}
	if exit := new(exec.ExitError); errors.As(err, &exit) {
		return output, exit.ExitCode()
	}
	return output + err.Error(), -1
}

// writeFile writes a body to a temporary file and returns its path.
func writeFile(t *testing.T, body string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "body.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(body), 0o600))
	return path
}

// awaitShown waits until a router shows a text in a section.
func (s *system) awaitShown(t *testing.T, router int, section, text string) {
	t.Helper()
	eventually(t, fmt.Sprintf("router %d shows %q in %s", router, text, section), func() bool {
		output, code := s.runForExitCode(router, "show", section)
		return code == exitOK && strings.Contains(output, text)
	})
}

// kill kills a router without a planned stop.
func (r *router) kill() {
	_ = r.cmd.Process.Kill()
	<-r.done
}

// TestConcurrentEdits publishes edits of the same section and of different
// sections concurrently at several routers, and rolls forward to an older body.
func TestConcurrentEdits(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 3, engines: 1})
	publish := func(codes []int, sections ...string) {
		var wait sync.WaitGroup
		for i, section := range sections {
			wait.Add(1)
			body := writeFile(t, map[string]string{"Routing": fmt.Sprintf("WasteWeight: 0.%d\n", i+1), "Audit": "Verdicts: 500\n"}[section])
			go func() {
				defer wait.Done()
				_, codes[i] = s.runForExitCode(i, "publish", "--base", "0", "--author", fmt.Sprintf("operator-%d", i), section, body)
			}()
		}
		wait.Wait()
	}
	sameSection := make([]int, 2)
	publish(sameSection, "Routing", "Routing")
	is.Equal(sameSection[0]+sameSection[1], exitOK+exitRefused) // one is accepted, the other refused
	twoSections := make([]int, 3)
	publish(twoSections, "Routing", "Routing", "Audit")
	is.Equal(twoSections, []int{exitRefused, exitRefused, exitOK}) // an edit of another section does not conflict

	output, code := s.runForExitCode(0, "publish", "--base", "0", "Routing", writeFile(t, "WasteWeight: 0.9\n"))
	is.Equal(code, exitRefused)
	is.True(strings.Contains(output, "the section is at revision 4 by operator-"))
	output, code = s.runForExitCode(0, "publish", "Routing", writeFile(t, "WasteWeight: 9\nColour: red\n"))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(output, "1:14: WasteWeight: 9 is out of range"))
	is.True(strings.Contains(output, "2:1: Colour: unknown key"))

	_, code = s.runForExitCode(1, "publish", "Routing", writeFile(t, "WasteWeight: 0.8\n"))
	is.Equal(code, exitOK)
	output, code = s.runForExitCode(1, "diff", "--revision", "4", "Routing", writeFile(t, "WasteWeight: 0.8\n"))
	is.Equal(code, exitOK)
	is.True(strings.Contains(output, "+WasteWeight: 0.8"))
	_, code = s.runForExitCode(2, "roll-forward", "Routing", "4")
	is.Equal(code, exitOK)
	output, _ = s.runForExitCode(2, "diff", "Routing", writeFile(t, "WasteWeight: 0.8\n"))
	is.True(strings.Contains(output, "+WasteWeight: 0.8"))
	output, _ = s.runForExitCode(2, "audit", "--section", "Routing")
	is.Equal(strings.Count(output, "accepted"), 3)
}

// TestLogOutageDuringChange publishes edits while the log loses an answer, is down
// and has recovered.
func TestLogOutageDuringChange(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 2, engines: 1})
	s.log.setFaults(t, standin.LogFaults{LoseAnswers: 1})
	_, code := s.runForExitCode(0, "publish", "--id", "lost", "Routing", writeFile(t, "WasteWeight: 0.1\n"))
	is.Equal(code, exitOK)
	s.log.setFaults(t, standin.LogFaults{Down: true})
	body := writeFile(t, "WasteWeight: 0.2\n")
	output, code := s.runForExitCode(0, "publish", "--id", "down", "Routing", body)
	is.Equal(code, exitUnknown)
	is.True(strings.Contains(output, "audit --id down"))
	s.awaitServing(t, s.routers[0])
	s.log.setFaults(t, standin.LogFaults{})
	_, code = s.runForExitCode(1, "publish", "--id", "down", "Routing", body)
	is.Equal(code, exitOK)
	_, code = s.runForExitCode(0, "audit", "--id", "down")
	is.Equal(code, exitOK)
	for i := range s.routers {
		s.awaitShown(t, i, "Routing", "WasteWeight: 0.2")
	}
}

// TestRouterWithoutLogLearnsFromPeers starts a router that can never reach the
// log. It must follow the configuration through its peers.
func TestRouterWithoutLogLearnsFromPeers(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 2, engines: 1})
	s.configure = func(conf *settings.Settings) { conf.Platform.Log = "http://127.0.0.1:1" }
	s.routers = append(s.routers, s.startRouter(t, "host-3"))
	s.awaitServing(t, s.routers[2])
	_, code := s.runForExitCode(0, "publish", "Routing", writeFile(t, "WasteWeight: 0.3\n"))
	is.Equal(code, exitOK)
	s.awaitShown(t, 2, "Routing", "WasteWeight: 0.3")
	output, code := s.runForExitCode(2, "publish", "Routing", writeFile(t, "WasteWeight: 0.4\n"))
	is.Equal(code, exitFailed)
	is.True(strings.Contains(output, "nothing was changed"))
}

// TestConfigurationOutlivesLogRetention restarts all routers after the log has
// dropped every edit. They must restore the configuration from a snapshot.
func TestConfigurationOutlivesLogRetention(t *testing.T) {
	s := startSystem(t, options{routers: 2, engines: 1, configure: func(_ *system, conf *settings.Settings) {
		conf.Configuration.LogRetentionSeconds = 4
	}})
	edits := s.configurationPage(t).Next
	s.log.setFaults(t, standin.LogFaults{RetentionMillis: 4000})
	eventually(t, "the log dropped every edit", func() bool { return s.configurationPage(t).First >= edits })
	for i, r := range s.routers {
		r.kill()
		s.routers[i] = s.startRouter(t, r.name)
	}
	for i, r := range s.routers {
		s.awaitServing(t, r)
		s.awaitShown(t, i, "Models", "matcher")
	}
}

// TestRequestKeepsItsRevision removes the model of a request while its answer is
// streamed. The stream must complete.
func TestRequestKeepsItsRevision(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 2, engines: 1, engineArgs: []string{"--token-millis", "100"}})
	resp, err := s.routers[0].open(http.MethodPost, "/v1/chat/completions", nil,
		`{"model":"matcher","stream":true,"messages":[{"role":"user","content":"pair"}]}`)
	is.NoErr(err)
	defer resp.Body.Close()
	_, code := s.runForExitCode(1, "publish", "Models", writeFile(t, "Models: []\n"))
	is.Equal(code, exitOK)
	eventually(t, "new requests for the model are refused", func() bool {
		_, status := s.routers[0].send(t, http.MethodPost, "/v1/completions", nil, `{"model":"matcher","prompt":"x"}`)
		return status >= 400 && status < 500
	})
	raw, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.HasSuffix(strings.TrimSpace(string(raw)), "data: [DONE]"))
}

// TestPausedSnapshotWriter freezes the host that writes snapshots until the log
// has dropped every edit. Another host must write the snapshot, and the resumed
// host must not overwrite the newer configuration.
func TestPausedSnapshotWriter(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 3, engines: 1, configure: func(_ *system, conf *settings.Settings) {
		conf.Configuration.LogRetentionSeconds = 10
	}})
	writer := placement.Owner("configuration snapshot", []string{"host-1", "host-2", "host-3"})
	paused := slices.IndexFunc(s.routers, func(r *router) bool { return r.name == writer })
	other := (paused + 1) % len(s.routers)
	s.routers[paused].signal(syscall.SIGSTOP)
	_, code := s.runForExitCode(other, "publish", "Routing", writeFile(t, "WasteWeight: 0.7\n"))
	is.Equal(code, exitOK)
	edits := s.configurationPage(t).Next
	s.log.setFaults(t, standin.LogFaults{RetentionMillis: 10_000})
	eventually(t, "the log dropped every edit", func() bool { return s.configurationPage(t).First >= edits })
	s.routers[paused].signal(syscall.SIGCONT)
	s.awaitShown(t, paused, "Routing", "WasteWeight: 0.7")
	for i, r := range s.routers {
		r.kill()
		s.routers[i] = s.startRouter(t, r.name)
	}
	for i := range s.routers {
		s.awaitShown(t, i, "Routing", "WasteWeight: 0.7")
	}
}

// configurationPage reads the configuration stream from its start.
func (s *system) configurationPage(t *testing.T) registry.Page {
	t.Helper()
	var page registry.Page
	callJSON(t, http.MethodGet, s.log.url()+"/streams/"+registry.ConfigurationStream+"/records?From=0", nil, nil, &page)
	return page
}

// TestRestartAllWithoutLog restarts all routers but one while the log is down, and
// then the last one. Each must get the configuration from a peer.
func TestRestartAllWithoutLog(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, options{routers: 4, engines: 1})
	s.log.setFaults(t, standin.LogFaults{Down: true})
	for _, r := range s.routers[1:] {
		r.kill()
	}
	for i, r := range s.routers[1:] {
		s.routers[i+1] = s.startRouter(t, r.name)
	}
	for _, r := range s.routers[1:] {
		s.awaitServing(t, r)
	}
	s.routers[0].kill()
	s.routers[0] = s.startRouter(t, "host-1")
	s.awaitServing(t, s.routers[0])

	// Without the log and without peers, a router reports why it is not ready.
	for _, r := range s.routers {
		r.kill()
	}
	s.routers[0] = s.startRouter(t, "host-1")
	var status operator.StatusAnswer
	eventually(t, "the status shows the reason", func() bool {
		callJSON(t, http.MethodGet, "http://"+s.routers[0].operators+"/operator/status", map[string]string{"Authorization": "Bearer " + operatorKey}, nil, &status)
		return strings.Contains(status.Configuration.Reason, "neither the log nor another host")
	})
	is.True(!status.Configuration.Ready)
	_, code := s.routers[0].send(t, http.MethodGet, "/readyz", nil, "")
	is.Equal(code, http.StatusServiceUnavailable)
	s.log.setFaults(t, standin.LogFaults{})
	s.awaitServing(t, s.routers[0])
}
