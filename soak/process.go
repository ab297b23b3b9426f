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

// process is a host's process, started again when it ends.
type process struct {
	program, settings, ip string
	// seed is where other hosts find it.
	seed string

	// mu guards the fields below.
	mu  sync.Mutex
	cmd *exec.Cmd
	// ended closes when the process has ended.
	ended chan struct{}
	// expected tells that the end was asked for.
	expected bool
	// starts counts starts.
	starts int
	output standin.Output
	// surprises are ends that nobody asked for.
	surprises []string
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program, "run", "--settings", p.settings)
	cmd.Env = append(os.Environ(), SecretVariable+"=soak", "GORACE=atexit_sleep_ms=0")
	cmd.Stdout, cmd.Stderr = &p.output, &p.output
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err, "starting a host")
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.expected = cmd, ended, false
	p.starts++
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.expected {
			p.surprises = append(p.surprises, "the process ended by itself: "+describe(err))
		}
		close(ended)
	}()
	return nil
}

func describe(err error) string {
	var exit *exec.ExitError
	switch {
	case err == nil:
		return "without an error"
	case errors.As(err, &exit):
		return exit.String()
	}
	return err.Error()
}

// hangUp sends SIGHUP to the process, unless it runs but doesn't take signals
// yet: the system would end it then.
func (p *process) hangUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if strings.Count(p.output.String(), fmt.Sprintf("Event=%d ", event.Starting.Number)) < p.starts {
		return false
	}
	p.signalLocked(syscall.SIGHUP)
	return true
}

// signal sends a signal to the process, if it runs.
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
		// A process that has just ended takes no signal.
		_ = p.cmd.Process.Signal(s)
	}
}

// end asks the process to end by a signal and waits for that; one that takes
// too long is killed.
func (p *process) end(s syscall.Signal, limit time.Duration) (inTime bool) {
	p.mu.Lock()
	p.expected = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(s)
	select {
	case <-ended:
		return true
	case <-time.After(limit):
	}
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-ended
	return false
}

// faults returns what the process's output and ends show to be wrong.
func (p *process) faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := append([]string{}, p.surprises...)
	text := p.output.String()
	for _, sign := range []string{"DATA RACE", "panic:", "fatal error:"} {
		if i := strings.Index(text, sign); i >= 0 {
			found = append(found, "the output shows "+text[i:min(len(text), i+600)])
		}
	}
	return found
}
