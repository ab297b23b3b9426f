package storenode_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/kumquathoist/kumquathoist/standin"
)

// hostArgument makes the test's program run a host.
const hostArgument = "platform-host"

// daemon is a host in a process of its own.
type daemon struct {
	*testHost

	process *os.Process
	output  *standin.Output
	// ended is closed when the process has ended.
	ended chan struct{}
}

// startDaemon starts a host as a process, without waiting until it is ready.
func (d *deployment) startDaemon(i int) *daemon {
	d.t.Helper()
	h := &daemon{testHost: &testHost{settings: d.settings(i)}, output: &standin.Output{}, ended: make(chan struct{})}
	raw, err := yaml.Marshal(h.settings)
	d.is.NoErr(err)
	file := filepath.Join(d.t.TempDir(), fmt.Sprintf("host-%d.yaml", i))
	d.is.NoErr(os.WriteFile(file, raw, 0o600))
	program, err := os.Executable()
	d.is.NoErr(err)
	command := exec.Command(program, hostArgument, file)
	command.Stdout, command.Stderr = h.output, h.output
	command.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	d.is.NoErr(command.Start())
	h.process = command.Process
	go func() {
		_ = command.Wait()
		close(h.ended)
	}()
	d.t.Cleanup(func() {
		_ = h.process.Signal(syscall.SIGKILL)
		<-h.ended
		if d.t.Failed() {
			d.t.Logf("log of host-%d:\n%s", i, h.output)
		}
	})
	d.hosts = append(d.hosts, h.testHost)
	return h
}

// daemon starts a host as a process and waits until it is ready.
func (d *deployment) daemon(i int) *daemon {
	d.t.Helper()
	h := d.startDaemon(i)
	d.awaitReady(h.testHost)
	return h
}

// signal sends a signal to the process.
func (d *deployment) signal(h *daemon, s syscall.Signal) { d.is.NoErr(h.process.Signal(s)) }

// line returns the first line of the log with an event and a text, or "".
func (h *daemon) line(event int, text string) string {
	for line := range strings.Lines(h.output.String()) {
		if strings.Contains(line, fmt.Sprintf("Event=%d ", event)) && strings.Contains(line, text) {
			return line
		}
	}
	return ""
}

// writeInChunks sends a request whose body comes in chunks, each written by itself.
func (c *client) writeInChunks(host, path, id, deadline string, chunks ...string) {
	c.writePart(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %s\r\nX-Api-Key: %s\r\n"+
		"X-Model: m1\r\nX-Token-Usage: 1000,20\r\nX-Prompt-Prefix: aa:300\r\nTransfer-Encoding: chunked\r\n\r\n", path, host, id, deadline, goodKey))
	for _, chunk := range chunks {
		c.writePart(fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk))
	}
	c.writePart("0\r\n\r\n")
}

// writePart sends a part of a request.
func (c *client) writePart(text string) { _, _ = io.WriteString(c.conn, text) }

// TestCutRequestsAreLogged stops a host while it has requests that outlast it: the log
// tells the state of each.
func TestCutRequestsAreLogged(t *testing.T) {
	d := newDeployment(t, 0, 1, 1)
	d.graceSeconds = 4
	h := d.daemon(0)
	d.engines[0].Pace(2000 * time.Millisecond)
	stream := d.client(h.testHost)
	stream.writeInChunks(modelHost, "/full/a", "long", "15000", "one", "two")
	d.await("the stream runs", func() bool { return d.executions("long") == 1 })
	d.signal(h, syscall.SIGTERM)
	<-h.ended
	d.is.True(strings.Contains(h.line(1002, ""), "LateMillis="))
	line := h.line(1011, `Request="long"`)
	d.is.True(strings.Contains(line, `Upstream="engine-0" State="Streaming"`))
	d.is.True(strings.Contains(line, "ArrivedMillis=-"))
	d.is.True(strings.Contains(h.line(1003, ""), "Cut=1 "))
	d.is.True(strings.Contains(h.line(1003, ""), "Streaming=1 "))
}
