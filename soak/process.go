package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/kumquathoist/kumquathoist/event"
	"github.com/kumquathoist/kumquathoist/standin"
)

// SecretVariable is the environment variable that holds the hosts' secret.
const SecretVariable = "KUMQUATHOIST_SOAK_SECRET"

// dumpTime is how long a process that exceeds its time limit may write its goroutines.
const dumpTime = 500 * time.Millisecond

// process is a host's process, which can be restarted.
type process struct {
	ip string
	// other is the build with which a host is replaced, if the soak has two.
	other build
	// peerAddress is where other hosts connect to it.
	peerAddress string

	// mu guards the fields below.
	mu sync.Mutex
	// build is what the next start runs, replaced means that it is no longer the first.
	build    build
	replaced bool
	cmd      *exec.Cmd
	// ended closes when the process has ended.
	ended chan struct{}
	// endRequested means that the soak asked the process to end.
	endRequested bool
	// startCount is the number of starts.
	startCount int
	output     standin.Output
	// unexpectedEnds describes the ends that the soak did not ask for.
	unexpectedEnds []string
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.build.program, "run", "--settings", p.build.settings)
	cmd.Env = append(os.Environ(), SecretVariable+"=soak", "GORACE=atexit_sleep_ms=0")
	cmd.Stdout, cmd.Stderr = &p.output, &p.output
	// A shell that ends would hang up on a stopped process of its own group.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting a host")
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.endRequested = cmd, ended, false
	p.startCount++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.endRequested {
			p.unexpectedEnds = append(p.unexpectedEnds, "the process ended unexpectedly: "+describeExit(err))
		}
		close(ended)
	}()
	return nil
}

func describeExit(err error) string {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return "without an error"
	case errors.As(err, &exit):
		return exit.String()
	}
	return err.Error()
}

// hangUp sends SIGHUP to the process if it is running. While the process does not
// handle signals yet, it sends nothing and returns false: the default action of
// SIGHUP would end the process.
func (p *process) hangUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.handlesSignalsLocked() {
		return false
	}
	p.signalLocked(syscall.SIGHUP)
	return true
}

// handlesSignals reports whether the process handles signals.
func (p *process) handlesSignals() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handlesSignalsLocked()
}

// handlesSignalsLocked does the same; the caller holds mu.
func (p *process) handlesSignalsLocked() bool {
	return strings.Count(p.output.String(), fmt.Sprintf("Event=%d ", event.Starting.Number)) >= p.startCount
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signalLocked(s)
}

// signalLocked sends a signal; the caller holds mu.
func (p *process) signalLocked(s syscall.Signal) {
	select {
	case <-p.ended:
	default:
		// Signalling a process that has just ended fails; that is fine.
		_ = p.cmd.Process.Signal(s)
	}
}

// end sends a signal that ends the process and waits for the end. It kills a
// process that exceeds the limit, when it has dumped its goroutines, and reports whether it ended in time.
func (p *process) end(s syscall.Signal, limit time.Duration) (inTime bool) {
	p.mu.Lock()
	p.endRequested = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-ended:
		return true
	case <-time.After(limit):
	}
	p.signal(syscall.SIGCONT)
	// The runtime writes all goroutines to the output.
	p.signal(syscall.SIGQUIT)
	select {
	case <-ended:
	case <-time.After(dumpTime):
		p.signal(syscall.SIGKILL)
		<-ended
	}
	return false
}

// problems returns the unexpected ends of the process, and the data races, panics
// and fatal errors in its output.
func (p *process) problems() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := append([]string{}, p.unexpectedEnds...)
	text := p.output.String()
	for _, sign := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if i := strings.Index(text, sign); i >= 0 {
			found = append(found, "the output contains "+text[i:min(len(text), i+600)])
		}
	}
	return found
}
