package endtoend

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHangUpWhileStarting sends SIGHUP to a daemon that still reads its
// settings: it goes on and tells what is wrong with them.
func TestHangUpWhileStarting(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.NoErr(syscall.Mkfifo(file, 0o600))
	p := start(t, "daemon", programs.router, "run", "--settings", file)
	// The open returns once the daemon has opened its end.
	settings, err := os.OpenFile(file, os.O_WRONLY, 0)
	is.NoErr(err)
	p.signal(syscall.SIGHUP)
	_, err = settings.WriteString("Unknown: true\n")
	is.NoErr(err)
	is.NoErr(settings.Close())
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		t.Fatal("the daemon did not end")
	}
	is.Equal(p.cmd.ProcessState.ExitCode(), 1) // -1 when a signal ended it
}

// TestHangUpWithoutStore sends SIGHUP to a daemon whose platform has no store.
func TestHangUpWithoutStore(t *testing.T) {
	s := startSystem(t, options{routers: 1, engines: 1})
	r := s.routers[0]
	r.signal(syscall.SIGHUP)
	eventually(t, "the settings were read again", func() bool { return r.logged("settings reloaded") })
}
