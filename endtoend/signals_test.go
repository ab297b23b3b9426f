package endtoend

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSighupDuringStart sends SIGHUP to a daemon that is still reading its
// settings. The signal must not kill it: it exits because the settings are
// invalid.
func TestSighupDuringStart(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(syscall.Mkfifo(file, 0o600))
	p := start(t, "daemon", programs.router, "run", "--settings", file)
	// Opening the pipe blocks until the daemon has opened it for reading.
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	is.NoErr(err)
	p.signal(syscall.SIGHUP)
	_, err = settings.WriteString("Unknown: true\n")
	is.NoErr(err)
	is.NoErr(settings.Close())
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		t.Fatal("the daemon did not exit")
	}
	is.Equal(p.cmd.ProcessState.ExitCode(), 1) // -1 if the signal killed it
}

// TestSighupWithoutStore sends SIGHUP to a daemon on a platform without a store.
func TestSighupWithoutStore(t *testing.T) {
	s := startSystem(t, options{routers: 1, engines: 1})
	r := s.routers[0]
	r.signal(syscall.SIGHUP)
	eventually(t, "the settings are reloaded", func() bool { return r.hasLogged("settings reloaded") })
}
